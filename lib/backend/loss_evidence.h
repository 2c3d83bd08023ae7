/** @file loss_evidence.h
 * What boxes' lost calls say about back ends, judged by who lost them.
 *
 * A back end that has ended fails for every box. A box whose own path is cut fails at every back end while the others
 * are answered: it is in doubt, and its losses count against no back end until it gets an answer itself. While nobody
 * is answered, no box is in doubt.
 *
 * Pure: no I/O, no clock. Boxes and back ends are named.
 */
#ifndef TRACKCOVE_BACKEND_LOSS_EVIDENCE_H
#define TRACKCOVE_BACKEND_LOSS_EVIDENCE_H

/* ===== Dependencies ===== */

#include <stdbool.h>

/* ===== Constants ===== */

/** Back ends at which a box has lost calls in a row, after which it is in doubt if another box is answered meanwhile.
 */
enum { LOSS_DOUBT_BACKENDS = 2 };

/* ===== Types ===== */

typedef struct loss_evidence loss_evidence_t;

/* ===== Public functions ===== */

loss_evidence_t *loss_evidence_create(void);
void loss_evidence_destroy(loss_evidence_t *evidence);

/** A call of a box to a back end ended without an answer. */
void loss_evidence_add_loss(loss_evidence_t *evidence, const char *box, const char *backend);
/** A back end answered a call of a box: the losses there count no more, and the box is not in doubt. */
void loss_evidence_add_answer(loss_evidence_t *evidence, const char *box, const char *backend);
/** Forgets the losses of a box that is gone. */
void loss_evidence_forget(loss_evidence_t *evidence, const char *box);

/** Calls in a row that were lost at a back end, without those of boxes in doubt. Takes time in proportion to the number
 *  of boxes that have lost calls. */
unsigned loss_evidence_count(const loss_evidence_t *evidence, const char *backend);
/** Whether losses of the box count against no back end. */
bool loss_evidence_is_in_doubt(const loss_evidence_t *evidence, const char *box);
/** Whether no losses are known. */
bool loss_evidence_is_empty(const loss_evidence_t *evidence);

#endif
