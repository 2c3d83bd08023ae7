/* A snapshot that a member receives in pieces, while leaders change, take newer snapshots, and send pieces again: what
 * it installs is one of them, whole. */

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "common/codec.h"
#include "control/raft.h"

enum { SELF = 1, LEADERS = 3, SNAPSHOTS = 2, PIECE = 64, ROUNDS = 400, STEPS = 120 };

/** A snapshot as one leader sends it. */
typedef struct {
    uint64_t term, from, last_index;
    char state[PIECE * 8];
    char *packed;
    size_t size;
} sent_t;

typedef struct {
    GRand *random;
    raft_t *raft;
    int length; /* of all states: pieces of two would make one of the right length */
    sent_t sent[LEADERS][SNAPSHOTS];
    uint64_t next_offset; /* as the last answer names it */
    uint64_t answered_index;
    bool done;
    const sent_t *installed;
} world_t;

static void make_snapshot(world_t *w, int leader, int n)
{
    sent_t *const s = &w->sent[leader][n];
    s->term = (uint64_t)leader + 2;
    s->from = (uint64_t)leader + 2;
    /* Leaders of different terms have snapshots of the same index, whose bytes differ as members may. */
    s->last_index = (uint64_t)n * 10 + 10;
    for (int i = 0; i < w->length; i++) /* which one, and where in it */
        s->state[i] = (char)(i % 2 ? 'a' + leader * SNAPSHOTS + n : '!' + i / 2 % PIECE);
    const raft_image_t image = {
        .last_index = s->last_index, .last_term = 1, .state = s->state, .state_n = (uint32_t)w->length};
    s->packed = codec_pack_bytes(&raft_image_desc, &image, &s->size);
}

static void check_installed(world_t *w, const raft_image_t *image)
{
    const sent_t *found = NULL;
    for (int leader = 0; leader < LEADERS; leader++)
        for (int n = 0; n < SNAPSHOTS; n++)
            if (strcmp(w->sent[leader][n].state, image->state) == 0 &&
                w->sent[leader][n].last_index == image->last_index)
                found = &w->sent[leader][n];
    g_assert_nonnull(found); /* no snapshot is put together from two */
    g_assert_true(!w->installed || found->last_index > w->installed->last_index);
    w->installed = found;
}

static void take_actions(world_t *w)
{
    raft_action_t action;
    while (raft_next_action(w->raft, &action)) {
        if (action.kind == RAFT_ACT_SNAPSHOT)
            check_installed(w, &action.snapshot);
        if (action.kind == RAFT_ACT_SEND && action.type == MSG_SNAPSHOT_ACK) {
            const msg_snapshot_ack_t *const ack = action.message;
            w->next_offset = ack->next_offset;
            w->answered_index = ack->last_index;
            w->done = ack->done;
        }
        raft_action_free(&action);
    }
}

static void give_piece(world_t *w, const sent_t *s, size_t offset)
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
                                  .data_n = (uint32_t)MIN(left, PIECE)};
    raft_receive(w->raft, MSG_SNAPSHOT, &piece, 0);
    take_actions(w);
}

static sent_t *any_snapshot(world_t *w)
{
    return &w->sent[g_rand_int_range(w->random, 0, LEADERS)][g_rand_int_range(w->random, 0, SNAPSHOTS)];
}

/** Pieces as they may come: the one that the member asks for, or any again. */
static void play(world_t *w)
{
    sent_t *s = any_snapshot(w);
    for (int step = 0; step < STEPS; step++) {
        if (g_rand_int_range(w->random, 0, 8) == 0)
            s = any_snapshot(w);
        const bool goes_on = w->answered_index == s->last_index && w->next_offset < s->size;
        const size_t pieces = (s->size + PIECE - 1) / PIECE;
        const bool again = g_rand_int_range(w->random, 0, 6) == 0;
        if (again || !goes_on)
            give_piece(w, s, (size_t)g_rand_int_range(w->random, 0, (gint32)pieces) * PIECE);
        else
            give_piece(w, s, w->next_offset);
    }
}

/** The newest leader sends its newest snapshot in order: it is installed, whatever came before. */
static void finish(world_t *w)
{
    const sent_t *const last = &w->sent[LEADERS - 1][SNAPSHOTS - 1];
    w->done = false;
    for (size_t offset = 0; offset < last->size; offset += PIECE) {
        give_piece(w, last, offset);
        g_assert_cmpuint(w->answered_index, ==, last->last_index);
    }
    g_assert_true(w->done);
    g_assert_cmpuint(w->installed->last_index, ==, last->last_index);
}

static void play_round(guint32 seed)
{
    world_t w = {.random = g_rand_new_with_seed(seed)};
    w.length = g_rand_int_range(w.random, PIECE, (int)sizeof(w.sent[0][0].state));
    for (int leader = 0; leader < LEADERS; leader++)
        for (int n = 0; n < SNAPSHOTS; n++)
            make_snapshot(&w, leader, n);
    const raft_start_t start = {.id = SELF};
    w.raft = raft_create(&start, 0);
    play(&w);
    finish(&w);
    raft_destroy(w.raft);
    for (int leader = 0; leader < LEADERS; leader++)
        for (int n = 0; n < SNAPSHOTS; n++)
            free(w.sent[leader][n].packed);
    g_rand_free(w.random);
}

static void test_in_any_order(void)
{
    for (guint32 seed = 1; seed <= ROUNDS; seed++)
        play_round(seed);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/snapshot-pieces/in-any-order", test_in_any_order);
    return g_test_run();
}
