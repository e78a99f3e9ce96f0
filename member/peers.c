#include <string.h>

#include "member/peers.h"

bf_peer_t *
bf_peers_find(bf_peers_t *peers, const char *instance)
{
	size_t i;

	if (instance[0] == '\0')
		return NULL;
	for (i = 0; i < BF_PEERS_MAX; i++) {
		if (strcmp(peers->slots[i].instance, instance) == 0)
			return &peers->slots[i];
	}
	return NULL;
}

bf_peer_t *
bf_peers_add(bf_peers_t *peers, const char *instance, const char *address,
    bf_time_us_t now_us)
{
	bf_peer_t *peer;
	size_t i;

	peer = bf_peers_find(peers, instance);
	if (peer != NULL)
		return peer;
	for (i = 0; i < BF_PEERS_MAX; i++) {
		peer = &peers->slots[i];
		if (peer->instance[0] != '\0')
			continue;
		memset(peer, 0, sizeof(*peer));
		memcpy(peer->instance, instance,
		    strnlen(instance, sizeof(peer->instance) - 1));
		memcpy(peer->address, address,
		    strnlen(address, sizeof(peer->address) - 1));
		peer->linked_at_us = now_us;
		peer->last_received_us = now_us;
		return peer;
	}
	return NULL;
}

void
bf_peers_remove(bf_peer_t *peer)
{
	memset(peer, 0, sizeof(*peer));
}

size_t
bf_peers_count(const bf_peers_t *peers)
{
	size_t count;
	size_t i;

	count = 0;
	for (i = 0; i < BF_PEERS_MAX; i++)
		count += peers->slots[i].instance[0] != '\0';
	return count;
}

uint64_t
bf_peers_slot_bit(bf_peers_t *peers, const char *instance)
{
	bf_peer_t *peer;

	peer = bf_peers_find(peers, instance);
	if (peer == NULL)
		return 0;
	return UINT64_C(1) << (peer - peers->slots);
}
