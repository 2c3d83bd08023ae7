/** @file dialect.h
 * Wire format of requests, answers and engine calls: the interface between the forwarding core and a platform adapter.
 *
 * The functions are declared here and defined by the one adapter that is linked in (platform/dialect.c for the users'
 * platform). The core knows the meaning of a header, but not its name. All functions are pure.
 */
#ifndef TRACKCOVE_FORWARD_DIALECT_H
#define TRACKCOVE_FORWARD_DIALECT_H

/* ===== Dependencies ===== */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "backend/availability.h"
#include "backend/load_reading.h"
#include "common/err.h"
#include "common/time.h"
#include "gen/schema.h"
#include "web/web_client.h"
#include "web/web_server.h"

/* ===== Constants ===== */

enum {
    DIALECT_ID_SIZE = 96,
    DIALECT_PART_SIZE = 24, /* no known deployment has longer part ids; a longer one is ignored */
    DIALECT_PARTS_MAX = 32  /* further parts are ignored */
};

/* ===== Constants ===== */

/** Maximum body of an engine's answer to a query or an order: a list of some thousand entries. */
enum { DIALECT_REPORT_MAX_BYTES = 256 * 1024 };

/* ===== Types ===== */

/** One part of a prompt. An engine whose cache holds this and all earlier parts need not compute them again. */
typedef struct {
    char id[DIALECT_PART_SIZE]; /**< never "" */
    unsigned tokens;            /**< of this part alone */
} dialect_part_t;

/** Key that a request carries. */
typedef enum {
    DIALECT_KEY_NONE,  /**< none */
    DIALECT_KEY_WRONG, /**< credentials that are not exactly one key */
    DIALECT_KEY_GIVEN
} dialect_key_state_t;

/** Properties of a request that authentication, placement and timing need. */
typedef struct {
    char id[DIALECT_ID_SIZE]; /**< of this attempt of the caller; "" when it sent none */
    tc_time_t caller_timeout; /**< how long the caller waits, from the arrival of the request, ms; 0 when unknown */
    unsigned prompt_tokens;   /**< 0 when unknown */
    unsigned output_tokens;   /**< output limit, 0 when unknown */
    unsigned output_hint;     /**< output length expected by the caller, often far off; 0 when unknown */
    const char *resume_after; /**< id of the last event that the caller of a resumed stream has, or ""; borrowed from
                                 the request */
    char resumes[DIALECT_ID_SIZE]; /**< attempt of the caller that delivered the first event of a resumed stream, as it
                                      says; "" when it does not */
    const char *credentials;       /**< of the caller, or ""; borrowed from the request */
    dialect_key_state_t key_state; /**< what the credentials are */
    const char *key;      /**< with DIALECT_KEY_GIVEN: the key, a secret; borrowed from the request, not terminated */
    size_t key_size;      /**< of the key, in bytes */
    bool has_token_count; /**< the caller sent a token count */
    dialect_part_t parts[DIALECT_PARTS_MAX]; /**< of the prompt, in order from its start */
    unsigned parts_n;                        /**< 0 when the caller lists none */
    bool has_more_parts;                     /**< parts were ignored: the last one here is not the prompt's last */
} dialect_request_t;

/** Operation that a back end performs for a request. */
typedef enum {
    DIALECT_SERVE,   /**< answer it, including the computation of the prompt */
    DIALECT_PREFILL, /**< compute the prompt only and keep the result for a decode engine */
    DIALECT_DECODE   /**< answer it from a prefill result that another engine holds */
} dialect_op_t;

/** Parameters of one call to one back end, in addition to the caller's request. Strings are borrowed. */
typedef struct {
    dialect_op_t op;
    const char *instance;     /**< the only instance of the back end that may accept the call */
    tc_time_t time_left;      /**< until the deadline, ms */
    bool has_urgency;         /**< the back end is told how urgent the call is */
    unsigned urgency;         /**< with has_urgency: 0, the most urgent, to 9 */
    const char *handle_at;    /**< with DIALECT_DECODE: address of the engine that holds the prefill result */
    const char *handle;       /**< with DIALECT_DECODE: name of the result */
    const char *resume_after; /**< id of the last event that the caller has, or "" */
    const char *hold;         /**< name of the memory reservation there, or NULL */
    bool strips_credentials;  /**< credentials are not forwarded; the back end gets the workspace instead */
    const char *workspace;    /**< of the caller, or NULL */
} dialect_call_t;

/** Properties of an answer, from its head. */
typedef struct {
    bool matches_request; /**< false: its id shows the late answer of an earlier request */
    bool not_run;         /**< the back end states that it did not run the request and will not */
    bool wrong_instance;  /**< as not_run, since its instance or role differs from the list */
    bool authentic;       /**< it carries the back end's proof of origin, and its body is unmodified */
    bool success;         /**< 2xx */
    bool limited;         /**< it announces a rate limit */
    double limit;         /**< requests/s that the back end accepts from all boxes together, 0 or more */
    load_reading_t load;  /**< load that the back end states */
} dialect_reply_t;

/** State that an engine reports. */
typedef struct {
    char stage[CODEC_STR_SIZE]; /**< as in backend_t */
    bool busy;                  /**< a role change is in progress */
    uint64_t orders;            /**< orders accepted since its start */
} dialect_engine_t;

/** A request that an engine runs. */
typedef struct {
    char id[DIALECT_ID_SIZE]; /**< as in dialect_request_t */
    uint32_t tokens;          /**< of KV cache */
} dialect_run_t;

/** An order to change the role of an engine. Strings are borrowed. */
typedef struct {
    const char *instance; /**< the only instance of the engine that may accept it */
    const char *stage;    /**< new role, as in backend_t */
    const char *holder;   /**< who sends the order */
    uint64_t fence;       /**< fencing token; engines refuse one lower than the highest seen */
    uint64_t taken;       /**< orders that the engine must have accepted before; rejects a late duplicate */
} dialect_order_t;

/* ===== Requests and answers ===== */

/** Reads the properties of a caller's request. */
void dialect_read_request(const web_request_t *request, dialect_request_t *facts);

/** Writes the request for a back end. Method, target and body are unchanged; headers that the router sets are taken
 * from
 *  @p call, whatever the caller sent. @return bytes for web_call */
GByteArray *dialect_write_request(const web_request_t *request, const char *addr, const dialect_call_t *call);

/** Reads the head of an answer. @param id of the request, "" when it has none */
void dialect_read_reply(const web_head_t *head, const char *id, dialect_reply_t *reply);

/** Reads the availability notice in the head of any answer, including answers to queries. */
availability_notice_t dialect_read_notice(const web_head_t *head);

/** Reads the load that a back end states in the head of any answer, including refusals and answers to queries. */
load_reading_t dialect_read_load(const web_head_t *head);

/** Whether an answer may belong to a query. Queries have no request id; an answer with an id is the late answer of a
 *  request. */
bool dialect_is_query_answer(const web_head_t *head);

/** Header lines of an answer that are forwarded to the caller. @return for g_string_free */
GString *dialect_forward_headers(const web_head_t *head);

/** The Retry-After header line. @param after in ms @return text for g_free */
char *dialect_retry_after(tc_time_t after);

/* ===== Prefill results ===== */

/** Reads the name of the result from the answer to a prefill. @return text for g_free, or NULL when there is none */
char *dialect_read_handle(const char *body, size_t size);

/** Writes the call that releases an unused result. @return bytes for web_call */
GByteArray *dialect_write_release(const char *addr, const char *handle);

/* ===== Cached prompts ===== */

/** Writes the query for the prompt parts that an engine caches. @return bytes for web_call */
GByteArray *dialect_write_cache_query(const char *addr);

/** Reads the answer. @return tokens of the longest cached prefix of the prompt, in whole parts; 0 when the answer is
 *  unusable */
unsigned dialect_read_cached_tokens(const char *body, size_t size, const dialect_request_t *facts);

/* ===== Memory reservations ===== */

/** Writes the call that reserves a slot and memory for @p tokens at an engine, for @p ttl ms. @return bytes for
 * web_call
 */
GByteArray *dialect_write_hold(const char *addr, uint64_t tokens, tc_time_t ttl);

/** Reads the name of the reservation from the answer. @return text for g_free, or NULL when nothing was reserved */
char *dialect_read_hold(const char *body, size_t size);

/** Writes the call that releases a reservation. @return bytes for web_call */
GByteArray *dialect_write_hold_release(const char *addr, const char *hold);

/* ===== Roles of engines ===== */

/** Writes the query for the state of an engine. @return bytes for web_call */
GByteArray *dialect_write_engine_query(const char *addr);

/** Reads the answer. @return false, with @p engine zeroed, when the role or the number of accepted orders is missing */
bool dialect_read_engine(const char *body, size_t size, dialect_engine_t *engine);

/** Reads the running requests from the same answer; they are up to a second old. @return dialect_run_t, for
 *  g_array_free; NULL when the answer does not list them */
GArray *dialect_read_runs(const char *body, size_t size);

/** Writes an order. @return bytes for web_call */
GByteArray *dialect_write_order(const char *addr, const dialect_order_t *order);

/* ===== Discovery ===== */

/** Writes the call for one page of the platform's list of back ends. @param page token, "" for the first page
 *  @return bytes for web_call */
GByteArray *dialect_write_list(const char *addr, const char *page);

/** What a page of the list holds. */
typedef struct {
    GArray *list;     /**< backend_t: entries that name a back end to use are appended */
    GArray *left_out; /**< json_left_out_t: entries that cannot be read are appended */
    char *next;       /**< set to the token of the next page, for g_free; NULL on the last page */
} dialect_page_t;

/** Reads a page. Entries that cannot be read, or that name no back end to use, leave the others as they are. A page
 * that is not whole is refused. @return 0 or TC_E_INVALID with @p err */
int dialect_read_list(const char *body, size_t size, dialect_page_t *page, tc_err_t *err);

#endif
