/* Lists on their way to a thousand boxes: a leader that has them, control boxes that serve them, and boxes behind
 * narrow links, in one process. The feeds and mirrors are the real ones; links, losses, restarts and changes of leader
 * are drawn by seed, and time passes in steps.
 *
 * Seen: 43 s after the start of 995 boxes the last one had the list of 9,998 back ends. How it came about: the leader
 * alone told it, whole, to each box, 1.2 MB a box out of 6 MB a second. Cause: what was told grew by boxes times back
 * ends and went through one link. What proved it: the counts below, of bytes that leave the leader and of the time
 * until all have the list, at two sizes.
 */

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "lists/list_budget.h"
#include "lists/list_mirror.h"

/* ===== World ===== */

enum {
    STEP_MS = 5,
    REPORT_MS = 300,
    FOLLOW_MS = 100, /* the same of control boxes */
    CALL_MS = 1000,  /* for an answer */
    WAY_MS = 2,
    SERVERS = 10, /* control boxes, the leader among them */
    BOXES_MAX = 1000,
    RECORDS_MAX = 1024,
    HEAD_BYTES = 100 /* of a message beside what it tells */
};

/** Links and lists are a fifth of those of a large fleet, so that its copies fit into one process. */
static const double BOX_BYTES_MS = 250, SERVER_BYTES_MS = 25000, BUDGET_BYTES_S = 6e6;

typedef struct {
    bool there;
    uint64_t state; /* changes with the record */
} item_t;

typedef struct node {
    raft_member_t self; /* its peer address names it */
    list_feed_t *feed;
    list_mirror_t *mirror; /* NULL: it makes the list */
    list_budget_t budget;
    double bytes_ms;              /* of its link, each way */
    double out_free, in_free;     /* when that is free */
    uint64_t out_bytes, in_bytes; /* in all, */
    uint64_t wait_ms;             /* and the longest time that something waited for its link */
    tc_time_t report_at, down_until, cut_until;
} node_t;

/** An answer on its way. */
typedef struct {
    tc_time_t at;
    node_t *to;
    uint64_t life; /* of the receiver when it asked: a restarted one hears nothing */
    bool is_news;
    list_news_t news; /* body owned */
    msg_list_piece_t piece;
    bool lost;
    char from[CODEC_STR_SIZE];
    tc_time_t as_of;
} flight_t;

typedef struct {
    GRand *random;
    double loss;
    node_t servers[SERVERS], boxes[BOXES_MAX];
    uint64_t lives[SERVERS + BOXES_MAX];
    unsigned boxes_n, leader, records;
    raft_member_t members[SERVERS];
    item_t items[RECORDS_MAX];
    GPtrArray *flights; /* flight_t */
    GHashTable *made;   /* hashes of all states that a leader had */
    tc_time_t now, made_at;
} world_t;

static bool is_server(const world_t *w, const node_t *n)
{
    return n >= w->servers && n < w->servers + SERVERS;
}

static uint64_t *life_of(world_t *w, const node_t *n)
{
    return is_server(w, n) ? &w->lives[n - w->servers] : &w->lives[SERVERS + (n - w->boxes)];
}

/* ===== Lists ===== */

/** Long names that don't pack: as long as those of a large fleet, packed. */
static void fill_record(backend_t *b, unsigned number, uint64_t state)
{
    memset(b, 0, sizeof(*b));
    GRand *const random = g_rand_new_with_seed(number + 1);
    int at = g_snprintf(b->id, sizeof(b->id), "%05u-", number);
    for (; at < 80; at++)
        b->id[at] = (char)g_rand_int_range(random, '0', 'z');
    for (at = 0; at < 80; at++)
        b->addr[at] = (char)g_rand_int_range(random, '0', 'z');
    g_rand_free(random);
    b->slots = (uint32_t)state;
}

static void make_list(world_t *w, node_t *leader)
{
    backend_t *const list = g_new0(backend_t, w->records + 1);
    uint32_t n = 0;
    for (unsigned i = 0; i < w->records; i++)
        if (w->items[i].there)
            fill_record(&list[n++], i, w->items[i].state);
    w->made_at = w->now;
    if (leader->mirror)
        (void)list_mirror_set(leader->mirror, list, n, w->now);
    else
        (void)list_feed_set(leader->feed, list, n);
    g_hash_table_add(w->made, g_memdup2(&(uint64_t){list_feed_hash(leader->feed)}, sizeof(uint64_t)));
    g_free(list);
}

static void change_items(world_t *w, unsigned changes)
{
    for (; changes > 0; changes--) {
        item_t *const item = &w->items[g_rand_int_range(w->random, 0, (gint32)w->records)];
        if (g_rand_double(w->random) < 0.5)
            item->there = !item->there;
        item->state++;
    }
}

/* ===== Links ===== */

static bool is_up(const world_t *w, const node_t *n)
{
    return w->now >= n->down_until && w->now >= n->cut_until;
}

/** When a message that leaves now is there. */
static tc_time_t carry(world_t *w, node_t *from, node_t *to, size_t bytes)
{
    const double out_from = MAX(from->out_free, (double)w->now);
    from->out_free = out_from + (double)bytes / from->bytes_ms;
    const double in_from = MAX(to->in_free, from->out_free + WAY_MS);
    to->in_free = in_from + (double)bytes / to->bytes_ms;
    from->out_bytes += bytes;
    to->in_bytes += bytes;
    from->wait_ms = MAX(from->wait_ms, (uint64_t)(out_from - (double)w->now));
    return (tc_time_t)to->in_free + 1;
}

static flight_t *answer(world_t *w, node_t *from, node_t *to, size_t bytes)
{
    flight_t *const f = g_new0(flight_t, 1);
    f->to = to;
    f->life = *life_of(w, to);
    f->lost = !is_up(w, from) || !is_up(w, to) || g_rand_double(w->random) < w->loss;
    f->at = f->lost ? w->now + CALL_MS : carry(w, from, to, bytes + HEAD_BYTES);
    codec_copy_string(f->from, sizeof(f->from), from->self.peer);
    g_ptr_array_add(w->flights, f);
    return f;
}

static char *copy_bytes(const char *data, uint32_t n)
{
    return n > 0 ? g_memdup2(data, n) : NULL;
}

static tc_time_t time_of(const world_t *w, const node_t *n)
{
    return n->mirror ? list_mirror_time(n->mirror) : w->made_at;
}

/** A box, or another control box, reports to one and is told what it lacks, as far as that one's budget goes. */
static void report(world_t *w, node_t *box, node_t *to)
{
    const tc_time_t as_of = time_of(w, to);
    list_news_t news = list_feed_update_since(to->feed, list_feed_hash(box->feed));
    if (news.body_n > 0 && !list_budget_take(&to->budget, news.body_n, 0, w->now))
        news = (list_news_t){0};
    flight_t *const f = answer(w, to, box, news.body_n);
    f->is_news = true;
    f->news = news;
    f->news.body = copy_bytes(news.body, news.body_n);
    f->as_of = as_of;
}

static node_t *find_node(world_t *w, const char *addr)
{
    for (int i = 0; i < SERVERS; i++)
        if (strcmp(w->servers[i].self.peer, addr) == 0)
            return &w->servers[i];
    return &w->boxes[g_ascii_strtoull(addr + 1, NULL, 10)];
}

static void fetch(world_t *w, node_t *n)
{
    list_request_t ask;
    const list_sources_t sources = {
        .list = w->members, .n = is_server(w, n) ? 0 : SERVERS, .except = w->servers[w->leader].self.peer};
    while (n->mirror && list_mirror_next_request(n->mirror, &sources, w->now, &ask)) {
        node_t *const from = find_node(w, ask.addr);
        const msg_list_piece_t piece = list_feed_piece(from->feed, ask.message.hash, ask.message.offset);
        flight_t *const f = answer(w, from, n, piece.data_n);
        f->piece = piece;
        f->piece.data = copy_bytes(piece.data, piece.data_n);
    }
}

static void land(world_t *w, flight_t *f)
{
    node_t *const n = f->to;
    if (f->life == *life_of(w, n) && n->mirror) {
        const tc_time_t before = list_mirror_time(n->mirror);
        if (f->is_news && !f->lost)
            (void)list_mirror_receive(n->mirror, &f->news, f->from, f->as_of);
        else if (!f->is_news)
            (void)list_mirror_add_piece(n->mirror, f->lost ? NULL : &f->piece, w->now);
        g_assert_cmpint(list_mirror_time(n->mirror), >=, before); /* never back */
        const uint64_t hash = list_feed_hash(n->feed);
        g_assert_true(hash == 0 || g_hash_table_contains(w->made, &hash)); /* no list that nobody made */
    }
    g_free(f->news.body);
    g_free(f->piece.data);
    g_free(f);
}

/* ===== Life ===== */

static void start_node(world_t *w, node_t *n, const char *addr, double bytes_ms)
{
    *n = (node_t){.bytes_ms = bytes_ms, .budget = {.rate = BUDGET_BYTES_S}};
    codec_copy_string(n->self.peer, sizeof(n->self.peer), addr);
    n->feed = list_feed_create(&list_of_backends);
    n->mirror = list_mirror_create(n->feed, addr);
    n->report_at = w->now + g_rand_int_range(w->random, 0, is_server(w, n) ? FOLLOW_MS : REPORT_MS);
    ++*life_of(w, n);
}

static void stop_node(node_t *n)
{
    list_mirror_destroy(n->mirror);
    list_feed_destroy(n->feed);
}

static void restart_node(world_t *w, node_t *n, tc_time_t down)
{
    char addr[CODEC_STR_SIZE];
    const double bytes_ms = n->bytes_ms;
    codec_copy_string(addr, sizeof(addr), n->self.peer);
    stop_node(n);
    start_node(w, n, addr, bytes_ms);
    n->down_until = w->now + down;
}

static world_t *begin(uint32_t seed, unsigned boxes, unsigned records)
{
    world_t *const w = g_new0(world_t, 1);
    w->random = g_rand_new_with_seed(seed);
    w->now = 100000;
    w->boxes_n = boxes;
    w->records = records;
    w->flights = g_ptr_array_new();
    w->made = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    char addr[16];
    for (unsigned i = 0; i < SERVERS; i++) {
        g_snprintf(addr, sizeof(addr), "s%u", i);
        start_node(w, &w->servers[i], addr, SERVER_BYTES_MS);
        w->members[i] = w->servers[i].self;
    }
    for (unsigned i = 0; i < boxes; i++) {
        g_snprintf(addr, sizeof(addr), "b%u", i);
        start_node(w, &w->boxes[i], addr, BOX_BYTES_MS);
    }
    for (unsigned i = 0; i < records; i++)
        w->items[i].there = true;
    make_list(w, &w->servers[w->leader]);
    return w;
}

static void end(world_t *w)
{
    for (unsigned i = 0; i < SERVERS; i++)
        stop_node(&w->servers[i]);
    for (unsigned i = 0; i < w->boxes_n; i++)
        stop_node(&w->boxes[i]);
    for (guint i = 0; i < w->flights->len; i++) {
        flight_t *const f = g_ptr_array_index(w->flights, i);
        g_free(f->news.body);
        g_free(f->piece.data);
        g_free(f);
    }
    g_ptr_array_free(w->flights, TRUE);
    g_hash_table_destroy(w->made);
    g_rand_free(w->random);
    g_free(w);
}

/** @param is_leader it has nobody to report to */
static void step_node(world_t *w, node_t *n, bool is_leader)
{
    if (w->now < n->down_until)
        return;
    if (!is_leader && w->now >= n->report_at) {
        n->report_at = w->now + (is_server(w, n) ? FOLLOW_MS : REPORT_MS);
        report(w, n, &w->servers[w->leader]);
    }
    fetch(w, n);
}

static void step(world_t *w)
{
    w->now += STEP_MS;
    for (guint i = w->flights->len; i-- > 0;) {
        flight_t *const f = g_ptr_array_index(w->flights, i);
        if (w->now < f->at)
            continue;
        g_ptr_array_remove_index_fast(w->flights, i);
        land(w, f);
    }
    for (unsigned i = 0; i < SERVERS; i++)
        step_node(w, &w->servers[i], i == w->leader);
    for (unsigned i = 0; i < w->boxes_n; i++)
        step_node(w, &w->boxes[i], false);
}

static bool have_all(const world_t *w)
{
    const uint64_t hash = list_feed_hash(w->servers[w->leader].feed);
    for (unsigned i = 0; i < w->boxes_n; i++)
        if (list_feed_hash(w->boxes[i].feed) != hash)
            return false;
    return true;
}

/** @return how long it takes until all boxes have the leader's list, ms */
static tc_time_t settle(world_t *w, tc_time_t most)
{
    const tc_time_t from = w->now;
    while (!have_all(w)) {
        step(w);
        g_assert_cmpint(w->now - from, <, most);
    }
    return w->now - from;
}

/* ===== What it costs, at two sizes ===== */

typedef struct {
    tc_time_t start_ms;                       /* until all boxes have the list, when all start at once */
    double leader_start, server_most, box_in; /* bytes of the leader and of the busiest other control box, and of the
                                                 busiest box, in that time */
    double leader_change, box_change;         /* the same a change of some records */
    tc_time_t change_ms;
} cost_t;

static cost_t measure(unsigned boxes, unsigned records)
{
    enum { CHANGES = 5, CHANGED = 3 };
    world_t *const w = begin(boxes, boxes, records);
    cost_t cost = {.start_ms = settle(w, 30000)};
    cost.leader_start = (double)w->servers[w->leader].out_bytes;
    for (unsigned i = 0; i < SERVERS; i++)
        if (i != w->leader)
            cost.server_most = MAX(cost.server_most, (double)w->servers[i].out_bytes);
    for (unsigned i = 0; i < boxes; i++)
        cost.box_in = MAX(cost.box_in, (double)w->boxes[i].in_bytes);
    const uint64_t before = w->servers[w->leader].out_bytes, box_before = w->boxes[0].in_bytes;
    for (int i = 0; i < CHANGES; i++) {
        change_items(w, CHANGED);
        make_list(w, &w->servers[w->leader]);
        g_assert_false(have_all(w));
        const tc_time_t took = settle(w, 30000);
        cost.change_ms = MAX(cost.change_ms, took);
    }
    cost.leader_change = (double)(w->servers[w->leader].out_bytes - before) / CHANGES;
    cost.box_change = (double)(w->boxes[0].in_bytes - box_before) / CHANGES;
    end(w);
    return cost;
}

/** Twice the boxes before twice the back ends: what passes through the leader grows with boxes and not with their
 * product with back ends, the other control boxes share what is fetched, and the time until all have it stays the same
 * but for what a box's own link takes. */
static void test_growth(void)
{
    const cost_t one = measure(500, 150), two = measure(1000, 300);
    g_test_message("500 boxes: %d ms, leader %.0f KB, other %.0f KB, box %.0f KB, a change %d ms, %.0f KB, %.0f B",
                   (int)one.start_ms, one.leader_start / 1e3, one.server_most / 1e3, one.box_in / 1e3,
                   (int)one.change_ms, one.leader_change / 1e3, one.box_change);
    g_test_message("1000 boxes: %d ms, leader %.0f KB, other %.0f KB, box %.0f KB, a change %d ms, %.0f KB, %.0f B",
                   (int)two.start_ms, two.leader_start / 1e3, two.server_most / 1e3, two.box_in / 1e3,
                   (int)two.change_ms, two.leader_change / 1e3, two.box_change);
    g_assert_cmpfloat(two.leader_start, <=, 2.4 * one.leader_start);
    g_assert_cmpfloat(two.server_most, <=, 0.25 * 1000 * two.box_in); /* of ten; the hash spreads by chance */
    g_assert_cmpfloat(two.box_in, <=, 2.4 * one.box_in);
    g_assert_cmpint(two.start_ms, <=, 2 * one.start_ms + REPORT_MS);
    g_assert_cmpfloat(two.leader_change, <=, 2.4 * one.leader_change);
    g_assert_cmpfloat(two.box_change, <=, 1.3 * one.box_change);
    g_assert_cmpint(two.change_ms, <=, one.change_ms + REPORT_MS);
}

/* ===== Whatever happens ===== */

static unsigned other_server(world_t *w)
{
    unsigned i;
    do
        i = (unsigned)g_rand_int_range(w->random, 0, SERVERS);
    while (i == w->leader || !is_up(w, &w->servers[i]));
    return i;
}

/** The leader is gone, and another control box leads, with the list that it has, until it makes one by itself. */
static void lose_leader(world_t *w)
{
    const unsigned next = other_server(w);
    restart_node(w, &w->servers[w->leader], 1000);
    w->leader = next;
    make_list(w, &w->servers[w->leader]);
}

static void disturb(world_t *w)
{
    const double what = g_rand_double(w->random);
    node_t *const box = &w->boxes[g_rand_int_range(w->random, 0, (gint32)w->boxes_n)];
    if (what < 0.02)
        lose_leader(w);
    else if (what < 0.05)
        restart_node(w, &w->servers[other_server(w)], 800);
    else if (what < 0.4)
        restart_node(w, box, 500);
    else if (what < 0.6)
        box->cut_until = w->now + 3000;
    else if (what < 0.62)
        for (unsigned i = 0; i < w->boxes_n; i++)
            restart_node(w, &w->boxes[i], 1000);
}

static void play(uint32_t seed)
{
    GRand *const sizes = g_rand_new_with_seed(seed);
    const unsigned boxes = (unsigned)g_rand_int_range(sizes, 5, 120);
    const unsigned records = (unsigned)g_rand_int_range(sizes, 3, 300);
    g_rand_free(sizes);
    world_t *const w = begin(seed, boxes, records);
    w->loss = 0.05;
    for (int i = 0; i < 2000; i++) {
        if (g_rand_double(w->random) < 0.02)
            disturb(w);
        if (g_rand_double(w->random) < 0.02) {
            change_items(w, (unsigned)g_rand_int_range(w->random, 1, 40));
            make_list(w, &w->servers[w->leader]);
        }
        step(w);
    }
    w->loss = 0;
    (void)settle(w, 20000); /* all have it, once nothing happens any more */
    end(w);
}

static void test_random(void)
{
    const char *const text = g_getenv("RANDOM_SEEDS");
    const unsigned seeds = text ? (unsigned)atoi(text) : 40;
    for (uint32_t seed = 1; seed <= seeds; seed++)
        play(seed);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/lists-random/growth", test_growth);
    g_test_add_func("/lists-random/whatever-happens", test_random);
    return g_test_run();
}
