/** @file caller.h
 * The caller's side of a completion: parsing of the request and writing of the response.
 */
#ifndef TRACKCOVE_REQUEST_CALLER_H
#define TRACKCOVE_REQUEST_CALLER_H

/* ===== Dependencies ===== */

#include <glib.h>

#include "http/http.h"
#include "request/entry.h"

/* ===== Types ===== */

/** A parsed completion request. */
typedef struct {
    char id[CODEC_STR_SIZE];
    char model[CODEC_STR_SIZE];
    char workspace[CODEC_STR_SIZE];
    char salt[CODEC_STR_SIZE];
    bool chat, stream, repeatable;
    bool resend; /**< the caller sent Last-Event-ID: it has sent this id before */
    uint32_t prompt_tokens, max_tokens, priority;
    uint32_t last_event;    /**< position of the last token the caller has; 0: none */
    bool has_digest;        /**< Last-Event-ID carries a digest of the text up to last_event */
    uint32_t last_digest;   /**< digest of the text up to last_event */
    tc_time_t arrived, due; /**< due: deadline of the first token */
    char *prompt_json;      /**< the prompt as a JSON string, on the heap */
    size_t prompt_json_size;
    uint64_t content_hash; /**< hash of workspace, model, prompt and max_tokens */
    uint64_t *chain;       /**< chained hashes of the prompt's pieces, for prefix matching; on the heap */
    uint32_t n_chain;
} caller_request_t;

/** Outcome of a request. Callers see its name as error.type. */
typedef enum {
    OUTCOME_OK,
    OUTCOME_INVALID,
    OUTCOME_NOT_RUN,
    OUTCOME_UNKNOWN,
    OUTCOME_UNAUTHORIZED,
    OUTCOME_CANCELLED
} request_outcome_t;

/** A response in progress. */
typedef struct {
    http_stream_t http;
    const caller_request_t *request;
    GString *text;     /**< text sent or collected so far; later runs are compared with it */
    GString *event;    /**< buffer for the event being written */
    uint32_t n_tokens; /**< tokens sent or collected */
    bool finished;     /**< the last token carried a finish reason */
    uint64_t hash;     /**< hash of the text; event ids carry its digest, so that another entry can tell which answer a
                          caller has */
    tc_time_t last_probe;
} caller_t;

/** Progress of one engine run through the answer. The response may be ahead of it, because of an earlier run.
 * Zero-initialised for a run from the start. */
typedef struct {
    uint32_t position; /**< position of the last token that the run delivered, from 1; 0: none */
    size_t offset;     /**< bytes of the answer's text up to that token */
} caller_cursor_t;

/* ===== Public functions ===== */

/** Reads and validates a request. Sends no response on error. On success, free @p request with caller_request_free().
 * @return 0, or a negative error code with @p err set */
int caller_read(entry_t *entry, struct mg_connection *conn, bool chat, caller_request_t *request, tc_err_t *err);
void caller_request_free(caller_request_t *request);

void caller_begin(caller_t *caller, struct mg_connection *conn, const caller_request_t *request);
void caller_free(caller_t *caller);

/** Whether the caller is still connected. Writes a probe at most every 100 ms, which the caller ignores. */
bool caller_is_connected(caller_t *caller);

/** Delivers the next tokens of a run, the last of which is at @p position (from 1), and advances its cursor. Text that
 * any run delivered before is compared and not sent again; runs may group tokens into events differently.
 * @return 0; TC_E_CANCELLED: the caller has disconnected; TC_E_CONFLICT: the tokens differ from those sent, or the
 * answer ends at another position */
int caller_send_tokens(caller_t *caller, caller_cursor_t *cursor, uint32_t position, const char *text,
                       const char *finish);

/** Whether the run of @p cursor has delivered the complete answer. */
bool caller_is_complete(const caller_t *caller, const caller_cursor_t *cursor);

/** Completes a successful response. @param prompt_tokens reported in the usage of a response that is not streamed */
void caller_finish(caller_t *caller, uint32_t prompt_tokens);

/** Ends the response with an error: as a status when no byte was sent, otherwise within the body or stream.
 * @param retry_after_ms 0: none */
void caller_fail(caller_t *caller, request_outcome_t outcome, const tc_err_t *err, uint32_t retry_after_ms);

/** Sends an error response before any byte of the response was sent.
 * @param retry_after_ms 0 for no Retry-After header
 * @return the HTTP status sent */
int caller_refuse(struct mg_connection *conn, request_outcome_t outcome, const tc_err_t *err, uint32_t retry_after_ms);

const char *caller_outcome_name(request_outcome_t outcome);

#endif
