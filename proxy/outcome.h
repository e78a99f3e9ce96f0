#ifndef BF_PROXY_OUTCOME_H
#define BF_PROXY_OUTCOME_H

#include "proxy/proxy.h"

/* Parse the names of bf_outcome_name and bf_reason_name; false for others. */
bool bf_outcome_parse(const char *text, bf_outcome_t *outcome);
bool bf_reason_parse(const char *text, bf_reason_t *reason);

/* The HTTP status for a call that ended without a response of the target. */
uint32_t bf_outcome_status(bf_outcome_t outcome, bf_reason_t reason);

#endif
