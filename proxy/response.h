#ifndef BF_PROXY_RESPONSE_H
#define BF_PROXY_RESPONSE_H

#include "proxy/call.h"

/*
 * The response of a call as the HTTP server sends it: a refusal made by this
 * node, or the upstream response, in one piece if it is complete already.
 */

/* Queues the call's response; MHD_NO closes the connection instead. */
enum MHD_Result bf_response_queue(bf_call_t *call);

#endif
