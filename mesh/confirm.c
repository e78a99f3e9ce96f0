#include <string.h>

#include "mesh/internal.h"

/*
 * Confirms by its health check that the target beside this node may get calls;
 * see mesh/presence.h for the targets that need it.  Also restores the target
 * from the record of a former process of this node, so that it gets calls
 * before its next heartbeat.
 */

/* The next heartbeat is likely to come before a slower response. */
#define HEALTH_TIMEOUT_US BF_US_PER_S
/* Until a target without a free slot is asked again. */
#define BUSY_RETRY_US (200 * BF_US_PER_MS)

static void
on_health_timeout(bf_timer_t *timer, bf_time_us_t now_us)
{
	bf_own_target_t *target =
	    BF_CONTAINER(timer, bf_own_target_t, health_timer);

	(void)now_us;
	bf_http_cancel(&target->health_exchange);
}

static void
on_busy_retry(bf_timer_t *timer, bf_time_us_t now_us)
{
	bf_target_check_health(
	    BF_CONTAINER(timer, bf_mesh_t, target.health_timer), now_us);
}

static bool
is_healthy(const bf_mesh_t *mesh, const bf_http_message_t *message)
{
	const char *id = bf_http_find(message, mesh->dialect->target_id);

	return message->status == 200 && id != NULL &&
	    strcmp(id, mesh->target.presence.heartbeat.id) == 0;
}

static void
on_health(bf_http_exchange_t *exchange, bf_http_result_t result,
    bf_http_message_t *message, bf_time_us_t now_us)
{
	bf_mesh_t *mesh =
	    BF_CONTAINER(exchange, bf_mesh_t, target.health_exchange);
	bf_own_target_t *target = &mesh->target;
	bool is_busy = false, is_confirmed = false;

	bf_loop_timer_cancel(mesh->loop, &target->health_timer);
	if (result == BF_HTTP_ANSWERED) {
		is_busy = bf_http_find(message, mesh->dialect->not_run) != NULL;
		is_confirmed = is_healthy(mesh, message) &&
		    bf_presence_confirm(&target->presence);
		bf_evacuation_health(
		    mesh, message, target->health_sent_us, now_us);
		bf_http_message_free(message);
	}
	if (is_confirmed) {
		bf_target_make_ready(mesh, "confirmed", now_us);
	} else if (is_busy) {
		target->health_timer.fire = on_busy_retry;
		bf_loop_timer_set(
		    mesh->loop, &target->health_timer, now_us + BUSY_RETRY_US);
	}
}

bool
bf_target_send_health_check(
    bf_mesh_t *mesh, bf_http_exchange_t *exchange, bf_time_us_t now_us)
{
	bf_own_target_t *target = &mesh->target;
	const bf_mesh_service_t *service;
	bf_bytes_t head = { 0 }, body = { 0 };
	bool sent;

	if (mesh->routing == NULL)
		return false;
	service = bf_routing_service(
	    mesh->routing, target->presence.heartbeat.service);
	if (service == NULL || service->health_path == NULL)
		return false;
	bf_bytes_format(&head, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n",
	    service->health_path, target->presence.heartbeat.address);
	sent = bf_http_send(&target->client, exchange, &head, &body, 0, now_us);
	bf_bytes_free(&head);
	return sent;
}

void
bf_target_check_health(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	bf_own_target_t *target = &mesh->target;

	if (!bf_presence_awaits_health(&target->presence) ||
	    target->health_exchange.conn != NULL)
		return;
	bf_loop_timer_cancel(mesh->loop, &target->health_timer);
	target->health_exchange.done = on_health;
	target->health_sent_us = now_us;
	if (bf_target_send_health_check(
		mesh, &target->health_exchange, now_us)) {
		target->health_timer.fire = on_health_timeout;
		bf_loop_timer_set(mesh->loop, &target->health_timer,
		    now_us + HEALTH_TIMEOUT_US);
	}
}

void
bf_target_restore(
    bf_mesh_t *mesh, const bf_heartbeat_t *heartbeat, bf_time_us_t now_us)
{
	bf_presence_change_t change;

	if (bf_target_check_heartbeat(mesh, heartbeat, NULL) != BF_OK)
		return;
	change = bf_presence_restore(&mesh->target.presence, heartbeat, now_us);
	if (!change.is_accepted)
		return;
	bf_target_apply_heartbeat(mesh, change.new_lifetime, now_us);
	bf_evacuation_doubt(mesh, "restored", now_us);
	bf_target_announce(mesh, "restored", now_us);
	bf_target_check_health(mesh, now_us);
}

void
bf_target_cancel_health_check(bf_mesh_t *mesh)
{
	if (mesh->target.health_exchange.conn != NULL)
		bf_http_cancel(&mesh->target.health_exchange);
	bf_loop_timer_cancel(mesh->loop, &mesh->target.health_timer);
}
