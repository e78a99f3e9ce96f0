#ifndef BF_MESH_LINK_H
#define BF_MESH_LINK_H

#include "control/message.h"
#include "net/tcp.h"

/*
 * A connection between two nodes: frames in both directions, each with a kind,
 * the id of the call that it is about and the sender's clock.
 */

typedef enum bf_frame_kind {
	BF_FRAME_HELLO = 1,  /* who dialled */
	BF_FRAME_STATE,      /* the node, its target and its load */
	BF_FRAME_LOAD,       /* its load alone */
	BF_FRAME_CALL,       /* run this */
	BF_FRAME_CANCEL,     /* nobody waits for it any more */
	BF_FRAME_ANSWER,     /* what became of a call */
	BF_FRAME_CONFIG_GET, /* send the configuration in force */
	BF_FRAME_CONFIG,
	BF_FRAME_RUNS, /* what the runs of the target showed */
	BF_FRAME_MOVE, /* the present state of a move */
	BF_FRAME_PROBE /* tell your load now */
} bf_frame_kind_t;

typedef struct bf_frame {
	bf_frame_kind_t kind;
	uint64_t call;
	const void *payload; /* MessagePack scalars, see control/message.h */
	size_t payload_bytes;
	const void *body; /* of a request or an answer, as it is */
	size_t body_bytes;
	/* How much longer it was under way than the fastest of late. */
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
	void *owner; /* of the one that dials */
	bf_bytes_t in;
	bf_time_us_t last_received_at_us; /* last frame */
	/* Least (receipt - sending) of this and the former span. */
	bf_time_us_t window_began_at_us;
	bf_time_us_t min_transit_us[2];
	bool has_min_transit;
};

/* Longest body, that of a request within any limit that operators set. */
#define BF_FRAME_BODY_BYTES_MAX ((size_t)96 << 20)

bf_code_t bf_mesh_link_adopt(bf_mesh_link_t *link,
    const bf_mesh_link_vtable_t *vtable, bf_loop_t *loop, int fd,
    bf_time_us_t now_us, bf_error_t *err);
bf_code_t bf_mesh_link_dial(bf_mesh_link_t *link,
    const bf_mesh_link_vtable_t *vtable, bf_loop_t *loop,
    const struct sockaddr_in *address, bf_time_us_t now_us, bf_error_t *err);

/* Sends what the writer holds, which may be NULL, and clears it. */
void bf_mesh_link_send(bf_mesh_link_t *link, bf_frame_kind_t kind,
    uint64_t call, bf_wire_writer_t *writer, const bf_bytes_t *body,
    bf_time_us_t now_us);

/* Closes without a callback; the memory stays the owner's. */
void bf_mesh_link_close(bf_mesh_link_t *link);

#endif
