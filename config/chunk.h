#ifndef BF_CONFIG_CHUNK_H
#define BF_CONFIG_CHUNK_H

/* Compares two bf_chunk_t by the names of their services, for qsort(3). */
int bf_chunk_compare(const void *a, const void *b);

#endif
