/** @file dialect.h
 * How requests, answers and engine calls are written on the wire: what the forwarding core needs of an adapter.
 *
 * The functions are declared here and defined by the one adapter that is linked
 * in (platform/dialect.c for the users' platform). The core knows what a header
 * means, never what it is called. Every function is pure.
 */
#ifndef TRACKCOVE_FORWARD_DIALECT_H
#define TRACKCOVE_FORWARD_DIALECT_H

/* ===== Dependencies ===== */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "backend/availability.h"
#include "common/err.h"
#include "common/time.h"
#include "gen/schema.h"
#include "web/web_client.h"
#include "web/web_server.h"

/* ===== Constants ===== */

enum {
    DIALECT_ID_SIZE = 96,
    DIALECT_PART_SIZE = 24, /* ids of parts are longer on no deployment seen; a longer one is not looked for */
    DIALECT_PARTS_MAX = 8   /* parts behind these are not looked for */
};

/* ===== Types ===== */

/** One part of a prompt: engines that keep all parts up to it need not compute it again. */
typedef struct {
    char id[DIALECT_PART_SIZE]; /**< names it; never "" */
    unsigned tokens;            /**< of this part alone */
} dialect_part_t;

/** What a request says of who asks. */
typedef enum {
    DIALECT_KEY_NONE,  /**< nothing */
    DIALECT_KEY_WRONG, /**< something else than one key */
    DIALECT_KEY_GIVEN
} dialect_key_state_t;

/** What placement and timing need to know of a request. */
typedef struct {
    char id[DIALECT_ID_SIZE]; /**< of this one try of the caller; "" when it sent none */
    tc_time_t
        caller_timeout;     /**< how long the caller waits from when the request came in, ms; 0 when it said nothing */
    unsigned prompt_tokens; /**< 0 when unknown */
    unsigned output_tokens; /**< most that may be generated, 0 when unknown */
    unsigned output_hint;   /**< the caller's guess of what will be, often far off; 0 when it made none */
    const char *resume_after; /**< last event that the caller has of a stream it takes up again, or ""; borrowed from
                                 the request */
    const char *credentials;  /**< by which the caller proves who it is, or ""; borrowed from the request */
    dialect_key_state_t key_state;           /**< whether these are a key */
    const char *key;                         /**< DIALECT_KEY_GIVEN: the key, a secret; borrowed from the request, */
    size_t key_size;                         /**< so many bytes of it */
    bool has_token_count;                    /**< the caller said how many tokens the request is */
    dialect_part_t parts[DIALECT_PARTS_MAX]; /**< of the prompt, from its start, in order */
    unsigned parts_n;                        /**< 0 when the caller names none */
} dialect_request_t;

/** What one back end is asked to do with a request. */
typedef enum {
    DIALECT_SERVE,   /**< answer it, prompt and all */
    DIALECT_PREFILL, /**< compute the prompt only and keep the result for a decode engine */
    DIALECT_DECODE   /**< answer it from a prefill result held elsewhere */
} dialect_op_t;

/** One call to one back end, beside the caller's request. Borrowed. */
typedef struct {
    dialect_op_t op;
    const char *instance;     /**< only this start of the back end may take it */
    tc_time_t time_left;      /**< until the answer is of no use any more, ms */
    unsigned priority;        /**< 0 is the most urgent */
    const char *handle_at;    /**< DECODE: address of the engine that holds the prefill result */
    const char *handle;       /**< DECODE: names the result */
    const char *resume_after; /**< last event that the caller has, or "" */
    const char *hold;         /**< memory that was set aside for it there, or NULL */
    bool strips_credentials;  /**< credentials go no further: the back end is told the workspace instead, */
    const char *workspace;    /**< that of the caller, or NULL for none */
} dialect_call_t;

/** What the head of an answer says. */
typedef struct {
    bool matches_request; /**< it belongs to this request, as far as it says; otherwise an earlier one's late answer */
    bool not_run;         /**< the back end says that it did not run the request and will not */
    bool wrong_instance;  /**< the same, since it is another start of it, or has another role, than the list says */
    bool authentic;       /**< it carries the back end's proof of origin, and its body is as the back end made it */
    bool success;         /**< 2xx */
    bool limited;         /**< it names a limit: */
    double limit;         /**< requests a second that the back end takes of all boxes together, 0 or more */
} dialect_reply_t;

/** What an engine says of itself. */
typedef struct {
    char stage[CODEC_STR_SIZE]; /**< as in backend_t */
    bool busy;                  /**< an order is being carried out */
    uint64_t orders;            /**< orders it has taken since its start */
} dialect_engine_t;

/** A request that an engine runs. */
typedef struct {
    char id[DIALECT_ID_SIZE]; /**< as dialect_request_t has it */
    uint32_t tokens;          /**< of memory */
} dialect_run_t;

/** An order to change the role. Borrowed. */
typedef struct {
    const char *instance; /**< only this start of the engine may take it */
    const char *stage;    /**< what it is to become, as in backend_t */
    const char *holder;   /**< who orders */
    uint64_t fence;       /**< engines refuse what is lower than they have seen */
    uint64_t taken;       /**< orders it must have taken until then: a late copy of an order finds more */
} dialect_order_t;

/* ===== Requests and answers ===== */

/** Read what is needed of a caller's request. */
void dialect_read_request(const web_request_t *request, dialect_request_t *facts);

/** Write the request as a back end is to get it: method, target and body unchanged, headers that are ours to set
 *  taken from @p step whatever the caller sent. @return bytes for web_call */
GByteArray *dialect_write_request(const web_request_t *request, const char *addr, const dialect_call_t *step);

/** Read what the head of an answer says. @param id of the request, "" when it has none */
void dialect_read_reply(const web_head_t *head, const char *id, dialect_reply_t *reply);

/** Read what the head of any answer, also one to a question of ours, says of the back end itself. */
availability_notice_t dialect_read_notice(const web_head_t *head);

/** Whether an answer may be one to a question of ours, which has no request's id: one that carries an id is a request's
 *  late answer. */
bool dialect_is_query_answer(const web_head_t *head);

/** Header lines of an answer that are passed on to the caller. */
GString *dialect_forward_headers(const web_head_t *head);

/** Header line that tells a caller when to come back. @param after in ms; @return text for g_free */
char *dialect_retry_after(tc_time_t after);

/* ===== Prefill results ===== */

/** Name of the result, from a prefill's answer. @return text for g_free, or NULL when there is none */
char *dialect_read_handle(const char *body, size_t size);

/** The call by which an engine drops a result nobody will take. @return bytes for web_call */
GByteArray *dialect_write_release(const char *addr, const char *handle);

/* ===== Prompts that engines keep ===== */

/** The call that asks an engine which parts of prompts it keeps. @return bytes for web_call */
GByteArray *dialect_write_cache_query(const char *addr);

/** How many tokens of a prompt, from its start, the engine keeps by its answer: those of the parts before the first
 *  that it does not keep. 0 when it does not say. */
unsigned dialect_read_cached_tokens(const char *body, size_t size, const dialect_request_t *facts);

/* ===== Memory set aside ===== */

/** The call by which an engine sets a place and memory for @p tokens aside for @p ttl ms. @return bytes for web_call */
GByteArray *dialect_write_hold(const char *addr, uint64_t tokens, tc_time_t ttl);

/** What it is called, from the answer. @return text for g_free, or NULL when nothing was set aside */
char *dialect_read_hold(const char *body, size_t size);

/** The call by which an engine gives it back. @return bytes for web_call */
GByteArray *dialect_write_hold_release(const char *addr, const char *hold);

/* ===== Roles of engines ===== */

/** The call that asks an engine what it is. @return bytes for web_call */
GByteArray *dialect_write_engine_query(const char *addr);

/** Read its answer. @return false, with @p engine zeroed, when it does not say what it is and how many orders it has
 *  taken */
bool dialect_read_engine(const char *body, size_t size, dialect_engine_t *engine);

/** Read from the same answer what it runs, as of up to a second ago. @return dialect_run_t, for g_array_free; NULL when
 *  it does not say */
GArray *dialect_read_runs(const char *body, size_t size);

/** The order itself. @return bytes for web_call */
GByteArray *dialect_write_order(const char *addr, const dialect_order_t *order);

/* ===== Discovery ===== */

/** The call for one page of the platform's list of back ends. @param page "" for the first @return bytes for web_call
 */
GByteArray *dialect_write_list(const char *addr, const char *page);

/** Read a page. @param list backend_t, appended to @param next for g_free, NULL on the last page
 * @return 0 or TC_E_INVALID with @p err */
int dialect_read_list(const char *body, size_t size, GArray *list, char **next, tc_err_t *err);

#endif
