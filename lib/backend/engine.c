#include "backend/engine.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "backend/sse.h"
#include "common/figure.h"
#include "common/text.h"

/* ===== Request bodies ===== */

enum {
    HTTP_CONFLICT = 409,
    HTTP_NOT_FOUND = 404,
    HTTP_GONE = 410,
    HTTP_TOO_MANY_REQUESTS = 429,
    HTTP_MISDIRECTED = 421
};

/** Builds the body. The prompt is long and already JSON, so it is copied instead of parsed and encoded again. */
static char *make_body(const engine_request_t *r, const json_t *kv, bool stream, uint32_t max_tokens, size_t *size)
{
    json_t *const head = json_pack("{s:s,s:s,s:i,s:b,s:i,s:s,s:O}", "model", r->model, "request_id", r->engine_id,
                                   "max_tokens", (int)max_tokens, "stream", stream, "priority", (int)r->priority,
                                   "cache_salt", r->salt, "kv_transfer_params", kv);
    char *const text = text_from_json(head);
    const size_t head_size = strlen(text) - 1; /* without the closing brace */
    const char key[] = ",\"prompt\":";
    char *const body = malloc(head_size + sizeof(key) + r->prompt_size + 2);
    if (!body)
        abort();
    memcpy(body, text, head_size);
    memcpy(body + head_size, key, sizeof(key) - 1);
    memcpy(body + head_size + sizeof(key) - 1, r->prompt, r->prompt_size);
    *size = head_size + sizeof(key) - 1 + r->prompt_size;
    body[(*size)++] = '}';
    body[*size] = '\0';
    free(text);
    return body;
}

static void make_url(char *to, size_t size, const char *base, const char *path)
{
    snprintf(to, size, "%s%s", base, path);
}

/** Maps the HTTP status of a refusal to an error code. */
static int map_refusal(int rc, const http_result_t *result, tc_err_t *err)
{
    if (rc != TC_E_REFUSED)
        return rc;
    switch (result->status) {
    case HTTP_NOT_FOUND: rc = TC_E_NOT_FOUND; break;
    case HTTP_GONE: rc = TC_E_CANCELLED; break;
    case HTTP_TOO_MANY_REQUESTS: rc = TC_E_FULL; break;
    case HTTP_CONFLICT: rc = TC_E_CONFLICT; break;
    default: break;
    }
    if (err)
        err->code = rc;
    return rc;
}

/* ===== Prefill ===== */

static int read_prefill(const engine_request_t *r, const http_result_t *http, engine_prefill_t *result, tc_err_t *err)
{
    json_t *const body = json_loadb(http->body ? http->body : "", http->body_size, 0, NULL);
    json_t *const kv = json_object_get(body, "kv_transfer_params");
    const json_t *const usage = json_object_get(body, "usage");
    if (!json_is_object(kv)) {
        json_decref(body);
        return tc_err_set(err, TC_E_INVALID, "prefill", r->name, "answer without kv_transfer_params");
    }
    result->kv = json_incref(kv);
    result->prompt_tokens = figure_count(usage, "prompt_tokens", 0, FIGURE_TOKENS_MAX);
    result->cached_tokens = MIN(figure_count(usage, "cached_tokens", 0, FIGURE_TOKENS_MAX), result->prompt_tokens);
    const uint32_t computed = figure_count(usage, "computed_tokens", 0, FIGURE_TOKENS_MAX);
    result->computed_tokens = computed ? computed : result->prompt_tokens - result->cached_tokens;
    json_decref(body);
    return TC_OK;
}

int engine_prefill(const engine_request_t *request, tc_time_t limit, http_idle_fn_t on_idle, void *arg,
                   engine_prefill_t *result, tc_err_t *err)
{
    char url[CODEC_PATH_SIZE + 64];
    make_url(url, sizeof(url), request->url, "/v1/completions");
    json_t *const kv = json_pack("{s:b,s:b}", "do_remote_decode", 1, "do_remote_prefill", 0);
    size_t size;
    char *const body = make_body(request, kv, false, 1, &size);
    json_decref(kv);
    const http_call_t call = {.url = url,
                              .method = "POST",
                              .body = body,
                              .body_size = size,
                              .timeout = limit,
                              .peer = request->name,
                              .step = "prefill",
                              .no_resend = true,
                              .on_idle = on_idle,
                              .arg = arg};
    http_result_t http;
    int rc = map_refusal(http_call(&call, &http, err), &http, err);
    if (rc == TC_OK)
        rc = read_prefill(request, &http, result, err);
    free(http.body);
    free(body);
    return rc;
}

/* ===== Token streams ===== */

/** One transfer of a stream. */
typedef struct {
    const engine_reader_t *reader;
    sse_t sse;
    uint32_t position; /* of the last token received, initially the one to continue after */
    bool done;         /* [DONE] was received */
    bool late;         /* a timeout passed */
    bool invalid;      /* an invalid event was received */
    tc_time_t last;    /* start of the call, or when the reader returned from the last token */
    bool any;          /* a token was received */
} stream_t;

/** The event's own id as a position; the id of an earlier event does not count. @return 0 if it is not one */
static uint32_t read_position(const sse_event_t *event)
{
    if (!event->has_id || event->id[0] < '1' || event->id[0] > '9')
        return 0;
    char *end;
    const unsigned long long position = strtoull(event->id, &end, 10);
    return *end == '\0' && position <= UINT32_MAX ? (uint32_t)position : 0;
}

/** Number of tokens in the choice: engines list them when an event has several. */
static uint32_t count_tokens(const json_t *choice)
{
    const json_t *const ids = json_object_get(choice, "token_ids");
    return json_is_array(ids) ? (uint32_t)json_array_size(ids) : 1;
}

/** Passes the tokens of an event to the reader, if they are the next ones. */
static bool handle_tokens(stream_t *s, const sse_event_t *event, const json_t *choice)
{
    const char *const text = json_string_value(json_object_get(choice, "text"));
    const uint32_t position = read_position(event), count = count_tokens(choice);
    s->invalid = !text || count == 0 || position < count || position - count != s->position;
    if (s->invalid)
        return false;
    s->any = true;
    s->position = position;
    const char *const finish = json_string_value(json_object_get(choice, "finish_reason"));
    const bool proceed = s->reader->on_token(s->reader->arg, position, text, finish);
    s->last = tc_time_now(); /* the reader's own time does not count towards the timeout */
    return proceed;
}

static bool on_event(void *arg, const sse_event_t *event)
{
    stream_t *const s = arg;
    s->done = s->done || strcmp(event->data, "[DONE]") == 0;
    if (s->done)
        return true;
    json_t *const body = json_loads(event->data, 0, NULL);
    const bool proceed = handle_tokens(s, event, json_array_get(json_object_get(body, "choices"), 0));
    json_decref(body);
    return proceed;
}

static bool on_stream_data(void *arg, const char *data, size_t size)
{
    stream_t *const s = arg;
    return sse_feed(&s->sse, data, size);
}

static bool on_stream_idle(void *arg)
{
    stream_t *const s = arg;
    const tc_time_t limit = s->any ? s->reader->next_token_timeout : s->reader->first_token_timeout;
    if (tc_time_now() - s->last > limit) {
        s->late = true;
        return false;
    }
    return !s->reader->on_idle || s->reader->on_idle(s->reader->arg);
}

/** Longest duration of a stream; gaps between tokens are bounded by the reader's timeouts. */
#define STREAM_TIMEOUT_MS 3600000

/** @param from position after which the stream is to continue */
static int read_stream(const engine_request_t *r, const http_call_t *base, uint32_t from, const engine_reader_t *reader,
                       tc_err_t *err)
{
    stream_t stream = {.reader = reader, .position = from, .last = tc_time_now()};
    sse_init(&stream.sse, on_event, &stream);
    http_call_t call = *base;
    call.timeout = STREAM_TIMEOUT_MS;
    call.peer = r->name;
    call.on_data = on_stream_data;
    call.on_idle = on_stream_idle;
    call.arg = &stream;
    http_result_t http;
    int rc = map_refusal(http_call(&call, &http, err), &http, err);
    free(http.body);
    sse_free(&stream.sse);
    if (stream.done)
        return TC_OK;
    if (stream.invalid)
        return tc_err_set(err, TC_E_INVALID, call.step, r->name, "an event that is not what follows place %u",
                          stream.position);
    if (stream.late)
        return tc_err_set(err, stream.any ? TC_E_BROKEN : TC_E_STALLED, call.step, r->name, "no token in time");
    if (rc == TC_OK)
        rc = tc_err_set(err, TC_E_BROKEN, call.step, r->name, "stream ended before the answer was whole");
    return rc;
}

int engine_decode(const engine_request_t *request, const json_t *kv, const engine_reader_t *reader, tc_err_t *err)
{
    char url[CODEC_PATH_SIZE + 64];
    make_url(url, sizeof(url), request->url, "/v1/completions");
    size_t size;
    char *const body = make_body(request, kv, true, request->max_tokens, &size);
    const http_call_t call = {
        .url = url, .method = "POST", .body = body, .body_size = size, .step = "decode", .no_resend = true};
    const int rc = read_stream(request, &call, 0, reader, err);
    free(body);
    return rc;
}

int engine_resume(const engine_request_t *request, uint32_t from, const engine_reader_t *reader, tc_err_t *err)
{
    char url[CODEC_PATH_SIZE + ENGINE_ID_SIZE + 64];
    snprintf(url, sizeof(url), "%s/v1/streams/%s?from=%u", request->url, request->engine_id, from);
    const http_call_t call = {.url = url, .method = "GET", .step = "resume"};
    return read_stream(request, &call, from, reader, err);
}

/* ===== Small calls ===== */

/** Makes a call with a JSON body and answer. @param body NULL for none; its reference is taken
 *  @param answer NULL, or set to a new reference on success */
static int call_json(const char *name, const char *step, const char *method, const char *url, json_t *body,
                     tc_time_t limit, json_t **answer, tc_err_t *err)
{
    char *const text = body ? text_from_json(body) : NULL;
    const http_call_t call = {.url = url,
                              .method = method,
                              .body = text,
                              .body_size = text ? strlen(text) : 0,
                              .timeout = limit,
                              .peer = name,
                              .step = step};
    http_result_t http;
    int rc = map_refusal(http_call(&call, &http, err), &http, err);
    if (rc == TC_OK && answer) {
        *answer = json_loadb(http.body ? http.body : "", http.body_size, 0, NULL);
        if (!*answer)
            rc = tc_err_set(err, TC_E_INVALID, step, name, "answer is not JSON");
    }
    free(http.body);
    free(text);
    return rc;
}

int engine_cancel(const char *name, const char *base, const char *engine_id, tc_time_t limit, tc_err_t *err)
{
    char url[CODEC_PATH_SIZE + 64];
    make_url(url, sizeof(url), base, "/v1/cancel");
    return call_json(name, "cancel", "POST", url, json_pack("{s:s}", "request_id", engine_id), limit, NULL, err);
}

static void copy_text(char *to, size_t size, const json_t *from, const char *key)
{
    const char *const text = json_string_value(json_object_get(from, key));
    codec_copy_string(to, size, text ? text : "");
}

int engine_state(const char *name, const char *base, tc_time_t limit, engine_state_t *state, tc_err_t *err)
{
    char url[CODEC_PATH_SIZE + 64];
    make_url(url, sizeof(url), base, "/v1/state");
    memset(state, 0, sizeof(*state));
    json_t *body = NULL;
    TC_CHECK(call_json(name, "engine state", "GET", url, NULL, limit, &body, err));
    state->incarnation = (uint64_t)json_integer_value(json_object_get(body, "incarnation"));
    state->leaving = json_is_true(json_object_get(body, "leaving"));
    state->loading = json_is_true(json_object_get(body, "loading"));
    copy_text(state->role, sizeof(state->role), body, "role");
    copy_text(state->model, sizeof(state->model), body, "model");
    copy_text(state->version, sizeof(state->version), body, "version");
    const json_t *const held = json_object_get(body, "held");
    state->n_held = (uint32_t)json_array_size(held);
    state->held = calloc(state->n_held + 1, sizeof(*state->held));
    if (!state->held)
        abort();
    for (uint32_t i = 0; i < state->n_held; i++) {
        const json_t *const item = json_array_get(held, i);
        copy_text(state->held[i].id, sizeof(state->held[i].id), item, "id");
        state->held[i].pieces = figure_count(item, "pieces", 0, FIGURE_TOKENS_MAX);
    }
    json_decref(body);
    return TC_OK;
}

void engine_state_free(engine_state_t *state)
{
    free(state->held);
    state->held = NULL;
}

int engine_load(const char *name, const char *base, tc_time_t limit, engine_load_t *load, tc_err_t *err)
{
    char url[CODEC_PATH_SIZE + 64];
    make_url(url, sizeof(url), base, "/v1/load");
    json_t *body = NULL;
    TC_CHECK(call_json(name, "engine load", "GET", url, NULL, limit, &body, err));
    load->queue = figure_count(body, "queue", 0, FIGURE_TOKENS_MAX);
    load->batch = figure_count(body, "batch", 0, FIGURE_TOKENS_MAX);
    load->pieces_free = figure_count(body, "pieces_free", 0, FIGURE_TOKENS_MAX);
    json_decref(body);
    return TC_OK;
}

int engine_order(const char *name, const char *base, const engine_order_t *order, tc_time_t limit, tc_err_t *err)
{
    char url[CODEC_PATH_SIZE + 64];
    make_url(url, sizeof(url), base, "/v1/orders");
    json_t *const body =
        json_pack("{s:I,s:I,s:s,s:s,s:s}", "term", (json_int_t)order->term, "index", (json_int_t)order->index, "role",
                  role_names[order->role], "model", order->model, "version", order->version);
    const int rc = call_json(name, "engine order", "POST", url, body, limit, NULL, err);
    if (rc != TC_E_CONFLICT)
        return rc;
    return tc_err_set(err, TC_E_FENCED, "engine order", name, "the engine has obeyed a newer order");
}
