/** @file record.h
 * The record of streams: every event that a run at an engine made, and whether what a caller got is these events.
 *
 * Tokens of an answer are numbered from 1. An event holds one or several; its id is the number of its last one. Each
 * event's text names its stream, its run and its tokens, so that no two are alike.
 */
#ifndef TRACKCOVE_TESTS_SOAK_RECORD_H
#define TRACKCOVE_TESTS_SOAK_RECORD_H

#include <glib.h>
#include <stdbool.h>

/** A run of a stream. */
typedef struct {
    unsigned number; /**< of all runs, in the order in which they began */
    unsigned after;  /**< token behind which it was asked to go on, 0 to begin */
} record_run_t;

/** An event that a run made. */
typedef struct {
    record_run_t run;
    unsigned first, last; /**< its tokens */
    size_t written;       /**< bytes of it that the run sends: less than all where it breaks off or stops within */
    GString *bytes;
} record_event_t;

/** A stream that a caller asks for, in one request or several. */
typedef struct {
    unsigned tokens;   /**< of the whole answer */
    GPtrArray *events; /**< record_event_t of all runs */
    unsigned last;     /**< token that ends what the caller has, 0 for none */
    unsigned run;      /**< number of the run that made the last event it has */
} record_t;

record_t *record_create(unsigned tokens);
void record_destroy(record_t *record);

/** A run makes an event. @param bytes taken over */
void record_add(record_t *record, const record_event_t *event);
/** Whether a run may be asked to go on behind this token: an event that was made ends with it, or it is 0. */
bool record_ends_with(const record_t *record, unsigned token);

/** The caller got an answer, whole or not: its events stand behind those of its answers before.
 *  @param whole it ended well  @return the promise that it breaks, or NULL */
const char *record_check_answer(record_t *record, const char *body, size_t size, bool complete);

#endif
