#ifndef BF_MESH_LINK_H
#define BF_MESH_LINK_H

#include "control/message.h"
#include "net/tcp.h"

/*
 * A TCP connection between two nodes.  It carries frames in both directions,
 * each with a kind, the id of the offer it belongs to and the sender's clock.
 */

typedef enum bf_frame_kind {
	BF_FRAME_HELLO = 1,  /* identifies the node that dialled */
	BF_FRAME_STATE,      /* state of the node, its target and its load */
	BF_FRAME_LOAD,       /* load of the target only */
	BF_FRAME_OFFER,      /* offer of a call to the receiver's target */
	BF_FRAME_CANCEL,     /* the answer to a call is no longer needed */
	BF_FRAME_REPLY,      /* reply to an offer */
	BF_FRAME_CONFIG_GET, /* requests the configuration in force */
	BF_FRAME_CONFIG,
	BF_FRAME_RUNS,     /* counts of the runs at the sender's target */
	BF_FRAME_MOVE,     /* current state of a move */
	BF_FRAME_PROBE,    /* requests the load of the target at once */
	BF_FRAME_BODY_GET, /* requests a part of the body of an offered call */
	BF_FRAME_BODY,     /* that part */
	BF_FRAME_VERSION,  /* a version that the sender has confirmed */
	BF_FRAME_FRESHNESS_GET, /* asks for the present configuration */
	BF_FRAME_FRESHNESS,     /* what it is, and the age of that */
	BF_FRAME_CAPS_GRANT,  /* tokens of usage caps; may poll for a report */
	BF_FRAME_CAPS_REPORT, /* the sender's share, use and needs */
	BF_FRAME_ZONES        /* the zones that are evacuated */
} bf_frame_kind_t;

/* The name of a kind, for logs; "unknown" for one of a later version. */
const char *bf_frame_kind_name(bf_frame_kind_t kind);

typedef struct bf_frame {
	bf_frame_kind_t kind;
	uint64_t offer_id;   /* 0: it belongs to no offer */
	const void *payload; /* MessagePack scalars, see control/message.h */
	size_t payload_bytes;
	const void *body; /* of a request or an answer, not encoded */
	size_t body_bytes;
	/* Receive time - send time, by the clocks of two nodes. */
	bf_time_us_t transit_us;
	/* Transit time beyond that of the fastest recent frame. */
	bf_time_us_t queueing_delay_us;
} bf_frame_t;

typedef struct bf_mesh_link bf_mesh_link_t;

typedef struct bf_mesh_link_vtable {
	void (*opened)(bf_mesh_link_t *link, bf_time_us_t now_us);
	void (*frame)(
	    bf_mesh_link_t *link, const bf_frame_t *frame, bf_time_us_t now_us);
	void (*ended)(bf_mesh_link_t *link, bf_time_us_t now_us);
} bf_mesh_link_vtable_t;

struct bf_mesh_link {
	bf_tcp_t tcp; /* first member */
	const bf_mesh_link_vtable_t *vtable;
	void *owner;   /* context of the dialling side */
	bf_bytes_t in; /* received bytes of an incomplete frame */
	bf_memory_charge_t in_charge;
	bf_time_us_t last_received_at_us; /* the last frame, or the connect */
	/*
	 * Minimum of receive time - send time, two clocks, over the current
	 * window and the one before.
	 */
	bf_time_us_t window_began_at_us;
	bf_time_us_t min_transit_us[2];
	bool has_min_transit;
};

/* Longest body; meant to cover any limit that operators set for requests. */
#define BF_FRAME_BODY_BYTES_MAX ((size_t)96 << 20)

bf_code_t bf_mesh_link_adopt(bf_mesh_link_t *link,
    const bf_mesh_link_vtable_t *vtable, bf_loop_t *loop, int fd,
    bf_time_us_t now_us, bf_error_t *err);
bf_code_t bf_mesh_link_dial(bf_mesh_link_t *link,
    const bf_mesh_link_vtable_t *vtable, bf_loop_t *loop,
    const struct sockaddr_in *address, bf_time_us_t now_us, bf_error_t *err);

/*
 * Sends a frame with the contents of writer as payload, and clears writer.
 * writer and body may be NULL.
 */
void bf_mesh_link_send(bf_mesh_link_t *link, bf_frame_kind_t kind,
    uint64_t offer_id, bf_wire_writer_t *writer, const bf_bytes_t *body,
    bf_time_us_t now_us);

/*
 * Minimum transit time of the frames received in the last 1 to 2 s, by the
 * clocks of two nodes; false before the first frame.
 */
bool bf_mesh_link_min_transit(
    const bf_mesh_link_t *link, bf_time_us_t *transit_us);

/* Counts what the connection holds; call it once after adopt or dial. */
void bf_mesh_link_set_budget(bf_mesh_link_t *link, bf_memory_budget_t *budget);

/* Closes the connection without a callback and frees its buffers, not link. */
void bf_mesh_link_close(bf_mesh_link_t *link);
/* The same with a reset: frames that have not arrived yet are discarded. */
void bf_mesh_link_abort(bf_mesh_link_t *link);

#endif
