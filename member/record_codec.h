#ifndef BF_MEMBER_RECORD_CODEC_H
#define BF_MEMBER_RECORD_CODEC_H

#include "control/message.h"
#include "member/record.h"

/*
 * Encoding of records.  The instance's name is not encoded, since each record
 * is sent with it as its key.  Neither is config_version, since it changes on
 * every node with every configuration and is replicated separately
 * (member/versions.h).
 */

/* Appends the record to a message. */
void bf_record_write(bf_wire_writer_t *writer, const bf_record_t *record);

/* Reads the record of instance; a failure is in the reader's code. */
void bf_record_read(
    bf_wire_reader_t *reader, const char *instance, bf_record_t *record);

/* Decodes bytes that hold one record and nothing else. */
bf_code_t bf_record_decode(const char *instance, const void *data,
    size_t data_bytes, bf_record_t *record);

/*
 * Whether a replaces b: it has the greater (incarnation, sequence), or the same
 * and the state of higher precedence (LEFT, DEAD, SUSPECT, ALIVE, from highest
 * to lowest).
 */
bool bf_record_newer(const bf_record_t *a, const bf_record_t *b);

#endif
