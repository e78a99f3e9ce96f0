#include <endian.h>
#include <string.h>

#include "mesh/link.h"

/*
 * Frame header, integers in little endian: payload bytes (4), body bytes (4),
 * kind (1), offer id (8), sender's clock in microseconds (8).
 */
#define HEADER_BYTES 25
/* Transit is compared with the fastest frame of the last 1 to 2 windows. */
#define WINDOW_US BF_US_PER_S

const char *
bf_frame_kind_name(bf_frame_kind_t kind)
{
	static const char *const names[] = { "unknown", "hello", "state",
		"load", "offer", "cancel", "reply", "config-get", "config",
		"runs", "move", "probe", "body-get", "body", "version",
		"freshness-get", "freshness", "caps-grant", "caps-report",
		"zones" };

	if ((size_t)kind >= sizeof(names) / sizeof(names[0]))
		return names[0];
	return names[kind];
}

static bf_mesh_link_t *
link_of(bf_tcp_t *tcp)
{
	return (bf_mesh_link_t *)(void *)tcp;
}

bool
bf_mesh_link_min_transit(const bf_mesh_link_t *link, bf_time_us_t *transit_us)
{
	*transit_us = link->min_transit_us[0] < link->min_transit_us[1]
	    ? link->min_transit_us[0]
	    : link->min_transit_us[1];
	return link->has_min_transit;
}

/*
 * Transit time of a frame beyond the recent minimum.  The clocks of two nodes
 * differ by an unknown offset, which jumps when one of them was suspended; the
 * recent minimum of receive time - send time stands in for that offset.  The
 * result is too small if all recent frames of the connection were late.
 */
static bf_time_us_t
queueing_delay(
    bf_mesh_link_t *link, bf_time_us_t transit_us, bf_time_us_t now_us)
{
	bf_time_us_t min_us;

	if (!link->has_min_transit) {
		link->has_min_transit = true;
		link->window_began_at_us = now_us;
		link->min_transit_us[0] = transit_us;
		link->min_transit_us[1] = transit_us;
	} else if (now_us - link->window_began_at_us >= WINDOW_US) {
		link->window_began_at_us = now_us;
		link->min_transit_us[1] = link->min_transit_us[0];
		link->min_transit_us[0] = transit_us;
	} else if (transit_us < link->min_transit_us[0]) {
		link->min_transit_us[0] = transit_us;
	}
	(void)bf_mesh_link_min_transit(link, &min_us);
	return transit_us - min_us;
}

/*
 * Reads one frame from the start of data.  Returns its length, 0 if it is
 * incomplete, SIZE_MAX if it is too long.
 */
static size_t
read_frame(bf_mesh_link_t *link, const uint8_t *data, size_t bytes,
    bf_frame_t *frame, bf_time_us_t now_us)
{
	uint32_t payload_bytes, body_bytes;
	uint64_t offer_id, sent_us;

	if (bytes < HEADER_BYTES)
		return 0;
	memcpy(&payload_bytes, data, sizeof(payload_bytes));
	memcpy(&body_bytes, data + 4, sizeof(body_bytes));
	payload_bytes = le32toh(payload_bytes);
	body_bytes = le32toh(body_bytes);
	if (payload_bytes > BF_MESSAGE_BYTES_MAX ||
	    body_bytes > BF_FRAME_BODY_BYTES_MAX)
		return SIZE_MAX;
	if (bytes - HEADER_BYTES < (size_t)payload_bytes + body_bytes)
		return 0;
	memcpy(&offer_id, data + 9, sizeof(offer_id));
	memcpy(&sent_us, data + 17, sizeof(sent_us));
	*frame = (bf_frame_t){
		.kind = (bf_frame_kind_t)data[8],
		.offer_id = le64toh(offer_id),
		.payload = data + HEADER_BYTES,
		.payload_bytes = payload_bytes,
		.body = data + HEADER_BYTES + payload_bytes,
		.body_bytes = body_bytes,
	};
	frame->transit_us = now_us - (bf_time_us_t)le64toh(sent_us);
	frame->queueing_delay_us =
	    queueing_delay(link, frame->transit_us, now_us);
	return HEADER_BYTES + (size_t)payload_bytes + body_bytes;
}

/*
 * Calls back for each complete frame.  Returns the number of bytes used, or
 * SIZE_MAX for an invalid frame.
 */
static size_t
read_frames(bf_mesh_link_t *link, const uint8_t *data, size_t bytes,
    bf_time_us_t now_us)
{
	size_t used = 0, n;
	bf_frame_t frame;

	while (bf_tcp_is_open(&link->tcp)) {
		n = read_frame(link, data + used, bytes - used, &frame, now_us);
		if (n == SIZE_MAX)
			return SIZE_MAX;
		if (n == 0)
			break;
		used += n;
		link->last_received_at_us = now_us;
		link->vtable->frame(link, &frame, now_us);
	}
	return used;
}

static void
update_charge(bf_mesh_link_t *link)
{
	bf_memory_charge_set(&link->in_charge, bf_memory_of(&link->in));
}

static void
close_invalid(bf_mesh_link_t *link, bf_time_us_t now_us)
{
	bf_mesh_link_close(link);
	link->vtable->ended(link, now_us);
}

static void
on_received(
    bf_tcp_t *tcp, const uint8_t *data, size_t bytes, bf_time_us_t now_us)
{
	bf_mesh_link_t *link = link_of(tcp);
	size_t used;

	if (bf_bytes_count(&link->in) == 0) {
		used = read_frames(link, data, bytes, now_us);
		if (used == SIZE_MAX)
			close_invalid(link, now_us);
		else if (bf_tcp_is_open(tcp))
			bf_bytes_add(&link->in, data + used, bytes - used);
		update_charge(link);
		return;
	}
	bf_bytes_add(&link->in, data, bytes);
	used = read_frames(
	    link, bf_bytes_data(&link->in), bf_bytes_count(&link->in), now_us);
	if (used == SIZE_MAX || link->in.failed)
		close_invalid(link, now_us);
	else if (bf_tcp_is_open(tcp))
		bf_bytes_consume(&link->in, used);
	update_charge(link);
}

static void
on_opened(bf_tcp_t *tcp, bf_time_us_t now_us)
{
	bf_mesh_link_t *link = link_of(tcp);

	link->last_received_at_us = now_us;
	link->vtable->opened(link, now_us);
}

static void
on_ended(bf_tcp_t *tcp, bool orderly, bf_time_us_t now_us)
{
	(void)orderly;
	bf_bytes_free(&link_of(tcp)->in);
	update_charge(link_of(tcp));
	link_of(tcp)->vtable->ended(link_of(tcp), now_us);
}

static const bf_tcp_vtable_t tcp_vtable = {
	.opened = on_opened,
	.received = on_received,
	.ended = on_ended,
};

bf_code_t
bf_mesh_link_adopt(bf_mesh_link_t *link, const bf_mesh_link_vtable_t *vtable,
    bf_loop_t *loop, int fd, bf_time_us_t now_us, bf_error_t *err)
{
	link->vtable = vtable;
	link->last_received_at_us = now_us;
	return bf_tcp_adopt(&link->tcp, &tcp_vtable, loop, fd, err);
}

bf_code_t
bf_mesh_link_dial(bf_mesh_link_t *link, const bf_mesh_link_vtable_t *vtable,
    bf_loop_t *loop, const struct sockaddr_in *address, bf_time_us_t now_us,
    bf_error_t *err)
{
	link->vtable = vtable;
	link->last_received_at_us = now_us;
	return bf_tcp_connect(&link->tcp, &tcp_vtable, loop, address, err);
}

void
bf_mesh_link_send(bf_mesh_link_t *link, bf_frame_kind_t kind, uint64_t offer_id,
    bf_wire_writer_t *writer, const bf_bytes_t *body, bf_time_us_t now_us)
{
	size_t bytes = writer != NULL ? writer->buffer.size : 0;
	size_t more = body != NULL ? bf_bytes_count(body) : 0;
	uint32_t payload_bytes = htole32((uint32_t)bytes);
	uint32_t body_bytes = htole32((uint32_t)more);
	uint64_t sent_us = htole64((uint64_t)now_us);
	uint8_t header[HEADER_BYTES];

	offer_id = htole64(offer_id);
	memcpy(header, &payload_bytes, sizeof(payload_bytes));
	memcpy(header + 4, &body_bytes, sizeof(body_bytes));
	header[8] = (uint8_t)kind;
	memcpy(header + 9, &offer_id, sizeof(offer_id));
	memcpy(header + 17, &sent_us, sizeof(sent_us));
	bf_bytes_add(&link->tcp.out, header, sizeof(header));
	if (bytes > 0)
		bf_bytes_add(&link->tcp.out, writer->buffer.data, bytes);
	if (more > 0)
		bf_bytes_add(&link->tcp.out, bf_bytes_data(body), more);
	bf_tcp_schedule_flush(&link->tcp);
	if (writer != NULL)
		bf_wire_writer_clear(writer);
}

void
bf_mesh_link_set_budget(bf_mesh_link_t *link, bf_memory_budget_t *budget)
{
	link->in_charge.budget = budget;
	link->in_charge.side = BF_MEMORY_PEERS;
	link->tcp.out_charge.budget = budget;
	link->tcp.out_charge.side = BF_MEMORY_PEERS;
}

void
bf_mesh_link_close(bf_mesh_link_t *link)
{
	bf_tcp_close(&link->tcp);
	bf_bytes_free(&link->in);
	update_charge(link);
}

void
bf_mesh_link_abort(bf_mesh_link_t *link)
{
	bf_tcp_abort(&link->tcp);
	bf_bytes_free(&link->in);
	update_charge(link);
}
