#include "request/caller.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "common/figure.h"
#include "common/text.h"
#include "sched/sched.h"

/* ===== Constants ===== */

enum {
    BYTES_PER_TOKEN = 4, /* estimate for placement only; engines report exact counts */
    DEFAULT_MAX_TOKENS = 128,
    MAX_TOKENS_LIMIT = 131072,
    MAX_PRIORITY = 9,
    DEFAULT_PRIORITY = 5,
    PROBE_INTERVAL_MS = 100, /* interval between connection probes while no token is sent */
    NETWORK_MARGIN_MS = 10   /* reserved from the time-to-first-token target for the network to the caller */
};

const char *caller_outcome_name(request_outcome_t outcome)
{
    static const char *const names[] = {"ok", "invalid", "not_run", "outcome_unknown", "unauthorized", "cancelled"};
    return names[outcome];
}

/* ===== Request parsing ===== */

static int set_field_error(tc_err_t *err, const char *field, const char *reason)
{
    return tc_err_set(err, TC_E_INVALID, "read request", field, "%s %s", field, reason);
}

static char *chat_prompt(const json_t *messages, size_t *size)
{
    GString *const text = g_string_new(NULL);
    size_t i;
    const json_t *message;
    json_array_foreach(messages, i, message) {
        const char *const role = json_string_value(json_object_get(message, "role"));
        const char *const content = json_string_value(json_object_get(message, "content"));
        if (!role || !content) {
            g_string_free(text, TRUE);
            return NULL;
        }
        g_string_append_printf(text, "%s: %s\n", role, content);
    }
    *size = text->len;
    return g_string_free(text, FALSE);
}

static void hash_chain(caller_request_t *r, const char *prompt, size_t size, const char *version)
{
    const size_t piece = (size_t)SCHED_PIECE_TOKENS * BYTES_PER_TOKEN;
    char seed_text[CODEC_STR_SIZE * 3];
    const int n = snprintf(seed_text, sizeof(seed_text), "%s|%s|%s", r->salt, r->model, version);
    uint64_t hash = XXH3_64bits(seed_text, (size_t)n);
    r->chain = calloc(size / piece + 1, sizeof(*r->chain));
    if (!r->chain)
        abort();
    for (size_t at = 0; at + piece <= size; at += piece) {
        hash = XXH3_64bits_withSeed(prompt + at, piece, hash);
        r->chain[r->n_chain++] = hash;
    }
}

static int read_prompt(caller_request_t *r, const json_t *body, const char *version, tc_err_t *err)
{
    const json_t *const prompt = json_object_get(body, "prompt");
    const json_t *const messages = json_object_get(body, "messages");
    size_t size = 0;
    char *chat = NULL;
    if (r->chat &&
        (!json_is_array(messages) || json_array_size(messages) == 0 || !(chat = chat_prompt(messages, &size))))
        return set_field_error(err, "messages", "must be a list of {role, content}");
    if (!r->chat && (!json_is_string(prompt) || json_string_length(prompt) == 0))
        return set_field_error(err, "prompt", "must be a string that is not empty");
    const char *const text = r->chat ? chat : json_string_value(prompt);
    if (!r->chat)
        size = json_string_length(prompt);
    r->prompt_tokens = (uint32_t)(size / BYTES_PER_TOKEN) + 1;
    hash_chain(r, text, size, version);
    const uint64_t seed = XXH3_64bits(r->workspace, strlen(r->workspace)) ^ XXH3_64bits(r->model, strlen(r->model));
    r->content_hash = XXH3_64bits_withSeed(text, size, seed + r->max_tokens);
    r->prompt_json = text_from_json(text_to_json_n(text, size));
    r->prompt_json_size = strlen(r->prompt_json);
    g_free(chat);
    return TC_OK;
}

static int read_number(const json_t *body, const char *key, uint32_t low, uint32_t high, uint32_t *to, tc_err_t *err)
{
    const json_t *const value = json_object_get(body, key);
    if (!value || json_is_null(value))
        return TC_OK;
    const json_int_t number = json_integer_value(value);
    char reason[64];
    snprintf(reason, sizeof(reason), "must be a whole number from %u to %u", low, high);
    if (!json_is_integer(value) || number < low || number > high)
        return set_field_error(err, key, reason);
    *to = (uint32_t)number;
    return TC_OK;
}

/** Ids appear in logs, in engine URLs and in the replicated log, so only characters that need no escaping are allowed.
 */
static bool is_valid_id(const char *id)
{
    for (const char *c = id; *c; c++)
        if (!g_ascii_isalnum(*c) && *c != '-' && *c != '_' && *c != ':')
            return false;
    return strlen(id) > 0 && strlen(id) <= 64;
}

/** Parses "POSITION-DIGEST" as send_event() writes it. A position without a digest does not identify the answer. */
static void read_last_event(caller_request_t *r, const char *id)
{
    uint64_t position = 0;
    const char *const end = figure_parse(id, UINT32_MAX, &position);
    r->resend = id[0] != '\0';
    r->last_event = (uint32_t)position;
    r->has_digest = position > 0 && *end == '-';
    const unsigned long digest = r->has_digest ? strtoul(end + 1, NULL, 16) : 0;
    r->last_digest = digest <= UINT32_MAX ? (uint32_t)digest : 0;
}

static int read_headers(struct mg_connection *conn, caller_request_t *r, tc_err_t *err)
{
    const char *const id = http_header(conn, "Idempotency-Key");
    if (id[0] && !is_valid_id(id))
        return set_field_error(err, "Idempotency-Key", "must be 1 to 64 letters, digits, '-', '_' or ':'");
    if (id[0]) {
        codec_copy_string(r->id, sizeof(r->id), id);
    } else {
        unsigned char random[12];
        randombytes_buf(random, sizeof(random));
        sodium_bin2hex(r->id, sizeof(r->id), random, sizeof(random));
    }
    const char *const workspace = http_header(conn, "X-Trackcove-Workspace");
    if (strlen(workspace) >= sizeof(r->workspace))
        return set_field_error(err, "X-Trackcove-Workspace", "is too long");
    if (!g_utf8_validate(workspace, -1, NULL)) /* engines get it as JSON, in which two such names could be the same */
        return set_field_error(err, "X-Trackcove-Workspace", "is no valid UTF-8");
    codec_copy_string(r->workspace, sizeof(r->workspace), workspace[0] ? workspace : "default");
    r->repeatable = strcmp(http_header(conn, "X-Trackcove-Repeatable"), "no") != 0;
    read_last_event(r, http_header(conn, "Last-Event-ID"));
    return TC_OK;
}

static int read_body(entry_t *entry, caller_request_t *r, const json_t *body, tc_err_t *err)
{
    const char *const model = json_string_value(json_object_get(body, "model"));
    if (!model || strlen(model) >= sizeof(r->model))
        return set_field_error(err, "model", "must be a string");
    codec_copy_string(r->model, sizeof(r->model), model);
    TC_CHECK(read_number(body, "max_tokens", 1, MAX_TOKENS_LIMIT, &r->max_tokens, err));
    TC_CHECK(read_number(body, "priority", 0, MAX_PRIORITY, &r->priority, err));
    r->stream = json_is_true(json_object_get(body, "stream"));
    view_t *const view = view_acquire(&entry->view);
    const char *version = NULL;
    for (uint32_t i = 0; i < view_config(view)->engines_n && !version; i++)
        if (strcmp(view_config(view)->engines[i].model, r->model) == 0)
            version = view_config(view)->engines[i].version;
    codec_copy_string(r->salt, sizeof(r->salt), view_salt(view, r->workspace));
    r->due = r->arrived + view_config(view)->targets.ttft_ms - NETWORK_MARGIN_MS;
    const int rc = version ? read_prompt(r, body, version, err) : set_field_error(err, "model", "is not served here");
    view_release(view);
    return rc;
}

int caller_read(entry_t *entry, struct mg_connection *conn, bool chat, caller_request_t *r, tc_err_t *err)
{
    memset(r, 0, sizeof(*r));
    r->arrived = tc_time_now();
    r->chat = chat;
    r->max_tokens = DEFAULT_MAX_TOKENS;
    r->priority = DEFAULT_PRIORITY;
    TC_CHECK(read_headers(conn, r, err));
    size_t size;
    char *const text = http_read_body(conn, entry->settings->max_body_bytes, &size, err);
    if (!text)
        return err->code;
    json_error_t where;
    json_t *const body = json_loadb(text, size, JSON_REJECT_DUPLICATES, &where);
    free(text);
    int rc;
    if (!json_is_object(body))
        rc = tc_err_set(err, TC_E_INVALID, "read request", "body", "line %d column %d: %s", where.line, where.column,
                        body ? "must be a JSON object" : where.text);
    else
        rc = read_body(entry, r, body, err);
    json_decref(body);
    if (rc < 0)
        caller_request_free(r);
    return rc;
}

void caller_request_free(caller_request_t *r)
{
    free(r->prompt_json);
    free(r->chain);
    r->prompt_json = NULL;
    r->chain = NULL;
}

/* ===== Answer digests ===== */

/** FNV-1a, 64 bits: computed byte by byte, so that the result does not depend on how the text is split into events. */
static const uint64_t FNV_OFFSET_BASIS = 0xcbf29ce484222325, FNV_PRIME = 0x100000001b3;

static uint64_t hash_append(uint64_t hash, const char *text)
{
    for (const unsigned char *c = (const unsigned char *)text; *c; c++)
        hash = (hash ^ *c) * FNV_PRIME;
    return hash;
}

/** The 32-bit digest that event ids carry. */
static uint32_t event_digest(const caller_t *c)
{
    return (uint32_t)(c->hash ^ (c->hash >> 32));
}

/* ===== Responses ===== */

void caller_begin(caller_t *c, struct mg_connection *conn, const caller_request_t *request)
{
    memset(c, 0, sizeof(*c));
    c->http = (http_stream_t){.conn = conn, .sse = request->stream};
    c->request = request;
    c->text = g_string_new(NULL);
    c->event = g_string_sized_new(256);
    c->hash = FNV_OFFSET_BASIS;
    c->last_probe = tc_time_now();
}

void caller_free(caller_t *c)
{
    g_string_free(c->text, TRUE);
    g_string_free(c->event, TRUE);
}

bool caller_is_connected(caller_t *c)
{
    const tc_time_t now = tc_time_now();
    if (now - c->last_probe >= PROBE_INTERVAL_MS) {
        c->last_probe = now;
        http_stream_probe(&c->http);
    }
    return !c->http.broken;
}

/** Appends @p text as a JSON string. Token texts are short and rarely need escaping. */
static void append_json(GString *out, const char *text)
{
    g_string_append_c(out, '"');
    for (const unsigned char *c = (const unsigned char *)text; *c; c++) {
        if (*c == '"' || *c == '\\')
            g_string_append_printf(out, "\\%c", *c);
        else if (*c < 0x20)
            g_string_append_printf(out, "\\u%04x", *c);
        else
            g_string_append_c(out, (char)*c);
    }
    g_string_append_c(out, '"');
}

/** Formats the event directly instead of through a JSON tree, because this runs for every token. */
static void send_event(caller_t *c, uint32_t position, const char *text, const char *finish)
{
    GString *const out = c->event;
    g_string_printf(out, "id: %u-%08x\ndata: {\"id\":\"%s\",\"object\":\"%s\",\"choices\":[{\"index\":0,%s", position,
                    event_digest(c), c->request->id, c->request->chat ? "chat.completion.chunk" : "text_completion",
                    c->request->chat ? "\"delta\":{\"content\":" : "\"text\":");
    append_json(out, text);
    g_string_append(out, c->request->chat ? "},\"finish_reason\":" : ",\"finish_reason\":");
    if (finish)
        append_json(out, finish);
    else
        g_string_append(out, "null");
    g_string_append(out, "}]}\n\n");
    http_stream_send(&c->http, out->str, out->len);
}

/** Whether a run's tokens agree with the response so far. @param already_sent leading bytes of @p text that were sent
 * before */
static bool matches_sent_text(const caller_t *c, const caller_cursor_t *cursor, uint32_t position, const char *text,
                              size_t already_sent, bool finished)
{
    if (memcmp(c->text->str + cursor->offset, text, already_sent) != 0)
        return false;
    const size_t end_offset = cursor->offset + strlen(text), sent = c->text->len;
    if (position < c->n_tokens)
        return end_offset <= sent && !finished;
    if (position == c->n_tokens)
        return end_offset == sent && finished == c->finished;
    return end_offset >= sent && !c->finished;
}

/** Guarantees that the tokens after a caller's last event continue the answer that the caller has: the answer does not
 * end before that event and has the same text up to it. */
static bool matches_last_event(const caller_t *c)
{
    const caller_request_t *const r = c->request;
    if (c->n_tokens < r->last_event)
        return !c->finished;
    return c->n_tokens > r->last_event || !r->has_digest || event_digest(c) == r->last_digest;
}

int caller_send_tokens(caller_t *c, caller_cursor_t *cursor, uint32_t position, const char *text, const char *finish)
{
    const size_t size = strlen(text), sent_ahead = c->text->len - cursor->offset;
    const size_t already_sent = size < sent_ahead ? size : sent_ahead;
    assert(cursor->offset <= c->text->len && position > cursor->position); /* a run cannot be ahead of the response */
    if (!matches_sent_text(c, cursor, position, text, already_sent, finish != NULL))
        return TC_E_CONFLICT;
    cursor->position = position;
    cursor->offset += size;
    if (position <= c->n_tokens)
        return TC_OK;
    const bool spans_last_event = c->n_tokens < c->request->last_event && position > c->request->last_event;
    c->n_tokens = position;
    c->finished = finish != NULL;
    g_string_append(c->text, text + already_sent);
    c->hash = hash_append(c->hash, text + already_sent);
    /* When the caller's last event ends within these tokens, their new part cannot be determined. */
    if (c->request->stream && (spans_last_event || !matches_last_event(c)))
        return TC_E_CONFLICT;
    if (c->request->stream && position > c->request->last_event)
        send_event(c, position, text + already_sent, finish);
    c->last_probe = tc_time_now();
    return c->http.broken ? TC_E_CANCELLED : TC_OK;
}

bool caller_is_complete(const caller_t *c, const caller_cursor_t *cursor)
{
    return c->finished && cursor->position == c->n_tokens;
}

void caller_finish(caller_t *c, uint32_t prompt_tokens)
{
    if (c->request->stream) {
        http_stream_send(&c->http, "data: [DONE]\n\n", 14);
        http_stream_close(&c->http);
        return;
    }
    json_t *choice;
    if (c->request->chat)
        choice = json_pack("{s:i,s:{s:s,s:o},s:s}", "index", 0, "message", "role", "assistant", "content",
                           text_to_json_n(c->text->str, c->text->len), "finish_reason", "stop");
    else
        choice = json_pack("{s:i,s:o,s:s}", "index", 0, "text", text_to_json_n(c->text->str, c->text->len),
                           "finish_reason", "stop");
    json_t *const body = json_pack("{s:s,s:s,s:[o],s:{s:i,s:i}}", "id", c->request->id, "object",
                                   c->request->chat ? "chat.completion" : "text_completion", "choices", choice, "usage",
                                   "prompt_tokens", (int)prompt_tokens, "completion_tokens", (int)c->n_tokens);
    if (!c->http.open) {
        http_send_json(c->http.conn, 200, body, 0);
        return;
    }
    char *const text = text_from_json(body);
    http_stream_send(&c->http, text, strlen(text));
    http_stream_close(&c->http);
    free(text);
}

static json_t *error_body(request_outcome_t outcome, const tc_err_t *err, uint32_t retry_after_ms)
{
    return json_pack("{s:{s:s,s:i,s:s,s:o,s:o,s:i}}", "error", "type", caller_outcome_name(outcome), "code", err->code,
                     "step", err->step ? err->step : "", "peer", text_to_json(err->peer), "message",
                     text_to_json(err->detail), "retry_after_ms", (int)retry_after_ms);
}

int caller_refuse(struct mg_connection *conn, request_outcome_t outcome, const tc_err_t *err, uint32_t retry_after_ms)
{
    static const int statuses[] = {200, 400, 503, 502, 401, 499};
    const int status = outcome == OUTCOME_INVALID && err->code == TC_E_FULL ? 413 : statuses[outcome];
    return http_send_json(conn, status, error_body(outcome, err, retry_after_ms), retry_after_ms);
}

void caller_fail(caller_t *c, request_outcome_t outcome, const tc_err_t *err, uint32_t retry_after_ms)
{
    if (c->http.broken)
        return;
    if (!c->http.open) {
        caller_refuse(c->http.conn, outcome, err, retry_after_ms);
        return;
    }
    char *const text = text_from_json(error_body(outcome, err, retry_after_ms));
    if (c->request->stream) {
        http_stream_send(&c->http, "event: error\ndata: ", 19);
        http_stream_send(&c->http, text, strlen(text));
        http_stream_send(&c->http, "\n\n", 2);
    } else {
        http_stream_send(&c->http, text, strlen(text));
    }
    http_stream_close(&c->http);
    free(text);
}
