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

/* What control.c (any thread) and control_loop.c (the two threads) share. */

typedef enum command_kind {
	COMMAND_TARGET,
	COMMAND_ITEM,
	COMMAND_SEND,
	COMMAND_SEED,
	COMMAND_SNAPSHOT
} command_kind_t;

/* Something for the control thread to do. */
typedef struct command {
	struct command *next;
	command_kind_t kind;
	uint32_t number; /* of the item's or message's kind */
	char *key;
	void *data;
	size_t data_bytes;
	bf_snapshot_t *snapshot;
} command_t;

/* Counters of the registry that this library keeps. */
#define GAUGES_MAX 64

struct bf_control {
	apr_pool_t *pool;
	bf_control_options_t options;
	bf_member_output_t member_output;
	bf_agent_output_t agent_output;
	bf_relay_output_t relay_output;

	/* The control thread's. */
	bf_member_t *member;
	bf_agent_t *agent;
	bf_items_t *items;
	bf_transport_t *transport;
	bf_counter_shard_t *shard;
	bf_counter_id_t gauges[GAUGES_MAX];
	bf_time_us_t now_us;
	bf_time_us_t next_tick_us;
	bf_time_us_t next_second_us;
	uint64_t versions_digest; /* when the records were published last */
	uint32_t zone_rank;

	bf_relay_t *relay; /* NULL: no store */
	apr_thread_t *thread;
	apr_thread_t *relay_thread;
	atomic_bool stopping;
	atomic_uint outcome_kind;

	int wake_fd;
	apr_thread_mutex_t *command_lock;
	command_t *commands;
	command_t **command_end;
	size_t command_count;

	/* A leaf lock: nothing is called with it held. */
	apr_thread_mutex_t *published_lock;
	bf_record_t *records;
	size_t record_count;
	bf_control_status_t status;
};

/* control.c */
void bf_control_wake(bf_control_t *control);
bf_code_t bf_control_enqueue(bf_control_t *control, command_t *command);
command_t *bf_control_command_new(command_kind_t kind, uint32_t number,
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
