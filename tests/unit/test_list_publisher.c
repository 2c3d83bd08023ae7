/* Lists sent as deltas: a copy equals the published list, whatever state it had before. */

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "lists/list_replica.h"

enum { BOXES = 300, ROUNDS = 400 };

static entry_box_t box(unsigned number, uint64_t incarnation)
{
    entry_box_t b = {.incarnation = incarnation, .ready = true};
    g_snprintf(b.box, sizeof(b.box), "box-%u", number);
    g_snprintf(b.peer_addr, sizeof(b.peer_addr), "10.0.%u.%u:7000", number / 200, number % 200);
    return b;
}

/** A box's copy of the list. */
typedef struct {
    list_publisher_t *publisher;
    list_replica_t *replica;
} copy_t;

static copy_t copy_create(void)
{
    copy_t copy = {.publisher = list_publisher_create(&list_of_entries)};
    copy.replica = list_replica_create(copy.publisher, "copy");
    return copy;
}

static void copy_free(copy_t *copy)
{
    list_replica_destroy(copy->replica);
    list_publisher_destroy(copy->publisher);
}

static void update_copy(const copy_t *copy, list_publisher_t *f, tc_time_t now)
{
    const list_news_t update = list_publisher_update_since(f, list_publisher_hash(copy->publisher));
    (void)list_replica_receive(copy->replica, &update, "feed", now);
    g_assert_cmpuint(list_publisher_hash(copy->publisher), ==, list_publisher_hash(f));
}

/** Boxes start, stop and change; some copies apply each update, some only a few. */
static void test_copies_follow(void)
{
    GRand *const random = g_rand_new_with_seed(1);
    list_publisher_t *const h = list_publisher_create(&list_of_entries);
    bool there[BOXES] = {false};
    uint64_t incarnations[BOXES] = {0};
    copy_t copies[8];
    for (guint c = 0; c < G_N_ELEMENTS(copies); c++)
        copies[c] = copy_create();
    for (int round = 0; round < ROUNDS; round++) {
        entry_box_t list[BOXES];
        memset(list, 0, sizeof(list));
        uint32_t n = 0;
        for (int changes = g_rand_int_range(random, 0, 6); changes > 0; changes--) {
            const int i = g_rand_int_range(random, 0, BOXES);
            there[i] = !there[i];
            incarnations[i]++;
        }
        for (unsigned i = BOXES; i-- > 0;) /* in any order */
            if (there[i])
                list[n++] = box(i, incarnations[i]);
        (void)list_publisher_set(h, list, n);
        for (guint c = 0; c < G_N_ELEMENTS(copies); c++)
            if (g_rand_int_range(random, 0, 1 << c) == 0)
                update_copy(&copies[c], h, round + 1);
    }
    for (guint c = 0; c < G_N_ELEMENTS(copies); c++)
        copy_free(&copies[c]);
    list_publisher_destroy(h);
    g_rand_free(random);
}

/** The restart of one box out of hundreds sends a single record to each box, not the full list. */
static void test_one_change(void)
{
    list_publisher_t *const h = list_publisher_create(&list_of_entries);
    entry_box_t list[BOXES];
    memset(list, 0, sizeof(list));
    for (unsigned i = 0; i < BOXES; i++)
        list[i] = box(i, 1);
    g_assert_true(list_publisher_set(h, list, BOXES));
    g_assert_false(list_publisher_set(h, list, BOXES));
    const uint64_t known = list_publisher_hash(h);
    list[7] = box(7, 2);
    g_assert_true(list_publisher_set(h, list, BOXES - 1)); /* and the last one is removed */
    const list_news_t update = list_publisher_update_since(h, known);
    list_delta_t delta;
    tc_err_t err = {0};
    g_assert_cmpuint(update.base, ==, known);
    g_assert_cmpuint(update.body_n, <, 300);
    g_assert_cmpint(list_unpack(&list_of_entries, update.body, update.body_n, &delta, &err), ==, TC_OK);
    g_assert_cmpuint(delta.changed_n, ==, 1);
    g_assert_cmpuint(delta.gone_n, ==, 1);
    g_assert_cmpstr(delta.gone[0].name, ==, "box-299");
    codec_free(list_of_entries.delta, &delta);
    const list_news_t none = list_publisher_update_since(h, list_publisher_hash(h));
    g_assert_cmpuint(none.body_n, ==, 0);
    g_assert_cmpuint(none.whole, ==, 0);
    const list_news_t full = list_publisher_update_since(h, 12345);
    g_assert_cmpuint(full.base, ==, 0);
    g_assert_cmpint(list_unpack(&list_of_entries, full.body, full.body_n, &delta, &err), ==, TC_OK);
    g_assert_cmpuint(delta.changed_n, ==, BOXES - 1);
    codec_free(list_of_entries.delta, &delta);
    list_publisher_destroy(h);
}

/** Damaged updates change nothing: truncated, corrupted, unsorted, or with the hash of another list. */
static void test_damaged(void)
{
    list_publisher_t *const h = list_publisher_create(&list_of_entries);
    entry_box_t list[2];
    memset(list, 0, sizeof(list));
    list[0] = box(1, 1);
    list[1] = box(2, 1);
    (void)list_publisher_set(h, list, 2);
    copy_t copy = copy_create();
    const list_news_t sound = list_publisher_update_since(h, 0);
    GRand *const random = g_rand_new_with_seed(3);
    for (uint32_t round = 0; round < 500; round++) {
        list_news_t update = sound;
        char *const body = g_memdup2(sound.body, sound.body_n);
        update.body = body;
        update.body_n = (uint32_t)g_rand_int_range(random, 1, (gint32)sound.body_n + 1);
        const bool cut = update.body_n < sound.body_n;
        const gint32 at = g_rand_int_range(random, 0, (gint32)update.body_n);
        const bool corrupted = round % 2 == 0;
        body[at] = (char)(body[at] ^ (corrupted ? 1 + (int)(round % 255) : 0));
        update.hash += round % 5 == 0 ? 2 : 0;
        const bool applied = list_replica_receive(copy.replica, &update, "feed", round + 1);
        g_assert_true(applied ? list_publisher_hash(copy.publisher) == sound.hash
                              : list_publisher_hash(copy.publisher) == 0);
        g_assert_false(applied && (cut || round % 5 == 0));
        if (applied) {
            copy_free(&copy);
            copy = copy_create();
        }
        g_free(body);
    }
    const list_delta_t backwards = {.changed = (entry_box_t[]){list[1], list[0]}, .changed_n = 2};
    size_t size;
    char *const packed = list_pack(&list_of_entries, &backwards, &size);
    const list_news_t update = {.hash = sound.hash, .body = packed, .body_n = (uint32_t)size};
    g_assert_false(list_replica_receive(copy.replica, &update, "feed", 1000));
    free(packed);
    g_rand_free(random);
    copy_free(&copy);
    list_publisher_destroy(h);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/list-publisher/copies-follow", test_copies_follow);
    g_test_add_func("/list-publisher/one-change", test_one_change);
    g_test_add_func("/list-publisher/damaged", test_damaged);
    return g_test_run();
}
