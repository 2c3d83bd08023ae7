/* Callers who send any bytes where they may send bytes: each gets a whole answer, and the log stays readable. */

#include <glib.h>
#include <jansson.h>
#include <string.h>

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

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add("/callers/any-bytes", fixture_t, NULL, set_up, test_any_bytes, tear_down);
    return g_test_run();
}
