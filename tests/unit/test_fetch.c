/* Fetching a document in pieces from boxes that lack it, stop answering, damage it, or have compressed it differently.
 * The boxes are fakes in the event loop of the test, and answer from the document that they are given. */

#include <glib.h>
#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>
#include <zstd.h>

#include "cluster/fetch.h"
#include "common/codec.h"
#include "harness/lab.h"

enum { BOXES = 3 };

/* ===== Fixture ===== */

/** A box that may have a document. */
typedef struct {
    peer_net_t *net;
    char addr[32];
    document_t document;
    unsigned asked;       /* requests for pieces */
    unsigned fails_after; /* stops answering after so many requests; 0: never */
    bool damages;         /* corrupts a byte of every piece */
} box_t;

typedef struct {
    loop_t *loop;
    box_t boxes[BOXES];
    raft_member_t members[BOXES];
    uint32_t members_n; /* known to the fetching box */
    char own[32];
    peer_net_t *net;
    fetch_t *fetch;
    GString *text;   /* of the last complete document */
    GArray *arrived; /* uint64_t: versions in the order of arrival */
    uint64_t want;
} fixture_t;

static void answer(void *arg, peer_call_t call, const char *from, uint32_t type, const void *message)
{
    box_t *const box = arg;
    (void)from;
    if (type != MSG_FETCH_PIECE || (box->fails_after > 0 && ++box->asked > box->fails_after))
        return;
    msg_piece_t reply = {.piece = document_piece(&box->document, message)};
    char *const data = g_memdup2(reply.piece.data, reply.piece.data_n);
    if (box->damages && data)
        data[0] ^= 1;
    reply.piece.data = data;
    peer_reply(box->net, call, MSG_PIECE, &reply);
    g_free(data);
}

static bool append(void *arg, const char *data, size_t size)
{
    g_string_append_len(arg, data, (gssize)size);
    return true;
}

static void on_complete(void *arg, document_t *document, const char *from)
{
    fixture_t *const f = arg;
    tc_err_t err = {0};
    (void)from;
    g_string_truncate(f->text, 0);
    g_assert_cmpint(document_read(document, append, f->text, &err), ==, TC_OK);
    g_array_append_val(f->arrived, document->version);
}

static uint32_t sources(void *arg, const raft_member_t **list)
{
    const fixture_t *const f = arg;
    *list = f->members;
    return f->members_n;
}

static peer_net_t *open_net(loop_t *loop, const char *addr, peer_handler_t handler, void *arg)
{
    tc_err_t err = {0};
    const peer_options_t options = {
        .box = addr, .incarnation = 1, .listen = addr, .key_file = "", .handler = handler, .arg = arg};
    peer_net_t *const net = peer_create(loop, &options, &err);
    g_assert_nonnull(net);
    return net;
}

static void ignore_message(void *arg, peer_call_t call, const char *from, uint32_t type, const void *message)
{
    (void)arg, (void)call, (void)from, (void)type, (void)message; /* this box gets no calls */
}

static void on_tick(void *arg)
{
    fetch_tick(((fixture_t *)arg)->fetch, tc_time_now());
}

static void set_up(fixture_t *f, gconstpointer data)
{
    (void)data;
    f->loop = loop_create();
    f->text = g_string_new(NULL);
    f->arrived = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    for (int i = 0; i < BOXES; i++) {
        box_t *const box = &f->boxes[i];
        lab_unused_addr(box->addr);
        box->net = open_net(f->loop, box->addr, answer, box);
        codec_copy_string(f->members[i].peer, sizeof(f->members[i].peer), box->addr);
    }
    f->members_n = BOXES;
    lab_unused_addr(f->own);
    f->net = open_net(f->loop, f->own, ignore_message, NULL);
    const fetch_events_t events = {.on_complete = on_complete, .sources = sources, .arg = f};
    f->fetch = fetch_create(f->net, f->own, &events);
    loop_add_tick(f->loop, 20, on_tick, f);
}

static void tear_down(fixture_t *f, gconstpointer data)
{
    (void)data;
    loop_remove_ticks(f->loop, f);
    fetch_stop(f->fetch);
    peer_destroy(f->net);
    fetch_destroy(f->fetch);
    for (int i = 0; i < BOXES; i++) {
        peer_destroy(f->boxes[i].net);
        codec_free(&document_desc, &f->boxes[i].document);
    }
    g_array_free(f->arrived, TRUE);
    g_string_free(f->text, TRUE);
    loop_destroy(f->loop);
}

/* ===== Documents ===== */

/** A text whose packed size is about ten pieces. */
static char *make_text(guint32 seed)
{
    GRand *const random = g_rand_new_with_seed(seed);
    GString *const text = g_string_new(NULL);
    while (text->len < 20 * DOCUMENT_PIECE_BYTES)
        g_string_append_printf(text, "%08x", g_rand_int(random));
    g_rand_free(random);
    return g_string_free(text, FALSE);
}

static void give(box_t *box, uint64_t version, const char *text)
{
    document_make(&box->document, version, text, strlen(text));
}

/** Give a box the same text, compressed with other parameters. */
static void give_recompressed(box_t *box, uint64_t version, const char *text)
{
    document_t *const d = &box->document;
    give(box, version, text);
    const size_t room = ZSTD_compressBound(strlen(text));
    char *const body = g_malloc(room);
    g_assert_nonnull(body);
    ZSTD_CCtx *const context = ZSTD_createCCtx();
    ZSTD_CCtx_setParameter(context, ZSTD_c_compressionLevel, 9);
    ZSTD_CCtx_setParameter(context, ZSTD_c_windowLog, 16);
    const size_t n = ZSTD_compress2(context, body, room, text, strlen(text));
    ZSTD_freeCCtx(context);
    g_assert_true(n != d->body_n || memcmp(body, d->body, n) != 0);
    codec_set_text(&d->body, &d->body_n, body, n);
    d->body_hash = XXH64(body, n, 0);
    g_free(body);
}

static void announce(fixture_t *f, const box_t *box)
{
    const document_head_t head = document_head(&box->document);
    fetch_announce(f->fetch, &head, box->addr, 0);
}

static bool has_wanted(void *arg)
{
    const fixture_t *const f = arg;
    return f->arrived->len > 0 && g_array_index(f->arrived, uint64_t, f->arrived->len - 1) == f->want;
}

static void expect(fixture_t *f, uint64_t version, const char *text)
{
    f->want = version;
    lab_run_until(f->loop, has_wanted, f);
    g_assert_cmpstr(f->text->str, ==, text);
    g_assert_false(fetch_is_busy(f->fetch));
}

/* ===== Tests ===== */

/** Only the box that announced the document has it, whichever box is asked first. */
static void test_others_lack_it(fixture_t *f, gconstpointer data)
{
    (void)data;
    char *const text = make_text(1);
    for (int i = 0; i < BOXES; i++) {
        give(&f->boxes[i], 10 + (uint64_t)i, text);
        announce(f, &f->boxes[i]);
        expect(f, 10 + (uint64_t)i, text);
    }
    g_free(text);
}

/** The box that announced the document fails during the fetch, and the others have it. */
static void test_source_fails(fixture_t *f, gconstpointer data)
{
    (void)data;
    char *const text = make_text(2);
    for (int i = 0; i < BOXES; i++)
        give(&f->boxes[i], 7, text);
    f->members_n = 1; /* the box that is asked first fails */
    f->boxes[0].fails_after = 3;
    announce(f, &f->boxes[0]);
    lab_run_for(f->loop, 100);
    f->members_n = BOXES;
    expect(f, 7, text);
    g_free(text);
}

static void test_damaged(fixture_t *f, gconstpointer data)
{
    (void)data;
    char *const text = make_text(3);
    for (int i = 0; i < BOXES; i++) {
        give(&f->boxes[i], 7, text);
        f->boxes[i].damages = i < 2;
    }
    announce(f, &f->boxes[2]);
    expect(f, 7, text);
    g_free(text);
}

/** Boxes have compressed the same text differently: pieces are not mixed, and the fetch ends. */
static void test_recompressed(fixture_t *f, gconstpointer data)
{
    (void)data;
    char *const text = make_text(4);
    for (uint64_t version = 7; version < 13; version++) {
        for (int i = 0; i < BOXES; i++)
            if (i == (int)version % BOXES)
                give_recompressed(&f->boxes[i], version, text);
            else
                give(&f->boxes[i], version, text);
        announce(f, &f->boxes[version % 2]);
        expect(f, version, text);
    }
    g_free(text);
}

/** The only box with one compressed form fails during the fetch: all of the document is fetched again from the others.
 */
static void test_recompressed_and_gone(fixture_t *f, gconstpointer data)
{
    (void)data;
    char *const text = make_text(8);
    give_recompressed(&f->boxes[0], 7, text);
    give(&f->boxes[1], 7, text);
    give(&f->boxes[2], 7, text);
    f->boxes[0].fails_after = 3;
    announce(f, &f->boxes[0]);
    expect(f, 7, text);
    g_free(text);
}

/** A fetch is finished while a box has the document; then the newest is fetched, and none between. */
static void test_newer_waits(fixture_t *f, gconstpointer data)
{
    (void)data;
    char *const first = make_text(5), *const second = make_text(6);
    document_t middle = {0};
    give(&f->boxes[0], 7, first);
    give(&f->boxes[1], 9, second);
    f->members_n = 0; /* only boxes that announce a document are asked */
    document_make(&middle, 8, "between", 7);
    announce(f, &f->boxes[0]);
    const document_head_t between = document_head(&middle);
    fetch_announce(f->fetch, &between, f->boxes[2].addr, 0);
    announce(f, &f->boxes[1]);
    expect(f, 9, second);
    g_assert_cmpuint(f->arrived->len, ==, 2);
    g_assert_cmpuint(g_array_index(f->arrived, uint64_t, 0), ==, 7);
    codec_free(&document_desc, &middle);
    g_free(first);
    g_free(second);
}

/** When no box has the document any more, the one that replaced it is fetched. */
static void test_gone(fixture_t *f, gconstpointer data)
{
    (void)data;
    char *const text = make_text(7);
    document_t replaced = {0};
    document_make(&replaced, 7, "gone", 4);
    for (int i = 0; i < BOXES; i++)
        give(&f->boxes[i], 8, text);
    const document_head_t head = document_head(&replaced);
    fetch_announce(f->fetch, &head, f->boxes[1].addr, 0);
    expect(f, 8, text);
    fetch_announce(f->fetch, &head, f->boxes[1].addr, 8);
    g_assert_false(fetch_is_busy(f->fetch)); /* an older version is never fetched */
    codec_free(&document_desc, &replaced);
    g_free(text);
}

/** A document announced during a fetch is not fetched when the fetch has found a newer one. */
static void test_superseded_while_waiting(fixture_t *f, gconstpointer data)
{
    (void)data;
    char *const text = make_text(9);
    document_t replaced = {0}, between = {0};
    document_make(&replaced, 7, "gone", 4);
    document_make(&between, 8, "between", 7);
    for (int i = 0; i < BOXES; i++)
        give(&f->boxes[i], 9, text);
    const document_head_t first = document_head(&replaced), second = document_head(&between);
    fetch_announce(f->fetch, &first, f->boxes[1].addr, 0);
    fetch_announce(f->fetch, &second, f->boxes[2].addr, 0);
    expect(f, 9, text);
    g_assert_cmpuint(f->arrived->len, ==, 1);
    codec_free(&document_desc, &replaced);
    codec_free(&document_desc, &between);
    g_free(text);
}

/** An announced size above the limit is ignored, and the fetch in progress goes on. */
static void test_too_large(fixture_t *f, gconstpointer data)
{
    (void)data;
    char *const text = make_text(10);
    for (int i = 0; i < BOXES; i++)
        give(&f->boxes[i], 7, text);
    const document_head_t large = {.version = 8, .packed = DOCUMENT_BODY_MAX_BYTES + 1};
    announce(f, &f->boxes[0]);
    fetch_announce(f->fetch, &large, f->boxes[1].addr, 0);
    expect(f, 7, text);
    fetch_announce(f->fetch, &large, f->boxes[1].addr, 7);
    g_assert_false(fetch_is_busy(f->fetch));
    for (int i = 0; i < BOXES; i++)
        give(&f->boxes[i], 9, text);
    announce(f, &f->boxes[2]);
    expect(f, 9, text);
    g_free(text);
}

/* ===== Random orders ===== */

enum { ROUNDS = 24, LATEST = 6, STEP_MS = 8 };

/** The text of each version, which a box may hold in one of two compressed forms. */
typedef struct {
    char *texts[LATEST + 1];
    uint64_t held[BOXES];
    GRand *random;
} versions_t;

static uint64_t last_arrived(const fixture_t *f)
{
    return f->arrived->len ? g_array_index(f->arrived, uint64_t, f->arrived->len - 1) : 0;
}

static void announce_if_newer(fixture_t *f, const box_t *box)
{
    const document_head_t head = document_head(&box->document);
    fetch_announce(f->fetch, &head, box->addr, last_arrived(f));
}

/** A box gets a newer version than its own, and may damage pieces from now on. */
static void change_box(fixture_t *f, versions_t *m)
{
    const int i = g_rand_int_range(m->random, 0, BOXES);
    box_t *const box = &f->boxes[i];
    if (m->held[i] == LATEST)
        return;
    m->held[i] = (uint64_t)g_rand_int_range(m->random, (gint32)m->held[i] + 1, LATEST + 1);
    const char *const text = m->texts[m->held[i]];
    (g_rand_boolean(m->random) ? give : give_recompressed)(box, m->held[i], text);
    box->damages = g_rand_int_range(m->random, 0, 6) == 0;
    announce_if_newer(f, box);
}

/** Each document that has arrived is newer than the one before; the last one has the text of its version. */
static void assert_arrived(const fixture_t *f, const versions_t *m)
{
    for (guint i = 0; i < f->arrived->len; i++) {
        const uint64_t version = g_array_index(f->arrived, uint64_t, i);
        g_assert_cmpuint(version, >, i ? g_array_index(f->arrived, uint64_t, i - 1) : 0);
        if (i + 1 == f->arrived->len)
            g_assert_cmpstr(f->text->str, ==, m->texts[version]);
    }
}

static void play_round(fixture_t *f, versions_t *m)
{
    g_array_set_size(f->arrived, 0);
    memset(m->held, 0, sizeof(m->held));
    f->members_n = (uint32_t)g_rand_int_range(m->random, 0, BOXES + 1);
    for (int step = g_rand_int_range(m->random, 2, 12); step > 0; step--) {
        change_box(f, m);
        lab_run_for(f->loop, g_rand_int_range(m->random, 0, STEP_MS));
        assert_arrived(f, m);
    }
    for (int i = 0; i < BOXES; i++) {
        f->boxes[i].damages = false;
        m->held[i] = LATEST;
        (g_rand_boolean(m->random) ? give : give_recompressed)(&f->boxes[i], LATEST, m->texts[LATEST]);
        announce_if_newer(f, &f->boxes[i]);
    }
    expect(f, LATEST, m->texts[LATEST]);
    assert_arrived(f, m);
}

/** Boxes get versions in either compressed form, and damage pieces, during fetches of other versions. */
static void test_all_orders(fixture_t *f, gconstpointer data)
{
    (void)data;
    versions_t m = {.random = g_rand_new_with_seed(11)};
    for (int version = 1; version <= LATEST; version++)
        m.texts[version] = make_text(100 + (guint32)version);
    for (int round = 0; round < ROUNDS; round++)
        play_round(f, &m);
    for (int version = 1; version <= LATEST; version++)
        g_free(m.texts[version]);
    g_rand_free(m.random);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
#define TEST(name, fn) g_test_add("/fetch/" name, fixture_t, NULL, set_up, fn, tear_down)
    TEST("others-lack-it", test_others_lack_it);
    TEST("source-fails", test_source_fails);
    TEST("damaged", test_damaged);
    TEST("recompressed", test_recompressed);
    TEST("recompressed-and-gone", test_recompressed_and_gone);
    TEST("newer-waits", test_newer_waits);
    TEST("gone", test_gone);
    TEST("superseded-while-waiting", test_superseded_while_waiting);
    TEST("too-large", test_too_large);
    TEST("all-orders", test_all_orders);
    return g_test_run();
}
