/* What callers, back ends and operators may send beyond the usual: any bytes, names that are no tokens, numbers of any
 * size. Each request gets a whole answer, and the log stays readable. */

#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "common/figure.h"
#include "forward/dialect.h"
#include "harness/log_check.h"
#include "platform/forward_lab.h"

enum { CALLS = 400, BYTES_MAX = 180 };

/** Bytes that a header value or a path may hold: all but control characters, blanks, and what ends a path. */
static void append_bytes(GRand *random, GString *to)
{
    for (int left = g_rand_int_range(random, 0, BYTES_MAX); left > 0; left--) {
        const int c = g_rand_int_range(random, 0x21, 0x100);
        g_string_append_c(to, c == 0x7f || c == '?' || c == '#' || c == ',' ? 'a' : (char)c);
    }
}

static char *any_request(GRand *random)
{
    static const char *const headers[] = {"Attempt-Id", "Deadline-Ms",   "Token-Count",   "Prompt-Prefix",
                                          "Resumes",    "Authorization", "Last-Event-Id", "Length-Hint"};
    static const char *const paths[] = {"/safe/", "/once/", "/nowhere/"};
    GString *const text = g_string_new("POST ");
    g_string_append(text, paths[g_rand_int_range(random, 0, G_N_ELEMENTS(paths))]);
    g_string_append(text, "x HTTP/1.1\r\nHost: ");
    if (g_rand_int_range(random, 0, 4) == 0)
        append_bytes(random, text);
    else
        g_string_append(text, "h");
    for (size_t i = 0; i < G_N_ELEMENTS(headers); i++) {
        if (g_rand_boolean(random))
            continue;
        g_string_append_printf(text, "\r\n%s: ", headers[i]);
        append_bytes(random, text);
    }
    g_string_append(text, "\r\nContent-Length: 4\r\n\r\nbody");
    return g_string_free(text, FALSE);
}

/** Answers at once, without naming the attempt. */
static lab_reply_t answer_any(void *arg, const char *request)
{
    (void)arg;
    (void)request;
    return reply_bytes("HTTP/1.1 200 OK\r\nServer-Seal: s1\r\nContent-Length: 2\r\n\r\nok", LAB_KEEP);
}

/** Log lines that quoted an id which is no UTF-8 were no JSON, and could not be found by the request's id. */
static void test_any_bytes(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_scripted(f, (backend_plan_t[]){{"app", "", "", false, false}, {"app", "", "", false, false}}, 2, answer_any,
                   f);
    log_check_begin();
    GRand *const random = g_rand_new_with_seed(1);
    unsigned served = 0;
    for (int i = 0; i < CALLS; i++) {
        char *const request = any_request(random);
        lab_call_t *const call = lab_call(f->callers, f->addr, request);
        lab_run_until_true(f->loop, &call->done);
        if (call->how != WEB_RESULT_COMPLETE)
            g_error("no whole answer to %s", request);
        served += call->status == 200;
        lab_call_free(call);
        g_free(request);
    }
    g_assert_cmpuint(served, >, 0);
    g_assert_cmpuint(log_check_end(), >, CALLS);
    g_rand_free(random);
}

/* ===== Names of fields ===== */

/** Names with a blank before the colon passed every filter by name: back ends got fields that only this system may set,
 *  and a second way to read where the request ends. */
static void test_names_that_are_no_tokens(fixture_t *f, gconstpointer data)
{
    (void)data;
    static const char *const lines[] = {
        "Kv-From : i-9/h", "Transfer-Encoding : chunked", "Tenant\t: w",          "Content-Length : 9", "a b: c",
        "Hold (x): y",     "Connection : Attempt-Id",     "Expect-Instance : i-9"};
    start_all(f, (backend_plan_t[]){{"app", "", "o", false, false}}, 1);
    for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
        char *const more = g_strconcat(lines[i], "\r\n", NULL);
        lab_call_t *const c = begin_with(f, "/safe/x", more);
        lab_run_until_true(f->loop, &c->done);
        g_assert_cmpint(c->status, ==, 400);
        g_assert_cmpuint(requests(f, 0), ==, 0);
        lab_call_free(c);
        g_free(more);
    }
    expect(f, "/safe/x", 200, "ok");
}

/** Answers with the field that @p arg is. */
static lab_reply_t answer_with(void *arg, const char *request)
{
    (void)request;
    char *const bytes =
        g_strdup_printf("HTTP/1.1 200 OK\r\n" SEAL "%s\r\nContent-Length: 2\r\n\r\nok", *(const char **)arg);
    return (lab_reply_t){.bytes = bytes, .end = LAB_KEEP};
}

/** As above, in answers: callers got what is meant for this system. */
static void test_names_with_blanks_in_answers(fixture_t *f, gconstpointer data)
{
    (void)data;
    const char *line = "Server-Load : 1,0,8";
    start_scripted(f, (backend_plan_t[]){{"app", "", "", false, false}}, 1, answer_with, &line);
    lab_call_t *const c = call(f, "/safe/x");
    g_assert_cmpint(c->status, ==, 200);
    g_assert_null(strstr(c->headers, "Server-Load"));
    lab_call_free(c);
    static const char *const broken[] = {"Transfer-Encoding : chunked", "a b: c", "Content-Length : 3"};
    for (size_t i = 0; i < G_N_ELEMENTS(broken); i++) {
        line = broken[i];
        expect(f, "/once/x", 502, NULL);
    }
}

/* ===== Numbers ===== */

/** A request of a route whose weights had been cut to 0 ended the process, with all that it had in flight. */
static void test_weights_below_a_thousandth(fixture_t *f, gconstpointer data)
{
    (void)data;
    static const char text[] = "{\"version\":4,\"routes\":["
                               "{\"host\":\"h\",\"path_prefix\":\"/small/\",\"timeout_ms\":900,\"traffic_split\":"
                               "[{\"service\":\"app\",\"weight\":0.0009},{\"service\":\"app\",\"weight\":0.0001}]},"
                               "{\"host\":\"h\",\"path_prefix\":\"/none/\",\"timeout_ms\":900,\"traffic_split\":"
                               "[{\"service\":\"app\",\"weight\":0}]}],\"services\":[{\"name\":\"app\"}]}";
    start_all(f, (backend_plan_t[]){{"app", "", "o", false, false}}, 1);
    document_t document = {0};
    document_make(&document, 4, text, strlen(text));
    config_load_t *const load = config_load_begin(&document);
    while (config_load_step(load)) {
    }
    tc_err_t err = {0};
    route_table_t *const table = config_load_end(load, &err);
    codec_free(&document_desc, &document);
    g_assert_nonnull(table);
    forwarder_set_routes(f->forwarder, table);
    route_table_unref(table);
    expect(f, "/small/x", 200, "ok");
    expect(f, "/none/x", 503, NULL); /* accepted by another build: the box goes on */
}

static void read_token_count(const char *value, dialect_request_t *facts)
{
    web_headers_t h;
    web_headers_init(&h);
    web_headers_on_name(&h, "Token-Count", strlen("Token-Count"));
    web_headers_on_value(&h, value, strlen(value));
    const web_request_t request = {.method = "POST", .target = "/", .headers = &h};
    dialect_read_request(&request, facts);
    web_headers_free(&h);
}

/** Numbers below 0 and beyond 32 bits wrapped: a prompt of -1 tokens had 4,294,967,295, one of 4,294,967,297 had one.
 */
static void test_token_counts(void)
{
    static const struct {
        const char *value;
        bool has_count;
        unsigned prompt, output;
    } cases[] = {{"1460,80", true, 1460, 80},
                 {"7", true, 7, 0},
                 {" 7, 9", true, 7, 9},
                 {"-1,80", false, 0, 0},
                 {"5,-1", true, 5, 0},
                 {"x", false, 0, 0},
                 {"", false, 0, 0},
                 {"4294967297,4294967297", true, FIGURE_TOKENS_MAX, FIGURE_TOKENS_MAX},
                 {"99999999999999999999999,1", true, FIGURE_TOKENS_MAX, 1}};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        dialect_request_t facts;
        read_token_count(cases[i].value, &facts);
        g_assert_cmpint(facts.has_token_count, ==, cases[i].has_count);
        g_assert_cmpuint(facts.prompt_tokens, ==, cases[i].prompt);
        g_assert_cmpuint(facts.output_tokens, ==, cases[i].output);
    }
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
#define TEST(name, fn) g_test_add("/callers/" name, fixture_t, NULL, set_up, fn, tear_down)
    TEST("any-bytes", test_any_bytes);
    TEST("names-that-are-no-tokens", test_names_that_are_no_tokens);
    TEST("names-with-blanks-in-answers", test_names_with_blanks_in_answers);
    TEST("weights-below-a-thousandth", test_weights_below_a_thousandth);
#undef TEST
    g_test_add_func("/callers/token-counts", test_token_counts);
    return g_test_run();
}
