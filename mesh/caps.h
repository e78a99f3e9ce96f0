#ifndef BF_MESH_CAPS_H
#define BF_MESH_CAPS_H

#include "accounts/directory.h"
#include "control/message.h"
#include "mesh/link.h"
#include "observe/metrics.h"
#include "usage_caps/member.h"

/*
 * Usage caps of accounts at this node: admits calls with the tokens of
 * usage_caps/, exchanges them with the other nodes, and serves as coordinator
 * of the zone or root of the mesh.  docs/design/usage-caps.md.
 */

struct bf_mesh;
struct bf_peer;

typedef struct bf_caps bf_caps_t;
typedef struct bf_caps_waiter bf_caps_waiter_t;

/* A call that is to be admitted; a member of it. */
struct bf_caps_waiter {
	bf_caps_waiter_t *next;
	bf_caps_waiter_t **previous; /* NULL: it does not wait */
	uint64_t account;
	bf_time_us_t until_us;
	bf_caps_answer_t answer; /* NONE while it waits */
	/* wait_us: if not admitted, the time until a token is expected. */
	void (*decided)(bf_caps_waiter_t *waiter, bool admitted,
	    bf_time_us_t wait_us, bf_time_us_t now_us);
};

/* NULL without memory, and if the options enforce no caps. */
bf_caps_t *bf_caps_new(struct bf_mesh *mesh, bf_metrics_set_t *metrics);
void bf_caps_free(bf_caps_t *caps);

/* Begins to share the caps; caps may be NULL in all that follow. */
void bf_caps_start(bf_caps_t *caps, bf_time_us_t now_us);

/*
 * Admits a call of the account.  Calls waiter->decided, at once or later.  The
 * call waits at most wait_max_us.
 */
void bf_caps_admit(bf_caps_t *caps, const bf_account_t *account,
    bf_caps_waiter_t *waiter, bf_time_us_t wait_max_us, bf_time_us_t now_us);

/* Ends the waiting of a call that is about to be freed. */
void bf_caps_leave(bf_caps_t *caps, bf_caps_waiter_t *waiter);

/* Receives a frame of a peer that polls or grants. */
void bf_caps_receive_grant(bf_caps_t *caps, struct bf_peer *peer,
    const bf_frame_t *frame, bf_wire_reader_t *reader, bf_time_us_t now_us);
/* Receives a report of a peer. */
void bf_caps_receive_report(bf_caps_t *caps, struct bf_peer *peer,
    bf_wire_reader_t *reader, bf_time_us_t now_us);

#endif
