/** @file entry.h
 * An entry box: what its parts share, and its life.
 */
#ifndef TRACKCOVE_REQUEST_ENTRY_H
#define TRACKCOVE_REQUEST_ENTRY_H

/* ===== Dependencies ===== */

#include <glib.h>
#include <stdatomic.h>

#include "common/time.h"
#include "http/http.h"
#include "peer/peer.h"
#include "request/budget.h"
#include "request/inflight.h"
#include "request/view.h"

/* ===== Types ===== */

typedef struct control_client control_client_t;
typedef struct scheduler scheduler_t;
typedef struct reports reports_t;

/** Shared by the parts of an entry box. Fields say which thread writes them. */
typedef struct {
    const entry_settings_t *settings;
    uint64_t incarnation;
    loop_t *loop;
    peer_net_t *net;
    view_slot_t view; /**< written by the loop */
    inflight_table_t inflight;
    _Atomic tc_time_t lease_until;   /**< the configuration may be acted on until then; written by the loop */
    _Atomic tc_time_t last_loop_run; /**< when the loop ran last: a gap means that this process stood still */
    atomic_bool verifying;           /**< it stood still: what it holds may be somebody else's by now */
    atomic_bool draining;            /**< a planned stop began */
    atomic_uint active;              /**< callers being served */
    budget_t budget;                 /**< for second attempts */
    control_client_t *control;
    scheduler_t *scheduler;
    reports_t *reports;
    GThreadPool *workers; /**< small calls to backend servers: jobs are job_t */
} entry_t;

/** A small blocking job for entry_t.workers. */
typedef struct {
    void (*run)(void *arg);
    void *arg;
} job_t;

/* ===== Public functions ===== */

/** Start an entry box. @return NULL with @p err */
entry_t *entry_create(loop_t *loop, const entry_settings_t *settings, tc_err_t *err);

/** Begin a planned stop: out of /v1/entries first, served on for as long as callers may keep the answer, then
 *  connections are closed politely, cells handed over, and the loop stopped. Any thread. */
void entry_drain(entry_t *entry);

/** Tell every scheduler now, not at the next tick, all that this box holds, also when it is nothing: a cell has a new
 *  one, which waits for it. Loop's thread. */
void entry_renew_now(entry_t *entry);

/** Run a small blocking job in a worker thread. */
void entry_run_job(entry_t *entry, void (*run)(void *arg), void *arg);

/** Before a token is passed on: if this process stood still (stopped, or its machine paused), wait until the schedulers
 *  said which requests are still ours. Any thread but the loop's. */
void entry_wait_verified(entry_t *entry);

/** Whether new work may be taken: a configuration whose lease runs. */
bool entry_may_serve(const entry_t *entry);

#endif
