#include "cluster/known_members.h"

#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

static uint64_t add_text(uint64_t hash, const char *text)
{
    return XXH3_64bits_withSeed(text, strlen(text) + 1, hash);
}

uint64_t known_members_hash(const raft_member_t *list, uint32_t n)
{
    uint64_t hash = n;
    for (uint32_t i = 0; i < n; i++) {
        const uint64_t numbers[] = {list[i].id, list[i].voter};
        hash = XXH3_64bits_withSeed(numbers, sizeof(numbers), hash);
        hash = add_text(hash, list[i].name);
        hash = add_text(hash, list[i].peer);
        hash = add_text(hash, list[i].http);
    }
    return n > 0 && hash == 0 ? 1 : hash;
}
