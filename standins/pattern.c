#include "base/digest.h"
#include "standins/pattern.h"

#define WORD_BYTES 8

void
pattern_fill(const char *id, uint64_t offset, void *data, size_t bytes)
{
	uint64_t at, word;
	uint8_t *out;
	size_t i;

	out = data;
	word = 0;
	for (i = 0; i < bytes; i++) {
		at = offset + i;
		if (i == 0 || at % WORD_BYTES == 0)
			word = bf_hash_text(id, at / WORD_BYTES);
		out[i] = (uint8_t)(word >> (at % WORD_BYTES * 8));
	}
}
