/** @file forward_parts.h
 * Parts of prompts that crash back ends. Part of the forwarding module, as forward_internal.h, which includes it.
 */
#ifndef TRACKCOVE_FORWARD_FORWARD_PARTS_H
#define TRACKCOVE_FORWARD_FORWARD_PARTS_H

/* ===== Dependencies ===== */

#include "forward/dialect.h"
#include "forward/forward.h"

/* ===== Types ===== */

typedef struct forward forward_t;
typedef struct backend_call backend_call_t;

/** A part of a prompt that may be the cause of a crash. */
typedef struct {
    uint64_t key;
    uint64_t by;     /* fingerprint of the request that had it */
    tc_time_t began; /* when its run did */
} part_suspect_t;

/** Of one request at most. */
enum { PART_SUSPECTS_MAX = DIALECT_PARTS_MAX };

/* ===== Functions ===== */

/** Number of parts of the prompt that other requests may share: all but the last. */
unsigned parts_shared(const forward_t *f);
/** Whether a part of the prompt is held. */
bool parts_are_held(const forward_t *f);
/** @return key of the one part of the prompt that is held; 0 when none or several are */
uint64_t parts_held_key(const forward_t *f);
/** Time for which a part of the prompt is still held, ms; 0 when none is. */
tc_time_t parts_remaining_ms(const forward_t *f);
/** The run of the request has begun to write: its parts crash nothing. */
void parts_begun(const forward_t *f);
/** Lists the parts that may be the cause if the back end of the call has ended: none if the request has had events.
 *  @param suspects room for PART_SUSPECTS_MAX @return their number */
unsigned parts_list_suspects(const backend_call_t *call, part_suspect_t *suspects);
/** Counts the end of a back end against a part, unless that was written on well just before or since.
 *  @param lost runs that this box lost there */
void parts_blame(forwarder_t *fw, const part_suspect_t *suspect, const char *backend, tc_time_t at, unsigned lost);
/** Applies the suspect parts in a leader's answer to a report. @return whether another report should follow at once */
bool parts_take_ack(forwarder_t *fw, const msg_report_ack_t *ack);

#endif
