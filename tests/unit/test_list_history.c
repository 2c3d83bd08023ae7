/* Lists told by differences: what a box makes of them is the list that was told, whatever it had before. */

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "cluster/list.h"
#include "cluster/list_history.h"

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
    void *list;
    uint32_t n;
    uint64_t hash;
} copy_t;

static void follow(copy_t *copy, list_history_t *h)
{
    const list_news_t news = list_history_news(h, copy->hash);
    uint32_t n;
    void *const applied = list_apply(copy->list, copy->n, &news, sizeof(entry_box_t), &n);
    free(copy->list);
    copy->list = applied;
    copy->n = n;
    copy->hash = list_hash(applied, n * sizeof(entry_box_t));
    g_assert_cmpuint(copy->hash, ==, list_history_hash(h));
}

/** Boxes come, go and change; some copies follow each change, some seldom. */
static void test_copies_follow(void)
{
    GRand *const random = g_rand_new_with_seed(1);
    list_history_t *const h = list_history_create(sizeof(entry_box_t));
    bool there[BOXES] = {false};
    uint64_t incarnations[BOXES] = {0};
    copy_t copies[8] = {{0}};
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
        (void)list_history_set(h, list, n);
        for (guint c = 0; c < G_N_ELEMENTS(copies); c++)
            if (g_rand_int_range(random, 0, 1 << c) == 0)
                follow(&copies[c], h);
    }
    for (guint c = 0; c < G_N_ELEMENTS(copies); c++)
        free(copies[c].list);
    list_history_destroy(h);
    g_rand_free(random);
}

/** One box of hundreds that restarts costs a record a box, not the list. */
static void test_one_change(void)
{
    list_history_t *const h = list_history_create(sizeof(entry_box_t));
    entry_box_t list[BOXES];
    for (unsigned i = 0; i < BOXES; i++)
        list[i] = box(i, 1);
    g_assert_true(list_history_set(h, list, BOXES));
    g_assert_false(list_history_set(h, list, BOXES));
    const uint64_t known = list_history_hash(h);
    list[7] = box(7, 2);
    g_assert_true(list_history_set(h, list, BOXES - 1)); /* and the last one is gone */
    const list_news_t news = list_history_news(h, known);
    g_assert_cmpuint(news.base, ==, known);
    g_assert_cmpuint(news.changed_n, ==, 1);
    g_assert_cmpuint(news.gone_n, ==, 1);
    g_assert_cmpstr(news.gone[0].name, ==, "box-299");
    const list_news_t none = list_history_news(h, list_history_hash(h));
    g_assert_cmpuint(none.changed_n + none.gone_n, ==, 0);
    const list_news_t whole = list_history_news(h, 12345);
    g_assert_cmpuint(whole.base, ==, 0);
    g_assert_cmpuint(whole.changed_n, ==, BOXES - 1);
    list_history_destroy(h);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/list-history/copies-follow", test_copies_follow);
    g_test_add_func("/list-history/one-change", test_one_change);
    return g_test_run();
}
