#ifndef BF_PROXY_CALL_H
#define BF_PROXY_CALL_H

#include "proxy/headers.h"
#include "proxy/stream.h"
#include "proxy/upstream.h"
#include "proxy/worker.h"

/*
 * One call at one hop: the request that the HTTP server reads, the upstream
 * request to the next hop, and the response on its way back.  The server's
 * request is suspended while the upstream request is in progress.  A call is
 * advanced in its worker's event loop (see bf_call_advance), never inside a
 * callback of libmicrohttpd or libcurl.
 */

#define BF_ATTEMPTS_MAX 4
#define BF_REQUEST_ID_BYTES 129
#define BF_METHOD_BYTES 17
#define BF_HOST_BYTES 256

/* The operations in which the entry hop and the target hop differ. */
typedef struct bf_hop {
	/* 1: entry hop, 2: target hop; part of metric names and spans. */
	uint32_t number;

	/*
	 * Starts the call.  The request head is complete and so is the body,
	 * unless it is streamed.
	 */
	void (*begin)(bf_call_t *call, bf_time_us_t now_us);

	/* Adds the hop's own headers to an upstream request. */
	bool (*add_headers)(bf_call_t *call, struct curl_slist **header_list);

	/*
	 * Sets the outcome and reason of the upstream request from the head
	 * of its response.  Returns false when the connection must not be
	 * used any further.
	 */
	bool (*classify_response)(bf_call_t *call);

	/*
	 * Called once when the upstream request has ended; its response may
	 * be partly forwarded by then.
	 */
	void (*upstream_done)(bf_call_t *call, bf_time_us_t now_us);

	/*
	 * Starts another attempt or sets the response.  Called when the
	 * upstream request has ended and no response is set.
	 */
	void (*retry_or_respond)(bf_call_t *call, bf_time_us_t now_us);

	/* Adds the hop's own headers to a response; may be NULL. */
	void (*add_response_headers)(
	    bf_call_t *call, struct MHD_Response *response);

	void (*fill_span)(const bf_call_t *call, bf_span_t *span);

	/* Called when the call has ended, with or without a response. */
	void (*release)(bf_call_t *call, bf_time_us_t now_us);
} bf_hop_t;

extern const bf_hop_t bf_entry_hop;
extern const bf_hop_t bf_target_hop;

/* The response that the server sends. */
typedef enum bf_response_kind {
	BF_RESPONSE_NONE,    /* not decided yet */
	BF_RESPONSE_REFUSAL, /* made here: the call's outcome and reason */
	BF_RESPONSE_FORWARD, /* the upstream response */
	BF_RESPONSE_ABORT    /* none: the connection is closed */
} bf_response_kind_t;

struct bf_call {
	/* The caller's socket in the epoll instance. */
	bf_event_source_t source;

	/* Entries of the worker's lists of the same names. */
	TAILQ_ENTRY(bf_call) call_link;
	TAILQ_ENTRY(bf_call) scheduled_link;
	TAILQ_ENTRY(bf_call) unwatched_link;
	TAILQ_ENTRY(bf_call) waiting_link;
	bool is_scheduled, is_unwatched, is_waiting, is_watched;
	bf_worker_t *worker;
	bf_server_t *server;
	const bf_hop_t *hop;
	struct MHD_Connection *connection;
	bf_conn_t *conn; /* NULL when there was no memory for it */

	/* The request. */
	char *request_target;
	char method[BF_METHOD_BYTES];
	bf_headers_t request_headers;
	bf_framing_t framing;
	uint64_t body_bytes;
	char request_id[BF_REQUEST_ID_BYTES];
	bf_trace_context_t trace; /* span_id: this hop's span */
	uint64_t parent_id;       /* span id of the sender; 0: none */
	bf_time_us_t start_us;    /* monotonic */
	bf_time_us_t start_wall_us;
	bf_time_us_t deadline_us; /* monotonic */
	bf_stream_t body;
	bool head_checked;
	bool begun;            /* the hop's begin was called */
	bool expects_continue; /* the sender waits for "100 Continue" */
	bool is_streamed;      /* the body is not buffered whole */
	bool is_streaming;     /* it is passed on and not complete yet */
	bool body_accepted;    /* the server may read the body */
	bool body_complete;    /* the server has read the whole body */
	bool body_requested;   /* libcurl has requested the streamed body */
	bool body_consumed;    /* part of a streamed body was sent on */
	bool suspended;
	bool close_connection; /* after the response */

	/* The response. */
	bf_upstream_t upstream;
	bf_stream_t response_body;
	bf_response_kind_t response_kind;
	bool response_queued;
	bf_outcome_t outcome;
	bf_reason_t reason;
	uint32_t status;

	/* Entry hop; depth is used at the target hop too. */
	uint64_t call_id; /* of the current attempt, echoed by the next hop */
	bf_time_us_t attempt_timeout_us;
	bool may_have_run; /* an attempt ended with BF_OUTCOME_UNKNOWN */
	bf_table_t *table;
	const bf_table_route_t *route;
	bf_endpoint_t *endpoint; /* of the current attempt */
	bf_endpoint_t *tried[BF_ATTEMPTS_MAX];
	uint32_t tried_count;
	uint64_t depth; /* number of calls that this one is nested in */
	uint64_t caller_attempt; /* number of the caller's own attempt */

	/* Target hop. */
	bool repeatable;
	uint64_t attempt; /* number of this attempt, from the entry hop */
	bf_served_target_t *target;
	bool has_slot;
	uint32_t queue_ms; /* longest wait for a slot */
	bf_time_us_t queued_at_us;
};

/* Callbacks of libmicrohttpd; cls is a bf_server_t. */
void *bf_call_new(
    void *cls, const char *uri, struct MHD_Connection *connection);
enum MHD_Result bf_call_handle_request(void *cls,
    struct MHD_Connection *connection, const char *url, const char *method,
    const char *version, const char *upload_data, size_t *upload_data_size,
    void **con_cls);
void bf_call_handle_completion(void *cls, struct MHD_Connection *connection,
    void **con_cls, enum MHD_RequestTerminationCode code);

/* Sets a response with outcome and reason, in place of the target's. */
void bf_call_refuse(bf_call_t *call, bf_outcome_t outcome, bf_reason_t reason);

/* Sets the upstream response as the response of the call. */
void bf_call_forward(bf_call_t *call);

/* Makes the server ignore the connection until the call is resumed. */
void bf_call_suspend(bf_call_t *call);

/* Has the call advanced in the current iteration of the event loop. */
void bf_call_schedule(bf_call_t *call);

/* Takes the next steps that the state of the call allows. */
void bf_call_advance(bf_call_t *call, bf_time_us_t now_us);

/* Whether the whole request is still buffered and can be sent again. */
bool bf_call_can_resend(const bf_call_t *call);

bool bf_call_is_repeatable(const bf_call_t *call);

/* Cancels the call: the caller disconnected, or the worker stops. */
void bf_call_cancel(bf_call_t *call, bf_time_us_t now_us);

/* Watches the caller's connection, to cancel the call when it closes. */
void bf_call_watch(bf_call_t *call);
void bf_call_handle_caller_event(
    bf_call_t *call, uint32_t events, bf_time_us_t now_us);

#endif
