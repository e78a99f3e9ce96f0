#ifndef BF_PROXY_TARGET_HOP_H
#define BF_PROXY_TARGET_HOP_H

#include "proxy/worker.h"

/*
 * Retries to get a slot for each of the worker's waiting calls.  Returns the
 * time at which the next wait ends, INT64_MAX when no call waits.
 */
bf_time_us_t bf_target_hop_serve_queue(
    bf_worker_t *worker, bf_time_us_t now_us);

#endif
