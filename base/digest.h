#ifndef BF_BASE_DIGEST_H
#define BF_BASE_DIGEST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * 128-bit XXH3 digests, which detect lost and damaged content.  They are not
 * cryptographic: CURVE authenticates the peers of the control plane.
 */

typedef struct bf_digest {
	uint64_t high;
	uint64_t low;
} bf_digest_t;

/* 32 hexadecimal digits and the terminating NUL. */
#define BF_DIGEST_TEXT_BYTES 33

bf_digest_t bf_digest_of(const void *data, size_t data_bytes);
bool bf_digest_equal(bf_digest_t a, bf_digest_t b);

/* Writes 32 lower-case hexadecimal digits, as used in store keys. */
void bf_digest_format(bf_digest_t digest, char text[BF_DIGEST_TEXT_BYTES]);

/* Parses the output of bf_digest_format; false for any other text. */
bool bf_digest_parse(const char *text, bf_digest_t *digest);

/* Seeded 64-bit hash of a string, for rendezvous hashing and hash rings. */
uint64_t bf_hash_text(const char *text, uint64_t seed);

#endif
