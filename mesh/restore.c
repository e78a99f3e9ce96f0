#include <string.h>

#include "base/address.h"
#include "mesh/internal.h"

/*
 * Restores the target from the record of a former process of this node, so that
 * it gets calls before its next heartbeat.
 *
 * The record may be older than the target's last heartbeat: the former process
 * may have acknowledged that the target is leaving without reaching the store.
 * So the target gets calls only once its health check has confirmed that it is
 * the recorded one and is not leaving, or once its next heartbeat has.
 */

/* A heartbeat is likely to come before a slower response. */
#define HEALTH_TIMEOUT_US BF_US_PER_S

static void
end_check(bf_own_target_t *target, bf_loop_t *loop)
{
	bf_loop_timer_cancel(loop, &target->health_timer);
	target->awaits_health = false;
}

static void
on_health(bf_http_exchange_t *exchange, bf_http_result_t result,
    bf_http_message_t *message, bf_time_us_t now_us)
{
	bf_mesh_t *mesh =
	    BF_CONTAINER(exchange, bf_mesh_t, target.health_exchange);
	bf_own_target_t *target = &mesh->target;
	bool is_healthy = false;
	const char *id;

	if (result == BF_HTTP_ANSWERED) {
		id = bf_http_find(message, mesh->dialect->target_id);
		is_healthy = message->status == 200 && id != NULL &&
		    strcmp(id, target->presence.heartbeat.id) == 0;
		bf_evacuation_health(
		    mesh, message, target->health_sent_us, now_us);
		bf_http_message_free(message);
	}
	/* Not if a heartbeat has come meanwhile. */
	if (is_healthy && target->awaits_health && !target->presence.departed)
		bf_target_make_ready(mesh, "restored", now_us);
	end_check(target, mesh->loop);
}

static void
on_health_timeout(bf_timer_t *timer, bf_time_us_t now_us)
{
	bf_own_target_t *target =
	    BF_CONTAINER(timer, bf_own_target_t, health_timer);

	(void)now_us;
	bf_http_cancel(&target->health_exchange);
	end_check(target, target->client.loop);
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

	if (!target->awaits_health || target->health_exchange.conn != NULL)
		return;
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
	bf_own_target_t *target = &mesh->target;

	if (bf_target_check_heartbeat(mesh, heartbeat, NULL) != BF_OK ||
	    !bf_presence_restore(&target->presence, heartbeat, now_us))
		return;
	bf_target_apply_heartbeat(mesh, true, now_us);
	bf_evacuation_doubt(mesh, "restored", now_us);
	if (bf_presence_is_leaving(&target->presence)) {
		bf_mesh_report_changes(mesh, now_us);
		return;
	}
	target->awaits_health = true;
	bf_target_check_health(mesh, now_us);
}

void
bf_target_restore_stop(bf_mesh_t *mesh)
{
	if (mesh->target.health_exchange.conn != NULL)
		bf_http_cancel(&mesh->target.health_exchange);
	end_check(&mesh->target, mesh->loop);
}
