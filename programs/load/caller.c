#include "load/caller.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "backend/http_client.h"
#include "backend/sse.h"
#include "stub_answer.h"

/* ===== Constants ===== */

enum {
    CLIENT_DELAY_US = 3000, /* one way between a caller and the entries, as the users' pages say */
    TRIES_MAX = 6,
    REQUEST_LIMIT_MS = 60000,
    ENTRIES_LIMIT_MS = 1000
};

/* ===== Which entry ===== */

static bool ask_entries(load_caller_t *c, const char *addr)
{
    char url[256];
    snprintf(url, sizeof(url), "http://%s/v1/entries?caller=%s", addr, c->name);
    const http_call_t call = {
        .url = url, .method = "GET", .timeout = ENTRIES_LIMIT_MS, .peer = addr, .step = "ask entries"};
    http_result_t result;
    tc_err_t err = {0};
    json_t *const body =
        http_call(&call, &result, &err) == TC_OK ? json_loadb(result.body, result.body_size, 0, NULL) : NULL;
    const json_t *const list = json_object_get(body, "entries");
    const size_t n = json_array_size(list);
    if (n > 0) {
        c->n_entries = 0;
        for (size_t i = 0; i < n && i < G_N_ELEMENTS(c->entries); i++)
            g_strlcpy(c->entries[c->n_entries++], json_string_value(json_object_get(json_array_get(list, i), "addr")),
                      sizeof(c->entries[0]));
        c->keep_until = tc_time_exact() + (double)json_integer_value(json_object_get(body, "keep_ms"));
    }
    json_decref(body);
    free(result.body);
    return n > 0;
}

/** Address for the @p try-th attempt. */
static void choose_entry(load_caller_t *c, uint32_t try, char addr[64])
{
    pthread_mutex_lock(&c->lock);
    if (tc_time_exact() >= c->keep_until || c->n_entries == 0) {
        bool known = false;
        for (uint32_t i = 0; i < c->n_entries && !known; i++)
            known = ask_entries(c, c->entries[i]);
        for (uint32_t i = 0; i < c->n_seeds && !known; i++)
            known = ask_entries(c, c->seeds[i]);
    }
    if (c->n_entries > 0)
        g_strlcpy(addr, c->entries[try % c->n_entries], 64);
    else
        g_strlcpy(addr, c->n_seeds > 0 ? c->seeds[try % c->n_seeds] : "", 64);
    pthread_mutex_unlock(&c->lock);
}

/* ===== Reading an answer ===== */

typedef struct {
    uint64_t hash;
    uint32_t length;   /* what the answer must be */
    uint32_t got;      /* tokens in order so far */
    char event_id[48]; /* id of the event that brought the last of them, as it came */
    bool wrong, doubled, done;
    saw_t error; /* an error event came */
    bool has_error;
    double begin, first, last, cancel_at;
    bool cancelled;
    bool sent; /* an entry may have begun */
    sse_t sse;
} sse_reader_t;

static saw_t saw_of(const char *type)
{
    if (type && strcmp(type, "not_run") == 0)
        return SAW_NOT_RUN;
    if (type && strcmp(type, "invalid") == 0)
        return SAW_INVALID;
    if (type && strcmp(type, "cancelled") == 0)
        return SAW_CANCELLED;
    return type && strcmp(type, "outcome_unknown") == 0 ? SAW_UNKNOWN : SAW_LOST;
}

static saw_t error_in(const char *text, size_t size)
{
    json_t *const body = json_loadb(text, size, 0, NULL);
    const saw_t saw = saw_of(json_string_value(json_object_get(json_object_get(body, "error"), "type")));
    json_decref(body);
    return saw;
}

static void take_token(sse_reader_t *r, uint32_t place, const char *text)
{
    if (place <= r->got) {
        r->doubled = true;
        return;
    }
    if (!stub_text_matches(text, r->hash, r->got, place))
        r->wrong = true;
    r->got = place;
    r->last = tc_time_exact();
    if (r->first == 0)
        r->first = r->last;
}

static bool on_event(void *arg, const sse_event_t *event)
{
    sse_reader_t *const r = arg;
    if (strcmp(event->name, "error") == 0) {
        r->has_error = true;
        r->error = error_in(event->data, strlen(event->data));
        return true;
    }
    if (strcmp(event->data, "[DONE]") == 0) {
        r->doubled = r->doubled || r->done;
        r->done = true;
        return true;
    }
    json_t *const body = json_loads(event->data, 0, NULL);
    const char *const text =
        json_string_value(json_object_get(json_array_get(json_object_get(body, "choices"), 0), "text"));
    const uint32_t place = (uint32_t)strtoul(event->id, NULL, 10);
    if (place > r->got)
        g_strlcpy(r->event_id, event->id, sizeof(r->event_id));
    take_token(r, place, text ? text : "");
    json_decref(body);
    return true;
}

static bool on_data(void *arg, const char *data, size_t size)
{
    sse_reader_t *const r = arg;
    return sse_feed(&r->sse, data, size);
}

static bool on_idle(void *arg)
{
    sse_reader_t *const r = arg;
    r->cancelled = r->cancel_at > 0 && tc_time_exact() >= r->cancel_at;
    return !r->cancelled;
}

/* ===== Requests ===== */

/** @return true when the request ended for this caller, false to try another entry */
static bool complete_once(const char *addr, const char *model, const mix_request_t *q, const char *id, sse_reader_t *r,
                          outcome_t *out)
{
    char url[256], id_header[128], workspace[64], event[80];
    snprintf(url, sizeof(url), "http://%s/v1/completions", addr);
    snprintf(id_header, sizeof(id_header), "Idempotency-Key: %s", id);
    snprintf(workspace, sizeof(workspace), "X-Trackcove-Workspace: ws-%u", q->workspace);
    snprintf(event, sizeof(event), "Last-Event-ID: %s", r->event_id[0] ? r->event_id : "0");
    const char *headers[5] = {id_header, workspace};
    size_t n = 2;
    if (r->sent) /* whoever sends again says so, with what it has */
        headers[n++] = event;
    if (q->once)
        headers[n] = "X-Trackcove-Repeatable: no";
    char *const body =
        g_strdup_printf("{\"model\":\"%s\",\"stream\":true,\"max_tokens\":%u,\"priority\":%u,\"prompt\":\"%s\"}", model,
                        q->kind->max_tokens, q->kind->priority, q->prompt);
    const http_call_t call = {.url = url,
                              .method = "POST",
                              .body = body,
                              .body_size = strlen(body),
                              .headers = headers,
                              .timeout = REQUEST_LIMIT_MS,
                              .peer = addr,
                              .step = "complete",
                              .no_resend = true,
                              .on_data = on_data,
                              .on_idle = on_idle,
                              .arg = r};
    http_result_t result;
    tc_err_t err = {0};
    r->has_error = false;
    sse_init(&r->sse, on_event, r);
    const int rc = http_call(&call, &result, &err);
    sse_free(&r->sse);
    if (rc == TC_E_REFUSED) {
        r->has_error = true;
        r->error = error_in(result.body ? result.body : "", result.body_size);
    }
    r->sent = r->sent || result.sent;
    free(result.body);
    g_free(body);
    if (r->cancelled || r->has_error || r->done) {
        out->saw = r->cancelled ? SAW_CANCELLED : (r->has_error ? r->error : SAW_WHOLE);
        return true;
    }
    /* The entry is gone. Not to be repeated and sent: its outcome is unknown to this caller, who asks no more. */
    if (q->once && rc != TC_E_UNREACHABLE) {
        out->saw = SAW_UNKNOWN;
        return true;
    }
    return false;
}

static void complete(load_caller_t *c, const char *model, const mix_request_t *q, const char *id,
                     double cancel_after_ms, outcome_t *out)
{
    sse_reader_t r = {.hash = stub_prompt_hash(q->prompt, q->prompt_size), .begin = tc_time_exact()};
    r.length = stub_answer_length(r.hash, q->kind->max_tokens);
    r.cancel_at = cancel_after_ms > 0 ? r.begin + cancel_after_ms : 0;
    out->saw = SAW_LOST;
    g_usleep(2 * CLIENT_DELAY_US);
    char addr[64];
    for (uint32_t try = 0; try < TRIES_MAX; try++) {
        choose_entry(c, try, addr);
        if (complete_once(addr, model, q, id, &r, out))
            break;
        g_usleep(50000);
    }
    out->doubled = r.doubled;
    if (out->saw == SAW_WHOLE && (r.wrong || r.got != r.length))
        out->saw = SAW_LOST;
    if (r.wrong)
        fprintf(stderr, "trackcove-load: request %s got wrong tokens\n", id);
    out->ttft_ms = r.first > 0 ? r.first - r.begin : -1;
    out->tpot_ms = r.got > 1 ? (r.last - r.first) / (r.got - 1) : 0;
}

static bool call_once(const char *addr, const mix_request_t *q, const char *id, outcome_t *out)
{
    char url[256], id_header[128];
    snprintf(url, sizeof(url), "http://%s/v1/services/%s/call", addr, q->kind->service);
    snprintf(id_header, sizeof(id_header), "Idempotency-Key: %s", id);
    const char *const headers[] = {id_header, q->once ? "X-Trackcove-Repeatable: no" : NULL, NULL};
    const http_call_t call = {.url = url,
                              .method = "POST",
                              .body = "{}",
                              .body_size = 2,
                              .headers = headers,
                              .timeout = REQUEST_LIMIT_MS,
                              .peer = addr,
                              .step = "call",
                              .no_resend = q->once};
    http_result_t result;
    tc_err_t err = {0};
    const int rc = http_call(&call, &result, &err);
    json_t *const body = result.body ? json_loadb(result.body, result.body_size, 0, NULL) : NULL;
    const char *const echoed = json_string_value(json_object_get(body, "id"));
    bool ended = true;
    if (rc == TC_OK)
        out->saw = echoed && strcmp(echoed, id) == 0 ? SAW_WHOLE : SAW_LOST;
    else if (rc == TC_E_REFUSED)
        out->saw = saw_of(json_string_value(json_object_get(json_object_get(body, "error"), "type")));
    else if (q->once && rc != TC_E_UNREACHABLE)
        out->saw = SAW_UNKNOWN;
    else
        ended = false;
    json_decref(body);
    free(result.body);
    return ended;
}

void load_caller_run(load_caller_t *c, const char *model, const mix_request_t *q, const char *id,
                     double cancel_after_ms, outcome_t *out)
{
    memset(out, 0, sizeof(*out));
    g_strlcpy(out->id, id, sizeof(out->id));
    out->once = q->once;
    out->service = q->kind->service != NULL;
    if (!out->service) {
        complete(c, model, q, id, cancel_after_ms, out);
        return;
    }
    const double begin = tc_time_exact();
    out->saw = SAW_LOST;
    g_usleep(2 * CLIENT_DELAY_US);
    char addr[64];
    for (uint32_t try = 0; try < TRIES_MAX; try++) {
        choose_entry(c, try, addr);
        if (call_once(addr, q, id, out))
            break;
        g_usleep(50000);
    }
    out->ttft_ms = tc_time_exact() - begin;
}
