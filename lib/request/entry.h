/** @file entry.h
 * An entry box: the state that its parts share, its start and its planned stop.
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

/** Shared state of an entry box. Fields name the thread that writes them. */
typedef struct {
    const entry_settings_t *settings;
    uint64_t incarnation;
    loop_t *loop;
    peer_net_t *net;
    view_slot_t view; /**< written by the loop's thread */
    inflight_table_t inflight;
    _Atomic tc_time_t lease_until;   /**< end of the configuration's lease; written by the loop's thread */
    _Atomic tc_time_t last_loop_run; /**< last time the loop ran; a gap means that the process was suspended */
    atomic_bool verifying;           /**< the process was suspended, and other entries may own its requests now */
    atomic_bool draining;            /**< a planned stop has begun */
    atomic_uint active;              /**< requests being served */
    budget_t budget;                 /**< retry budget */
    control_client_t *control;
    scheduler_t *scheduler;
    reports_t *reports;
    GThreadPool *workers; /**< threads for short calls to backend servers; items are job_t */
} entry_t;

/** A short blocking job for entry_t.workers. */
typedef struct {
    void (*run)(void *arg);
    void *arg;
} job_t;

/* ===== Public functions ===== */

/** Starts an entry box. @p settings must outlive it. @return NULL with @p err set on failure */
entry_t *entry_create(loop_t *loop, const entry_settings_t *settings, tc_err_t *err);

/** Begins a planned stop. The box leaves /v1/entries first and serves requests for as long as callers may cache that
 * list; then it asks callers to close their connections, hands over its cells and stops the loop. Any thread. */
void entry_drain(entry_t *entry);

/** Sends every scheduler the full list of this box's requests now instead of at the next tick, even when it is empty:
 * the new scheduler of a cell waits for it. Loop's thread. */
void entry_renew_now(entry_t *entry);

/** Runs a short blocking job in a worker thread. */
void entry_run_job(entry_t *entry, void (*run)(void *arg), void *arg);

/** Call before a token is forwarded. After a suspension of the process (stopped, or its machine paused), blocks until
 * the schedulers have confirmed which requests this box still owns, or for 3 s, after which all of them are marked
 * lost. Any thread but the loop's. */
void entry_wait_verified(entry_t *entry);

/** Whether new requests may be accepted: the lease of the configuration has not expired. */
bool entry_may_serve(const entry_t *entry);

#endif
