/** @file memory.h
 * Settings of the allocator.
 */
#ifndef TRACKCOVE_COMMON_MEMORY_H
#define TRACKCOVE_COMMON_MEMORY_H

/** Makes the allocator return large blocks to the system as soon as they are freed. By default its threshold rises with
 *  the size of freed blocks: a box that replaces a list of 5 MB a few times would keep several of them for good. Call
 *  once, at program start. */
void memory_return_large_blocks(void);

#endif
