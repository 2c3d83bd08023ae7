/* Paths to back ends: what a box concludes from failures, the choice of a relay, the framing of relayed bytes. */

#include <glib.h>
#include <string.h>

#include "egress/path_table.h"
#include "egress/relay_pool.h"
#include "egress/tunnel.h"

/* ===== Paths ===== */

/** A back end that nobody reaches is down, and not a cut path; other boxes are not asked for a while. */
static void test_back_end_down(void)
{
    path_table_t *const t = path_table_create();
    g_assert_cmpint(path_table_choose(t, "b1", 1000), ==, PATH_DIRECT);
    path_table_record_failure(t, "b1", 1000);
    path_table_record_unreachable(t, "b1", 1001);
    g_assert_cmpint(path_table_choose(t, "b1", 1002), ==, PATH_DIRECT_ONLY);
    g_assert_false(path_table_has_cut(t, "b1"));
    g_assert_cmpint(path_table_choose(t, "b1", 1001 + PATH_UNREACHABLE_MS), ==, PATH_RELAY); /* find out again */
    g_assert_cmpint(path_table_choose(t, "b1", 1000 + PATH_SUSPECT_MS), ==, PATH_DIRECT);
    g_assert_null(path_table_next_probe(t, 9000));
    path_table_destroy(t);
}

/** Back ends that reset single connections are no cut paths: boxes connected through others for it. */
static void test_single_resets(void)
{
    path_table_t *const t = path_table_create();
    for (int i = 0; i < 20; i++) {
        const tc_time_t now = 1000 + 10 * i;
        path_table_record_broken(t, i % 2 ? "b1" : "b2", now);
        g_assert_cmpint(path_table_choose(t, i % 2 ? "b1" : "b2", now), ==, PATH_DIRECT);
        path_table_record_answer(t, i % 2 ? "b1" : "b2", now + 5);
    }
    path_table_record_broken(t, "b1", 2000);
    path_table_record_broken(t, "b1", 2001);
    g_assert_cmpint(path_table_choose(t, "b1", 2002), ==, PATH_RELAY);
    path_table_destroy(t);
}

/** Two paths found cut without a direct answer: all back ends go through relays, and one probe ends it. */
static void test_cut_off(void)
{
    path_table_t *const t = path_table_create();
    path_table_record_failure(t, "b1", 1000);
    path_table_record_relayed(t, "b1", 1005);
    g_assert_true(path_table_has_cut(t, "b1"));
    g_assert_false(path_table_is_cut_off(t));
    g_assert_cmpint(path_table_choose(t, "b3", 1006), ==, PATH_DIRECT);
    path_table_record_failure(t, "b2", 1010);
    g_assert_true(path_table_is_suspect(t));
    path_table_record_relayed(t, "b2", 1015);
    g_assert_true(path_table_is_cut_off(t));
    g_assert_cmpint(path_table_choose(t, "b3", 1020), ==, PATH_RELAY);
    path_table_record_answer(t, "b1", 900); /* a connection that was open before the cut lives on */
    g_assert_true(path_table_is_cut_off(t));
    const char *const probed = path_table_next_probe(t, 1005 + PATH_PROBE_MIN_MS);
    g_assert_nonnull(probed);
    g_assert_null(path_table_next_probe(t, 1006 + PATH_PROBE_MIN_MS)); /* one per interval */
    path_table_record_healed(t, probed);
    g_assert_false(path_table_is_cut_off(t));
    g_assert_cmpuint(path_table_cut_count(t), ==, 0);
    g_assert_cmpint(path_table_choose(t, "b1", 2000), ==, PATH_DIRECT);
    path_table_destroy(t);
}

/** Direct answers of other back ends in between: single paths are cut, the box is not cut off. */
static void test_some_paths_cut(void)
{
    path_table_t *const t = path_table_create();
    for (int i = 0; i < 4; i++) {
        char name[8];
        g_snprintf(name, sizeof(name), "b%d", i);
        const tc_time_t now = 1000 + 10 * i;
        path_table_record_failure(t, name, now);
        path_table_record_relayed(t, name, now + 1);
        path_table_record_answer(t, "other", now + 2);
    }
    g_assert_false(path_table_is_cut_off(t));
    g_assert_cmpuint(path_table_cut_count(t), ==, 4);
    g_assert_cmpint(path_table_choose(t, "other", 1100), ==, PATH_DIRECT);
    path_table_record_healed(t, "b0");
    g_assert_cmpuint(path_table_cut_count(t), ==, 3);
    path_table_destroy(t);
}

static bool is_b2(void *arg, const char *backend)
{
    (void)arg;
    return strcmp(backend, "b2") == 0;
}

static void test_unlisted(void)
{
    path_table_t *const t = path_table_create();
    for (int i = 1; i <= 2; i++) {
        const char *const name = i == 1 ? "b1" : "b2";
        path_table_record_failure(t, name, 1000);
        path_table_record_relayed(t, name, 1000);
    }
    path_table_retain(t, is_b2, NULL);
    g_assert_cmpuint(path_table_cut_count(t), ==, 1);
    g_assert_cmpstr(path_table_next_probe(t, 5000), ==, "b2");
    path_table_destroy(t);
}

/* ===== Relays ===== */

static entry_box_t make_box(const char *name, const char *addr)
{
    entry_box_t box = {.ready = true};
    g_strlcpy(box.box, name, sizeof(box.box));
    g_strlcpy(box.peer_addr, addr, sizeof(box.peer_addr));
    g_strlcpy(box.dc, "a", sizeof(box.dc));
    return box;
}

/** A box that did not help is chosen only when no other is left, and a box is never its own relay. */
static void test_relays(void)
{
    relay_pool_t *const pool = relay_pool_create();
    entry_box_t boxes[] = {make_box("self", "10.0.0.1:81"), make_box("one", "10.0.0.2:81"),
                           make_box("two", "10.0.0.3:81"), make_box("leaving", "10.0.0.4:81")};
    boxes[3].leaving = true;
    relay_pool_set(pool, boxes, G_N_ELEMENTS(boxes), "self");
    relay_query_t query = {.dc = "a", .now = 1000};
    relay_t *const one = relay_pool_find(pool, "10.0.0.2:82");
    g_assert_nonnull(one);
    g_assert_null(relay_pool_find(pool, "10.0.0.1:82"));
    relay_record_failure(one, 1000);
    for (query.random = 0; query.random < 20; query.random++)
        g_assert_cmpstr(relay_pool_choose(pool, &query)->box, ==, "two");
    const char *const tried[] = {"10.0.0.3:82"};
    query.tried = tried;
    query.tried_n = 1;
    g_assert_cmpstr(relay_pool_choose(pool, &query)->box, ==, "one");
    query.known_good = true;
    g_assert_null(relay_pool_choose(pool, &query));
    relay_pool_set(pool, boxes, G_N_ELEMENTS(boxes), "self");
    g_assert_cmpuint(relay_pool_find(pool, "10.0.0.2:82")->failures, ==, 1); /* state is kept */
    relay_pool_destroy(pool);
}

/* ===== Framing ===== */

/** Whatever the sizes in which the bytes arrive, the payload is the same, and only the end mark ends it. */
static void test_tunnel(void)
{
    GByteArray *const wire = g_byte_array_new();
    const char *const parts[] = {"a", "bcd", "efghijk", ""};
    for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
        uint8_t header[TUNNEL_HEADER_BYTES];
        tunnel_write_header(header, (uint32_t)strlen(parts[i]));
        g_byte_array_append(wire, header, sizeof(header));
        g_byte_array_append(wire, (const guint8 *)parts[i], (guint)strlen(parts[i]));
    }
    for (size_t step = 1; step <= wire->len; step++) {
        tunnel_reader_t reader = {0};
        GString *const got = g_string_new(NULL);
        for (size_t at = 0; at < wire->len; at += step) {
            uint8_t data[64];
            const size_t n = MIN(step, wire->len - at);
            g_assert_false(reader.ended);
            memcpy(data, wire->data + at, n);
            g_string_append_len(got, (const char *)data, (gssize)tunnel_decode(&reader, data, n));
        }
        g_assert_cmpstr(got->str, ==, "abcdefghijk");
        g_assert_true(reader.ended && !reader.damaged);
        g_string_free(got, TRUE);
    }
    tunnel_reader_t reader = {0};
    uint8_t huge[TUNNEL_HEADER_BYTES];
    tunnel_write_header(huge, TUNNEL_CHUNK_MAX + 1);
    g_assert_cmpuint(tunnel_decode(&reader, huge, sizeof(huge)), ==, 0);
    g_assert_true(reader.damaged);
    g_byte_array_free(wire, TRUE);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/egress/back-end-down", test_back_end_down);
    g_test_add_func("/egress/single-resets", test_single_resets);
    g_test_add_func("/egress/cut-off", test_cut_off);
    g_test_add_func("/egress/some-paths-cut", test_some_paths_cut);
    g_test_add_func("/egress/unlisted", test_unlisted);
    g_test_add_func("/egress/relays", test_relays);
    g_test_add_func("/egress/tunnel", test_tunnel);
    return g_test_run();
}
