/* HTTP interface for callers: each form of answer, and requests that are invalid, too large or incomplete. Guards
 * against a wrong status or error body, a request that stays in flight after its caller disconnected, and an
 * idempotency key that gives one workspace access to another's answer. */

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "backend/http_client.h"
#include "harness/client.h"
#include "stub_answer.h"

static cluster_t *cluster;

/** Post @p body unchanged; @p header may be NULL. @return the JSON answer, new reference, or NULL if it is not JSON */
static json_t *post(const char *path, const char *body, const char *header, int *status)
{
    char *const url = g_strdup_printf("http://%s%s", cluster_addr(cluster, "entry-1"), path);
    const char *const headers[] = {header, NULL};
    const http_call_t call = {.url = url,
                              .method = "POST",
                              .body = body,
                              .body_size = strlen(body),
                              .headers = headers,
                              .timeout = 20000,
                              .peer = "entry-1",
                              .step = "post"};
    http_result_t result;
    tc_err_t err;
    (void)http_call(&call, &result, &err);
    *status = result.status;
    json_t *const answer = json_loadb(result.body ? result.body : "", result.body_size, 0, NULL);
    free(result.body);
    g_free(url);
    return answer;
}

/** Assert that a request gets status @p wanted and an `invalid` error which names @p peer. */
static void assert_refused(const char *path, const char *body, int wanted, const char *peer)
{
    int status = 0;
    json_t *const answer = post(path, body, NULL, &status);
    const json_t *const error = json_object_get(answer, "error");
    g_assert_cmpint(status, ==, wanted);
    g_assert_cmpstr(json_string_value(json_object_get(error, "type")), ==, "invalid");
    g_assert_cmpstr(json_string_value(json_object_get(error, "peer")), ==, peer);
    g_assert_cmpint((int)strlen(json_string_value(json_object_get(error, "message"))), >, 5);
    json_decref(answer);
}

/** Text that the stub engine generates for a prompt. @return new string */
static char *expected_text(const char *prompt, unsigned max_tokens)
{
    const uint64_t hash = stub_prompt_hash(prompt, strlen(prompt));
    GString *const text = g_string_new(NULL);
    for (unsigned i = 0; i < stub_answer_length(hash, max_tokens); i++) {
        char token[STUB_TOKEN_BYTES];
        stub_token_text(token, hash, i);
        g_string_append(text, token);
    }
    return g_string_free(text, FALSE);
}

static void test_whole_answers(void)
{
    int status = 0;
    json_t *answer =
        post("/v1/completions", "{\"model\":\"sahel-lm\",\"prompt\":\"dust \\\"since\\\" noon\",\"max_tokens\":30}",
             NULL, &status);
    char *text = expected_text("dust \"since\" noon", 30);
    g_assert_cmpint(status, ==, 200);
    g_assert_cmpstr(json_string_value(json_object_get(json_array_get(json_object_get(answer, "choices"), 0), "text")),
                    ==, text);
    json_decref(answer);
    g_free(text);
    answer = post("/v1/chat/completions",
                  "{\"model\":\"sahel-lm\",\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}],\"max_tokens\":30}",
                  NULL, &status);
    text = expected_text("user: hello\n", 30);
    g_assert_cmpint(status, ==, 200);
    g_assert_cmpstr(json_string_value(json_object_get(
                        json_object_get(json_array_get(json_object_get(answer, "choices"), 0), "message"), "content")),
                    ==, text);
    json_decref(answer);
    g_free(text);
}

static void test_wrong_requests(void)
{
    assert_refused("/v1/completions", "{\"model\":\"sahel-lm\"", 400, "body");
    assert_refused("/v1/completions", "[]", 400, "body");
    assert_refused("/v1/completions", "{\"model\":\"sahel-lm\"}", 400, "prompt");
    assert_refused("/v1/completions", "{\"model\":\"no-such\",\"prompt\":\"x\"}", 400, "model");
    assert_refused("/v1/completions", "{\"model\":\"sahel-lm\",\"prompt\":\"x\",\"max_tokens\":0}", 400, "max_tokens");
    assert_refused("/v1/completions", "{\"model\":\"sahel-lm\",\"prompt\":\"x\",\"priority\":\"high\"}", 400,
                   "priority");
    assert_refused("/v1/chat/completions", "{\"model\":\"sahel-lm\",\"messages\":[{}]}", 400, "messages");
    assert_refused("/v1/services/no-such/x", "{}", 400, "no-such");
    int status = 0;
    json_decref(
        post("/v1/completions", "{\"model\":\"sahel-lm\",\"prompt\":\"x\"}", "Idempotency-Key: not/plain", &status));
    g_assert_cmpint(status, ==, 400);
}

static void test_too_large(void)
{
    enum { OVERSIZE_BYTES = 5 * 1024 * 1024 };
    char *const prompt = g_strnfill(OVERSIZE_BYTES, 'x');
    char *const body = g_strdup_printf("{\"model\":\"sahel-lm\",\"prompt\":\"%s\"}", prompt);
    int status = 0;
    json_decref(post("/v1/completions", body, NULL, &status));
    g_assert_cmpint(status, ==, 413);
    g_free(body);
    g_free(prompt);
}

static int connect_entry(void)
{
    char ip[64];
    g_strlcpy(ip, cluster_addr(cluster, "entry-1"), sizeof(ip));
    char *const colon = strchr(ip, ':');
    *colon = '\0';
    struct sockaddr_in to = {.sin_family = AF_INET, .sin_port = htons((uint16_t)atoi(colon + 1))};
    inet_pton(AF_INET, ip, &to.sin_addr);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    g_assert_cmpint(connect(fd, (const struct sockaddr *)&to, sizeof(to)), ==, 0);
    return fd;
}

static json_int_t in_flight(void)
{
    json_t *const engines = cluster_call(cluster, "entry-1", "/v1/engines", NULL, NULL);
    const json_int_t n = json_integer_value(json_object_get(engines, "inflight"));
    json_decref(engines);
    return n;
}

static bool nothing_in_flight(void *arg)
{
    (void)arg;
    return in_flight() == 0;
}

/** A workspace that is no UTF-8 ended the entry box, as the call to the engine could not be written. */
static void test_workspace_that_is_no_text(void)
{
    static const char *const names[] = {"X-Trackcove-Workspace: a\xff", "X-Trackcove-Workspace: \xc3"};
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        int status = 0;
        json_t *const answer = post("/v1/completions", "{\"model\":\"sahel-lm\",\"prompt\":\"x\"}", names[i], &status);
        g_assert_cmpint(status, ==, 400);
        g_assert_nonnull(json_object_get(json_object_get(answer, "error"), "message"));
        json_decref(answer);
    }
}

/** Callers that disconnect in the middle of a request or do not send HTTP: nothing stays in flight or held. */
static void test_half_sent(void)
{
    static const char *const pieces[] = {
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{\"model\":\"sahel-lm\",",
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\n",
        "\x16\x03\x01\x02\x00\x01\x00\x01\xfc",
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n",
    };
    for (int round = 0; round < 5; round++)
        for (size_t i = 0; i < G_N_ELEMENTS(pieces); i++) {
            const int fd = connect_entry();
            g_assert_cmpint(send(fd, pieces[i], strlen(pieces[i]), MSG_NOSIGNAL), >, 0);
            close(fd);
        }
    g_assert_true(cluster_wait_until(nothing_in_flight, NULL, 15000));
    g_assert_cmpint(cluster_stat(cluster, "held_pieces"), ==, 0);
    client_t c;
    client_init(&c, "after-half-sent", 500, 20);
    client_start(&c, cluster, "entry-1");
    client_join(&c);
    g_assert_true(c.complete && !c.wrong && !c.duplicated);
}

static void test_entries(void)
{
    int status = 0;
    json_t *const answer = cluster_call(cluster, "entry-1", "/v1/entries?caller=a&dc=dakar-rufisque", NULL, &status);
    const json_t *const list = json_object_get(answer, "entries");
    g_assert_cmpint(status, ==, 200);
    g_assert_cmpint((int)json_array_size(list), ==, 3);
    g_assert_cmpstr(json_string_value(json_object_get(json_array_get(list, 0), "dc")), ==, "dakar-rufisque");
    g_assert_cmpint(json_integer_value(json_object_get(answer, "keep_ms")), >, 0);
    json_decref(answer);
    GHashTable *const first = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (int i = 0; i < 60; i++) { /* different callers get different first boxes */
        char *const path = g_strdup_printf("/v1/entries?caller=caller-%d", i);
        json_t *const one = cluster_call(cluster, "entry-1", path, NULL, &status);
        g_hash_table_add(first, g_strdup(json_string_value(
                                    json_object_get(json_array_get(json_object_get(one, "entries"), 0), "box"))));
        json_decref(one);
        g_free(path);
    }
    g_assert_cmpuint(g_hash_table_size(first), ==, 3);
    g_hash_table_destroy(first);
}

/** Two workspaces use the same id, through the same entry and through another: neither receives or ends the answer of
 *  the other. */
static void test_id_of_another_workspace(void)
{
    client_t c;
    client_init(&c, "shared-id", 500, 200);
    client_start(&c, cluster, "entry-1");
    g_assert_true(client_wait_tokens(&c, 3, 10000));
    int status = 0;
    json_t *answer = post("/v1/completions", "{\"model\":\"sahel-lm\",\"prompt\":\"other\",\"max_tokens\":30}",
                          "Idempotency-Key: shared-id", &status);
    g_assert_cmpint(status, ==, 400);
    json_decref(answer);
    client_t other;
    client_init(&other, "shared-id", 600, 200); /* another prompt */
    client_start(&other, cluster, "entry-2");
    client_join(&other);
    g_assert_false(other.complete);
    g_assert_cmpuint(atomic_load(&other.got), ==, 0);
    client_join(&c);
    g_assert_true(c.complete && !c.wrong && !c.duplicated);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    const cluster_options_t options = {.deployment = "sahel", .entries = 3, .port_offset = cluster_unused_offset()};
    cluster = cluster_start(&options);
    g_assert_nonnull(cluster);
    g_test_add_func("/callers/whole-answers", test_whole_answers);
    g_test_add_func("/callers/wrong-requests", test_wrong_requests);
    g_test_add_func("/callers/too-large", test_too_large);
    g_test_add_func("/callers/half-sent", test_half_sent);
    g_test_add_func("/callers/id-of-somebody-else", test_id_of_another_workspace);
    g_test_add_func("/callers/entries", test_entries);
    g_test_add_func("/callers/workspace-that-is-no-text", test_workspace_that_is_no_text);
    const int rc = g_test_run();
    cluster_stop(cluster, rc != 0);
    return rc;
}
