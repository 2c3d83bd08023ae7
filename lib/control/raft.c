#include "control/raft.h"

#include <stdlib.h>
#include <string.h>

#include "common/mutant.h"
#include "control/raft_internal.h"

/* ===== Actions ===== */

raft_action_t *raft_add_action(raft_t *r, raft_action_kind_t kind)
{
    queued_t *const item = g_new0(queued_t, 1);
    item->action.kind = kind;
    cds_list_add_tail(&item->node, &r->actions);
    return &item->action;
}

bool raft_next_action(raft_t *r, raft_action_t *action)
{
    if (cds_list_empty(&r->actions))
        return false;
    queued_t *const item = cds_list_first_entry(&r->actions, queued_t, node);
    /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): the analyzer does not see cds_list_del take the item out */
    *action = item->action;
    cds_list_del(&item->node);
    g_free(item);
    return true;
}

void raft_action_free(raft_action_t *action)
{
    codec_free(&log_entry_desc, &action->entry);
    codec_free(&raft_image_desc, &action->snapshot);
    if (action->message) {
        codec_free(msg_desc(action->type), action->message);
        free(action->message);
        action->message = NULL;
    }
}

void raft_send(raft_t *r, uint64_t to, uint32_t type, const void *message, size_t size)
{
    const raft_member_t *const member = raft_find_member(r, to);
    raft_action_t *const action = raft_add_action(r, RAFT_ACT_SEND);
    action->to = to;
    action->type = type;
    if (member)
        codec_copy_string(action->addr, sizeof(action->addr), member->peer);
    action->message = malloc(size);
    if (!action->message)
        abort();
    memcpy(action->message, message, size);
}

static void save_meta(raft_t *r)
{
    raft_action_t *const action = raft_add_action(r, RAFT_ACT_META);
    action->term = r->term;
    action->vote = r->vote;
}

/* ===== Members ===== */

const raft_members_t *raft_members(const raft_t *r)
{
    return &r->members;
}

const raft_member_t *raft_find_member(const raft_t *r, uint64_t id)
{
    for (uint32_t i = 0; i < r->members.list_n; i++)
        if (r->members.list[i].id == id)
            return &r->members.list[i];
    return NULL;
}

bool raft_is_voter(const raft_t *r, uint64_t id)
{
    const raft_member_t *const member = raft_find_member(r, id);
    return member && member->voter;
}

uint32_t raft_majority(const raft_t *r)
{
    uint32_t voters = 0;
    for (uint32_t i = 0; i < r->members.list_n; i++)
        voters += r->members.list[i].voter;
    return voters / 2 + 1;
}

/* ===== Elections ===== */

static void reset_election_timer(raft_t *r, tc_time_t now)
{
    r->election_at = now + g_rand_int_range(r->random, RAFT_ELECTION_MIN_MS, RAFT_ELECTION_MAX_MS);
}

void raft_step_down(raft_t *r, uint64_t term, tc_time_t now)
{
    if (r->role == RAFT_LEADER)
        raft_add_action(r, RAFT_ACT_LEADERSHIP_LOST);
    const bool new_term = term > r->term;
    if (new_term) {
        r->term = term;
        r->vote = 0;
        save_meta(r);
    }
    if (new_term || r->role == RAFT_LEADER)
        r->leader = 0;
    r->role = RAFT_FOLLOWER;
    reset_election_timer(r, now);
}

static void request_votes(raft_t *r, bool pre, bool yielded)
{
    for (uint32_t i = 0; i < r->members.list_n; i++) {
        const raft_member_t *const member = &r->members.list[i];
        if (!member->voter || member->id == r->id)
            continue;
        const msg_vote_t vote = {.term = pre ? r->term + 1 : r->term,
                                 .pre = pre,
                                 .last_index = log_last_index(r),
                                 .last_term = log_last_term(r),
                                 .to = member->id,
                                 .from = r->id,
                                 .yielded = yielded};
        raft_send(r, member->id, MSG_VOTE, &vote, sizeof(vote));
    }
}

static void count_votes(raft_t *r, tc_time_t now);

/** @param yielded as in msg_vote_t */
static void start_election(raft_t *r, bool yielded, tc_time_t now)
{
    r->role = RAFT_CANDIDATE;
    r->term++;
    r->vote = r->id;
    r->leader = 0;
    save_meta(r);
    g_hash_table_remove_all(r->votes);
    g_hash_table_add(r->votes, GSIZE_TO_POINTER(r->id));
    reset_election_timer(r, now);
    request_votes(r, false, yielded);
    count_votes(r, now);
}

static void start_pre_vote(raft_t *r, tc_time_t now)
{
    reset_election_timer(r, now);
    if (!raft_is_voter(r, r->id))
        return;
    r->role = RAFT_PRE_CANDIDATE;
    r->leader = 0;
    g_hash_table_remove_all(r->votes);
    g_hash_table_add(r->votes, GSIZE_TO_POINTER(r->id));
    request_votes(r, true, false);
    count_votes(r, now);
}

static void count_votes(raft_t *r, tc_time_t now)
{
    if (g_hash_table_size(r->votes) < raft_majority(r))
        return;
    if (r->role == RAFT_PRE_CANDIDATE)
        start_election(r, false, now);
    else if (r->role == RAFT_CANDIDATE)
        leader_begin(r, now);
}

static bool up_to_date(const raft_t *r, const msg_vote_t *vote)
{
    const uint64_t last_term = log_last_term(r);
    return vote->last_term > last_term || (vote->last_term == last_term && vote->last_index >= log_last_index(r));
}

static void on_vote(raft_t *r, const msg_vote_t *vote, tc_time_t now)
{
    /* No vote while a leader may hold a lease that relies on us not voting. For a yielded vote this is safe: the leader
     * of the term before it has given up its lease, and any later leader has a majority of the votes of a term that
     * this candidate cannot win. */
    const bool heard_leader = now - r->leader_heard_at < RAFT_ELECTION_MIN_MS && !vote->yielded;
    const bool leader_alive = r->role == RAFT_LEADER || heard_leader;
    msg_vote_ack_t ack = {.pre = vote->pre, .to = vote->from, .from = r->id};
    if (!leader_alive && !vote->pre && vote->term > r->term)
        raft_step_down(r, vote->term, now);
    if (vote->pre) {
        ack.granted = !leader_alive && vote->term > r->term && up_to_date(r, vote);
        ack.term = ack.granted ? vote->term : r->term;
    } else {
        ack.granted = !leader_alive && vote->term == r->term && (r->vote == 0 || r->vote == vote->from) &&
                      up_to_date(r, vote) && r->role == RAFT_FOLLOWER;
        ack.term = r->term;
    }
    if (ack.granted && !vote->pre) {
        r->vote = vote->from;
        save_meta(r);
        reset_election_timer(r, now);
    }
    raft_send(r, vote->from, MSG_VOTE_ACK, &ack, sizeof(ack));
}

static void on_vote_ack(raft_t *r, const msg_vote_ack_t *ack, tc_time_t now)
{
    if (!ack->granted) {
        if (ack->term > r->term)
            raft_step_down(r, ack->term, now);
        return;
    }
    const bool wanted = ack->pre ? r->role == RAFT_PRE_CANDIDATE && ack->term == r->term + 1
                                 : r->role == RAFT_CANDIDATE && ack->term == r->term;
    if (!wanted || !raft_is_voter(r, ack->from))
        return;
    g_hash_table_add(r->votes, GSIZE_TO_POINTER(ack->from));
    count_votes(r, now);
}

/* ===== Transfer of leadership ===== */

/** The leader has resigned and names us as its successor. */
static void on_yield(raft_t *r, const msg_yield_t *yield, tc_time_t now)
{
    const bool current = yield->term == r->term && r->role == RAFT_FOLLOWER && r->leader == yield->from;
    if (current && raft_is_voter(r, r->id))
        start_election(r, true, now);
}

bool raft_resign(raft_t *r, tc_time_t now)
{
    if (r->role != RAFT_LEADER)
        return false;
    const uint64_t to = leader_successor(r);
    const msg_yield_t yield = {.term = r->term, .to = to, .from = r->id};
    raft_step_down(r, r->term, now); /* gives up the lease before the successor can get the message */
    if (to != 0)
        raft_send(r, to, MSG_YIELD, &yield, sizeof(yield));
    return true;
}

/* ===== Followers ===== */

void raft_apply_committed(raft_t *r)
{
    while (r->applied < r->commit) {
        r->applied++;
        const log_entry_t *const entry = log_at(r, r->applied);
        assert(entry); /* the log holds every entry from the snapshot to the commit index */
        if (entry->kind == RAFT_COMMAND)
            entry_copy(&raft_add_action(r, RAFT_ACT_APPLY)->entry, entry);
    }
}

/** Follow the sender as the leader of its term; ends a candidacy or leadership of our own. */
static void follow(raft_t *r, uint64_t term, uint64_t leader, tc_time_t now)
{
    assert(!(r->role == RAFT_LEADER && term == r->term)); /* at most one leader per term */
    if (term > r->term || r->role != RAFT_FOLLOWER)
        raft_step_down(r, term, now);
    r->leader = leader;
    r->leader_heard_at = now;
    reset_election_timer(r, now);
}

static void append_entries(raft_t *r, const msg_append_t *append)
{
    for (uint32_t i = 0; i < append->entries_n; i++) {
        const log_entry_t *const entry = &append->entries[i];
        if (entry->index <= r->snapshot.last_index)
            continue;
        const uint64_t mine = raft_term_at(r, entry->index);
        if (mine == entry->term)
            continue;
        if (mine != 0)
            log_truncate(r, entry->index);
        log_append(r, entry->term, entry->index, entry->kind, entry->data, entry->data_n);
    }
}

static void on_append(raft_t *r, const msg_append_t *append, tc_time_t now)
{
    msg_append_ack_t ack = {.term = r->term, .seq = append->seq, .to = append->from, .from = r->id};
    if (append->term < r->term) {
        raft_send(r, append->from, MSG_APPEND_ACK, &ack, sizeof(ack));
        return;
    }
    follow(r, append->term, append->from, now);
    ack.term = r->term;
    const bool behind_snapshot = append->prev_index < r->snapshot.last_index;
    const bool fits = behind_snapshot || (append->prev_index <= log_last_index(r) &&
                                          raft_term_at(r, append->prev_index) == append->prev_term);
    if (!fits) {
        const uint64_t last = log_last_index(r);
        ack.match = append->prev_index > last ? last : (append->prev_index > 0 ? append->prev_index - 1 : 0);
        if (ack.match < r->commit)
            ack.match = r->commit;
        raft_send(r, append->from, MSG_APPEND_ACK, &ack, sizeof(ack));
        return;
    }
    append_entries(r, append);
    ack.ok = true;
    ack.match = append->entries_n ? append->entries[append->entries_n - 1].index : append->prev_index;
    const uint64_t known = append->commit < ack.match ? append->commit : ack.match;
    if (known > r->commit) {
        r->commit = known;
        raft_apply_committed(r);
    }
    raft_send(r, append->from, MSG_APPEND_ACK, &ack, sizeof(ack));
}

/* ===== Snapshots ===== */

static void install_snapshot(raft_t *r, const raft_image_t *image)
{
    if (image->last_index <= r->commit)
        return; /* we already have all of it */
    const bool keeps_log = raft_term_at(r, image->last_index) == image->last_term;
    if (keeps_log)
        g_ptr_array_remove_range(r->log, 0, (guint)(image->last_index - r->snapshot.last_index));
    else if (r->log->len > 0) {
        /* Only what the snapshot contradicts: entries before its end may be acknowledged, and writing it replaces them.
         */
        if (log_last_index(r) >= image->last_index)
            raft_add_action(r, RAFT_ACT_TRUNCATE)->index = image->last_index;
        g_ptr_array_set_size(r->log, 0);
    }
    image_copy(&r->snapshot, image);
    discard_outgoing(r);
    r->commit = image->last_index;
    r->applied = image->last_index;
    members_refresh(r);
    image_copy(&raft_add_action(r, RAFT_ACT_SNAPSHOT)->snapshot, image);
}

static void on_snapshot(raft_t *r, const msg_snapshot_t *piece, tc_time_t now)
{
    msg_snapshot_ack_t ack = {
        .term = r->term, .seq = piece->seq, .last_index = piece->last_index, .to = piece->from, .from = r->id};
    if (piece->term < r->term) {
        raft_send(r, piece->from, MSG_SNAPSHOT_ACK, &ack, sizeof(ack));
        return;
    }
    follow(r, piece->term, piece->from, now);
    ack.term = r->term;
    if (piece->offset == 0 || r->incoming_index != piece->last_index || r->incoming_term != piece->term) {
        g_byte_array_set_size(r->incoming, 0);
        r->incoming_index = piece->last_index;
        r->incoming_term = piece->term;
    }
    if (piece->offset == r->incoming->len)
        g_byte_array_append(r->incoming, (const guint8 *)piece->data, piece->data_n);
    ack.next_offset = r->incoming->len;
    if (r->incoming->len == piece->total) {
        raft_image_t image;
        if (codec_unpack_bytes(&raft_image_desc, &image, (const char *)r->incoming->data, r->incoming->len, NULL) ==
            TC_OK) {
            install_snapshot(r, &image);
            codec_free(&raft_image_desc, &image);
            ack.done = true;
        }
        g_byte_array_set_size(r->incoming, 0);
        r->incoming_index = 0;
        if (!ack.done)
            ack.next_offset = 0;
    }
    raft_send(r, piece->from, MSG_SNAPSHOT_ACK, &ack, sizeof(ack));
}

void raft_compact(raft_t *r, uint64_t index, const char *state, size_t size)
{
    assert(index <= r->applied); /* a snapshot holds applied entries only */
    if (index <= r->snapshot.last_index)
        return;
    raft_image_t image = {.last_index = index, .last_term = raft_term_at(r, index)};
    /* The members as of that index. A later change stays in the log. */
    members_copy(&image.members, &r->snapshot.members);
    for (uint64_t i = r->snapshot.last_index + 1; i <= index; i++) {
        const log_entry_t *const entry = log_at(r, i);
        if (entry->kind != RAFT_MEMBERS)
            continue;
        raft_members_t members;
        if (codec_unpack_bytes(&raft_members_desc, &members, entry->data, entry->data_n, NULL) == TC_OK) {
            members_copy(&image.members, &members);
            codec_free(&raft_members_desc, &members);
        }
    }
    codec_set_text(&image.state, &image.state_n, state, size);
    g_ptr_array_remove_range(r->log, 0, (guint)(index - r->snapshot.last_index));
    image_copy(&r->snapshot, &image);
    discard_outgoing(r);
    image_copy(&raft_add_action(r, RAFT_ACT_SNAPSHOT)->snapshot, &image);
    codec_free(&raft_image_desc, &image);
}

/* ===== Events ===== */

static uint64_t addressed_to(uint32_t type, const void *message)
{
    switch (type) {
    case MSG_VOTE: return ((const msg_vote_t *)message)->to;
    case MSG_VOTE_ACK: return ((const msg_vote_ack_t *)message)->to;
    case MSG_APPEND: return ((const msg_append_t *)message)->to;
    case MSG_APPEND_ACK: return ((const msg_append_ack_t *)message)->to;
    case MSG_SNAPSHOT: return ((const msg_snapshot_t *)message)->to;
    case MSG_SNAPSHOT_ACK: return ((const msg_snapshot_ack_t *)message)->to;
    case MSG_YIELD: return ((const msg_yield_t *)message)->to;
    default: return 0;
    }
}

uint64_t raft_sender(uint32_t type, const void *message)
{
    switch (type) {
    case MSG_VOTE: return ((const msg_vote_t *)message)->from;
    case MSG_VOTE_ACK: return ((const msg_vote_ack_t *)message)->from;
    case MSG_APPEND: return ((const msg_append_t *)message)->from;
    case MSG_APPEND_ACK: return ((const msg_append_ack_t *)message)->from;
    case MSG_SNAPSHOT: return ((const msg_snapshot_t *)message)->from;
    case MSG_SNAPSHOT_ACK: return ((const msg_snapshot_ack_t *)message)->from;
    case MSG_YIELD: return ((const msg_yield_t *)message)->from;
    default: return 0;
    }
}

void raft_receive(raft_t *r, uint32_t type, const void *message, tc_time_t now)
{
    if (addressed_to(type, message) != r->id)
        return; /* meant for the former data directory of this box */
    switch (type) {
    case MSG_VOTE: on_vote(r, message, now); break;
    case MSG_VOTE_ACK: on_vote_ack(r, message, now); break;
    case MSG_YIELD: on_yield(r, message, now); break;
    case MSG_APPEND: on_append(r, message, now); break;
    case MSG_SNAPSHOT: on_snapshot(r, message, now); break;
    case MSG_APPEND_ACK: {
        const msg_append_ack_t *const ack = message;
        if (ack->term > r->term)
            raft_step_down(r, ack->term, now);
        else if (r->role == RAFT_LEADER && ack->term == r->term)
            leader_on_append_ack(r, ack, now);
        break;
    }
    case MSG_SNAPSHOT_ACK: {
        const msg_snapshot_ack_t *const ack = message;
        if (ack->term > r->term)
            raft_step_down(r, ack->term, now);
        else if (r->role == RAFT_LEADER && ack->term == r->term)
            leader_on_snapshot_ack(r, ack, now);
        break;
    }
    default: break;
    }
}

void raft_tick(raft_t *r, tc_time_t now)
{
    if (r->role != RAFT_LEADER) {
        if (now >= r->election_at)
            start_pre_vote(r, now);
        return;
    }
    if (now >= r->heartbeat_at)
        leader_send_all(r, true, now);
    const tc_time_t quorum = leader_quorum_time(r, now);
    if (now - quorum <= RAFT_ELECTION_MAX_MS || now - r->leader_since <= RAFT_ELECTION_MAX_MS)
        return;
    raft_step_down(r, r->term, now); /* no majority reachable: another member may lead */
}

void raft_bootstrap(raft_t *r, const raft_member_t *self, tc_time_t now)
{
    /* Only a member without any entry may bootstrap. It may have a term, left by a bootstrap that a crash cut short. */
    assert(log_last_index(r) == 0);
    raft_member_t member = *self;
    member.voter = true;
    const raft_members_t members = {.list = &member, .list_n = 1};
    r->term++;
    r->vote = r->id;
    save_meta(r);
    size_t size;
    char *const data = codec_pack_bytes(&raft_members_desc, &members, &size);
    log_append(r, r->term, 1, RAFT_MEMBERS, data, size);
    free(data);
    leader_begin(r, now);
}

/* ===== Views ===== */

tc_time_t raft_quorum_age(const raft_t *r, tc_time_t now)
{
    const bool leads = r->role == RAFT_LEADER && r->commit >= r->noop_index;
    return leads ? now - leader_quorum_time(r, now) : TC_TIME_NEVER;
}

bool raft_has_lease(const raft_t *r, tc_time_t now)
{
    const tc_time_t age = raft_quorum_age(r, now);
    if (MUTANT_IS(MUTANT_NO_LEASE))
        return age != TC_TIME_NEVER;
    return age < RAFT_LEASE_MS;
}

raft_view_t raft_view(const raft_t *r)
{
    return (raft_view_t){.role = r->role,
                         .id = r->id,
                         .term = r->term,
                         .leader = r->leader,
                         .commit = r->commit,
                         .applied = r->applied,
                         .last_index = log_last_index(r),
                         .snapshot_index = r->snapshot.last_index,
                         .leader_since = r->leader_since};
}

/* ===== Creation and destruction ===== */

static void entry_free(gpointer data)
{
    codec_free(&log_entry_desc, data);
    g_free(data);
}

raft_t *raft_create(const raft_start_t *start, tc_time_t now)
{
    assert(start->id != 0); /* the store assigns the identity */
    raft_t *const r = g_new0(raft_t, 1);
    r->id = start->id;
    r->term = start->term;
    r->vote = start->vote;
    r->log = g_ptr_array_new_with_free_func(entry_free);
    r->votes = g_hash_table_new(g_direct_hash, g_direct_equal);
    r->peers = g_array_new(FALSE, TRUE, sizeof(progress_t));
    r->random = g_rand_new_with_seed((guint32)(start->seed ^ (start->seed >> 32)));
    r->incoming = g_byte_array_new();
    CDS_INIT_LIST_HEAD(&r->actions);
    image_copy(&r->snapshot, &start->snapshot);
    r->commit = start->snapshot.last_index;
    r->applied = r->commit;
    for (uint32_t i = 0; i < start->n_entries; i++) {
        log_entry_t *const entry = g_new0(log_entry_t, 1);
        entry_copy(entry, &start->entries[i]);
        assert(entry->index == log_last_index(r) + 1); /* checked by the store */
        g_ptr_array_add(r->log, entry);
    }
    members_refresh(r);
    r->leader_heard_at = now; /* a leader's lease may rely on our last acknowledgement before the restart */
    reset_election_timer(r, now);
    return r;
}

void raft_destroy(raft_t *r)
{
    raft_action_t action;
    while (raft_next_action(r, &action))
        raft_action_free(&action);
    g_ptr_array_free(r->log, TRUE);
    g_hash_table_destroy(r->votes);
    g_array_free(r->peers, TRUE);
    g_rand_free(r->random);
    g_byte_array_free(r->incoming, TRUE);
    discard_outgoing(r);
    codec_free(&raft_image_desc, &r->snapshot);
    codec_free(&raft_members_desc, &r->members);
    g_free(r);
}
