/* Runs of a stream that are silent for longer than the silence timeout but still alive. Giving up a run ends it for
 * good, so that happens only once another run has begun, and only when the back end itself is silent. */

#include "platform/forward_lab.h"

#define FIRST_CHUNK "f\r\n" FIRST "\r\n"
#define SECOND_CHUNK "f\r\n" SECOND "\r\n0\r\n\r\n"

enum {
    SILENCE_MS = 120 /* three times the silence timeout of RESUMABLE_SOON */
};

/* ===== Back ends ===== */

/** Answers a prefill at once; sends a stream with a silence after its first event. */
static lab_reply_t answer_with_silence(void *arg, const char *request)
{
    plan_t *const plan = arg;
    g_string_append(plan->seen, request);
    if (strstr(request, "\r\nStage: prefill\r\n"))
        return reply_json("{\"prefill_handle\":\"handle1\"}");
    if (strstr(request, "\r\nLast-Event-Id: "))
        return reply_bytes(STREAM_HEAD SECOND_CHUNK, LAB_KEEP);
    return reply_slowly(reply_bytes(STREAM_HEAD FIRST_CHUNK SECOND_CHUNK, LAB_KEEP), strlen(STREAM_HEAD FIRST_CHUNK),
                        SILENCE_MS);
}

static bool has_first(void *arg)
{
    return g_str_has_prefix(((lab_call_t *)arg)->body->str, FIRST);
}

/* ===== Tests ===== */

/** There is no other engine for another run. */
static void test_only_engine(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_scripted(f, (backend_plan_t[]){{"lm", "prefill", "", false, false}, {"lm", "decode", "", false, false}}, 2,
                   answer_with_silence, NULL);
    expect_whole(f, begin(f, "/soon/x"), FIRST SECOND);
    g_assert_cmpuint(requests(f, 1), ==, 1);
}

/** The retry budget allows no other run. */
static void test_no_budget(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_scripted(f,
                   (backend_plan_t[]){{"lm", "prefill", "", false, false},
                                      {"lm", "decode", "", false, false},
                                      {"lm", "decode", "", true, false}},
                   3, answer_with_silence, NULL);
    expect_whole(f, begin(f, "/soon/x"), FIRST SECOND);
    g_assert_cmpuint(requests(f, 1), ==, 1);
    g_assert_cmpuint(requests(f, 2), ==, 0);
}

/** The box itself was suspended: the event arrived in time and waits to be read. */
static void test_box_is_suspended(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_scripted(f,
                   (backend_plan_t[]){{"lm", "prefill", "", false, false},
                                      {"lm", "decode", "", false, true},
                                      {"lm", "decode", "", true, false}},
                   3, answer_with_silence, NULL);
    external_backend_t engine = external_backend_open(f->backend_addr[1]);
    lab_call_t *const c = begin(f, "/soon/x");
    lab_run_until(f->loop, external_backend_has_read, &engine);
    external_backend_send(&engine, STREAM_HEAD FIRST_CHUNK);
    lab_run_until(f->loop, has_first, c);
    external_backend_send(&engine, SECOND_CHUNK);
    g_usleep((gulong)SILENCE_MS * 1000); /* the event loop is blocked */
    expect_whole(f, c, FIRST SECOND);
    g_assert_cmpuint(requests(f, 2), ==, 0);
    external_backend_close(&engine);
}

/* ===== Failing replacements ===== */

/** An attempt to replace a silent run, and why it fails. Replies are letters of forward_lab.h. */
typedef struct {
    const char *name;
    double budget;        /* as for set_up(): two further arrivals */
    const char *prefills; /* replies of the prefill engine */
    const char *spare;    /* replies of the engine that is to replace the silent one */
    bool spare_is_down;   /* it refuses connections */
    unsigned spare_calls; /* that it gets, at least */
} replacement_t;

static const replacement_t replacements[] = {
    {"prefill-is-silent", 2.5, "ph", "U", false, 0},       {"prefill-is-refused", 2.5, "pn", "U", false, 0},
    {"prefill-breaks", 2.5, "pr", "U", false, 0},          {"decode-is-refused", 2.5, "pp", "n", false, 1},
    {"decode-of-another-stage", 2.5, "pp", "m", false, 1}, {"decode-asks-for-a-pause", 2.5, "pp", "w", false, 1},
    {"decode-is-unreachable", 2.5, "pp", "U", true, 0},    {"decode-is-silent", 2.5, "pp", "h", false, 1},
};

/** The silent engine sends the second event after SILENCE_MS; all others follow their plans. */
static lab_reply_t answer_silent_engine(void *arg, const char *request)
{
    plan_t *const plan = arg;
    if (plan->replies[0] != 's')
        return answer(arg, request);
    g_string_append(plan->seen, request);
    return reply_slowly(reply_bytes(STREAM_HEAD FIRST_CHUNK SECOND_CHUNK, LAB_KEEP), strlen(STREAM_HEAD FIRST_CHUNK),
                        SILENCE_MS);
}

/** A sound engine falls silent, and what is to replace its run fails: its run goes on, and the caller gets all of it.
 */
static void test_replacement_fails(fixture_t *f, gconstpointer data)
{
    const replacement_t *const r = data;
    start_scripted(f,
                   (backend_plan_t[]){{"lm", "prefill", r->prefills, false, false},
                                      {"lm", "decode", "s", false, false},
                                      {"lm", "decode", r->spare, true, r->spare_is_down}},
                   3, answer_silent_engine, NULL);
    expect_whole(f, begin(f, "/soon/x"), FIRST SECOND);
    g_assert_cmpuint(requests(f, 1), ==, 1);
    g_assert_cmpuint(requests(f, 2), >=, r->spare_calls);
}

/* ===== Leaving a silent engine ===== */

/** Sends a comment each 10 ms, and no event after the first. */
static lab_reply_t answer_with_comments(void *arg, const char *request)
{
    plan_t *const plan = arg;
    if (plan->replies[0] != 's')
        return answer(arg, request);
    lab_reply_t reply = reply_bytes(STREAM_HEAD FIRST_CHUNK, LAB_HANG);
    GString *const bytes = g_string_new(reply.bytes);
    reply.pieces = g_array_new(FALSE, FALSE, sizeof(lab_piece_t));
    lab_piece_t piece = {.size = bytes->len};
    g_array_append_val(reply.pieces, piece);
    piece = (lab_piece_t){.size = strlen("4\r\n: \n\n\r\n"), .wait = 10};
    for (int i = 0; i < 200; i++) {
        g_string_append(bytes, "4\r\n: \n\n\r\n");
        g_array_append_val(reply.pieces, piece);
    }
    g_free(reply.bytes);
    reply.bytes = g_string_free(bytes, FALSE);
    return reply;
}

/** An engine that sends only comments is silent: another one goes on with the stream, and the first one is left. */
static void test_comments_are_silence(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_scripted(f,
                   (backend_plan_t[]){{"lm", "prefill", "p", false, false},
                                      {"lm", "decode", "s", false, false},
                                      {"lm", "decode", "U", true, false}},
                   3, answer_with_comments, NULL);
    lab_call_t *const c = begin(f, "/soon/x");
    lab_run_until_true(f->loop, &c->done);
    g_assert_cmpint(c->how, ==, WEB_RESULT_COMPLETE);
    g_assert_cmpuint(count_part(c->body->str, FIRST), ==, 1);
    g_assert_true(g_str_has_suffix(c->body->str, SECOND));
    lab_call_free(c);
}

static bool is_idle(void *arg)
{
    return forwarder_in_flight(((const fixture_t *)arg)->forwarder) == 0;
}

static bool has_left_silent_engine(void *arg)
{
    return lab_backend_abandoned(((const fixture_t *)arg)->backend[1]) == 1;
}

/** The first engine falls silent after an event, the second one after the head of its answer. */
static lab_reply_t answer_head_only(void *arg, const char *request)
{
    const plan_t *const plan = arg;
    if (plan->replies[0] == 's')
        return reply_bytes(STREAM_HEAD FIRST_CHUNK, LAB_HANG);
    return plan->replies[0] == 'b' ? reply_bytes(STREAM_HEAD, LAB_HANG) : answer(arg, request);
}

/** The engine that replaces a silent one has begun, and has sent no event yet: the silent one is left nevertheless. Two
 *  engines never work on a request for long. */
static void test_silent_engine_is_left(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_scripted(f,
                   (backend_plan_t[]){{"lm", "prefill", "p", false, false},
                                      {"lm", "decode", "s", false, false},
                                      {"lm", "decode", "b", true, false}},
                   3, answer_head_only, NULL);
    lab_call_t *const c = begin(f, "/soon/x");
    lab_run_until(f->loop, has_left_silent_engine, f);
    g_assert_cmpuint(requests(f, 2), ==, 1);
    web_call_cancel(c->call);
    lab_call_free(c);
    lab_run_until(f->loop, is_idle, f);
}

static void set_up_with_budget(fixture_t *f, gconstpointer data)
{
    set_up(f, &((const replacement_t *)data)->budget);
}

/* ===== Without a budget ===== */

static void set_up_without_budget(fixture_t *f, gconstpointer data)
{
    set_up(f, data);
    web_server_stop(f->server);
    forwarder_destroy(f->forwarder);
    const forwarder_options_t options = {
        .box = "box", .dc = "a", .retries = {.window = 60000}, .silence_timeout_ms = 60000};
    f->forwarder = forwarder_create(f->loop, f->fleet, f->client, &options);
    route_table_t *const table = read_config();
    forwarder_set_routes(f->forwarder, table);
    route_table_unref(table);
    tc_err_t err = {0};
    f->server = web_server_start(f->loop, f->addr, &f->limits, forwarder_handle, f->forwarder, &err);
    g_assert_nonnull(f->server);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add("/stream-silence/only-engine", fixture_t, NULL, set_up, test_only_engine, tear_down);
    g_test_add("/stream-silence/no-budget", fixture_t, NULL, set_up_without_budget, test_no_budget, tear_down);
    g_test_add("/stream-silence/box-is-suspended", fixture_t, NULL, set_up, test_box_is_suspended, tear_down);
    g_test_add("/stream-silence/comments-are-silence", fixture_t, NULL, set_up, test_comments_are_silence, tear_down);
    g_test_add("/stream-silence/silent-engine-is-left", fixture_t, NULL, set_up, test_silent_engine_is_left, tear_down);
    for (size_t i = 0; i < G_N_ELEMENTS(replacements); i++) {
        char *const path = g_strdup_printf("/stream-silence/replacement-fails/%s", replacements[i].name);
        g_test_add(path, fixture_t, &replacements[i], set_up_with_budget, test_replacement_fails, tear_down);
        g_free(path);
    }
    return g_test_run();
}
