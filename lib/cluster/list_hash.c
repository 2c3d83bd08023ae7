#include "cluster/list_hash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

uint64_t list_hash(const void *list, size_t size)
{
    return size > 0 && list ? XXH64(list, size, 0) | 1 : 1;
}
