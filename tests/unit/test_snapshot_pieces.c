/* A member receives a snapshot in pieces while leaders change, take newer snapshots and resend pieces. It must install
 * one of these snapshots complete, never one made of pieces of two. */

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "common/codec.h"
#include "control/raft.h"

enum { SELF = 1, LEADERS = 3, SNAPSHOTS_PER_LEADER = 2, PIECE_BYTES = 64, ROUNDS = 400, STEPS = 120 };

/** A snapshot that one leader sends. */
typedef struct {
    uint64_t term, from, last_index;
    char state[PIECE_BYTES * 8];
    char *packed;
    size_t size;
} leader_snapshot_t;

typedef struct {
    GRand *random;
    raft_t *raft;
    int length; /* the same for all states, so that pieces of two snapshots can add up to the right length */
    leader_snapshot_t sent[LEADERS][SNAPSHOTS_PER_LEADER];
    uint64_t next_offset; /* from the last acknowledgement */
    uint64_t answered_index;
    bool done;
    const leader_snapshot_t *installed;
} fixture_t;

static void make_snapshot(fixture_t *f, int leader, int n)
{
    leader_snapshot_t *const s = &f->sent[leader][n];
    s->term = (uint64_t)leader + 2;
    s->from = (uint64_t)leader + 2;
    /* Leaders of different terms have snapshots of the same index with different bytes, since members may differ. */
    s->last_index = (uint64_t)n * 10 + 10;
    for (int i = 0; i < f->length; i++) /* encodes the snapshot and the position in it */
        s->state[i] = (char)(i % 2 ? 'a' + leader * SNAPSHOTS_PER_LEADER + n : '!' + i / 2 % PIECE_BYTES);
    const raft_image_t image = {
        .last_index = s->last_index, .last_term = 1, .state = s->state, .state_n = (uint32_t)f->length};
    s->packed = codec_pack_bytes(&raft_image_desc, &image, &s->size);
}

static void check_installed(fixture_t *f, const raft_image_t *image)
{
    const leader_snapshot_t *found = NULL;
    for (int leader = 0; leader < LEADERS; leader++)
        for (int n = 0; n < SNAPSHOTS_PER_LEADER; n++)
            if (strcmp(f->sent[leader][n].state, image->state) == 0 &&
                f->sent[leader][n].last_index == image->last_index)
                found = &f->sent[leader][n];
    g_assert_nonnull(found); /* not made of pieces of two snapshots */
    g_assert_true(!f->installed || found->last_index > f->installed->last_index);
    f->installed = found;
}

static void run_actions(fixture_t *f)
{
    raft_action_t action;
    while (raft_next_action(f->raft, &action)) {
        if (action.kind == RAFT_ACT_SNAPSHOT)
            check_installed(f, &action.snapshot);
        if (action.kind == RAFT_ACT_SEND && action.type == MSG_SNAPSHOT_ACK) {
            const msg_snapshot_ack_t *const ack = action.message;
            f->next_offset = ack->next_offset;
            f->answered_index = ack->last_index;
            f->done = ack->done;
        }
        raft_action_free(&action);
    }
}

static void deliver_piece(fixture_t *f, const leader_snapshot_t *s, size_t offset)
{
    const size_t left = s->size - offset;
    const msg_snapshot_t piece = {.term = s->term,
                                  .last_index = s->last_index,
                                  .last_term = 1,
                                  .offset = offset,
                                  .total = s->size,
                                  .to = SELF,
                                  .from = s->from,
                                  .data = s->packed + offset,
                                  .data_n = (uint32_t)MIN(left, PIECE_BYTES)};
    raft_receive(f->raft, MSG_SNAPSHOT, &piece, 0);
    run_actions(f);
}

static leader_snapshot_t *random_snapshot(fixture_t *f)
{
    return &f->sent[g_rand_int_range(f->random, 0, LEADERS)][g_rand_int_range(f->random, 0, SNAPSHOTS_PER_LEADER)];
}

/** Deliver pieces in random order: mostly the one that the member expects next, sometimes any other one. */
static void receive_random_pieces(fixture_t *f)
{
    leader_snapshot_t *s = random_snapshot(f);
    for (int step = 0; step < STEPS; step++) {
        if (g_rand_int_range(f->random, 0, 8) == 0)
            s = random_snapshot(f);
        const bool goes_on = f->answered_index == s->last_index && f->next_offset < s->size;
        const size_t pieces = (s->size + PIECE_BYTES - 1) / PIECE_BYTES;
        const bool again = g_rand_int_range(f->random, 0, 6) == 0;
        if (again || !goes_on)
            deliver_piece(f, s, (size_t)g_rand_int_range(f->random, 0, (gint32)pieces) * PIECE_BYTES);
        else
            deliver_piece(f, s, f->next_offset);
    }
}

/** The last leader sends its last snapshot in order. It must be installed whatever was received before. */
static void install_last(fixture_t *f)
{
    const leader_snapshot_t *const last = &f->sent[LEADERS - 1][SNAPSHOTS_PER_LEADER - 1];
    f->done = false;
    for (size_t offset = 0; offset < last->size; offset += PIECE_BYTES) {
        deliver_piece(f, last, offset);
        g_assert_cmpuint(f->answered_index, ==, last->last_index);
    }
    g_assert_true(f->done);
    g_assert_cmpuint(f->installed->last_index, ==, last->last_index);
}

static void run_round(guint32 seed)
{
    fixture_t f = {.random = g_rand_new_with_seed(seed)};
    f.length = g_rand_int_range(f.random, PIECE_BYTES, (int)sizeof(f.sent[0][0].state));
    for (int leader = 0; leader < LEADERS; leader++)
        for (int n = 0; n < SNAPSHOTS_PER_LEADER; n++)
            make_snapshot(&f, leader, n);
    const raft_start_t start = {.id = SELF};
    f.raft = raft_create(&start, 0);
    receive_random_pieces(&f);
    install_last(&f);
    raft_destroy(f.raft);
    for (int leader = 0; leader < LEADERS; leader++)
        for (int n = 0; n < SNAPSHOTS_PER_LEADER; n++)
            free(f.sent[leader][n].packed);
    g_rand_free(f.random);
}

static void test_in_any_order(void)
{
    for (guint32 seed = 1; seed <= ROUNDS; seed++)
        run_round(seed);
}

/** A member with entries 1 to @p entries receives a snapshot up to @p last. @return index from which on it removes
 * entries before it writes the snapshot, 0: it removes none */
static uint64_t removed_before_snapshot(uint64_t entries, uint64_t last)
{
    log_entry_t *const log = g_new0(log_entry_t, entries);
    for (uint64_t i = 0; i < entries; i++)
        log[i] = (log_entry_t){.term = 1, .index = i + 1, .kind = RAFT_COMMAND};
    const raft_start_t start = {.id = SELF, .term = 1, .entries = log, .n_entries = (uint32_t)entries};
    raft_t *const raft = raft_create(&start, 0);
    const raft_image_t image = {.last_index = last, .last_term = 2, .state = (char *)(uintptr_t) "s", .state_n = 1};
    size_t size;
    char *const packed = codec_pack_bytes(&raft_image_desc, &image, &size);
    const msg_snapshot_t piece = {.term = 2,
                                  .last_index = last,
                                  .last_term = 2,
                                  .total = size,
                                  .to = SELF,
                                  .from = 2,
                                  .data = packed,
                                  .data_n = (uint32_t)size};
    raft_receive(raft, MSG_SNAPSHOT, &piece, 0);
    uint64_t removed = 0;
    bool written = false;
    raft_action_t action;
    while (raft_next_action(raft, &action)) {
        if (action.kind == RAFT_ACT_TRUNCATE && !written)
            removed = action.index;
        written = written || action.kind == RAFT_ACT_SNAPSHOT;
        raft_action_free(&action);
    }
    g_assert_true(written);
    free(packed);
    g_free(log);
    raft_destroy(raft);
    return removed;
}

/** A crash before the snapshot was written took entries that the member had acknowledged. */
static void test_acknowledged_entries_are_kept(void)
{
    g_assert_cmpuint(removed_before_snapshot(5, 10), ==, 0);
    g_assert_cmpuint(removed_before_snapshot(9, 10), ==, 0);
    g_assert_cmpuint(removed_before_snapshot(10, 10), ==, 10); /* of another term than in the snapshot */
    g_assert_cmpuint(removed_before_snapshot(14, 10), ==, 10);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/snapshot-pieces/in-any-order", test_in_any_order);
    g_test_add_func("/snapshot-pieces/acknowledged-entries-are-kept", test_acknowledged_entries_are_kept);
    return g_test_run();
}
