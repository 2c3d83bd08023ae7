/** @file part_begins.h
 * When back ends last began to write on the parts of prompts that this box has sent, which tells sound parts from one
 * that crashes back ends. Of fixed size: a part may be forgotten for another one.
 *
 * No I/O, no clock.
 */
#ifndef TRACKCOVE_FORWARD_PART_BEGINS_H
#define TRACKCOVE_FORWARD_PART_BEGINS_H

/* ===== Dependencies ===== */

#include <stdbool.h>
#include <stdint.h>

#include "common/time.h"

/* ===== Constants ===== */

enum {
    /** A part that was written on well this long before a crash is not its cause, ms. */
    PART_BEGINS_RECENT_MS = 1500,
    /** The same, but only for one crash, since it may crash back ends from some time on, after a release. A part that
     * few requests have is known to be sound by this. */
    PART_BEGINS_REMEMBERED_MS = 20 * 1000
};

/* ===== Types ===== */

typedef struct part_begins part_begins_t;

/* ===== Public functions ===== */

part_begins_t *part_begins_create(void);
void part_begins_destroy(part_begins_t *begins);

/** A back end began to write on the part. */
void part_begins_add(part_begins_t *begins, uint64_t part, tc_time_t now);
/** Whether the part is not the cause of a crash at @p crashed. One that began well before PART_BEGINS_RECENT_MS is
 *  forgotten by this. @param since set to when it began well last, if so */
bool part_begins_clear(part_begins_t *begins, uint64_t part, tc_time_t crashed, tc_time_t *since);

#endif
