/** @file engine.h
 * Model engines as trackcove sees them: the one place that knows their wire form.
 *
 * OpenAI-compatible completions over HTTP with server-sent events;
 * kv_transfer_params carry a prefill result from one engine to another as
 * published for disaggregated serving.
 */
#ifndef TRACKCOVE_BACKEND_ENGINE_H
#define TRACKCOVE_BACKEND_ENGINE_H

/* ===== Dependencies ===== */

#include <jansson.h>

#include "backend/http_client.h"
#include "gen/schema.h"

/* ===== Types ===== */

/** Size of the id an engine knows a request by. */
#define ENGINE_ID_SIZE (CODEC_STR_SIZE + 16)

/** What is sent to an engine. Strings stay the caller's. */
typedef struct {
    const char *name; /**< engine, for errors */
    const char *url;
    const char *engine_id;
    const char *model;
    const char *prompt; /**< JSON string text as it stands in a request body, quotes included */
    size_t prompt_size;
    const char *salt; /**< prefixes are shared only between equal salts */
    uint32_t max_tokens, priority;
} engine_request_t;

typedef struct {
    json_t *kv; /**< kv_transfer_params for the decode engine; decref */
    uint32_t prompt_tokens, cached_tokens, computed_tokens;
} engine_prefill_t;

/** Tokens came, one or several in one event. They follow those that came before, or the place that was asked for.
 * @param place of the last of them, from 1 @param text borrowed @return false to give up */
typedef bool (*engine_token_fn_t)(void *arg, uint32_t place, const char *text, const char *finish);

typedef struct {
    engine_token_fn_t on_token;
    http_idle_fn_t on_idle;
    void *arg;
    tc_time_t first_token_timeout; /**< ms until the first token; then TC_E_STALLED */
    tc_time_t next_token_timeout;  /**< ms between tokens; then TC_E_BROKEN */
} engine_reader_t;

typedef struct {
    char id[ENGINE_ID_SIZE];
    uint32_t pieces;
} engine_held_t;

typedef struct {
    uint64_t incarnation;
    bool leaving, loading;
    char role[16], model[CODEC_STR_SIZE], version[CODEC_STR_SIZE];
    engine_held_t *held; /**< heap */
    uint32_t n_held;
} engine_state_t;

typedef struct {
    uint32_t queue, batch, pieces_free;
} engine_load_t;

/** A fenced order: what the engine is to be. */
typedef struct {
    uint64_t term, index;
    role_t role;
    const char *model, *version;
} engine_order_t;

/* ===== Public functions ===== */

/** Compute the prompt. Blocks. On TC_E_UNREACHABLE the engine has seen nothing. */
int engine_prefill(const engine_request_t *request, tc_time_t limit, http_idle_fn_t on_idle, void *arg,
                   engine_prefill_t *result, tc_err_t *err);

/** Fetch the prefill result and generate; tokens go to the reader in order. Blocks until the end.
 * @return 0 only after the engine said that the answer is whole; TC_E_INVALID: an event that is no token, or whose
 * place does not follow */
int engine_decode(const engine_request_t *request, const json_t *kv, const engine_reader_t *reader, tc_err_t *err);

/** Continue reading a stream after place @p from. As engine_decode; TC_E_NOT_FOUND: no such stream. A stream that goes
 * on behind another place is TC_E_INVALID, and nothing of it reaches the reader. */
int engine_resume(const engine_request_t *request, uint32_t from, const engine_reader_t *reader, tc_err_t *err);

/** Make the engine let go of a request. 0: it holds nothing for that id now. */
int engine_cancel(const char *name, const char *url, const char *engine_id, tc_time_t limit, tc_err_t *err);

int engine_state(const char *name, const char *url, tc_time_t limit, engine_state_t *state, tc_err_t *err);
void engine_state_free(engine_state_t *state);

/** Its load as it reports it, which lags. */
int engine_load(const char *name, const char *url, tc_time_t limit, engine_load_t *load, tc_err_t *err);

/** Send an order. TC_E_FENCED: the engine has obeyed a newer one. */
int engine_order(const char *name, const char *url, const engine_order_t *order, tc_time_t limit, tc_err_t *err);

#endif
