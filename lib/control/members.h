/** @file members.h
 * Table of the live entry boxes, kept by the control leader. Does no I/O and reads no clock.
 *
 * It is fed with heartbeats and the time, and determines which boxes are live,
 * whose leases may still be valid, which configuration version is in force
 * everywhere, and which box may be assigned a cell. A new leader starts with an
 * empty table and assumes for one full lease that leases granted by its
 * predecessor are still valid.
 */
#ifndef TRACKCOVE_CONTROL_MEMBERS_H
#define TRACKCOVE_CONTROL_MEMBERS_H

/* ===== Dependencies ===== */

#include <stdbool.h>
#include <stdint.h>

#include "common/time.h"
#include "gen/schema.h"

/* ===== Constants ===== */

/** Interval at which entry boxes send heartbeats. */
#define MEMBERS_HEARTBEAT_MS 250
/** A box without a heartbeat for this long, five in a row lost, gets no new callers and no cells. */
#define MEMBERS_HEARTBEAT_TIMEOUT_MS 1250
/** A scheduler may act on its cell until this long after it sent the last heartbeat that was acknowledged. Short,
 *  because a cell whose box died is unavailable for this time. A holder whose lease lapses only suspends, and resumes
 *  with the next acknowledged heartbeat. */
#define MEMBERS_CELL_LEASE_MS 1000
/** Added to the cell lease before the cell is assigned to another box: covers clock drift and one tick. */
#define MEMBERS_CELL_LEASE_MARGIN_MS 100
/** A box without a heartbeat for this long is removed from the table. */
#define MEMBERS_RETENTION_MS 60000

/* ===== Types ===== */

typedef struct members members_t;

/** One box, as shown on status pages. */
typedef struct {
    member_t self;
    uint64_t version;    /**< configuration version it acts on */
    tc_time_t silent_ms; /**< time since its last heartbeat, ms */
    bool live;
} members_view_t;

/* ===== Public functions ===== */

members_t *members_create(void);
void members_destroy(members_t *members);

/** Start a term as leader: clear the table; leases granted by the former leader may still be valid. */
void members_start_term(members_t *members, tc_time_t now);

/** Record a heartbeat. @return 0, or TC_E_FENCED when a newer incarnation of that box has been seen */
int members_on_heartbeat(members_t *members, const msg_beat_t *beat, tc_time_t now);

/** Mark boxes dead after the heartbeat timeout and remove them after the retention time. */
void members_tick(members_t *members, tc_time_t now);

/** Version of the list of live boxes; increases with every change. */
uint64_t members_version(const members_t *members);

/** List the boxes that changed after version @p since; dead ones have `gone` set.
 * @param list set to a heap array, free with free()
 * @param all set when @p since is not a version of this leader: the list then holds every live box
 * @return number of boxes in @p list */
uint32_t members_list_changes(const members_t *members, uint64_t since, member_t **list, bool *all);

/** Whether no box can still act on a configuration older than @p version.
 * @param lease_ms duration of a configuration lease
 * @param laggard name of a box that still may, "" for none */
bool members_in_force(const members_t *members, uint64_t version, tc_time_t lease_ms, char laggard[CODEC_STR_SIZE],
                      tc_time_t now);

/** Whether the holder of a cell can no longer act on it: its lease expired, it released the cell, or it restarted. */
bool members_holder_gone(const members_t *members, const char *box, uint64_t incarnation, tc_time_t now);

/** Choose a live box for a cell: the one with the fewest cells, ties by rendezvous hash.
 * @param held returns how many cells a box holds; called with @p arg
 * @return borrowed, NULL when no box is eligible */
const member_t *members_choose_holder(const members_t *members, const char *cell,
                                      uint32_t (*held)(void *arg, const char *box), void *arg, tc_time_t now);

/** Fill @p views with up to @p room boxes. @return number filled */
uint32_t members_list(const members_t *members, members_view_t *views, uint32_t room, tc_time_t now);

#endif
