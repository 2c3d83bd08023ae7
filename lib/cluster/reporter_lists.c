/* Data of a box: the document, the back ends, the entry boxes, the control boxes. */

#include <assert.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "cluster/known_members.h"
#include "cluster/reporter_internal.h"
#include "common/counter.h"
#include "common/log.h"

COUNTER_DEFINE(c_version, "gauge", "trackcove_report_document_version", "Version of the document this box acts on")

/** Older states kept for deltas to other boxes, which ask seldom. */
enum { STATES_KEPT = 4 };

/* ===== Documents ===== */

/** Pass a newer document to the program. */
static void adopt(reporter_t *r, document_t *offered)
{
    /* Guarantee: a box never goes back to an older configuration. */
    if (document_apply(&r->document, offered) != DOCUMENT_NEWER)
        return;
    if (!r->events.on_document || r->events.on_document(r->events.arg, &r->document))
        reporter_document_applied(r);
}

/** A newer document has arrived completely. */
static void on_complete(void *arg, document_t *offered, const char *from)
{
    reporter_t *const r = arg;
    log_line_t line;
    log_begin(&line, LOG_INFO, "config");
    log_int(&line, "version", (int64_t)offered->version);
    log_int(&line, "bytes", (int64_t)offered->body_n);
    log_str(&line, "from", from);
    log_end(&line);
    if (r->in_force < r->document.version)
        (void)document_apply(&r->pending, offered);
    else
        adopt(r, offered);
}

void lists_document_applied(reporter_t *r)
{
    assert(r->in_force < r->document.version); /* passed on and not in force yet */
    r->in_force = r->document.version;
    counter_set(&c_version, (int64_t)r->in_force);
    r->report_due = true; /* the leader waits for the report of it */
    if (r->pending.version == 0)
        return;
    document_t pending = r->pending;
    r->pending = (document_t){0};
    adopt(r, &pending);
    codec_free(&document_desc, &pending);
}

static uint32_t sources(void *arg, const raft_member_t **list)
{
    const reporter_t *const r = arg;
    *list = r->members;
    return r->members_n;
}

void lists_receive_head(reporter_t *r, const document_head_t *head, const char *from)
{
    r->newest = MAX(r->newest, head->version);
    fetch_announce(r->fetch, head, from, MAX(r->document.version, r->pending.version));
}

/* ===== Lists ===== */

/** Pass on a changed list of back ends. */
static void apply_backends(const reporter_t *r)
{
    uint32_t n;
    const backend_t *const list = list_publisher_list(r->backends, &n);
    log_line_t line;
    log_begin(&line, LOG_INFO, "backends");
    log_int(&line, "count", n);
    log_int(&line, "age_ms", tc_time_now() - list_replica_time(r->backends_replica));
    log_end(&line);
    if (r->events.on_backends)
        r->events.on_backends(r->events.arg, list, n);
}

/** Update the missing boxes from a changed list of entry boxes. @param before the list before */
static void apply_entries(const reporter_t *r, const entry_box_t *before, uint32_t before_n)
{
    uint32_t n;
    const entry_box_t *const list = list_publisher_list(r->entries, &n);
    missing_update(r->missing, before, before_n, list, n, tc_time_now());
    log_line_t line;
    log_begin(&line, LOG_INFO, "boxes");
    log_int(&line, "count", n);
    log_end(&line);
}

void reporter_set_backends(reporter_t *r, const backend_t *list, uint32_t n, tc_time_t fetched)
{
    if (list_replica_set(r->backends_replica, list, n, fetched))
        apply_backends(r);
}

/** @param asked when the query was sent. The age in the answer is subtracted from this time: if it were subtracted from
 *  the time of arrival, a delayed answer would replace a list that was read after it */
static void take_backends(reporter_t *r, const msg_report_ack_t *ack, tc_time_t asked)
{
    if (list_replica_receive(r->backends_replica, &ack->backends, ack->peer, asked - (tc_time_t)ack->backends_age_ms))
        apply_backends(r);
}

/** Call @p fn, which may change the list of entry boxes, and apply the change. */
static void change_entries(reporter_t *r, bool (*fn)(list_replica_t *copy, const void *arg), const void *arg)
{
    uint32_t n;
    const entry_box_t *const list = list_publisher_list(r->entries, &n);
    entry_box_t *const before = list_copy(list, n * sizeof(*list));
    if (fn(r->entries_replica, arg))
        apply_entries(r, before, n);
    free(before);
}

/** Argument of receive_entries. */
typedef struct {
    const msg_report_ack_t *ack;
    tc_time_t asked;
} entries_update_t;

static bool receive_entries(list_replica_t *copy, const void *arg)
{
    const entries_update_t *const update = arg;
    return list_replica_receive(copy, &update->ack->entries, update->ack->peer, update->asked);
}

static void take_entries(reporter_t *r, const msg_report_ack_t *ack, tc_time_t asked)
{
    const entries_update_t update = {.ack = ack, .asked = asked};
    if (ack->entries.hash != 0 && ack->entries.hash != list_publisher_hash(r->entries))
        change_entries(r, receive_entries, &update);
}

/* ===== Pieces of lists ===== */

enum { PIECE_TIMEOUT_MS = 1000 /* forty times what a piece takes on the slowest link, which may be busy */ };

/** Context of a request for a piece. Freed by its answer. */
typedef struct {
    reporter_t *reporter;
    list_name_t list;
} piece_request_t;

static bool take_piece(list_replica_t *copy, const void *arg)
{
    return list_replica_add_piece(copy, arg, tc_time_now());
}

static void on_piece(void *arg, int rc, uint32_t type, const void *message, const tc_err_t *err)
{
    const piece_request_t ask = *(piece_request_t *)arg;
    reporter_t *const r = ask.reporter;
    const void *const piece = rc == TC_OK && type == MSG_LIST_PIECE ? message : NULL;
    g_free(arg);
    (void)err; /* counted; the next box is tried */
    switch (ask.list) {
    case LIST_NAME_BACKENDS:
        if (take_piece(r->backends_replica, piece))
            apply_backends(r);
        break;
    case LIST_NAME_ENTRIES: change_entries(r, take_piece, piece); break;
    default: break;
    }
    lists_fetch(r, tc_time_now());
}

static void fetch_list(reporter_t *r, list_replica_t *copy, tc_time_t now)
{
    const list_sources_t sources = {.list = r->members, .n = r->members_n, .except = r->leader};
    list_request_t ask;
    if (r->is_stopped || !list_replica_next_request(copy, &sources, now, &ask))
        return;
    piece_request_t *const query = g_new(piece_request_t, 1);
    *query = (piece_request_t){.reporter = r, .list = ask.message.list};
    peer_call(r->net, ask.addr, MSG_FETCH_LIST, &ask.message, PIECE_TIMEOUT_MS, on_piece, query);
}

void lists_fetch(reporter_t *r, tc_time_t now)
{
    fetch_list(r, r->backends_replica, now);
    fetch_list(r, r->entries_replica, now);
}

/* ===== Control boxes and evacuations ===== */

void lists_take_evacuations(reporter_t *r, const evacuations_t *received)
{
    if (!evacuations_update(&r->evacuations, received))
        return;
    log_line_t line;
    log_begin(&line, LOG_INFO, "evacuations");
    log_int(&line, "version", (int64_t)received->version);
    log_int(&line, "count", received->list_n);
    log_str(&line, "first", received->list_n > 0 ? received->list[0].dc : "");
    log_end(&line);
    if (r->events.on_evacuations)
        r->events.on_evacuations(r->events.arg, &r->evacuations);
    r->report_due = true;
}

void lists_take_members(reporter_t *r, const raft_member_t *members, uint32_t n)
{
    if (n == 0)
        return;
    free(r->members);
    r->members = list_copy(members, n * sizeof(*members));
    r->members_n = n;
    r->members_hash = known_members_hash(members, n);
}

/** Replace the suspects by a leader's list; from other boxes take only the requests that they quarantine. */
static void take_suspects(reporter_t *r, const msg_report_ack_t *ack)
{
    const tc_time_t now = tc_time_now();
    if (!r->quarantine || ack->quarantine.hash == 0)
        return;
    if (ack->leads) {
        quarantine_apply_suspects(r->quarantine, ack->quarantine.suspects, ack->quarantine.suspects_n,
                                  ack->quarantine.hash, now);
        return;
    }
    for (uint32_t i = 0; i < ack->quarantine.suspects_n; i++)
        if (ack->quarantine.suspects[i].ends >= QUARANTINE_CRASH_LIMIT)
            quarantine_hold(r->quarantine, ack->quarantine.suspects[i].request,
                            now - (tc_time_t)ack->quarantine.suspects[i].age_ms, now);
}

void lists_take_ack(reporter_t *r, const msg_report_ack_t *ack, tc_time_t asked)
{
    take_suspects(r, ack);
    lists_take_members(r, ack->members, ack->members_n);
    lists_receive_head(r, &ack->head, ack->peer);
    lists_take_evacuations(r, &ack->evacuations);
    take_backends(r, ack, asked);
    if (ack->leads || list_publisher_hash(r->entries) == 0)
        take_entries(r, ack, asked); /* the list of a box that is not the leader may be older than this one */
    lists_fetch(r, tc_time_now());
}

/* ===== Reports and answers ===== */

void lists_fill_report(const reporter_t *r, msg_report_t *report)
{
    report->version = r->in_force;
    report->evacuations_version = r->evacuations.version;
    report->backends_hash = list_publisher_hash(r->backends);
    report->entries_hash = list_publisher_hash(r->entries);
    report->members_hash = r->members_hash;
    report->suspects_hash = r->quarantine ? quarantine_suspects_hash(r->quarantine) : 0;
}

/** Sent instead of the hash of a leader's list: a list of another box never replaces that one. */
enum { HELD_HASH = 1 };

/** Add the requests that this box quarantines. The list in @p ack is to be freed with free. */
static void add_held(const reporter_t *r, msg_report_ack_t *ack)
{
    if (!r->quarantine)
        return;
    uint32_t n;
    request_age_t *const held = quarantine_list_held(r->quarantine, &n, tc_time_now());
    ack->quarantine.hash = HELD_HASH;
    ack->quarantine.suspects = calloc(n + 1, sizeof(*ack->quarantine.suspects));
    if (!ack->quarantine.suspects)
        abort();
    for (uint32_t i = 0; i < n; i++)
        ack->quarantine.suspects[ack->quarantine.suspects_n++] =
            (suspect_request_t){.request = held[i].request, .ends = QUARANTINE_CRASH_LIMIT, .age_ms = held[i].age_ms};
    free(held);
}

void lists_answer(reporter_t *r, peer_call_t call, const msg_report_t *report)
{
    msg_report_ack_t ack = {.members_hash = r->members_hash};
    if (report->members_hash != r->members_hash) {
        ack.members = r->members; /* borrowed */
        ack.members_n = r->members_n;
    }
    codec_copy_string(ack.leader, sizeof(ack.leader), r->leader);
    ack.head = document_head(&r->document);
    codec_copy_string(ack.peer, sizeof(ack.peer), r->self->peer_addr);
    if (report->evacuations_version < r->evacuations.version)
        ack.evacuations = r->evacuations; /* borrowed */
    if (!report->without_backends) {
        ack.backends = list_publisher_update_since(r->backends, report->backends_hash);
        ack.backends_age_ms = (uint64_t)(tc_time_now() - list_replica_time(r->backends_replica));
    }
    ack.entries = list_publisher_update_since(r->entries, report->entries_hash);
    add_held(r, &ack);
    peer_reply(r->net, call, MSG_REPORT_ACK, &ack);
    free(ack.quarantine.suspects);
}

void lists_answer_piece(reporter_t *r, peer_call_t call, const msg_fetch_piece_t *asked)
{
    const msg_piece_t message = {.piece = document_piece(&r->document, asked)};
    peer_reply(r->net, call, MSG_PIECE, &message);
}

void lists_answer_list(reporter_t *r, peer_call_t call, const msg_fetch_list_t *asked)
{
    list_publisher_t *const publisher = asked->list == LIST_NAME_ENTRIES ? r->entries : r->backends;
    const msg_list_piece_t piece = list_publisher_piece(publisher, asked->hash, asked->offset);
    peer_reply(r->net, call, MSG_LIST_PIECE, &piece);
}

/* ===== Queries ===== */

uint64_t reporter_version(const reporter_t *r)
{
    return r->in_force;
}

bool reporter_is_current(const reporter_t *r, tc_time_t age)
{
    const bool in_touch = r->leader_contact > 0 && tc_time_now() - r->leader_contact <= age;
    return in_touch && r->in_force > 0 && r->in_force >= r->newest;
}

const entry_box_t *reporter_entries(const reporter_t *r, uint32_t *n)
{
    return list_publisher_list(r->entries, n);
}

uint32_t reporter_missing_count(const reporter_t *r)
{
    return missing_count(r->missing, tc_time_now());
}

tc_time_t reporter_backends_time(const reporter_t *r)
{
    return list_replica_time(r->backends_replica);
}

/* ===== Lifecycle ===== */

void lists_start(reporter_t *r)
{
    const fetch_events_t events = {.on_complete = on_complete, .sources = sources, .arg = r};
    r->fetch = fetch_create(r->net, r->self->peer_addr, &events);
    r->backends = list_publisher_create(&list_of_backends);
    r->entries = list_publisher_create(&list_of_entries);
    list_publisher_keep_states(r->backends, STATES_KEPT);
    list_publisher_keep_states(r->entries, STATES_KEPT);
    r->backends_replica = list_replica_create(r->backends, r->self->peer_addr);
    r->entries_replica = list_replica_create(r->entries, r->self->peer_addr);
}

void lists_stop(reporter_t *r)
{
    r->is_stopped = true;
    if (r->fetch)
        fetch_stop(r->fetch);
}

void lists_free(reporter_t *r)
{
    if (r->fetch) {
        fetch_destroy(r->fetch);
        list_replica_destroy(r->backends_replica);
        list_replica_destroy(r->entries_replica);
        list_publisher_destroy(r->backends);
        list_publisher_destroy(r->entries);
    }
    free(r->members);
    missing_destroy(r->missing);
    codec_free(&document_desc, &r->document);
    codec_free(&document_desc, &r->pending);
    codec_free(&evacuations_desc, &r->evacuations);
}
