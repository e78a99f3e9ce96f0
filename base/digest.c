#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "base/digest.h"

#define TEXT_DIGITS (BF_DIGEST_TEXT_BYTES - 1)

bf_digest_t
bf_digest_of(const void *data, size_t data_bytes)
{
	XXH128_hash_t hash;

	hash = XXH3_128bits(data, data_bytes);
	return (bf_digest_t){ .high = hash.high64, .low = hash.low64 };
}

bool
bf_digest_equal(bf_digest_t a, bf_digest_t b)
{
	return a.high == b.high && a.low == b.low;
}

void
bf_digest_format(bf_digest_t digest, char text[BF_DIGEST_TEXT_BYTES])
{
	snprintf(text, BF_DIGEST_TEXT_BYTES, "%016" PRIx64 "%016" PRIx64,
	    digest.high, digest.low);
}

bool
bf_digest_parse(const char *text, bf_digest_t *digest)
{
	int used;

	if (strlen(text) != TEXT_DIGITS ||
	    strspn(text, "0123456789abcdef") != TEXT_DIGITS)
		return false;
	used = sscanf(
	    text, "%16" SCNx64 "%16" SCNx64, &digest->high, &digest->low);
	return used == 2;
}

uint64_t
bf_hash_text(const char *text, uint64_t seed)
{
	return XXH3_64bits_withSeed(text, strlen(text), seed);
}
