#include "load/caller.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "backend/http_client.h"
#include "backend/sse.h"
#include "stub_answer.h"

/* ===== Constants ===== */

enum {
    CLIENT_DELAY_US = 3000, /* one-way latency between a caller and the entries, from the users' requirements */
    ATTEMPTS_MAX = 6,
    REQUEST_TIMEOUT_MS = 60000,
    ENTRIES_TIMEOUT_MS = 1000
};

/* ===== Entry selection ===== */

static bool fetch_entries(load_caller_t *c, const char *addr)
{
    char url[256];
    snprintf(url, sizeof(url), "http://%s/v1/entries?caller=%s", addr, c->name);
    const http_call_t call = {
        .url = url, .method = "GET", .timeout = ENTRIES_TIMEOUT_MS, .peer = addr, .step = "ask entries"};
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
        c->entries_expire_ms = tc_time_exact() + (double)json_integer_value(json_object_get(body, "keep_ms"));
    }
    json_decref(body);
    free(result.body);
    return n > 0;
}

/** Copies the address for attempt number @p attempt (from 0) to @p addr; refreshes an expired list first. */
static void choose_entry(load_caller_t *c, uint32_t attempt, char addr[64])
{
    pthread_mutex_lock(&c->lock);
    if (tc_time_exact() >= c->entries_expire_ms || c->n_entries == 0) {
        bool fetched = false;
        for (uint32_t i = 0; i < c->n_entries && !fetched; i++)
            fetched = fetch_entries(c, c->entries[i]);
        for (uint32_t i = 0; i < c->n_seeds && !fetched; i++)
            fetched = fetch_entries(c, c->seeds[i]);
    }
    if (c->n_entries > 0)
        g_strlcpy(addr, c->entries[attempt % c->n_entries], 64);
    else
        g_strlcpy(addr, c->n_seeds > 0 ? c->seeds[attempt % c->n_seeds] : "", 64);
    pthread_mutex_unlock(&c->lock);
}

/* ===== Answer reader ===== */

typedef struct {
    uint64_t hash;
    uint32_t length;   /* expected, tokens */
    uint32_t got;      /* tokens received in order */
    char event_id[48]; /* id of the event with the last of them, unchanged: sent back as Last-Event-ID */
    bool wrong, duplicated, done;
    outcome_kind_t error; /* of the error event; valid if has_error */
    bool has_error;
    double begin, first, last, cancel_at;
    bool cancelled;
    bool sent; /* an entry may have begun to execute the request */
    sse_t sse;
} answer_reader_t;

static outcome_kind_t outcome_from_error_type(const char *type)
{
    if (type && strcmp(type, "not_run") == 0)
        return OUTCOME_NOT_RUN;
    if (type && strcmp(type, "invalid") == 0)
        return OUTCOME_INVALID;
    if (type && strcmp(type, "cancelled") == 0)
        return OUTCOME_CANCELLED;
    return type && strcmp(type, "outcome_unknown") == 0 ? OUTCOME_UNKNOWN : OUTCOME_LOST;
}

static outcome_kind_t parse_error_outcome(const char *text, size_t size)
{
    json_t *const body = json_loadb(text, size, 0, NULL);
    const outcome_kind_t outcome =
        outcome_from_error_type(json_string_value(json_object_get(json_object_get(body, "error"), "type")));
    json_decref(body);
    return outcome;
}

static void accept_tokens(answer_reader_t *r, uint32_t place, const char *text)
{
    if (place <= r->got) {
        r->duplicated = true;
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
    answer_reader_t *const r = arg;
    if (strcmp(event->name, "error") == 0) {
        r->has_error = true;
        r->error = parse_error_outcome(event->data, strlen(event->data));
        return true;
    }
    if (strcmp(event->data, "[DONE]") == 0) {
        r->duplicated = r->duplicated || r->done;
        r->done = true;
        return true;
    }
    json_t *const body = json_loads(event->data, 0, NULL);
    const char *const text =
        json_string_value(json_object_get(json_array_get(json_object_get(body, "choices"), 0), "text"));
    const uint32_t place = (uint32_t)strtoul(event->id, NULL, 10);
    if (place > r->got)
        g_strlcpy(r->event_id, event->id, sizeof(r->event_id));
    accept_tokens(r, place, text ? text : "");
    json_decref(body);
    return true;
}

static bool on_data(void *arg, const char *data, size_t size)
{
    answer_reader_t *const r = arg;
    return sse_feed(&r->sse, data, size);
}

static bool on_idle(void *arg)
{
    answer_reader_t *const r = arg;
    r->cancelled = r->cancel_at > 0 && tc_time_exact() >= r->cancel_at;
    return !r->cancelled;
}

/* ===== Requests ===== */

/** @return true when the outcome is final, false to retry at another entry */
static bool complete_once(const char *addr, const char *model, const mix_request_t *q, const char *id,
                          answer_reader_t *r, outcome_t *out)
{
    char url[256], id_header[128], workspace[64], event[80];
    snprintf(url, sizeof(url), "http://%s/v1/completions", addr);
    snprintf(id_header, sizeof(id_header), "Idempotency-Key: %s", id);
    snprintf(workspace, sizeof(workspace), "X-Trackcove-Workspace: ws-%u", q->workspace);
    snprintf(event, sizeof(event), "Last-Event-ID: %s", r->event_id[0] ? r->event_id : "0");
    const char *headers[5] = {id_header, workspace};
    size_t n = 2;
    if (r->sent) /* a resend names the last event that was received */
        headers[n++] = event;
    if (q->non_repeatable)
        headers[n] = "X-Trackcove-Repeatable: no";
    char *const body =
        g_strdup_printf("{\"model\":\"%s\",\"stream\":true,\"max_tokens\":%u,\"priority\":%u,\"prompt\":\"%s\"}", model,
                        q->kind->max_tokens, q->kind->priority, q->prompt);
    const http_call_t call = {.url = url,
                              .method = "POST",
                              .body = body,
                              .body_size = strlen(body),
                              .headers = headers,
                              .timeout = REQUEST_TIMEOUT_MS,
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
        r->error = parse_error_outcome(result.body ? result.body : "", result.body_size);
    }
    r->sent = r->sent || result.sent;
    free(result.body);
    g_free(body);
    if (r->cancelled || r->has_error || r->done) {
        out->kind = r->cancelled ? OUTCOME_CANCELLED : (r->has_error ? r->error : OUTCOME_COMPLETE);
        return true;
    }
    /* The entry is lost. A request that may not be repeated and was sent has an unknown outcome: no retry. */
    if (q->non_repeatable && rc != TC_E_UNREACHABLE) {
        out->kind = OUTCOME_UNKNOWN;
        return true;
    }
    return false;
}

static void complete(load_caller_t *c, const char *model, const mix_request_t *q, const char *id,
                     double cancel_after_ms, outcome_t *out)
{
    answer_reader_t r = {.hash = stub_prompt_hash(q->prompt, q->prompt_size), .begin = tc_time_exact()};
    r.length = stub_answer_length(r.hash, q->kind->max_tokens);
    r.cancel_at = cancel_after_ms > 0 ? r.begin + cancel_after_ms : 0;
    out->kind = OUTCOME_LOST;
    g_usleep(2 * CLIENT_DELAY_US);
    char addr[64];
    for (uint32_t attempt = 0; attempt < ATTEMPTS_MAX; attempt++) {
        choose_entry(c, attempt, addr);
        if (complete_once(addr, model, q, id, &r, out))
            break;
        g_usleep(50000);
    }
    out->duplicated = r.duplicated;
    if (out->kind == OUTCOME_COMPLETE && (r.wrong || r.got != r.length))
        out->kind = OUTCOME_LOST;
    if (r.wrong)
        fprintf(stderr, "trackcove-load: request %s received tokens that differ from the expected answer\n", id);
    out->ttft_ms = r.first > 0 ? r.first - r.begin : -1;
    out->tpot_ms = r.got > 1 ? (r.last - r.first) / (r.got - 1) : 0;
}

static bool call_once(const char *addr, const mix_request_t *q, const char *id, outcome_t *out)
{
    char url[256], id_header[128];
    snprintf(url, sizeof(url), "http://%s/v1/services/%s/call", addr, q->kind->service);
    snprintf(id_header, sizeof(id_header), "Idempotency-Key: %s", id);
    const char *const headers[] = {id_header, q->non_repeatable ? "X-Trackcove-Repeatable: no" : NULL, NULL};
    const http_call_t call = {.url = url,
                              .method = "POST",
                              .body = "{}",
                              .body_size = 2,
                              .headers = headers,
                              .timeout = REQUEST_TIMEOUT_MS,
                              .peer = addr,
                              .step = "call",
                              .no_resend = q->non_repeatable};
    http_result_t result;
    tc_err_t err = {0};
    const int rc = http_call(&call, &result, &err);
    json_t *const body = result.body ? json_loadb(result.body, result.body_size, 0, NULL) : NULL;
    const char *const echoed = json_string_value(json_object_get(body, "id"));
    bool ended = true;
    if (rc == TC_OK)
        out->kind = echoed && strcmp(echoed, id) == 0 ? OUTCOME_COMPLETE : OUTCOME_LOST;
    else if (rc == TC_E_REFUSED)
        out->kind = outcome_from_error_type(json_string_value(json_object_get(json_object_get(body, "error"), "type")));
    else if (q->non_repeatable && rc != TC_E_UNREACHABLE)
        out->kind = OUTCOME_UNKNOWN;
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
    out->non_repeatable = q->non_repeatable;
    out->service = q->kind->service != NULL;
    if (!out->service) {
        complete(c, model, q, id, cancel_after_ms, out);
        return;
    }
    const double begin = tc_time_exact();
    out->kind = OUTCOME_LOST;
    g_usleep(2 * CLIENT_DELAY_US);
    char addr[64];
    for (uint32_t attempt = 0; attempt < ATTEMPTS_MAX; attempt++) {
        choose_entry(c, attempt, addr);
        if (call_once(addr, q, id, out))
            break;
        g_usleep(50000);
    }
    out->ttft_ms = tc_time_exact() - begin;
}
