#include "cluster/replica.h"

#include <assert.h>
#include <glib.h>
#include <stdlib.h>

#include "cluster/replica_internal.h"
#include "common/counter.h"
#include "common/log.h"

COUNTER_DEFINE(c_lapses, "counter", "trackcove_cluster_lease_lapses_total",
               "Times that this box led and had no majority's answer that is young enough")
COUNTER_DEFINE(c_accepted, "counter", "trackcove_cluster_documents_accepted_total", "Documents accepted by the log")
COUNTER_DEFINE(c_snapshots, "counter", "trackcove_cluster_snapshots_total", "Snapshots of the document written")
COUNTER_DEFINE(c_version, "gauge", "trackcove_cluster_document_version", "Newest accepted version this box knows")
COUNTER_DEFINE(c_evacuated, "gauge", "trackcove_cluster_evacuated", "Data centres whose back ends get nothing new")
COUNTER_DEFINE(c_leads, "gauge", "trackcove_cluster_leads", "Whether this box leads the control boxes")

/* ===== Constants ===== */

enum {
    TICK_MS = 25,
    SNAPSHOT_BYTES = 512 * 1024, /* bounds the log in memory and on disk */
    SNAPSHOT_ENTRIES = 128,
    SNAPSHOT_IDLE_MS = 250
};

/* ===== Log lines ===== */

static void log_cluster(const replica_t *r, const char *event)
{
    const raft_view_t view = raft_view(r->raft);
    log_line_t line;
    log_begin(&line, LOG_INFO, "cluster");
    log_str(&line, "what", event);
    log_int(&line, "term", (int64_t)view.term);
    log_int(&line, "commit", (int64_t)view.commit);
    log_int(&line, "version", (int64_t)r->document.version);
    log_int(&line, "members", raft_members(r->raft)->list_n);
    log_end(&line);
}

/** Log the local causes of a lapsed lease: the longest turn of the event loop, and what waits to be sent. */
static void log_lease_lapse(const replica_t *r, const char *event, tc_time_t now)
{
    counter_add(&c_lapses, 1);
    const loop_callback_time_t turn = loop_longest_callback(r->loop);
    const peer_backlog_t waiting = peer_backlog(r->net, now);
    const tc_time_t age = raft_quorum_age(r->raft, now);
    log_line_t line;
    log_begin(&line, LOG_WARN, "lease_lapsed");
    log_str(&line, "what", event);
    log_int(&line, "term", (int64_t)raft_view(r->raft).term);
    log_int(&line, "quorum_age_ms", age == TC_TIME_NEVER ? -1 : age);
    log_int(&line, "longest_turn_ms", turn.duration);
    log_str(&line, "longest_turn_in", turn.source);
    log_int(&line, "queued_bytes", (int64_t)waiting.bytes);
    log_int(&line, "oldest_frame_ms", waiting.oldest);
    log_str(&line, "oldest_frame_to", waiting.addr);
    log_end(&line);
}

/* ===== Evacuations ===== */

/** Pass the evacuations to the scheduler; boxes are notified separately. */
static void apply_evacuations(replica_t *r)
{
    counter_set(&c_evacuated, r->evacuations.list_n);
    if (r->leader_sched) /* NULL while replica_create is running */
        leader_sched_set_evacuations(r->leader_sched, &r->evacuations);
}

static void apply_evacuation(replica_t *r, const log_entry_t *entry, const evacuation_t *order)
{
    const bool changed = evacuations_apply(&r->evacuations, order, entry->index);
    log_line_t line;
    log_begin(&line, LOG_INFO, "evacuation");
    log_str(&line, "dc", order->dc);
    log_int(&line, "on", order->on);
    log_int(&line, "changed", changed);
    log_int(&line, "version", (int64_t)r->evacuations.version);
    log_end(&line);
    if (changed) {
        apply_evacuations(r);
        if (replica_is_leader(r))
            reports_publish(r);
    }
    proposals_applied(r, entry, r->evacuations.version, true, r->applied_at);
}

/* ===== State machine ===== */

/** Unpack a document of a snapshot, or of an entry in the older format without pieces. */
static document_t read_document(const char *data, size_t size)
{
    document_t document;
    const int rc = codec_unpack_bytes(&document_desc, &document, data, size, NULL);
    assert(rc == TC_OK); /* its checksum was verified, and this code has written it */
    (void)rc;
    if (document.size > 0 || document.body_n == 0)
        return document;
    document_t packed = {0}; /* older format: the body is the text, not compressed */
    document_make(&packed, document.version, document.body, document.body_n);
    codec_free(&document_desc, &document);
    return packed;
}

static void notify_document(replica_t *r)
{
    counter_set(&c_version, (int64_t)r->document.version);
    if (r->options.on_document && r->leader_sched) /* NULL while replica_create is running */
        r->options.on_document(r->options.arg, r, &r->document);
}

/** Replace the document if the committed one is newer. */
static document_relation_t accept_document(replica_t *r, document_t *offered)
{
    const document_relation_t relation = document_compare(&r->document, offered);
    if (relation != DOCUMENT_NEWER)
        return relation;
    codec_free(&document_desc, &r->previous);
    r->previous = r->document;
    r->document = (document_t){0};
    (void)document_apply(&r->document, offered);
    counter_add(&c_accepted, 1);
    log_cluster(r, "document accepted");
    notify_document(r);
    if (replica_is_leader(r))
        reports_publish(r);
    return relation;
}

/** Add the next piece of a document. A leader appends all pieces of a document in a row, so that a piece at offset 0
 *  starts a new document. @return whether the document is complete; it is then moved to @p complete */
static bool add_piece(replica_t *r, const log_entry_t *entry, document_t *complete)
{
    document_piece_t piece;
    if (codec_unpack_bytes(&document_piece_desc, &piece, entry->data, entry->data_n, NULL) < 0) {
        *complete = read_document(entry->data, entry->data_n);
        return true;
    }
    if (piece.offset == 0) {
        const bool fits = document_download_begin(&r->arrival, &piece.head);
        assert(fits); /* checked when it was proposed */
        (void)fits;
        r->arrival_first = entry->index;
    }
    (void)document_download_add(&r->arrival, &piece); /* false: its first pieces were truncated by another leader */
    codec_free(&document_piece_desc, &piece);
    if (!document_download_is_complete(&r->arrival))
        return false;
    document_download_take(&r->arrival, complete);
    return true;
}

static void apply(replica_t *r, const log_entry_t *entry)
{
    document_t complete = {0};
    evacuation_t order;
    r->applied = entry->index;
    r->since_snapshot += entry->data_n;
    r->entries_since++;
    r->applied_at = tc_time_now();
    /* The kinds of entries differ in the type of their first field. */
    if (codec_unpack_bytes(&evacuation_desc, &order, entry->data, entry->data_n, NULL) == TC_OK) {
        apply_evacuation(r, entry, &order);
        return;
    }
    if (!add_piece(r, entry, &complete))
        return;
    const uint64_t version = complete.version;
    const document_relation_t relation = accept_document(r, &complete);
    codec_free(&document_desc, &complete);
    proposals_applied(r, entry, version, relation != DOCUMENT_CONFLICTS, r->applied_at);
}

/* ===== Actions of the log ===== */

/** Unpack a snapshot. Those in the older format, without evacuations, hold only the document. */
static replica_image_t read_image(const raft_image_t *image)
{
    replica_image_t read = {0};
    if (codec_unpack_bytes(&replica_image_desc, &read, image->state, image->state_n, NULL) != TC_OK)
        read = (replica_image_t){.document = read_document(image->state, image->state_n)};
    return read;
}

static void load_image(replica_t *r, const raft_image_t *image)
{
    r->applied = image->last_index;
    if (image->state_n == 0)
        return;
    replica_image_t read = read_image(image);
    (void)document_apply(&r->document, &read.document);
    const bool evacuations = evacuations_update(&r->evacuations, &read.evacuations);
    codec_free(&replica_image_desc, &read);
    document_download_clear(&r->arrival); /* a partial document is contained in the image, or was truncated */
    notify_document(r);
    if (evacuations)
        apply_evacuations(r);
}

static void send_message(replica_t *r, const raft_action_t *action)
{
    const char *addr = action->addr;
    for (uint32_t i = 0; !addr[0] && i < r->known_members.list_n; i++)
        if (r->known_members.list[i].id == action->to)
            addr = r->known_members.list[i].peer;
    if (addr[0])
        peer_send_urgent(r->net, addr, action->type, action->message);
}

/** Execute the part of an action that does not concern the disk. */
static void execute(replica_t *r, const raft_action_t *action)
{
    switch (action->kind) {
    case RAFT_ACT_META:
    case RAFT_ACT_APPEND:
    case RAFT_ACT_TRUNCATE: break;
    case RAFT_ACT_SNAPSHOT:
        counter_add(&c_snapshots, 1);
        r->since_snapshot = r->entries_since = 0;
        if (action->snapshot.last_index > r->applied)
            load_image(r, &action->snapshot);
        break;
    case RAFT_ACT_SEND: send_message(r, action); break;
    case RAFT_ACT_APPLY: apply(r, &action->entry); break;
    case RAFT_ACT_LEADERSHIP_LOST: proposals_fail(r, TC_E_BROKEN); break;
    }
}

/** Last index that may be compacted: before a document whose pieces are being applied, which no snapshot contains. */
static uint64_t compaction_limit(const replica_t *r)
{
    return r->arrival.body ? r->arrival_first - 1 : r->applied;
}

/** Whether to write a snapshot. An idle log is compacted too: what a snapshot contains is known to be committed, so
 * that a box that has just started can serve it before a leader is elected. */
static bool wants_snapshot(const replica_t *r, tc_time_t now)
{
    if (r->entries_since == 0 || compaction_limit(r) <= raft_view(r->raft).snapshot_index)
        return false;
    return r->since_snapshot >= SNAPSHOT_BYTES || r->entries_since >= SNAPSHOT_ENTRIES ||
           now - r->applied_at > SNAPSHOT_IDLE_MS;
}

static void compact(replica_t *r)
{
    if (!wants_snapshot(r, tc_time_now()))
        return;
    size_t size;
    const replica_image_t state = {.document = r->document, .evacuations = r->evacuations}; /* borrowed */
    char *const image = codec_pack_bytes(&replica_image_desc, &state, &size);
    raft_compact(r->raft, compaction_limit(r), image, size);
    free(image);
}

/** Execute the pending actions of the log. */
static void run_actions(replica_t *r)
{
    if (r->is_running_actions)
        return; /* a proposal's callback may propose again */
    r->is_running_actions = true;
    raft_action_t action;
    while (log_writer_next(r->writer, r->raft, &action, tc_time_now())) {
        execute(r, &action);
        raft_action_free(&action);
        compact(r);
    }
    r->is_running_actions = false;
    if (log_writer_is_stalled(r->writer))
        proposals_fail(r, TC_E_BROKEN); /* other boxes may have received and commit them without this one */
}

/* ===== Messages and time ===== */

/** Start, suspend or end the work of a leader, according to its lease. */
static void update_leadership(replica_t *r, tc_time_t now)
{
    const bool keeps = replica_retains_leadership(r);
    const leader_sched_lease_t lease = {.term = keeps ? raft_view(r->raft).term : 0, .held = replica_is_leader(r)};
    if (r->had_lease && !lease.held)
        log_lease_lapse(r, keeps ? "lease lapsed" : "lease lapsed and leadership lost", now);
    if (keeps != r->was_leader)
        log_cluster(r, keeps ? "became leader" : "lost leadership");
    const bool votes = raft_is_voter(r->raft, r->self.id);
    if (votes != r->was_voter)
        log_cluster(r, votes ? "became voter" : "no longer a voter");
    r->had_lease = lease.held;
    r->was_leader = keeps;
    r->was_voter = votes;
    counter_set(&c_leads, lease.held);
    leader_sched_tick(r->leader_sched, &lease, roster_count(r->roster), now);
}

/** After a stall the event loop reads messages before it ticks: without this check a box that is no longer the leader
 *  could grant requests. */
static void check_leadership_lost(replica_t *r, tc_time_t now)
{
    if (r->was_leader && !replica_retains_leadership(r))
        update_leadership(r, now);
}

static void on_message(void *arg, peer_call_t call, const char *from, uint32_t type, const void *message)
{
    replica_t *const r = arg;
    const tc_time_t now = tc_time_now();
    (void)from;
    if (leader_sched_handles_type(type)) {
        check_leadership_lost(r, now);
        leader_sched_handle_message(r->leader_sched, call, type, message, now);
        return;
    }
    switch (type) {
    case MSG_REPORT: reports_answer(r, call, message, now); break;
    case MSG_FETCH_PIECE: reports_answer_piece(r, call, message); break;
    case MSG_FETCH_LIST: follow_answer_list(r, call, message, now); break;
    case MSG_JOIN: members_answer_join(r, call, message, now); break;
    case MSG_HELD_REQUESTS: replica_quarantine_receive(r, message, now); break;
    case MSG_JOIN_ACK: break; /* an announcement for boxes that are no members */
    default:
        if (!log_writer_is_stalled(r->writer)) /* else dropped as if lost: no answer could be sent */
            raft_receive(r->raft, type, message, now);
        break;
    }
    run_actions(r);
}

static void on_tick(void *arg)
{
    replica_t *const r = arg;
    const tc_time_t now = tc_time_now();
    if (!log_writer_is_stalled(r->writer)) {
        raft_tick(r->raft, now);
        compact(r);
        members_join(r, now);
        members_announce(r, now);
        raft_remove_silent_voter(r->raft, r->options.voters_wanted, now);
    }
    run_actions(r);
    roster_expire(r->roster, proposals_box_silent, r, now);
    reports_expire_withdrawn(r, now);
    reports_tick(r, now);
    replica_quarantine_tick(r, now);
    replica_streams_tick(r, now);
    saved_list_tick(r, now);
    update_leadership(r, now);
    follow_tick(r, now);
    proposals_check(r, now);
}

void replica_propose(replica_t *r, const document_t *document, replica_done_t done, void *arg)
{
    proposals_add_document(r, document, done, arg);
    run_actions(r);
}

void replica_evacuate(replica_t *r, const char *dc, bool on, replica_done_t done, void *arg)
{
    proposals_add_evacuation(r, dc, on, done, arg);
    run_actions(r);
}

void replica_resign(replica_t *r)
{
    if (!raft_resign(r->raft, tc_time_now()))
        return;
    log_cluster(r, "resigned");
    run_actions(r);
    update_leadership(r, tc_time_now()); /* boxes that wait for a placement ask the next leader */
}

/* ===== Scheduler ===== */

const char *replica_pool_load(const replica_t *r, pool_load_t *work)
{
    return leader_sched_pool_load(r->leader_sched, work);
}

bool replica_needs_reconcile(const replica_t *r)
{
    return leader_sched_needs_reconcile(r->leader_sched, tc_time_now());
}

void replica_update_engine(replica_t *r, const char *engine, const sched_engine_request_t *held, uint32_t n)
{
    leader_sched_update_engine(r->leader_sched, engine, held, n, tc_time_now());
}

/* ===== Settings and lifecycle ===== */

void replica_set_services(replica_t *r, const leader_sched_service_t *list, uint32_t n)
{
    leader_sched_set_services(r->leader_sched, list, n);
}

void replica_set_cold_rates(replica_t *r, const cold_rate_t *list, uint32_t n)
{
    leader_sched_set_cold_rates(r->leader_sched, list, n);
}

void replica_set_caps(replica_t *r, const cap_cfg_t *list, uint32_t n)
{
    leader_sched_set_caps(r->leader_sched, list, n);
}

static void fill_self(replica_t *r, uint64_t id)
{
    r->self.id = id;
    codec_copy_string(r->self.name, sizeof(r->self.name), r->options.peer_listen);
    codec_copy_string(r->self.peer, sizeof(r->self.peer), r->options.peer_listen);
    codec_copy_string(r->self.http, sizeof(r->self.http), r->options.http_addr);
}

static void start_raft(replica_t *r, raft_start_t *start)
{
    r->raft = raft_create(start, tc_time_now());
    raft_set_target_voters(r->raft, r->options.voters_wanted);
    if (start->snapshot.last_index > 0)
        load_image(r, &start->snapshot);
}

static peer_net_t *start_peers(replica_t *r, uint64_t incarnation, tc_err_t *err)
{
    const peer_options_t options = {.box = r->options.peer_listen,
                                    .incarnation = incarnation,
                                    .listen = r->options.peer_listen,
                                    .bind = r->options.peer_bind,
                                    .key_file = "",
                                    .handler = on_message,
                                    .arg = r};
    return peer_create(r->loop, &options, err);
}

replica_t *replica_create(loop_t *loop, const replica_options_t *options, tc_err_t *err)
{
    raft_start_t start;
    if (options->bootstrap && members_bootstrap(options, err) < 0)
        return NULL;
    store_t *const store = store_open(options->data_dir, &start, err);
    if (!store)
        return NULL;
    replica_t *const r = g_new0(replica_t, 1);
    r->loop = loop;
    r->options = *options;
    r->store = store;
    r->writer = log_writer_create(store);
    r->roster = roster_create();
    r->published = list_publisher_create(&list_of_backends);
    r->budget = (list_budget_t){.rate = options->list_bytes_s};
    r->withdrawn = g_array_new(FALSE, TRUE, sizeof(withdrawn_t));
    r->streams = stream_versions_create();
    replica_quarantine_load(r);
    CDS_INIT_LIST_HEAD(&r->proposals);
    replica_set_seeds(r, options->seeds);
    fill_self(r, start.id);
    follow_start(r);
    const uint64_t incarnation = (uint64_t)tc_time_wall();
    start.seed = incarnation ^ start.id;
    start_raft(r, &start);
    store_start_free(&start);
    r->net = start_peers(r, incarnation, err);
    if (!r->net) {
        replica_destroy(r);
        return NULL;
    }
    r->leader_sched = leader_sched_create(r->net, &options->retries, &options->caps, &options->limits);
    const leader_quarantine_t quarantine = {.requests = r->requests.table, .parts = r->parts.table};
    leader_sched_set_quarantine(r->leader_sched, &quarantine);
    leader_sched_set_streams(r->leader_sched, r->streams);
    saved_list_load(r);
    log_cluster(r, "started");
    if (r->document.version > 0)
        notify_document(r);
    apply_evacuations(r);
    loop_add_tick(loop, TICK_MS, on_tick, r);
    return r;
}

void replica_destroy(replica_t *r)
{
    loop_remove_ticks(r->loop, r);
    follow_stop(r);
    proposals_fail(r, TC_E_BROKEN);
    if (r->net)
        peer_destroy(r->net);
    if (r->leader_sched)
        leader_sched_destroy(r->leader_sched);
    log_writer_destroy(r->writer);
    raft_destroy(r->raft);
    roster_destroy(r->roster);
    codec_free(&document_desc, &r->document);
    codec_free(&document_desc, &r->previous);
    document_download_clear(&r->arrival);
    codec_free(&evacuations_desc, &r->evacuations);
    codec_free(&raft_members_desc, &r->known_members);
    g_strfreev(r->seeds);
    free(r->backends);
    follow_free(r);
    list_publisher_destroy(r->published);
    g_array_free(r->withdrawn, TRUE);
    replica_quarantine_free(r);
    stream_versions_destroy(r->streams);
    free(r->role_changes);
    g_free(r);
}
