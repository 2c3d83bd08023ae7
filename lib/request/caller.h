/** @file caller.h
 * The caller's side of a completion: what was asked, and how the answer goes back.
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
    bool resend; /**< the caller says that it sent this id before */
    uint32_t prompt_tokens, max_tokens, priority;
    uint32_t last_event;    /**< the caller has the answer up to this place */
    bool has_digest;        /**< and said, by the id of its last event, which answer */
    uint32_t last_digest;   /**< of the text up to there */
    tc_time_t arrived, due; /**< due: when the first token is to be out */
    char *prompt_json;      /**< the prompt as a JSON string, heap */
    size_t prompt_json_size;
    uint64_t content_hash; /**< hash over what is asked, workspace included */
    uint64_t *chain;
    uint32_t n_chain;
} caller_request_t;

/** How an answer ended; what callers see as error.type. */
typedef enum {
    OUTCOME_OK,
    OUTCOME_INVALID,
    OUTCOME_NOT_RUN,
    OUTCOME_UNKNOWN,
    OUTCOME_UNAUTHORIZED,
    OUTCOME_CANCELLED
} request_outcome_t;

/** The answer on its way. */
typedef struct {
    http_stream_t http;
    const caller_request_t *request;
    GString *text;     /**< tokens sent or collected, to compare a second run with */
    GString *event;    /**< the event being written */
    uint32_t n_tokens; /**< tokens out */
    bool finished;     /**< the last of them was said to be the last of the answer */
    uint64_t hash;     /**< of the text; event ids carry it, so that another entry can tell which answer a caller has */
    tc_time_t last_probe;
} caller_t;

/** How far one run has brought the answer. It belongs to the run: the answer may be farther, by an earlier one. All
 * zero: a run from the start. */
typedef struct {
    uint32_t position; /**< of the last token it brought */
    size_t offset;     /**< bytes of the answer's text up to there */
} caller_cursor_t;

/* ===== Public functions ===== */

/** Read and check a request. On error the answer was not sent. @return 0 or a negative number with @p err */
int caller_read(entry_t *entry, struct mg_connection *conn, bool chat, caller_request_t *request, tc_err_t *err);
void caller_request_free(caller_request_t *request);

void caller_begin(caller_t *caller, struct mg_connection *conn, const caller_request_t *request);
void caller_free(caller_t *caller);

/** Whether the caller is still there; sends something harmless now and then. */
bool caller_is_connected(caller_t *caller);

/** Give the next tokens of a run, the last of which stands at @p place (from 1), and move its cursor. What was given
 * before, by whichever run, is compared, not sent again; runs may put different numbers of tokens into one event.
 * @return 0; TC_E_CANCELLED: the caller is gone; TC_E_CONFLICT: they differ from what was sent, or end where that does
 * not */
int caller_send_tokens(caller_t *caller, caller_cursor_t *cursor, uint32_t position, const char *text,
                       const char *finish);

/** Whether a run that stands at @p cursor has brought the whole answer. */
bool caller_is_complete(const caller_t *caller, const caller_cursor_t *cursor);

/** End the answer well. */
void caller_finish(caller_t *caller, uint32_t prompt_tokens);

/** End the answer with an error. */
void caller_fail(caller_t *caller, request_outcome_t outcome, const tc_err_t *err, uint32_t retry_after_ms);

/** Send an error to a caller whose answer never began. @return status */
int caller_refuse(struct mg_connection *conn, request_outcome_t outcome, const tc_err_t *err, uint32_t retry_after_ms);

const char *caller_outcome_name(request_outcome_t outcome);

#endif
