#include "control/log_writer.h"

#include <stdlib.h>

#include "common/counter.h"
#include "common/log.h"

COUNTER_DEFINE(c_failed, "counter", "trackcove_disk_failed_total", "Writes to the data folder that failed")
COUNTER_DEFINE(c_stalled, "gauge", "trackcove_disk_stalled", "Whether this box waits until its disk takes writes again")

struct log_writer {
    store_t *store;
    raft_action_t pending; /* taken from the log, disk part not done yet */
    bool has_pending;
    bool stalled;
    tc_time_t stalled_since; /* time of the first failed write */
    tc_time_t retry_at;      /* time of the next retry, while stalled */
};

/* ===== Failing and recovering ===== */

static void stall(log_writer_t *w, const tc_err_t *err, tc_time_t now)
{
    counter_add(&c_failed, 1);
    w->retry_at = now + LOG_WRITER_RETRY_MS;
    if (w->stalled)
        return;
    w->stalled = true;
    w->stalled_since = now;
    counter_set(&c_stalled, 1);
    log_failure(LOG_ERROR, "disk_lost", err);
}

static void recover(log_writer_t *w, tc_time_t now)
{
    if (!w->stalled)
        return;
    w->stalled = false;
    counter_set(&c_stalled, 0);
    log_line_t line;
    log_begin(&line, LOG_INFO, "disk_regained");
    log_int(&line, "after_ms", now - w->stalled_since);
    log_end(&line);
}

/* ===== Writing ===== */

/** Execute the disk part of an action. */
static int write_action(store_t *store, const raft_action_t *action, tc_err_t *err)
{
    switch (action->kind) {
    case RAFT_ACT_META: return store_save_meta(store, action->term, action->vote, err);
    case RAFT_ACT_APPEND: return store_append(store, &action->entry, err);
    case RAFT_ACT_TRUNCATE: return store_truncate(store, action->index, err);
    case RAFT_ACT_SNAPSHOT: return store_save_snapshot(store, &action->snapshot, err);
    case RAFT_ACT_SEND:
    case RAFT_ACT_APPLY: return store_sync(store, err); /* invariant: nothing is sent or applied before it is synced */
    case RAFT_ACT_LEADERSHIP_LOST: return TC_OK;
    }
    return TC_OK;
}

bool log_writer_next(log_writer_t *w, raft_t *raft, raft_action_t *action, tc_time_t now)
{
    if (w->stalled && now < w->retry_at)
        return false;
    tc_err_t err = {0};
    if (!w->has_pending)
        w->has_pending = raft_next_action(raft, &w->pending);
    const int rc = w->has_pending ? write_action(w->store, &w->pending, &err) : store_sync(w->store, &err);
    if (rc < 0) {
        stall(w, &err, now);
        return false;
    }
    recover(w, now);
    if (!w->has_pending)
        return false;
    w->has_pending = false;
    *action = w->pending;
    return true;
}

/* ===== Queries ===== */

bool log_writer_is_stalled(const log_writer_t *w)
{
    return w->stalled;
}

bool log_writer_leads(const log_writer_t *w, const raft_t *raft, tc_time_t now)
{
    return !w->stalled && raft_has_lease(raft, now);
}

uint64_t log_writer_leader(const log_writer_t *w, const raft_t *raft)
{
    const raft_view_t view = raft_view(raft);
    return w->stalled && view.leader == view.id ? 0 : view.leader;
}

bool log_writer_has_room(const log_writer_t *w)
{
    return store_has_room(w->store);
}

/* ===== Creation and destruction ===== */

log_writer_t *log_writer_create(store_t *store)
{
    log_writer_t *const w = calloc(1, sizeof(*w));
    if (!w)
        abort();
    w->store = store;
    return w;
}

void log_writer_destroy(log_writer_t *w)
{
    if (w->has_pending)
        raft_action_free(&w->pending);
    store_close(w->store);
    free(w);
}
