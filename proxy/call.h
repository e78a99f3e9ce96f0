#ifndef BF_PROXY_CALL_H
#define BF_PROXY_CALL_H

#include "proxy/headers.h"
#include "proxy/upstream.h"
#include "proxy/stream.h"
#include "proxy/worker.h"

/*
 * One call at one hop: the request that the HTTP server reads, the leg to the
 * next hop, and the answer on its way back.  The request is suspended while
 * the leg works; what a call needs next is done in the worker's round (see
 * bf_call_advance), never inside a callback of a library.
 */

#define BF_ATTEMPTS_MAX 4
#define BF_REQUEST_ID_BYTES 129
#define BF_METHOD_BYTES 17
#define BF_HOST_BYTES 256

/* What differs between the hops. */
typedef struct bf_hop {
	uint32_t number; /* 1 or 2 */

	/* The head is there and, unless it streams, the whole body. */
	void (*begin)(bf_call_t *call, bf_time_us_t now_us);

	/* Adds the headers of the hop's own to a request of the leg. */
	bool (*add_headers)(bf_call_t *call, struct curl_slist **header_list);

	/*
	 * The head of an answer came: sets outcome and reason of the leg.
	 * False when the connection cannot be trusted further.
	 */
	bool (*classify_response)(bf_call_t *call);

	/* The leg is over; the answer may be under way already. */
	void (*upstream_done)(bf_call_t *call, bf_time_us_t now_us);

	/* No answer yet and the leg is over: try again or answer. */
	void (*retry_or_respond)(bf_call_t *call, bf_time_us_t now_us);

	/* Adds the hop's own headers to an answer; may be NULL. */
	void (*add_response_headers)(
	    bf_call_t *call, struct MHD_Response *response);

	void (*fill_span)(const bf_call_t *call, bf_span_t *span);

	/* The call is gone, with or without an answer. */
	void (*release)(bf_call_t *call, bf_time_us_t now_us);
} bf_hop_t;

extern const bf_hop_t bf_entry_hop;
extern const bf_hop_t bf_target_hop;

/* What the server is to send back. */
typedef enum bf_response_kind {
	BF_RESPONSE_NONE,    /* not known yet */
	BF_RESPONSE_REFUSAL, /* outcome and reason of the call */
	BF_RESPONSE_FORWARD, /* the answer of the leg */
	BF_RESPONSE_ABORT    /* close the connection */
} bf_response_kind_t;

struct bf_call {
	bf_event_source_t
	    source; /* the caller's socket in the epoll instance */
	TAILQ_ENTRY(bf_call) call_link;
	TAILQ_ENTRY(bf_call) scheduled_link;
	TAILQ_ENTRY(bf_call) unwatched_link;
	TAILQ_ENTRY(bf_call) waiting_link;
	bool is_scheduled, is_unwatched, is_waiting, is_watched;
	bf_worker_t *worker;
	bf_server_t *server;
	const bf_hop_t *hop;
	struct MHD_Connection *connection;

	/* The request. */
	char *request_target;
	char method[BF_METHOD_BYTES];
	bf_headers_t request_headers;
	bf_framing_t framing;
	uint64_t body_bytes;
	char request_id[BF_REQUEST_ID_BYTES];
	bf_trace_context_t trace; /* span_id is the one of this hop */
	uint64_t parent_id;
	bf_time_us_t start_us; /* monotonic */
	bf_time_us_t start_wall_us;
	bf_time_us_t deadline_us; /* monotonic */
	bf_stream_t body;
	bool head_checked; /* the head was checked */
	bool begun;
	bool expects_continue; /* the sender waits for "100 Continue" */
	bool is_streamed;      /* the body is not kept whole */
	bool body_accepted;    /* the server reads the body */
	bool body_complete;    /* all of it was read */
	bool body_requested;   /* the leg asks for the body */
	bool body_consumed;    /* part of a streamed body is gone */
	bool suspended;
	bool close_connection; /* the connection is not kept */

	/* The answer. */
	bf_upstream_t upstream;
	bf_stream_t response_body;
	bf_response_kind_t response_kind;
	bool response_queued;
	bf_outcome_t outcome;
	bf_reason_t reason;
	uint32_t status;

	/* Hop 1. */
	uint64_t call_id; /* of the present try, echoed by the next hop */
	bf_time_us_t attempt_timeout_us;
	bool may_have_run; /* a try ended as unknown */
	bf_table_t *table;
	const bf_table_route_t *route;
	bf_endpoint_t *endpoint; /* of the present try */
	bf_endpoint_t *tried[BF_ATTEMPTS_MAX];
	uint32_t tried_count;
	uint64_t depth;
	uint64_t prior_attempts; /* made by the sender already */

	/* Hop 2. */
	bool repeatable;
	uint64_t attempt;
	bf_served_target_t *target;
	bool has_slot;
	uint32_t queue_ms;
	bf_time_us_t queued_at_us;
};

/* MHD's callbacks; cls is a bf_server_t. */
void *bf_call_new(
    void *cls, const char *uri, struct MHD_Connection *connection);
enum MHD_Result bf_call_request(void *cls, struct MHD_Connection *connection,
    const char *url, const char *method, const char *version,
    const char *upload_data, size_t *upload_data_size, void **con_cls);
void bf_call_completed(void *cls, struct MHD_Connection *connection,
    void **con_cls, enum MHD_RequestTerminationCode code);

/* Answers without, or instead of, an answer of the target's. */
void bf_call_refuse(bf_call_t *call, bf_outcome_t outcome, bf_reason_t reason);

/* Passes the answer of the leg on. */
void bf_call_forward(bf_call_t *call);

/* The server does nothing for the call until it is resumed. */
void bf_call_suspend(bf_call_t *call);

/* Has the call looked at in this round. */
void bf_call_schedule(bf_call_t *call);

/* Does what the call needs next. */
void bf_call_advance(bf_call_t *call, bf_time_us_t now_us);

/* Whether the whole request can be sent once more. */
bool bf_call_can_resend(const bf_call_t *call);

bool bf_call_is_repeatable(const bf_call_t *call);

/* The caller went away, or the worker stops. */
void bf_call_cancel(bf_call_t *call, bf_time_us_t now_us);

/* Starts to watch the caller's connection for its end. */
void bf_call_watch(bf_call_t *call);
void bf_call_caller_event(
    bf_call_t *call, uint32_t events, bf_time_us_t now_us);

#endif
