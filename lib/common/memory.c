#include "common/memory.h"

#include <malloc.h>

enum { LARGE_BYTES = 256 * 1024 };

void memory_return_large_blocks(void)
{
    (void)mallopt(M_MMAP_THRESHOLD, LARGE_BYTES); /* setting it also disables its dynamic adjustment */
}
