/** @file engine.h
 * Client for model engines: the only module that knows their protocol.
 *
 * OpenAI-compatible completions over HTTP with server-sent events. kv_transfer_params refer a decode engine to a
 * prefill result, as published for disaggregated serving.
 */
#ifndef TRACKCOVE_BACKEND_ENGINE_H
#define TRACKCOVE_BACKEND_ENGINE_H

/* ===== Dependencies ===== */

#include <jansson.h>

#include "backend/http_client.h"
#include "gen/schema.h"

/* ===== Types ===== */

/** Buffer size of the id by which an engine knows a request, bytes. */
#define ENGINE_ID_SIZE (CODEC_STR_SIZE + 16)

/** A request to an engine. Strings are borrowed. */
typedef struct {
    const char *name; /**< of the engine, for errors */
    const char *url;
    const char *engine_id;
    const char *model;
    const char *prompt; /**< JSON string literal as in a request body, with its quotes */
    size_t prompt_size;
    const char *salt; /**< prefixes are shared only between requests with equal salts */
    uint32_t max_tokens, priority;
} engine_request_t;

typedef struct {
    json_t *kv; /**< kv_transfer_params for the decode engine; decref */
    uint32_t prompt_tokens, cached_tokens, computed_tokens;
} engine_prefill_t;

/** Called with the tokens of one event, one or several. They continue from the event before, or from the requested
 *  position. @param position of the last of them, from 1 @param text borrowed @param finish finish reason, or NULL
 *  @return false to cancel */
typedef bool (*engine_token_fn_t)(void *arg, uint32_t position, const char *text, const char *finish);

typedef struct {
    engine_token_fn_t on_token;
    http_idle_fn_t on_idle;
    void *arg;
    tc_time_t first_token_timeout; /**< until the first token, ms; after that TC_E_STALLED */
    tc_time_t next_token_timeout;  /**< between tokens, ms; after that TC_E_BROKEN */
} engine_reader_t;

typedef struct {
    char id[ENGINE_ID_SIZE];
    uint32_t pieces;
} engine_held_t;

typedef struct {
    uint64_t incarnation;
    bool leaving, loading;
    char role[16], model[CODEC_STR_SIZE], version[CODEC_STR_SIZE];
    engine_held_t *held; /**< requests that it holds, freed by engine_state_free */
    uint32_t n_held;
} engine_state_t;

typedef struct {
    uint32_t queue, batch, pieces_free;
} engine_load_t;

/** A fenced order that sets the engine's role and model: an engine obeys only orders newer than its last one. */
typedef struct {
    uint64_t term, index;
    role_t role;
    const char *model, *version;
} engine_order_t;

/* ===== Public functions ===== */

/** Prefills the prompt. Blocks. On TC_E_UNREACHABLE the engine has not seen the request.
 * @param limit timeout of the call, ms */
int engine_prefill(const engine_request_t *request, tc_time_t limit, http_idle_fn_t on_idle, void *arg,
                   engine_prefill_t *result, tc_err_t *err);

/** Has the engine fetch the prefill result and generate; passes tokens to the reader in order. Blocks until the end.
 * @return 0 only after the engine's end marker; TC_E_INVALID: an event is not a token, or does not continue at the
 *  next position */
int engine_decode(const engine_request_t *request, const json_t *kv, const engine_reader_t *reader, tc_err_t *err);

/** Continues to read a stream after position @p from. As engine_decode; TC_E_NOT_FOUND: no such stream. A stream that
 * continues at another position is TC_E_INVALID, and none of it reaches the reader. */
int engine_resume(const engine_request_t *request, uint32_t from, const engine_reader_t *reader, tc_err_t *err);

/** Cancels a request. 0: the engine holds nothing for that id now. @param limit timeout of the call, ms */
int engine_cancel(const char *name, const char *url, const char *engine_id, tc_time_t limit, tc_err_t *err);

int engine_state(const char *name, const char *url, tc_time_t limit, engine_state_t *state, tc_err_t *err);
void engine_state_free(engine_state_t *state);

/** Reads the load that the engine reports, which lags. */
int engine_load(const char *name, const char *url, tc_time_t limit, engine_load_t *load, tc_err_t *err);

/** Sends an order. TC_E_FENCED: the engine has obeyed a newer one. */
int engine_order(const char *name, const char *url, const engine_order_t *order, tc_time_t limit, tc_err_t *err);

#endif
