/** @file members.h
 * Live entry boxes as the control leader knows them: a pure core.
 *
 * Heartbeats ("beats") come in with the time; from them follow who is live,
 * whose leases may still run, which configuration is in force everywhere, and
 * who may take a cell. A leader that just took over knows nothing: until a whole
 * lease has passed since then, it assumes that leases given by the one before
 * still run.
 */
#ifndef TRACKCOVE_CONTROL_MEMBERS_H
#define TRACKCOVE_CONTROL_MEMBERS_H

/* ===== Dependencies ===== */

#include <stdbool.h>
#include <stdint.h>

#include "common/time.h"
#include "gen/schema.h"

/* ===== Constants ===== */

/** Entry boxes beat this often. */
#define MEMBERS_HEARTBEAT_MS 250
/** A box not heard for this long gets no new callers and no cells: five beats in a row were lost. */
#define MEMBERS_HEARTBEAT_TIMEOUT_MS 1250
/** A scheduler acts on its cell until this long after the sending of a beat that was answered. Short, since a cell
 *  whose box died stands still for as long; a holder that misses it only suspends, and goes on when it is heard.
 */
#define MEMBERS_CELL_LEASE_MS 1000
/** Beyond the cell's lease, before another box is given it: clocks that drift, and a tick. */
#define MEMBERS_CELL_LEASE_MARGIN_MS 100
/** A box is forgotten after this. */
#define MEMBERS_RETENTION_MS 60000

/* ===== Types ===== */

typedef struct members members_t;

/** One box, for status pages. */
typedef struct {
    member_t self;
    uint64_t version; /**< configuration it acts on */
    tc_time_t silent_ms;
    bool live;
} members_view_t;

/* ===== Public functions ===== */

members_t *members_create(void);
void members_destroy(members_t *members);

/** This box became leader: forget what was known, leases given by others may run. */
void members_start_term(members_t *members, tc_time_t now);

/** A beat came. @return 0, or TC_E_FENCED: a newer start of that box was seen */
int members_on_heartbeat(members_t *members, const msg_beat_t *beat, tc_time_t now);

/** Let time pass: forget and notice who fell silent. */
void members_tick(members_t *members, tc_time_t now);

/** Grows with every change of the list of live boxes. */
uint64_t members_version(const members_t *members);

/** News since a version, into a heap array for free(): boxes that changed, and those that fell silent, marked gone.
 * @param all set when the version is not one of this leader's: the list is then every live box @return how many */
uint32_t members_list_changes(const members_t *members, uint64_t since, member_t **list, bool *all);

/** Whether no box can still act on a configuration older than @p version. @param lease_ms configuration lease
 * @param laggard filled with a box that may, when there is one */
bool members_in_force(const members_t *members, uint64_t version, tc_time_t lease_ms, char laggard[CODEC_STR_SIZE],
                      tc_time_t now);

/** Whether the holder of a cell can no longer act: its lease ran out, it gave it up, or it restarted since. */
bool members_holder_gone(const members_t *members, const char *box, uint64_t incarnation, tc_time_t now);

/** Choose a live box for a cell, or NULL. @param held how many cells each box holds is asked through this */
const member_t *members_choose_holder(const members_t *members, const char *cell,
                                      uint32_t (*held)(void *arg, const char *box), void *arg, tc_time_t now);

uint32_t members_list(const members_t *members, members_view_t *views, uint32_t room, tc_time_t now);

#endif
