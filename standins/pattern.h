#ifndef BF_STANDINS_PATTERN_H
#define BF_STANDINS_PATTERN_H

#include <stddef.h>
#include <stdint.h>

/*
 * Fills data with a part of the body pattern of a request id, starting at an
 * offset, so that a receiver can verify every byte: byte k of the pattern is
 * byte k % 8, lowest first, of the 64-bit hash of the id with the seed k / 8
 * (bf_hash_text).
 */
void pattern_fill(const char *id, uint64_t offset, void *data, size_t bytes);

#endif
