#include "cluster/list.h"

#include <stdlib.h>
#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

uint64_t list_hash(const void *list, size_t size)
{
    return size > 0 && list ? XXH64(list, size, 0) | 1 : 1;
}

void *list_copy(const void *list, size_t size)
{
    void *const copy = malloc(size ? size : 1);
    if (!copy)
        abort();
    if (size)
        memcpy(copy, list, size);
    return copy;
}

bool list_has_name(const leaving_cfg_t *list, uint32_t n, const char *name)
{
    for (uint32_t i = 0; i < n; i++)
        if (strcmp(list[i].name, name) == 0)
            return true;
    return false;
}
