#ifndef BF_PROXY_RESPONSE_H
#define BF_PROXY_RESPONSE_H

#include "proxy/call.h"

/*
 * The answer of a call as the HTTP server sends it: a refusal of this node's
 * own, or the answer of the leg, in one piece when it is there already.
 */

/* Queues the answer that the call has decided on; MHD_NO closes instead. */
enum MHD_Result bf_response_queue(bf_call_t *call);

#endif
