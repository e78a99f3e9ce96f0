#ifndef BF_NODE_NODE_H
#define BF_NODE_NODE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "settings/settings.h"

/*
 * One node: connects the data path, the control plane, the moves and the
 * administration API, each of which is implemented by its own library.
 */

typedef struct bf_node bf_node_t;

/*
 * Creates a node from validated settings, which must outlive it.  Nothing is
 * served before bf_node_start.  log may be NULL.
 */
bf_code_t bf_node_new(const bf_node_settings_t *settings, bf_log_t *log,
    bf_node_t **out, bf_error_t *err);

/* Starts all threads and the administration API. */
bf_code_t bf_node_start(bf_node_t *node, bf_error_t *err);

/*
 * Begins a graceful shutdown: the target is announced as draining, and new
 * calls are refused as not run.  Idempotent; any thread.
 */
void bf_node_drain(bf_node_t *node, bf_time_us_t now_us);

/*
 * Returns whether a drain is complete: no call has been in flight for a short
 * time, in which open connections are asked to close and no new one is
 * accepted; or target.drain_timeout_ms has passed.  To be called repeatedly, by
 * one thread.
 */
bool bf_node_drained(bf_node_t *node, bf_time_us_t now_us);

/* Stops all threads and frees the node. */
void bf_node_free(bf_node_t *node);

#endif
