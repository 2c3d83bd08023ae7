/* The replicated document: the highest version replaces others; the text is compressed, split into pieces and restored;
 * and JSON is parsed incrementally. */

#include <glib.h>
#include <string.h>

#include "cluster/document.h"
#include "common/codec.h"
#include "common/json_stream.h"

/* ===== Versions ===== */

static document_relation_t apply(document_t *held, uint64_t version, const char *text)
{
    document_t offered = {0};
    document_make(&offered, version, text, strlen(text));
    const document_relation_t relation = document_apply(held, &offered);
    codec_free(&document_desc, &offered);
    return relation;
}

static bool append(void *arg, const char *data, size_t size)
{
    g_string_append_len(arg, data, (gssize)size);
    return true;
}

static void expect_text(const document_t *document, const char *text)
{
    tc_err_t err = {0};
    GString *const read = g_string_new(NULL);
    g_assert_cmpint(document_read(document, append, read, &err), ==, TC_OK);
    g_assert_cmpstr(read->str, ==, text);
    g_string_free(read, TRUE);
}

static void test_highest_version_wins(void)
{
    document_t held = {0};
    g_assert_cmpint(apply(&held, 5, "first"), ==, DOCUMENT_NEWER);
    g_assert_cmpint(apply(&held, 5, "first"), ==, DOCUMENT_SAME);
    g_assert_cmpint(apply(&held, 4, "second"), ==, DOCUMENT_OLDER);
    g_assert_cmpint(apply(&held, 5, "other"), ==, DOCUMENT_CONFLICTS);
    expect_text(&held, "first");
    g_assert_cmpint(apply(&held, 9, "second"), ==, DOCUMENT_NEWER);
    g_assert_cmpuint(held.version, ==, 9);
    expect_text(&held, "second");
    codec_free(&document_desc, &held);
}

/* ===== Pieces ===== */

/** @return a random text whose compressed form has several pieces */
static char *make_long_text(guint32 seed)
{
    GRand *const random = g_rand_new_with_seed(seed);
    GString *const text = g_string_new(NULL);
    while (text->len < 8 * DOCUMENT_PIECE_BYTES)
        g_string_append_printf(text, "%08x", g_rand_int(random));
    g_rand_free(random);
    return g_string_free(text, FALSE);
}

/** @return the next piece that @p download needs, cut from @p held */
static document_piece_t next_piece(const document_t *held, const document_download_t *download)
{
    const msg_fetch_piece_t ask = {
        .version = download->head.version, .body_hash = download->head.body_hash, .offset = download->have};
    return document_piece(held, &ask);
}

static void test_pieces(void)
{
    char *const text = make_long_text(1);
    document_t held = {0}, copy = {0};
    document_download_t download = {0};
    document_make(&held, 7, text, strlen(text));
    const document_head_t head = document_head(&held);
    g_assert_true(document_download_begin(&download, &head));
    unsigned pieces = 0;
    while (!document_download_is_complete(&download)) {
        const document_piece_t piece = next_piece(&held, &download);
        g_assert_cmpuint(piece.data_n, <=, DOCUMENT_PIECE_BYTES);
        g_assert_true(document_download_add(&download, &piece));
        g_assert_false(document_download_add(&download, &piece)); /* duplicate */
        pieces++;
    }
    g_assert_cmpuint(pieces, >, 3);
    g_assert_true(document_download_is_valid(&download));
    download.body[7] ^= 1; /* damaged in transit */
    g_assert_false(document_download_is_valid(&download));
    download.body[7] ^= 1;
    document_download_take(&download, &copy);
    g_assert_cmpint(document_compare(&held, &copy), ==, DOCUMENT_SAME);
    expect_text(&copy, text);
    codec_free(&document_desc, &held);
    codec_free(&document_desc, &copy);
    g_free(text);
}

/** A request for a document that is not held gets no data, and pieces of another document are not accepted. */
static void test_pieces_of_another(void)
{
    char *const text = make_long_text(1), *const other = make_long_text(2);
    document_t asked = {0}, held = {0};
    document_download_t download = {0};
    document_make(&asked, 7, text, strlen(text));
    document_make(&held, 7, other, strlen(other)); /* the same version, other content */
    const document_head_t head = document_head(&asked);
    g_assert_true(document_download_begin(&download, &head));
    document_piece_t piece = next_piece(&held, &download);
    g_assert_cmpuint(piece.data_n, ==, 0);
    g_assert_false(document_download_add(&download, &piece));
    piece = next_piece(&asked, &download);
    piece.offset += 1;
    g_assert_false(document_download_add(&download, &piece));
    const document_head_t large = {.version = 8, .packed = DOCUMENT_BODY_MAX_BYTES + 1};
    g_assert_false(document_download_begin(&download, &large));
    document_download_clear(&download);
    codec_free(&document_desc, &asked);
    codec_free(&document_desc, &held);
    g_free(text);
    g_free(other);
}

/** Truncated or invalid compressed data is reported as corrupt, not expanded to another text. */
static void test_packed_bytes_damaged(void)
{
    char *const text = make_long_text(3);
    size_t size;
    char *const packed = compress_text(text, strlen(text), &size);
    GString *const read = g_string_new(NULL);
    tc_err_t err = {0};
    g_assert_cmpint(decompress_text(packed, size / 2, append, read, &err), ==, TC_E_CORRUPT);
    g_assert_cmpint(decompress_text("{\"version\":1}", 13, append, read, &err), ==, TC_E_CORRUPT);
    g_assert_cmpint(decompress_text(packed, 0, append, read, &err), ==, TC_E_CORRUPT);
    free(packed);
    g_string_free(read, TRUE);
    g_free(text);
}

/* ===== Incremental JSON ===== */

/** Records each parsed part, one per line. */
static int record_part(void *arg, json_stream_kind_t kind, const char *member, const json_t *value, tc_err_t *err)
{
    static const char *const kinds[] = {"value", "list", "element"};
    char *const text = value ? json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT) : NULL;
    g_string_append_printf(arg, "%s %s %s\n", kinds[kind], member, text ? text : "");
    free(text);
    if (kind == JSON_STREAM_LIST && strcmp(member, "passed over") == 0)
        return JSON_STREAM_SKIP;
    return json_is_false(value) ? tc_err_set(err, TC_E_INVALID, "test", member, "stopped") : TC_OK;
}

/** Feeds the text one byte at a time. @return the recorded parts, or NULL when the text is rejected */
static char *parse_bytes(const char *text, size_t size)
{
    tc_err_t err = {0};
    GString *const notes = g_string_new(NULL);
    json_stream_t *const stream = json_stream_create(record_part, notes, &err);
    for (size_t i = 0; i < size; i++)
        (void)json_stream_add(stream, text + i, 1);
    if (json_stream_end(stream) == TC_OK)
        return g_string_free(notes, FALSE);
    g_assert_cmpint(err.code, ==, TC_E_INVALID); /* rejected with an error */
    g_string_free(notes, TRUE);
    return NULL;
}

static void test_json_parts(void)
{
    static const char text[] =
        " {\"a\":[{\"x\":[1,{\"y\":null}]},2.5e1,[]],\"b\":{\"c\":\"\\u00e4\"},\"d\":true,\"e\":-7} ";
    char *const notes = parse_bytes(text, strlen(text));
    g_assert_cmpstr(notes, ==,
                    "list a \nelement a {\"x\":[1,{\"y\":null}]}\nelement a 25.0\nelement a []\n"
                    "value b {\"c\":\"\xc3\xa4\"}\nvalue d true\nvalue e -7\n");
    g_free(notes);
}

static void test_json_passed_over(void)
{
    static const char text[] = "{\"passed over\":[{\"x\":[1,{\"y\":[]}]},[2,[3]],\"s\",true,null],\"b\":[4]}";
    char *const notes = parse_bytes(text, strlen(text));
    g_assert_cmpstr(notes, ==, "list passed over \nlist b \nelement b 4\n");
    g_free(notes);
    g_assert_null(parse_bytes("{\"passed over\":[1", 17));
}

static void test_json_refused(void)
{
    static const char *const bad[] = {
        "",
        "{",
        "{\"a\":[1",
        "{\"a\":1}}",
        "{\"a\":1} 2",
        "[1]",
        "7",
        "{\"a\":1,\"a\":2}",
        "{\"a\":99999999999999999999}",
        "{\"a\":1e999}",
        "{\"a\":\"x\\u0000y\"}",
        "{\"a\":\"\xff\"}",
        "{\"a\":[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[1]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]}",
        "{\"a\":false,\"b\":1}",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
        g_assert_null(parse_bytes(bad[i], strlen(bad[i])));
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/document/highest-version-wins", test_highest_version_wins);
    g_test_add_func("/document/pieces", test_pieces);
    g_test_add_func("/document/pieces-of-another", test_pieces_of_another);
    g_test_add_func("/document/packed-bytes-damaged", test_packed_bytes_damaged);
    g_test_add_func("/json-stream/parts", test_json_parts);
    g_test_add_func("/json-stream/passed-over", test_json_passed_over);
    g_test_add_func("/json-stream/refused", test_json_refused);
    return g_test_run();
}
