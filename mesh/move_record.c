#include <string.h>

#include "mesh/move_record.h"

static bool
is_final(bf_move_state_t state)
{
	return state != BF_MOVE_ACTIVE;
}

/* Whether the store holds a state of this move, not of an earlier order. */
static bool
is_of_order(const bf_move_record_t *record, const bf_move_t *move)
{
	return record->is_known && record->revision > move->order_revision &&
	    strcmp(record->stored.version, move->version) == 0;
}

void
bf_move_record_read(bf_move_record_t *record, const bf_move_outcome_t *outcome,
    uint64_t revision)
{
	if (revision <= record->revision)
		return;
	record->revision = revision;
	record->is_known = outcome != NULL;
	if (outcome != NULL)
		record->stored = *outcome;
}

bool
bf_move_record_needs_write(
    const bf_move_record_t *record, const bf_move_t *move)
{
	if (record->is_writing || move->settled_revision != 0)
		return false;
	return !is_of_order(record, move) ||
	    record->stored.state != move->state;
}

void
bf_move_record_begin_write(bf_move_record_t *record, const bf_move_t *move)
{
	record->written = (bf_move_outcome_t){ .state = move->state };
	memcpy(record->written.service, move->service,
	    sizeof(record->written.service));
	memcpy(record->written.version, move->version,
	    sizeof(record->written.version));
	record->is_writing = true;
}

uint64_t
bf_move_record_order_revision(
    const bf_move_record_t *record, const bf_move_t *move)
{
	if (record->order_deleted)
		return 0;
	return record->restored_order != 0 ? record->restored_order
					   : move->order_revision;
}

void
bf_move_record_written(bf_move_record_t *record, uint64_t revision)
{
	record->is_writing = false;
	bf_move_record_read(record, &record->written, revision);
}

void
bf_move_record_write_failed(bf_move_record_t *record)
{
	record->is_writing = false;
}

bool
bf_move_settle(bf_move_t *move, const bf_move_record_t *record)
{
	if (!is_of_order(record, move) || !is_final(record->stored.state) ||
	    record->revision <= move->settled_revision)
		return false;
	move->state = record->stored.state;
	move->share_ppm =
	    move->state == BF_MOVE_COMPLETED ? BF_SHARE_ALL_PPM : 0;
	move->settled_revision = record->revision;
	return true;
}

bool
bf_move_supersedes(const bf_move_t *reported, const bf_move_t *own)
{
	if (reported->order_revision != own->order_revision)
		return reported->order_revision > own->order_revision;
	if (reported->settled_revision != own->settled_revision)
		return reported->settled_revision > own->settled_revision;
	return reported->settled_revision == 0 && reported->state > own->state;
}
