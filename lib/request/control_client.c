#include "request/control_client.h"

#include <assert.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "common/counter.h"
#include "common/log.h"
#include "control/members.h"
#include "control/merge.h"
#include "request/scheduler.h"

/* ===== Constants ===== */

enum { BEAT_TIMEOUT_MS = 700, FETCH_TIMEOUT_MS = 2000, CLAIM_END_TIMEOUT_MS = 500 };

COUNTER_DEFINE(c_version, "gauge", "trackcove_entry_config_version", "Version of the configuration this box acts on")
COUNTER_DEFINE(c_beats_lost, "counter", "trackcove_entry_beats_lost_total", "Beats no control leader answered")

/* ===== Types ===== */

struct control_client {
    entry_t *entry;
    uint32_t control_index;      /* index of the control box in use */
    char leader[CODEC_STR_SIZE]; /* address that calls go to; guarded by lock */
    pthread_mutex_t lock;
    bool beat_pending, fetch_pending, released;
    tc_time_t sent_at, next_beat;
    uint64_t members_version, cells_version;
    json_t *config; /* accepted configuration; patches apply to it */
    uint64_t version;
};

/* ===== Leader address ===== */

static void set_leader(control_client_t *c, const char *addr)
{
    pthread_mutex_lock(&c->lock);
    codec_copy_string(c->leader, sizeof(c->leader), addr);
    pthread_mutex_unlock(&c->lock);
}

static void get_leader(control_client_t *c, char addr[CODEC_STR_SIZE])
{
    pthread_mutex_lock(&c->lock);
    codec_copy_string(addr, CODEC_STR_SIZE, c->leader);
    pthread_mutex_unlock(&c->lock);
}

static void select_next_control(control_client_t *c)
{
    const entry_settings_t *const s = c->entry->settings;
    c->control_index = (c->control_index + 1) % s->control_n;
    set_leader(c, s->control[c->control_index].peer);
}

/* ===== Configuration ===== */

static void publish_config(control_client_t *c, uint64_t version)
{
    /* Invariant: an accepted configuration never reverts. */
    assert(version > c->version || c->version == 0);
    view_t *const view = view_copy(&c->entry->view);
    tc_err_t err = {0};
    if (view_set_config(view, version, c->config, &err) < 0) {
        /* Newer schema than this build knows: keep the old configuration and fall behind. */
        log_failure(LOG_ERROR, "config_refused", &err);
        view_release(view);
    } else {
        c->version = version;
        counter_set(&c_version, (int64_t)version);
        view_publish(&c->entry->view, view);
        scheduler_configure(c->entry->scheduler);
        log_line_t line;
        log_begin(&line, LOG_INFO, "config");
        log_int(&line, "version", (int64_t)version);
        log_end(&line);
    }
}

static void apply_full_config(control_client_t *c, const msg_fetch_ack_t *ack)
{
    if (ack->whole_version <= c->version)
        return;
    json_t *const config = json_loadb(ack->whole, ack->whole_n, 0, NULL);
    if (!config)
        return;
    json_decref(c->config);
    c->config = config;
    publish_config(c, ack->whole_version);
}

static void apply_patches(control_client_t *c, const msg_fetch_ack_t *ack)
{
    uint64_t version = c->version;
    for (uint32_t i = 0; i < ack->patches_n; i++) {
        if (ack->patches[i].version != version + 1)
            continue; /* already applied */
        json_t *const patch = json_loadb(ack->patches[i].text, ack->patches[i].text_n, 0, NULL);
        json_t *const next = merge_apply(c->config, patch);
        json_decref(patch);
        json_decref(c->config);
        c->config = next;
        version++;
    }
    if (version > c->version)
        publish_config(c, version);
}

static void on_fetch(void *arg, int rc, uint32_t type, const void *message, const tc_err_t *err)
{
    control_client_t *const c = arg;
    (void)err;
    c->fetch_pending = false;
    if (rc != TC_OK || type != MSG_FETCH_ACK)
        return;
    const msg_fetch_ack_t *const ack = message;
    if (ack->whole_version > 0)
        apply_full_config(c, ack);
    else
        apply_patches(c, ack);
    c->next_beat = 0; /* report the new version without delay */
}

static void fetch(control_client_t *c, uint64_t newest)
{
    if (c->fetch_pending || newest <= c->version)
        return;
    c->fetch_pending = true;
    char addr[CODEC_STR_SIZE];
    get_leader(c, addr);
    const msg_fetch_t message = {.from = c->version};
    peer_call(c->entry->net, addr, MSG_FETCH, &message, FETCH_TIMEOUT_MS, on_fetch, c);
}

/* ===== Heartbeats ===== */

/** Merges the membership changes of a heartbeat reply into a snapshot. */
static void merge_members(view_t *view, const msg_beat_ack_t *ack)
{
    if (ack->members_all) {
        view_set_members(view, ack->members, ack->members_n);
        return;
    }
    member_t *const list = calloc(view->n_members + ack->members_n + 1, sizeof(*list));
    if (!list)
        abort();
    uint32_t n = 0;
    for (uint32_t i = 0; i < view->n_members; i++) {
        bool updated = false;
        for (uint32_t k = 0; k < ack->members_n && !updated; k++)
            updated = strcmp(view->members[i].box, ack->members[k].box) == 0;
        if (!updated)
            list[n++] = view->members[i];
    }
    for (uint32_t k = 0; k < ack->members_n; k++)
        if (!ack->members[k].gone)
            list[n++] = ack->members[k];
    view_set_members(view, list, n);
    free(list);
}

static void apply_membership(control_client_t *c, const msg_beat_ack_t *ack)
{
    const bool members = ack->members_version != c->members_version;
    const bool cells = ack->cells_version != c->cells_version;
    if (!members && !cells)
        return;
    view_t *const view = view_copy(&c->entry->view);
    if (members)
        merge_members(view, ack);
    if (cells)
        view_set_cells(view, ack->cells, ack->cells_n);
    view_publish(&c->entry->view, view);
    c->members_version = ack->members_version;
    c->cells_version = ack->cells_version;
    /* Shares, and the reports that a new scheduler waits for, depend on the live boxes. */
    if (members)
        scheduler_configure(c->entry->scheduler);
    if (cells)
        entry_renew_now(c->entry);
}

static void handle_beat_ack(control_client_t *c, const msg_beat_ack_t *ack)
{
    entry_t *const e = c->entry;
    apply_membership(c, ack);
    if (ack->version == c->version)
        atomic_store(&e->lease_until, c->sent_at + ack->lease_ms);
    scheduler_update_leases(e->scheduler, e->view.current->cells, e->view.current->n_cells,
                            c->sent_at + MEMBERS_CELL_LEASE_MS);
    fetch(c, ack->version);
    if (ack->drain)
        entry_drain(e);
}

static void on_beat(void *arg, int rc, uint32_t type, const void *message, const tc_err_t *err)
{
    control_client_t *const c = arg;
    c->beat_pending = false;
    if (rc == TC_OK && type == MSG_BEAT_ACK) {
        handle_beat_ack(c, message);
        return;
    }
    counter_add(&c_beats_lost, 1);
    if (rc == TC_E_NOT_LEADER && err->peer[0] && strchr(err->peer, ':')) {
        set_leader(c, err->peer);
        c->next_beat = 0;
        return;
    }
    if (rc == TC_E_FENCED)
        log_failure(LOG_ERROR, "beat_fenced", err);
    select_next_control(c);
    c->next_beat = 0;
}

static uint32_t free_capacity(const entry_t *e)
{
    const uint32_t active = atomic_load(&e->active);
    return e->settings->threads > active ? e->settings->threads - active : 0;
}

static void on_tick(void *arg)
{
    control_client_t *const c = arg;
    entry_t *const e = c->entry;
    const tc_time_t now = tc_time_now();
    if (c->beat_pending || now < c->next_beat)
        return;
    c->next_beat = now + MEMBERS_HEARTBEAT_MS;
    c->beat_pending = true;
    c->sent_at = now;
    const entry_settings_t *const s = e->settings;
    msg_beat_t beat = {.version = c->version,
                       .members_version = c->members_version,
                       .cells_version = c->cells_version,
                       .released = c->released};
    codec_copy_string(beat.self.box, CODEC_STR_SIZE, s->box);
    codec_copy_string(beat.self.dc, CODEC_STR_SIZE, s->dc);
    codec_copy_string(beat.self.http_addr, CODEC_STR_SIZE, s->http_listen);
    codec_copy_string(beat.self.peer_addr, CODEC_STR_SIZE, s->peer_listen);
    beat.self.incarnation = e->incarnation;
    beat.self.draining = atomic_load(&e->draining);
    beat.self.room = free_capacity(e);
    char addr[CODEC_STR_SIZE];
    get_leader(c, addr);
    beat.loads_n = scheduler_collect_loads(e->scheduler, &beat.loads);
    peer_call(e->net, addr, MSG_BEAT, &beat, BEAT_TIMEOUT_MS, on_beat, c);
    free(beat.loads);
}

void control_client_release(control_client_t *c)
{
    c->released = true;
    c->next_beat = 0;
}

/* ===== Claims ===== */

static int send_claim(control_client_t *c, const msg_claim_t *claim, tc_time_t limit, msg_claim_ack_t *ack,
                      tc_err_t *err)
{
    char addr[CODEC_STR_SIZE];
    get_leader(c, addr);
    return peer_call_wait(c->entry->net, addr, MSG_CLAIM, claim, limit, MSG_CLAIM_ACK, ack, err);
}

int control_client_claim(control_client_t *c, const char *id, tc_time_t limit, msg_claim_ack_t *ack, tc_err_t *err)
{
    msg_claim_t claim = {.incarnation = c->entry->incarnation};
    codec_copy_string(claim.id, sizeof(claim.id), id);
    codec_copy_string(claim.box, sizeof(claim.box), c->entry->settings->box);
    const tc_time_t until = tc_time_now() + limit;
    enum { RETRY_PAUSE_MS = 50 };
    for (;;) {
        const tc_time_t remaining = until - tc_time_now();
        if (remaining <= 0)
            return tc_err_set(err, TC_E_TIMEOUT, "claim", c->leader, "no control leader answered in time");
        const int rc = send_claim(c, &claim, remaining, ack, err);
        if (rc == TC_OK)
            return ack->won ? TC_OK : tc_err_set(err, TC_E_CONFLICT, "claim", ack->owner, "the id is taken");
        /* Retry only when no control box can have accepted the claim: otherwise a retry would conflict with our own
         * first claim. */
        if (rc != TC_E_NOT_LEADER && rc != TC_E_UNREACHABLE)
            return rc;
        tc_time_sleep(RETRY_PAUSE_MS);
    }
}

void control_client_claim_end(control_client_t *c, const char *id, claim_state_t state)
{
    msg_claim_end_t end = {.incarnation = c->entry->incarnation, .state = state};
    codec_copy_string(end.id, sizeof(end.id), id);
    codec_copy_string(end.box, sizeof(end.box), c->entry->settings->box);
    char addr[CODEC_STR_SIZE];
    get_leader(c, addr);
    msg_claim_ack_t ack;
    tc_err_t err = {0};
    if (peer_call_wait(c->entry->net, addr, MSG_CLAIM_END, &end, CLAIM_END_TIMEOUT_MS, MSG_CLAIM_ACK, &ack, &err) < 0)
        log_failure(LOG_WARN, "claim_end_lost", &err); /* the claim stays "running": a resend gets outcome_unknown */
}

/* ===== Creation ===== */

control_client_t *control_client_create(entry_t *entry)
{
    control_client_t *const c = calloc(1, sizeof(*c));
    if (!c)
        abort();
    enum { TICK_MS = 20 };
    c->entry = entry;
    c->config = json_object();
    pthread_mutex_init(&c->lock, NULL);
    /* Entry boxes start with different control boxes, so that a simultaneous start does not overload one. */
    c->control_index = (uint32_t)(entry->incarnation % entry->settings->control_n);
    set_leader(c, entry->settings->control[c->control_index].peer);
    loop_add_tick(entry->loop, TICK_MS, on_tick, c);
    return c;
}
