#ifndef BF_CONTROL_CONTROL_INTERNAL_H
#define BF_CONTROL_CONTROL_INTERNAL_H

#include <stdatomic.h>

#include <apr_thread_mutex.h>
#include <apr_thread_proc.h>

#include "control/agent.h"
#include "control/control.h"
#include "control/items.h"
#include "control/relay.h"
#include "control/transport.h"
#include "member/member.h"

/*
 * Shared by control.c, whose functions any thread may call, and control_loop.c,
 * which runs the control thread and the relay thread.
 */

typedef enum command_kind {
	COMMAND_TARGET,
	COMMAND_ITEM,
	COMMAND_SEND,
	COMMAND_SEED,
	COMMAND_SNAPSHOT
} command_kind_t;

/* A request queued for the control thread. */
typedef struct command {
	struct command *next;
	command_kind_t kind;
	uint32_t payload_kind; /* kind of the item or direct message */
	char *key; /* item key, destination instance or seed address */
	void *data;
	size_t data_bytes;
	bf_snapshot_t *snapshot; /* owned; COMMAND_SNAPSHOT only */
} command_t;

#define METRICS_MAX 64

struct bf_control {
	apr_pool_t *pool;
	bf_control_options_t options;
	bf_member_output_t member_output;
	bf_agent_output_t agent_output;
	bf_relay_output_t relay_output;

	/* Used by the control thread only, once it runs. */
	bf_member_t *member;
	bf_agent_t *agent;
	bf_items_t *items;
	bf_transport_t *transport;
	bf_counter_shard_t *shard;
	bf_counter_id_t metrics[METRICS_MAX];
	bf_time_us_t now_us;
	bf_time_us_t next_tick_us;
	bf_time_us_t next_second_us;
	/* bf_member_versions_digest when records were last published. */
	uint64_t versions_digest;
	uint32_t zone_rank; /* see bf_member_zone_rank */

	bf_relay_t *relay; /* NULL: no store is configured */
	apr_thread_t *thread;
	apr_thread_t *relay_thread;
	atomic_bool stopping;
	atomic_uint outcome_kind; /* see bf_control_set_outcome_kind */

	int wake_fd; /* eventfd that wakes the control thread */
	/* Command queue: a linked list and the link that ends it. */
	apr_thread_mutex_t *command_lock;
	command_t *commands;
	command_t **command_end;
	size_t command_count;

	/*
	 * published_lock guards copies of the control thread's records and
	 * status, which other threads read.  No other lock is taken under it.
	 */
	apr_thread_mutex_t *published_lock;
	bf_record_t *records;
	size_t record_count;
	bf_control_status_t status;
};

/* control.c */
void bf_control_wake(bf_control_t *control);
bf_code_t bf_control_enqueue(bf_control_t *control, command_t *command);
command_t *bf_control_command_new(command_kind_t kind, uint32_t payload_kind,
    const char *key, const void *data, size_t data_bytes);

/* control_loop.c */
void bf_control_init_outputs(bf_control_t *control);
void *APR_THREAD_FUNC bf_control_run(apr_thread_t *thread, void *data);
void *APR_THREAD_FUNC bf_control_run_relay(apr_thread_t *thread, void *data);
void bf_control_command_free(command_t *command);
void bf_control_drop_commands(bf_control_t *control);

/* control_count.c */
void bf_control_register_metrics(bf_control_t *control);
void bf_control_update_metrics(bf_control_t *control);

#endif
