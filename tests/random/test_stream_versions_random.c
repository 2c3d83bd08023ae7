/* Random test of the versions that streams are bound to, against an oracle that knows which version began each stream.
 *
 * Guards against streams that go on at another software version than the one that began them, while releases, deaths of
 * boxes and leaders, and cut boxes overlap. The parts are those of the programs: tables of streams, histories of
 * versions and the decision; messages between them are delivered here. */

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "backend/version_history.h"
#include "cluster/stream_versions.h"
#include "common/time.h"
#include "forward/version_step.h"

enum {
    NODES = 5, /* boxes; the first CONTROLS of them are control boxes too */
    CONTROLS = 3,
    ENGINE_SLOTS = 6,
    STEP_MS = 10,
    SPAN_MS = 120 * 1000,
    REPORT_MS = 300,
    SYNC_MS = 50,
    LIST_LAG_MS = 300,
    CURRENT_MS = 2000,
    FIRST_CONTACT_MS = 500,
    REPORTED_MS = 400,
    ELECTION_MS = 1200,
    TAKE_UP_MS = 8000, /* streams are taken up until then */
    WAIT_MS = 2000
};

typedef struct {
    stream_versions_t *streams;
    version_history_t *versions;
    backend_t list[ENGINE_SLOTS];
    uint32_t listed;
    tc_time_t list_at, report_at, contact_at, created, cut_until;
} box_t;

typedef struct {
    stream_versions_t *streams;
    version_history_t *versions;
    uint64_t sent;
} control_t;

typedef struct {
    uint64_t key;
    unsigned version;
    tc_time_t at;
} oracle_stream_t;

/** A stream that waits at a box. */
typedef struct {
    oracle_stream_t stream;
    int box;
    tc_time_t since, created, unknown_since;
    bool was_asked;
} waiting_t;

typedef struct {
    GRand *random;
    tc_time_t now;
    box_t boxes[NODES];
    control_t controls[CONTROLS];
    int leader; /* -1: none */
    uint64_t term;
    tc_time_t elected_at, synced_at;
    backend_t engines[ENGINE_SLOTS];
    unsigned version[ENGINE_SLOTS];
    unsigned next_version;
    GArray *streams; /* oracle_stream_t */
    GArray *waiting; /* waiting_t */
    uint64_t next_key;
    unsigned taken_up, went_on, refused, lost, mixed;
} world_t;

static bool chance(const world_t *w, double per_second)
{
    return g_rand_double(w->random) < per_second * STEP_MS / 1000.0;
}

static int pick(const world_t *w, int n)
{
    return g_rand_int_range(w->random, 0, n);
}

/* ===== Engines and lists ===== */

static void start_engine(world_t *w, int i, unsigned version)
{
    static unsigned lives;
    backend_t *const b = &w->engines[i];
    memset(b, 0, sizeof(*b));
    g_snprintf(b->id, sizeof(b->id), "i-%u", ++lives);
    g_strlcpy(b->service, "lm", sizeof(b->service));
    g_strlcpy(b->stage, "decode", sizeof(b->stage));
    g_snprintf(b->version, sizeof(b->version), "v%u", version);
    w->version[i] = version;
}

static void take_list(const world_t *w, box_t *b)
{
    memcpy(b->list, w->engines, sizeof(b->list));
    b->listed = ENGINE_SLOTS;
    b->list_at = w->now;
    version_history_set_list(b->versions, b->list, b->listed, w->now);
}

static bool is_cut(const world_t *w, const box_t *b)
{
    return w->now < b->cut_until;
}

/** A version that the box may choose for a stream that is not bound: that of any engine that it has listed. */
static unsigned choose_any(const world_t *w, const box_t *b)
{
    return (unsigned)atoi(b->list[pick(w, (int)b->listed)].version + 1);
}

/* ===== Messages ===== */

static void report(world_t *w, box_t *b)
{
    b->report_at = w->now + REPORT_MS;
    if (w->leader < 0 || is_cut(w, b))
        return;
    stream_version_t *list;
    uint32_t n;
    stream_versions_fill_report(b->streams, version_history_is_mixed(b->versions, w->now), &list, &n, w->now);
    stream_versions_apply(w->controls[w->leader].streams, list, n, w->now);
    free(list);
    if (stream_versions_confirm_report(b->streams, w->term))
        b->report_at = w->now;
    left_version_t *const left = version_history_list_left(w->controls[w->leader].versions, &n, w->now);
    for (uint32_t i = 0; i < n; i++)
        version_history_add_left(b->versions, &left[i], w->now);
    free(left);
    b->contact_at = w->now;
}

static void sync_controls(world_t *w)
{
    w->synced_at = w->now;
    control_t *const leader = &w->controls[w->leader];
    stream_version_t *list;
    uint32_t n;
    leader->sent = stream_versions_list_changes(leader->streams, leader->sent, &list, &n, w->now);
    for (int i = 0; i < CONTROLS; i++)
        if (i != w->leader)
            stream_versions_apply(w->controls[i].streams, list, n, w->now);
    free(list);
}

/* ===== Faults ===== */

static void restart_box(world_t *w, int i)
{
    box_t *const b = &w->boxes[i];
    if (b->streams)
        stream_versions_destroy(b->streams);
    if (b->versions)
        version_history_destroy(b->versions);
    *b = (box_t){.streams = stream_versions_create(), .versions = version_history_create(), .created = w->now};
    take_list(w, b);
}

static void lose_leader(world_t *w)
{
    w->leader = -1;
    w->elected_at = w->now + ELECTION_MS;
}

/** The box dies, and with it its control program. */
static void kill_box(world_t *w, int i)
{
    restart_box(w, i);
    if (i >= CONTROLS)
        return;
    stream_versions_destroy(w->controls[i].streams);
    w->controls[i].streams = stream_versions_create();
    if (i == w->leader)
        lose_leader(w);
}

static void inject(world_t *w)
{
    if (chance(w, 0.1))
        kill_box(w, pick(w, NODES));
    if (chance(w, 0.05) && w->leader >= 0)
        lose_leader(w);
    if (chance(w, 0.1))
        w->boxes[pick(w, NODES)].cut_until = w->now + pick(w, 8000);
    if (chance(w, 0.08)) /* a release begins */
        w->next_version = w->next_version % 3 + 1;
    if (chance(w, 1))
        start_engine(w, pick(w, ENGINE_SLOTS), w->next_version);
    if (w->leader < 0 && w->now >= w->elected_at) {
        w->leader = pick(w, CONTROLS);
        w->controls[w->leader].sent = stream_versions_seq(w->controls[w->leader].streams);
        w->term++;
    }
}

/* ===== Streams ===== */

static void begin_stream(world_t *w)
{
    box_t *const b = &w->boxes[pick(w, NODES)];
    const oracle_stream_t s = {.key = ++w->next_key, .version = choose_any(w, b), .at = w->now};
    char version[16];
    g_snprintf(version, sizeof(version), "v%u", s.version);
    stream_versions_add(b->streams, s.key, version, w->now, w->now);
    if (w->leader >= 0 && !is_cut(w, b) && version_history_count(b->versions, "lm", w->now) > 1)
        stream_versions_add(w->controls[w->leader].streams, s.key, version, w->now, w->now);
    g_array_append_val(w->streams, s);
}

static version_view_t view_of(const world_t *w, const waiting_t *t)
{
    const box_t *const b = &w->boxes[t->box];
    const tc_time_t waited = w->now - t->since;
    const bool reported = t->unknown_since && w->now - t->unknown_since >= REPORTED_MS;
    return (version_view_t){.is_taken_up = true,
                            .names_attempt = true,
                            .is_known = stream_versions_find(b->streams, t->stream.key, w->now),
                            .can_ask = w->leader >= 0 && b->contact_at && w->now - b->contact_at < 2 * REPORT_MS &&
                                       !is_cut(w, b),
                            .was_asked = t->was_asked,
                            .versions = version_history_count(b->versions, "lm", w->now),
                            .is_current = w->now - b->list_at <= CURRENT_MS || w->now - b->contact_at <= CURRENT_MS,
                            .awaits_leader = b->contact_at == 0 && waited < FIRST_CONTACT_MS,
                            .may_wait = !reported && waited < WAIT_MS};
}

static void ask_leader(const world_t *w, waiting_t *t)
{
    const control_t *const leader = &w->controls[w->leader];
    const char *const told = stream_versions_find(leader->streams, t->stream.key, w->now);
    if (told)
        stream_versions_add(w->boxes[t->box].streams, t->stream.key, told, w->now, w->now);
    t->was_asked = !told;
    if (!told && !t->unknown_since)
        t->unknown_since = w->now;
}

static void go_on(world_t *w, const waiting_t *t, unsigned version)
{
    w->went_on++;
    w->mixed += version != t->stream.version;
}

/** Takes the next steps of a stream that is taken up. @return whether it waits on */
static bool proceed(world_t *w, waiting_t *t)
{
    const box_t *const b = &w->boxes[t->box];
    if (b->created != t->created) {
        w->lost++; /* its box has died */
        return false;
    }
    for (;;) {
        const version_view_t view = view_of(w, t);
        switch (version_next_step(&view)) {
        case VERSION_ANY: go_on(w, t, choose_any(w, b)); return false;
        case VERSION_BOUND:
            go_on(w, t, (unsigned)atoi(stream_versions_find(b->streams, t->stream.key, w->now) + 1));
            return false;
        case VERSION_ASK: ask_leader(w, t); break;
        case VERSION_WAIT: t->was_asked = false; return true;
        case VERSION_REFUSE:
        default: w->refused++; return false;
        }
    }
}

static void take_one_up(world_t *w)
{
    const guint from = w->streams->len > 200 ? w->streams->len - 200 : 0;
    waiting_t t = {.since = w->now, .box = pick(w, NODES)};
    t.created = w->boxes[t.box].created;
    t.stream =
        g_array_index(w->streams, oracle_stream_t, (guint)g_rand_int_range(w->random, (int)from, (int)w->streams->len));
    if (w->now - t.stream.at > TAKE_UP_MS)
        return;
    w->taken_up++;
    g_array_append_val(w->waiting, t);
}

static void drive_waiting(world_t *w)
{
    for (guint i = w->waiting->len; i-- > 0;)
        if (!proceed(w, &g_array_index(w->waiting, waiting_t, i)))
            g_array_remove_index_fast(w->waiting, i);
}

/* ===== Running ===== */

static void step(world_t *w)
{
    inject(w);
    for (int i = 0; i < NODES; i++) {
        box_t *const b = &w->boxes[i];
        if (!is_cut(w, b) && w->now - b->list_at >= LIST_LAG_MS)
            take_list(w, b);
        if (w->now >= b->report_at)
            report(w, b);
    }
    for (int i = 0; i < CONTROLS; i++)
        version_history_set_list(w->controls[i].versions, w->engines, ENGINE_SLOTS, w->now);
    if (w->leader >= 0 && w->now - w->synced_at >= SYNC_MS)
        sync_controls(w);
    if (chance(w, 20))
        begin_stream(w);
    if (chance(w, 5) && w->streams->len > 0)
        take_one_up(w);
    drive_waiting(w);
}

static void create(world_t *w, guint32 seed)
{
    *w = (world_t){.random = g_rand_new_with_seed(seed), .now = 1000 * 1000, .leader = 0, .term = 1, .next_version = 1};
    w->streams = g_array_new(FALSE, FALSE, sizeof(oracle_stream_t));
    w->waiting = g_array_new(FALSE, FALSE, sizeof(waiting_t));
    for (int i = 0; i < ENGINE_SLOTS; i++)
        start_engine(w, i, 1);
    for (int i = 0; i < CONTROLS; i++)
        w->controls[i] = (control_t){.streams = stream_versions_create(), .versions = version_history_create()};
    for (int i = 0; i < NODES; i++)
        restart_box(w, i);
}

static void destroy(world_t *w)
{
    for (int i = 0; i < NODES; i++) {
        stream_versions_destroy(w->boxes[i].streams);
        version_history_destroy(w->boxes[i].versions);
    }
    for (int i = 0; i < CONTROLS; i++) {
        stream_versions_destroy(w->controls[i].streams);
        version_history_destroy(w->controls[i].versions);
    }
    g_array_free(w->streams, TRUE);
    g_array_free(w->waiting, TRUE);
    g_rand_free(w->random);
}

static guint32 seeds_first(void)
{
    const char *const text = g_getenv("RANDOM_FIRST");
    return text ? (guint32)strtoul(text, NULL, 10) : 1;
}

static guint32 seeds_count(void)
{
    const char *const text = g_getenv("RANDOM_SEEDS");
    return text ? (guint32)strtoul(text, NULL, 10) : 20;
}

/** The users' bounds are two mixed streams in a day, and half of the others go on. */
static void test_world(void)
{
    unsigned taken_up = 0, mixed = 0, refused = 0;
    for (guint32 seed = seeds_first(); seed < seeds_first() + seeds_count(); seed++) {
        world_t w;
        create(&w, seed);
        for (tc_time_t end = w.now + SPAN_MS; w.now < end; w.now += STEP_MS)
            step(&w);
        if (w.mixed > 2)
            g_test_message("seed %u: %u of %u mixed", seed, w.mixed, w.taken_up);
        g_assert_cmpuint(w.mixed, <=, 2);
        g_assert_cmpuint(2 * w.went_on, >=, w.taken_up);
        taken_up += w.taken_up;
        mixed += w.mixed;
        refused += w.refused;
        destroy(&w);
    }
    g_test_message("%u taken up, %u refused, %u mixed", taken_up, refused, mixed);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/stream-versions/random", test_world);
    return g_test_run();
}
