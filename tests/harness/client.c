#include "harness/client.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "backend/http_client.h"
#include "backend/sse.h"
#include "stub_answer.h"

/* ===== Streaming ===== */

typedef struct {
    client_t *client;
    sse_t sse;
    uint64_t hash;
} stream_reader_t;

static void copy_error_type(char to[32], const char *text, size_t size)
{
    json_t *const body = json_loadb(text, size, 0, NULL);
    const char *const type = json_string_value(json_object_get(json_object_get(body, "error"), "type"));
    g_strlcpy(to, type ? type : "unreadable", 32);
    json_decref(body);
}

static bool on_event(void *arg, const sse_event_t *event)
{
    stream_reader_t *const r = arg;
    client_t *const c = r->client;
    if (strcmp(event->name, "error") == 0) {
        copy_error_type(c->error, event->data, strlen(event->data));
        return true;
    }
    if (strcmp(event->data, "[DONE]") == 0) {
        c->complete = true;
        return true;
    }
    json_t *const body = json_loads(event->data, 0, NULL);
    const char *const text =
        json_string_value(json_object_get(json_array_get(json_object_get(body, "choices"), 0), "text"));
    const unsigned token = (unsigned)strtoul(event->id, NULL, 10);
    const unsigned got = atomic_load(&c->got);
    c->duplicated = c->duplicated || token <= got;
    c->wrong = c->wrong || token <= got || !stub_text_matches(text, r->hash, got, token);
    g_strlcpy(c->event_id, event->id, sizeof(c->event_id));
    atomic_store(&c->got, token);
    json_decref(body);
    return true;
}

static bool on_data(void *arg, const char *data, size_t size)
{
    stream_reader_t *const r = arg;
    return sse_feed(&r->sse, data, size) && !atomic_load(&r->client->disconnect);
}

static bool on_idle(void *arg)
{
    const stream_reader_t *const r = arg;
    return !atomic_load(&r->client->disconnect);
}

static char *make_prompt(const client_t *c)
{
    GString *const text = g_string_new(c->id);
    while (text->len < (size_t)c->prompt_tokens * STUB_BYTES_PER_TOKEN)
        g_string_append_printf(text, " word%zu", text->len);
    return g_string_free(text, FALSE);
}

static void *run(void *arg)
{
    client_t *const c = arg;
    char *const prompt = make_prompt(c);
    char *const url = g_strdup_printf("http://%s/v1/completions", c->addr);
    char *const body = g_strdup_printf("{\"model\":\"sahel-lm\",\"stream\":true,\"max_tokens\":%u,\"prompt\":\"%s\"}",
                                       c->max_tokens, prompt);
    char id[96], event[80];
    snprintf(id, sizeof(id), "Idempotency-Key: %s", c->id);
    if (c->event_id[0])
        snprintf(event, sizeof(event), "Last-Event-ID: %s", c->event_id);
    else
        snprintf(event, sizeof(event), "Last-Event-ID: %u", c->last_event);
    const char *headers[4] = {id};
    size_t n = 1;
    if (c->resend)
        headers[n++] = event;
    if (c->once)
        headers[n] = "X-Trackcove-Repeatable: no";
    stream_reader_t reading = {.client = c, .hash = stub_prompt_hash(prompt, strlen(prompt))};
    const http_call_t call = {.url = url,
                              .method = "POST",
                              .body = body,
                              .body_size = strlen(body),
                              .headers = headers,
                              .timeout = 120000,
                              .peer = c->addr,
                              .step = "test",
                              .no_resend = true,
                              .on_data = on_data,
                              .on_idle = on_idle,
                              .arg = &reading};
    http_result_t result;
    tc_err_t err;
    sse_init(&reading.sse, on_event, &reading);
    const int rc = http_call(&call, &result, &err);
    sse_free(&reading.sse);
    if (rc == TC_E_REFUSED)
        copy_error_type(c->error, result.body ? result.body : "", result.body_size);
    const unsigned length = stub_answer_length(reading.hash, c->max_tokens);
    c->wrong = c->wrong || (c->complete && atomic_load(&c->got) != length);
    c->status = result.status;
    free(result.body);
    g_free(body);
    g_free(url);
    g_free(prompt);
    atomic_store(&c->ended, true);
    return NULL;
}

void client_init(client_t *c, const char *id, unsigned prompt_tokens, unsigned max_tokens)
{
    memset(c, 0, sizeof(*c));
    g_strlcpy(c->id, id, sizeof(c->id));
    c->prompt_tokens = prompt_tokens;
    c->max_tokens = max_tokens;
}

void client_start(client_t *c, const cluster_t *cluster, const char *entry)
{
    g_strlcpy(c->addr, cluster_addr(cluster, entry), sizeof(c->addr));
    atomic_store(&c->got, c->last_event);
    atomic_store(&c->ended, false);
    if (pthread_create(&c->thread, NULL, run, c) != 0)
        abort();
}

void client_join(client_t *c)
{
    pthread_join(c->thread, NULL);
}

typedef struct {
    client_t *client;
    unsigned tokens;
} tokens_t;

static bool has_tokens(void *arg)
{
    const tokens_t *const t = arg;
    return atomic_load(&t->client->got) >= t->tokens || atomic_load(&t->client->ended);
}

bool client_wait_tokens(client_t *c, unsigned tokens, int limit_ms)
{
    tokens_t t = {.client = c, .tokens = tokens};
    return cluster_wait_until(has_tokens, &t, limit_ms) && atomic_load(&c->got) >= tokens;
}

/* ===== Counts ===== */

int client_count(cluster_t *cluster, const char *id, const char *what)
{
    json_t *const answer = cluster_call(cluster, "stub", "/admin/runs", json_pack("{s:[s]}", "ids", id), NULL);
    const int n = (int)json_integer_value(json_array_get(json_object_get(answer, what), 0));
    json_decref(answer);
    return n;
}

long long client_metric(cluster_t *cluster, const char *name, const char *metric)
{
    char *const url = g_strdup_printf("http://%s/metrics", cluster_addr(cluster, name));
    const http_call_t call = {.url = url, .method = "GET", .timeout = 3000, .peer = name, .step = "metrics"};
    http_result_t result;
    tc_err_t err;
    (void)http_call(&call, &result, &err);
    char *const wanted = g_strdup_printf("\n%s ", metric);
    const char *const at = result.body ? strstr(result.body, wanted) : NULL;
    const long long value = at ? strtoll(at + strlen(wanted), NULL, 10) : -1;
    g_free(wanted);
    free(result.body);
    g_free(url);
    return value;
}

static bool is_free(void *arg)
{
    return cluster_stat(arg, "held_pieces") == 0;
}

bool client_wait_idle(cluster_t *cluster, int limit_ms)
{
    return cluster_wait_until(is_free, cluster, limit_ms);
}

/* ===== Services ===== */

int client_call_service(const cluster_t *cluster, const char *entry, const char *service, const char *id, bool once,
                        char type[32])
{
    char *const url = g_strdup_printf("http://%s/v1/services/%s/do", cluster_addr(cluster, entry), service);
    char header[96];
    snprintf(header, sizeof(header), "Idempotency-Key: %s", id);
    const char *const headers[] = {header, once ? "X-Trackcove-Repeatable: no" : NULL, NULL};
    const http_call_t call = {.url = url,
                              .method = "POST",
                              .body = "{}",
                              .body_size = 2,
                              .headers = headers,
                              .timeout = 20000,
                              .peer = entry,
                              .step = "service"};
    http_result_t result;
    tc_err_t err;
    const int rc = http_call(&call, &result, &err);
    type[0] = '\0';
    if (rc == TC_E_REFUSED)
        copy_error_type(type, result.body ? result.body : "", result.body_size);
    const int status = result.status;
    free(result.body);
    g_free(url);
    return status;
}

/* ===== Operators ===== */

int client_change_config(cluster_t *cluster, const char *request, const char *patch)
{
    char *const plan = g_strdup_printf("%s-plan", request);
    int status = 0;
    json_t *const planned = cluster_call_leader(
        cluster, "/v1/plan", json_pack("{s:s,s:o}", "request_id", plan, "patch", json_loads(patch, 0, NULL)), &status,
        10000);
    g_free(plan);
    if (status != 200) {
        json_decref(planned);
        return status;
    }
    json_decref(cluster_call_leader(
        cluster, "/v1/confirm", json_pack("{s:s,s:O}", "request_id", request, "plan", json_object_get(planned, "plan")),
        &status, 10000));
    json_decref(planned);
    return status;
}

static bool in_force(void *arg)
{
    json_t *const status = cluster_call_leader(arg, "/v1/status", NULL, NULL, 1000);
    const json_int_t accepted = json_integer_value(json_object_get(status, "accepted"));
    const json_int_t everywhere = json_integer_value(json_object_get(status, "in_force"));
    json_decref(status);
    return accepted > 0 && accepted == everywhere;
}

bool client_wait_in_force(cluster_t *cluster, int limit_ms)
{
    return cluster_wait_until(in_force, cluster, limit_ms);
}
