/* The leader: replication of entries and snapshots, commit, membership changes. */

#include <stdlib.h>
#include <string.h>

#include "control/raft_internal.h"

/* ===== Peers ===== */

/** An append message or snapshot piece without acknowledgement is sent again after this. */
enum { RESEND_TIMEOUT_MS = 400 };
/** A non-voter that lacks at most this many entries may become a voter. */
enum { CATCH_UP_MAX_ENTRIES = 16 };
/** A voter without acknowledgement for this long may be replaced by a box that has caught up. Longer than an election
 *  and its first rounds; shorter than the time in which a second box may fail. */
enum { VOTER_SILENT_TIMEOUT_MS = 2000 };

static progress_t *peer_find(const raft_t *r, uint64_t id)
{
    for (guint i = 0; i < r->peers->len; i++) {
        progress_t *const p = &g_array_index(r->peers, progress_t, i);
        if (p->id == id)
            return p;
    }
    return NULL;
}

/** Rebuild the list of peers from the members; known peers keep their progress. */
static void peers_refresh(raft_t *r)
{
    GArray *const peers = g_array_new(FALSE, TRUE, sizeof(progress_t));
    for (uint32_t i = 0; i < r->members.list_n; i++) {
        const uint64_t id = r->members.list[i].id;
        if (id == r->id)
            continue;
        const progress_t *const old = peer_find(r, id);
        const progress_t fresh = {.id = id, .next = log_last_index(r) + 1, .acked_sent_at = -1};
        g_array_append_vals(peers, old ? old : &fresh, 1);
    }
    g_array_free(r->peers, TRUE);
    r->peers = peers;
}

/* ===== Sending ===== */

void discard_outgoing(raft_t *r)
{
    free(r->outgoing);
    r->outgoing = NULL;
    r->outgoing_size = 0;
}

uint64_t leader_successor(const raft_t *r)
{
    uint64_t best = 0, match = 0;
    tc_time_t newest = -1;
    for (guint i = 0; i < r->peers->len; i++) {
        const progress_t *const p = &g_array_index(r->peers, progress_t, i);
        const bool nearer = p->match > match || (p->match == match && p->acked_sent_at > newest);
        if (!raft_is_voter(r, p->id) || p->acked_sent_at < 0 || !nearer)
            continue;
        best = p->id;
        match = p->match;
        newest = p->acked_sent_at;
    }
    return best;
}

static void send_snapshot_piece(raft_t *r, progress_t *p, tc_time_t now)
{
    if (!r->outgoing)
        r->outgoing = codec_pack_bytes(&raft_image_desc, &r->snapshot, &r->outgoing_size);
    if (p->snapshot_offset > r->outgoing_size)
        p->snapshot_offset = 0;
    const uint64_t left = r->outgoing_size - p->snapshot_offset;
    const size_t size = left < RAFT_SNAPSHOT_PIECE_BYTES ? (size_t)left : RAFT_SNAPSHOT_PIECE_BYTES;
    msg_snapshot_t message = {.term = r->term,
                              .last_index = r->snapshot.last_index,
                              .last_term = r->snapshot.last_term,
                              .offset = p->snapshot_offset,
                              .total = r->outgoing_size,
                              .seq = r->seq,
                              .to = p->id,
                              .from = r->id};
    codec_set_text(&message.data, &message.data_n, r->outgoing + p->snapshot_offset, size);
    p->snapshotting = true;
    p->inflight = true;
    p->sent_at = now;
    raft_send(r, p->id, MSG_SNAPSHOT, &message, sizeof(message));
}

static void send_entries(raft_t *r, progress_t *p, tc_time_t now)
{
    const uint64_t last = log_last_index(r);
    uint32_t n = 0;
    size_t bytes = 0;
    for (uint64_t i = p->next; i <= last && n < RAFT_APPEND_MAX_ENTRIES && bytes < RAFT_APPEND_MAX_BYTES; i++, n++)
        bytes += log_at(r, i)->data_n;
    msg_append_t message = {.term = r->term,
                            .prev_index = p->next - 1,
                            .prev_term = raft_term_at(r, p->next - 1),
                            .commit = r->commit,
                            .seq = r->seq,
                            .to = p->id,
                            .from = r->id,
                            .entries_n = n};
    message.entries = calloc(n + 1, sizeof(*message.entries));
    if (!message.entries)
        abort();
    for (uint32_t k = 0; k < n; k++)
        entry_copy(&message.entries[k], log_at(r, p->next + k));
    p->inflight = n > 0;
    p->sent_at = now;
    raft_send(r, p->id, MSG_APPEND, &message, sizeof(message));
}

static void send_to(raft_t *r, progress_t *p, bool heartbeat, tc_time_t now)
{
    const bool behind = p->next <= log_last_index(r);
    const bool lost = p->inflight && now - p->sent_at >= RESEND_TIMEOUT_MS;
    if (p->next <= r->snapshot.last_index) {
        if (!p->inflight || lost)
            send_snapshot_piece(r, p, now);
    } else if (behind && (!p->inflight || lost)) {
        send_entries(r, p, now);
    } else if (heartbeat) {
        /* A heartbeat carries no entries, so entries in flight are not sent twice. It names the entry before the next
         * one, so that a member that lacks it reports that even while nothing is proposed. */
        const uint64_t prev = p->inflight ? p->match : p->next - 1;
        msg_append_t message = {.term = r->term,
                                .prev_index = prev,
                                .prev_term = raft_term_at(r, prev),
                                .commit = r->commit,
                                .seq = r->seq,
                                .to = p->id,
                                .from = r->id};
        if (message.prev_index < r->snapshot.last_index) {
            message.prev_index = 0; /* older than our log: matches any log */
            message.prev_term = 0;
        }
        raft_send(r, p->id, MSG_APPEND, &message, sizeof(message));
    }
}

void leader_send_all(raft_t *r, bool heartbeat, tc_time_t now)
{
    if (r->round_sent_at[r->seq % ROUND_HISTORY] != now)
        r->seq++;
    r->round_sent_at[r->seq % ROUND_HISTORY] = now;
    for (guint i = 0; i < r->peers->len; i++)
        send_to(r, &g_array_index(r->peers, progress_t, i), heartbeat, now);
    if (heartbeat)
        r->heartbeat_at = now + RAFT_HEARTBEAT_MS;
}

/* ===== Members ===== */

static void propose_members(raft_t *r, const raft_members_t *members, tc_time_t now)
{
    size_t size;
    char *const data = codec_pack_bytes(&raft_members_desc, members, &size);
    log_append(r, r->term, log_last_index(r) + 1, RAFT_MEMBERS, data, size);
    free(data);
    peers_refresh(r);
    leader_send_all(r, false, now);
    leader_advance_commit(r, now);
}

/** Whether the next membership change may start: the last one and an entry of our own term are committed. */
static bool members_settled(const raft_t *r)
{
    return r->members_index <= r->commit && r->commit >= r->noop_index;
}

static void change_member(raft_t *r, const raft_member_t *member, bool remove, tc_time_t now)
{
    raft_members_t next = {0};
    members_copy(&next, &r->members);
    uint32_t at = 0;
    while (at < next.list_n && next.list[at].id != member->id)
        at++;
    if (remove) {
        assert(at < next.list_n); /* only members are removed */
        next.list[at] = next.list[--next.list_n];
    } else if (at < next.list_n) {
        next.list[at] = *member;
    } else {
        next.list = realloc(next.list, (next.list_n + 1) * sizeof(*next.list));
        if (!next.list)
            abort();
        next.list[next.list_n++] = *member;
    }
    propose_members(r, &next, now);
    codec_free(&raft_members_desc, &next);
}

/** Whether a voter has sent no acknowledgement for VOTER_SILENT_TIMEOUT_MS and may be replaced. */
static bool is_silent(const raft_t *r, const raft_member_t *member, tc_time_t now)
{
    if (!member->voter || member->id == r->id || now - r->leader_since < VOTER_SILENT_TIMEOUT_MS)
        return false;
    const progress_t *const p = peer_find(r, member->id);
    return !p || now - p->acked_sent_at > VOTER_SILENT_TIMEOUT_MS;
}

/** The member that a joining box replaces: one of the same name with another data directory, or else a silent voter.
 *  @return NULL for none */
static const raft_member_t *find_replaced(const raft_t *r, const raft_member_t *member, tc_time_t now)
{
    const raft_member_t *silent = NULL;
    for (uint32_t i = 0; i < r->members.list_n; i++) {
        const raft_member_t *const other = &r->members.list[i];
        if (strcmp(other->name, member->name) == 0 && other->id != member->id)
            return other;
        if (is_silent(r, other, now))
            silent = other;
    }
    return silent;
}

static uint32_t count_voters(const raft_t *r)
{
    uint32_t voters = 0;
    for (uint32_t i = 0; i < r->members.list_n; i++)
        voters += r->members.list[i].voter;
    return voters;
}

void raft_set_target_voters(raft_t *r, uint32_t wanted)
{
    r->target_voters = wanted;
}

void raft_join(raft_t *r, const raft_member_t *member, tc_time_t now)
{
    if (r->role != RAFT_LEADER || member->id == r->id || !members_settled(r))
        return;
    const raft_member_t *const known = raft_find_member(r, member->id);
    raft_member_t next = *member;
    if (!known) {
        next.voter = false;
        change_member(r, &next, false, now);
        return;
    }
    const progress_t *const p = peer_find(r, member->id);
    const bool caught_up = p && p->match + CATCH_UP_MAX_ENTRIES >= log_last_index(r) && p->match >= r->noop_index;
    if (known->voter || !caught_up)
        return;
    const raft_member_t *const old = find_replaced(r, member, now);
    if (old) {
        const raft_member_t removed = *old;
        change_member(r, &removed, true, now);
        return;
    }
    if (r->target_voters > 0 && count_voters(r) >= r->target_voters)
        return; /* stays a non-voter until a voter is removed */
    next.voter = true;
    change_member(r, &next, false, now);
}

void raft_remove_silent_voter(raft_t *r, uint32_t wanted, tc_time_t now)
{
    if (r->role != RAFT_LEADER || !members_settled(r))
        return;
    const raft_member_t *silent = NULL;
    for (uint32_t i = 0; i < r->members.list_n; i++)
        if (is_silent(r, &r->members.list[i], now))
            silent = &r->members.list[i];
    if (!silent || count_voters(r) <= wanted)
        return;
    const raft_member_t removed = *silent;
    change_member(r, &removed, true, now);
}

/* ===== Commit ===== */

static int compare_descending(const void *a, const void *b)
{
    const uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;
    return x < y ? 1 : (x > y ? -1 : 0);
}

void leader_advance_commit(raft_t *r, tc_time_t now)
{
    uint64_t match[64];
    uint32_t n = 0;
    for (uint32_t i = 0; i < r->members.list_n && n < 64; i++) {
        if (!r->members.list[i].voter)
            continue;
        const uint64_t id = r->members.list[i].id;
        const progress_t *const p = peer_find(r, id);
        match[n++] = id == r->id ? log_last_index(r) : (p ? p->match : 0);
    }
    if (n == 0)
        return;
    qsort(match, n, sizeof(match[0]), compare_descending);
    const uint64_t agreed = match[raft_majority(r) - 1];
    if (agreed <= r->commit || raft_term_at(r, agreed) != r->term)
        return;
    r->commit = agreed;
    raft_apply_committed(r);
    /* A leader that is no longer a voter in the committed members steps down. */
    if (r->members_index <= r->commit && !raft_is_voter(r, r->id))
        raft_step_down(r, r->term, now);
    else
        leader_send_all(r, true, now);
}

static void record_round(raft_t *r, progress_t *p, uint64_t seq)
{
    if (seq <= p->acked_seq || seq > r->seq || r->seq - seq >= ROUND_HISTORY)
        return;
    p->acked_seq = seq;
    p->acked_sent_at = r->round_sent_at[seq % ROUND_HISTORY];
}

void leader_on_append_ack(raft_t *r, const msg_append_ack_t *ack, tc_time_t now)
{
    progress_t *const p = peer_find(r, ack->from);
    if (!p)
        return;
    record_round(r, p, ack->seq);
    if (!ack->ok) {
        p->inflight = false;
        p->next = ack->match + 1 < p->next ? ack->match + 1 : (p->next > 1 ? p->next - 1 : 1);
        if (p->next <= p->match)
            p->next = p->match + 1;
        send_to(r, p, false, now);
        return;
    }
    if (ack->match > p->match) {
        assert(ack->match <= log_last_index(r)); /* no member has more entries of our term than we have */
        p->match = ack->match;
        p->inflight = false;
    }
    if (p->next <= p->match)
        p->next = p->match + 1;
    leader_advance_commit(r, now);
    if (r->role == RAFT_LEADER && p->next <= log_last_index(r) && !p->inflight)
        send_to(r, peer_find(r, ack->from), false, now);
}

void leader_on_snapshot_ack(raft_t *r, const msg_snapshot_ack_t *ack, tc_time_t now)
{
    progress_t *const p = peer_find(r, ack->from);
    if (!p)
        return;
    record_round(r, p, ack->seq);
    if (ack->last_index != r->snapshot.last_index) {
        p->snapshot_offset = 0;
        p->inflight = false;
        return;
    }
    p->inflight = false;
    p->snapshot_offset = ack->next_offset;
    if (ack->done) {
        p->snapshotting = false;
        p->snapshot_offset = 0;
        if (p->match < r->snapshot.last_index)
            p->match = r->snapshot.last_index;
        p->next = p->match + 1;
    }
    send_to(r, p, false, now);
}

tc_time_t leader_quorum_time(const raft_t *r, tc_time_t now)
{
    uint64_t times[64];
    uint32_t n = 0;
    for (uint32_t i = 0; i < r->members.list_n && n < 64; i++) {
        if (!r->members.list[i].voter)
            continue;
        const uint64_t id = r->members.list[i].id;
        const progress_t *const p = peer_find(r, id);
        const tc_time_t sent = id == r->id ? now : (p && p->acked_sent_at > 0 ? p->acked_sent_at : 0);
        times[n++] = (uint64_t)sent;
    }
    if (n == 0)
        return 0;
    qsort(times, n, sizeof(times[0]), compare_descending);
    return (tc_time_t)times[raft_majority(r) - 1];
}

void leader_begin(raft_t *r, tc_time_t now)
{
    r->role = RAFT_LEADER;
    r->leader = r->id;
    r->leader_since = now;
    r->quorum_lost_since = now;
    g_array_set_size(r->peers, 0);
    peers_refresh(r);
    r->noop_index = log_last_index(r) + 1;
    log_append(r, r->term, r->noop_index, RAFT_NOOP, "", 0);
    leader_send_all(r, true, now);
    leader_advance_commit(r, now);
}

/* ===== Proposals ===== */

int64_t raft_append(raft_t *r, const char *data, size_t size)
{
    if (r->role != RAFT_LEADER)
        return TC_E_NOT_LEADER;
    const uint64_t index = log_last_index(r) + 1;
    log_append(r, r->term, index, RAFT_COMMAND, data, size);
    return (int64_t)index;
}

void raft_replicate(raft_t *r, tc_time_t now)
{
    assert(r->role == RAFT_LEADER); /* raft_append succeeded, and nothing was received since */
    leader_send_all(r, false, now);
    leader_advance_commit(r, now);
}

int64_t raft_propose(raft_t *r, const char *data, size_t size, tc_time_t now)
{
    const int64_t index = raft_append(r, data, size);
    if (index > 0)
        raft_replicate(r, now);
    return index;
}
