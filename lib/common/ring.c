#include "common/ring.h"

#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

uint64_t ring_position(const char *name)
{
    return XXH3_64bits(name, strlen(name));
}
