/** @file forward_call.h
 * Parts of forward_call.c that forward_silence.c uses. No other file includes it.
 */
#ifndef TRACKCOVE_FORWARD_FORWARD_CALL_H
#define TRACKCOVE_FORWARD_FORWARD_CALL_H

#include "forward/forward_internal.h"

/** Frees a call that is no longer that of its request. @param why for the log */
void call_destroy(backend_call_t *call, const char *why);
/** Whether the request may run on one more back end after it may have run on this one. */
bool call_may_rerun(const forward_t *f);
/** Counts a run at the back end that was called last. */
void call_count_run(forward_t *f);
/** Takes back call_count_run: the run goes on. @param counted_backend its back end was counted as a further one */
void call_uncount_run(forward_t *f, bool counted_backend);
/** Records the arrival of the call, once. */
void call_record_arrival(backend_call_t *call, arrival_t how);
/** Excludes an instance from further calls of this request. */
void call_exclude(forward_t *f, instance_t *instance, dialect_op_t op);
/** Whether there is another back end that satisfies @p fits and could continue. */
bool call_has_other(const backend_call_t *call, bool (*fits)(forward_t *f, stage_t stage));
/** Continues at another back end after a run that was lost or is suspected, if the retry budget allows it. */
void call_continue_lost(forward_t *f, dialect_op_t op, const char *why);
/** Passes on the whole events of a run with these further bytes. @return whether the run goes on; otherwise the request
 *  may have been freed */
bool call_read_stream(backend_call_t *call, const char *data, size_t size);
/** The run has ended: ends the request if it is complete, else continues at another back end. */
void call_end_stream(backend_call_t *call, web_result_t how);

#endif
