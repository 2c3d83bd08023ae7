/* Decoding of settings and messages: which input is refused, and with which error. */

#include <glib.h>
#include <string.h>

#include "gen/schema.h"
#include "peer/frame.h"

static void expect_refused(const codec_desc_t *desc, const char *text, const char *path, const char *reason)
{
    tc_err_t err;
    void *const object = g_malloc0(desc->size);
    g_assert_cmpint(codec_from_json_text(desc, object, text, strlen(text), "test", &err), ==, TC_E_INVALID);
    g_assert_cmpstr(err.peer, ==, path);
    g_assert_nonnull(strstr(err.detail, reason));
    g_free(object);
}

static void test_refuses(void)
{
    expect_refused(
        &config_desc,
        "{\"engines\":{\"p0\":{\"url\":\"u\",\"dc\":\"a\",\"role\":\"prefill\",\"model\":\"m\",\"pieces\":0}}}",
        "engines.p0.pieces", "whole number from 1 to 1000000, in pieces");
    expect_refused(&config_desc,
                   "{\"engines\":{\"p0\":{\"url\":\"u\",\"dc\":\"a\",\"role\":\"both\",\"model\":\"m\"}}}",
                   "engines.p0.role", "must be one of prefill decode");
    expect_refused(&config_desc, "{\"engines\":{\"p0\":{\"url\":\"u\",\"dc\":\"a\",\"role\":\"decode\"}}}",
                   "engines.p0.model", "required");
    expect_refused(&config_desc, "{\"targets\":{\"tft_ms\":5}}", "targets.tft_ms", "not a known setting");
    expect_refused(&config_desc, "{\"targets\":{\"ttft_ms\":1.5}}", "targets.ttft_ms", "whole number");
    expect_refused(&config_desc, "{\"planner\":{\"hot\":2}}", "planner.hot", "from 0 to 1");
    expect_refused(&config_desc, "{\"policy\":\"cell\",\"policy\":\"share\"}", "test", "duplicate");
    expect_refused(&config_desc, "[]", "", "must be an object");
    expect_refused(&entry_settings_desc, "{}", "box", "required");
}

static void test_defaults(void)
{
    config_t config;
    g_assert_cmpint(codec_from_json_text(&config_desc, &config, "{}", 2, "test", NULL), ==, TC_OK);
    g_assert_cmpint(config.policy, ==, POLICY_CELL);
    g_assert_cmpuint(config.targets.ttft_ms, ==, 1600);
    json_t *const json = codec_to_json(&config_desc, &config);
    config_t again;
    g_assert_cmpint(codec_from_json(&config_desc, &again, json, NULL), ==, TC_OK);
    json_decref(json);
    codec_free(&config_desc, &again);
    codec_free(&config_desc, &config);
}

static char *pack_place_frame(size_t *size)
{
    uint64_t chain[] = {1, UINT64_MAX};
    msg_place_t place = {.epoch = UINT64_MAX, .prompt_tokens = 7, .chain = chain, .chain_n = 2, .repeatable = true};
    codec_copy_string(place.id, sizeof(place.id), "r1");
    return frame_pack(MSG_PLACE, 42, false, &place, size);
}

static void test_frame(void)
{
    size_t size;
    char *const data = pack_place_frame(&size);
    g_assert_cmpuint(frame_length(data), ==, size - FRAME_LENGTH_BYTES);
    frame_t frame;
    g_assert_cmpint(frame_unpack(data + FRAME_LENGTH_BYTES, size - FRAME_LENGTH_BYTES, &frame, NULL), ==, TC_OK);
    const msg_place_t *const place = frame.message;
    g_assert_cmpuint(frame.call, ==, 42);
    g_assert_cmpstr(place->id, ==, "r1");
    g_assert_true(place->epoch == UINT64_MAX && place->chain[1] == UINT64_MAX && place->chain_n == 2);
    frame_free(&frame);
    free(data);
}

/** Truncated frames are refused, and a frame with any byte inverted is refused or decoded, without a crash or leak. */
static void test_frame_damage(void)
{
    size_t size;
    char *const data = pack_place_frame(&size);
    for (size_t cut = FRAME_LENGTH_BYTES; cut < size; cut++) {
        frame_t frame;
        g_assert_cmpint(frame_unpack(data + FRAME_LENGTH_BYTES, cut - FRAME_LENGTH_BYTES, &frame, NULL), <, 0);
    }
    for (size_t at = FRAME_LENGTH_BYTES; at < size; at++) {
        data[at] = (char)~data[at];
        frame_t frame;
        if (frame_unpack(data + FRAME_LENGTH_BYTES, size - FRAME_LENGTH_BYTES, &frame, NULL) == TC_OK)
            frame_free(&frame);
        data[at] = (char)~data[at];
    }
    free(data);
}

/** Found by fuzzing: the msgpack library allocates by the count it reads, 256 GB for the nine bytes below. */
static void test_scan(void)
{
    g_assert_false(codec_scan("\xdf\xff\xff\xff\xff\xff\xff\xff\xff", 9));
    g_assert_false(codec_scan("\xdd\x7f\xff\xff\xff", 5));
    g_assert_false(codec_scan("\xc6\xff\xff\xff\xff", 5));
    g_assert_false(codec_scan("\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x01",
                              20)); /* too deep */
    g_assert_false(codec_scan("\x01\x01", 2));
    g_assert_false(codec_scan("", 0));
    g_assert_true(codec_scan("\x93\x01\xa3"
                             "abc\xcb\0\0\0\0\0\0\0\0",
                             15));
    g_assert_true(codec_scan("\x81\xd9\x01x\xc0", 5));
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/codec/refuses", test_refuses);
    g_test_add_func("/codec/defaults", test_defaults);
    g_test_add_func("/codec/frame", test_frame);
    g_test_add_func("/codec/scan", test_scan);
    g_test_add_func("/codec/frame-damage", test_frame_damage);
    return g_test_run();
}
