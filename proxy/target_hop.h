#ifndef BF_PROXY_TARGET_HOP_H
#define BF_PROXY_TARGET_HOP_H

#include "proxy/worker.h"

/*
 * Lets the worker's waiting calls ask for a slot again.  Returns when the
 * next of them has waited long enough, INT64_MAX when none waits.
 */
bf_time_us_t bf_target_hop_serve_queue(
    bf_worker_t *worker, bf_time_us_t now_us);

#endif
