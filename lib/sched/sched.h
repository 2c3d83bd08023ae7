/** @file sched.h
 * The scheduler of one cell: a pure state machine.
 *
 * It is the only writer of the reservations on a cell's engines. Events enter as function calls that carry the
 * time; actions are read with sched_next_action. It does no I/O and has no threads and no clock. The same code runs
 * in the entry box that holds the cell's lease, in the randomised test with its oracle, and under libFuzzer.
 *
 * Invariants, asserted by sched_check in every build:
 *  - the pieces reserved on an engine are those of the requests placed or being cancelled there;
 *  - a grant never reserves more pieces than the engine has;
 *  - a request is either queued or placed on one pair of engines, never both;
 *  - an attempt number is never used twice for a request;
 *  - every waiting call is answered exactly once.
 *
 * A request is refused ("not run") only while no engine has been named in the current attempt, so it cannot have
 * run.
 */
#ifndef TRACKCOVE_SCHED_SCHED_H
#define TRACKCOVE_SCHED_SCHED_H

/* ===== Dependencies ===== */

#include <stdbool.h>
#include <stdint.h>

#include "admission/returns.h"
#include "common/time.h"
#include "gen/schema.h"

/* ===== Constants ===== */

/** Tokens per piece of engine memory, as the users' brief sets it. */
#define SCHED_PIECE_TOKENS 2000u
/** Tokens per piece where engines allocate memory in small blocks and prompts are some thousand tokens long.
 *  Rounding up to 32 tokens wastes one part in 200; 256 tokens would waste one in 30. */
#define SCHED_SMALL_PIECE_TOKENS 32u
/** A reservation expires when its entry box has not renewed it for this long. Entry boxes renew every
 *  SCHED_RENEW_MS, so it takes four lost renewals in a row. */
#define SCHED_LEASE_MS 1200
#define SCHED_RENEW_MS 300
/** A new scheduler grants nothing for this long, so that every entry box can report the requests it holds: boxes
 *  renew as soon as they learn of the scheduler, and again after SCHED_RENEW_MS. Memory that is not reported by then
 *  stays unavailable all the same, because the engines list it in their state. */
#define SCHED_REBUILD_MS 450
/** How long a finished request is kept, so that a caller that lost the answer can fetch it. */
#define SCHED_FINISHED_MS 30000
/** Grant limit of sched_limit_engine that stands for no limit. */
#define SCHED_NO_LIMIT UINT32_MAX

/* ===== Types ===== */

typedef struct sched sched_t;

/** Identifies a waiting call; its meaning is up to the caller of the scheduler. */
typedef struct {
    uint64_t a, b;
} sched_token_t;

typedef struct {
    const char *cell;                 /**< the scheduler manages the engines of this cell */
    uint64_t epoch;                   /**< epoch of the cell's lease */
    uint32_t share_count;             /**< 1: the whole cell; N: one Nth of each engine (policy "share") */
    uint32_t piece_tokens;            /**< tokens per piece of memory; 0 for SCHED_PIECE_TOKENS */
    tc_time_t local_prefill_after_ms; /**< once no prefill engine has taken a request for this long, its decode engine
                                         may read the prompt itself, one prompt at a time per engine; 0: never */
    bool rebuild;                     /**< collect reports for SCHED_REBUILD_MS before the first grant */
    bool adopt_unknown; /**< count a request that an entry box lists at any time, whoever placed it. Otherwise an
                           unknown request outside a rebuild is taken for one whose lease has expired */
    returns_t *returns; /**< schedule of returns of ranked requests, in pieces; borrowed until sched_destroy. NULL: late
                             requests are refused, and returning ones are not recognised */
} sched_options_t;

typedef enum { SCHED_ACT_ANSWER, SCHED_ACT_CANCEL } sched_action_kind_t;

/** How a ranked request relates to earlier refusals, and what was left over for late ones. */
typedef struct {
    bool known;             /**< false: not a ranked request, or there is no schedule of returns */
    return_kind_t kind;     /**< as it arrived */
    bool late;              /**< waited for what requests in time left over */
    tc_time_t first_age_ms; /**< since its first attempt */
    double left_rate;       /**< pieces per ms that requests in time left over */
} sched_return_t;

typedef struct {
    sched_token_t token;
    char id[CODEC_STR_SIZE];
    msg_placed_t placed;
    bool repeated; /**< superseded by a repeated call of the same box: this answer is no decision, and the call has
                      probably timed out */
    sched_return_t returned;
} sched_answer_t;

/** Something the caller of the scheduler must do. */
typedef struct {
    sched_action_kind_t kind;
    union {
        sched_answer_t answer; /**< send placed to the waiting call */
        struct {
            char engine[CODEC_STR_SIZE];
            char engine_id[CODEC_STR_SIZE + 16]; /**< the engine's id of the attempt: "ID.ATTEMPT" */
        } cancel; /**< cancel the attempt at the engine and report the result with sched_cancelled */
    } u;
} sched_action_t;

/** A request that an engine reports it holds. */
typedef struct {
    char engine_id[CODEC_STR_SIZE + 16];
    uint32_t pieces;
} sched_engine_request_t;

typedef struct {
    uint32_t queued, placed, cancelling, engines;
    double prefill_busy, decode_busy; /**< share of engines in use, moving averages from 0 to 1, for the planner */
    double prefill_load, prefill_load_slow,
        decode_load; /**< for the rebalancer: prefill, prefill_slow and decode of pool_load_t (roles/balance.h) */
    double prefill_latency_ms; /**< largest learned fixed latency of a model; 0 while none is known, or all are short */
    uint64_t cache_predicted, cache_actual; /**< prompt tokens expected in the prefix cache at the grant, and tokens
                                               that engines reported as cached */
    uint64_t granted, refused, resumed, replanned, lapsed, orphans, adopted;
    uint64_t expired;      /**< of those refused, queued ones for which no engines became free in time */
    uint32_t kept;         /**< decode engines that waiting requests keep for themselves, in the last pass */
    uint64_t granted_kept; /**< grants to requests that had kept an engine */
    uint64_t left;         /**< times that an engine was left for spoiled answers */
    uint64_t yielded_late, yielded_share,
        yielded_urgency; /**< refused in favour of others: late ones, those of the workspace with most use, and those
                            displaced by more urgent ones */
    uint64_t engines_scanned; /**< engines examined to choose one or to estimate a wait */
} sched_stats_t;

/** Totals over all usable engines at one moment. */
typedef struct {
    uint32_t queued, placed;    /**< requests */
    uint32_t prefills, decodes; /**< engines */
    uint32_t decode_pieces,
        decode_taken;  /**< memory of the decode engines in pieces, and the part of it that is unavailable */
    double backlog_ms; /**< prefill work that was assigned and is not done, over all prefill engines */
    double free_rate;  /**< decode pieces freed per ms */
    double left_rate;  /**< part of it that requests in time leave over */
} sched_load_t;

/** State of one engine, for status pages. */
typedef struct {
    char name[CODEC_STR_SIZE];
    role_t role;
    uint32_t pieces, reserved, batch;
    uint32_t backlog_ms;
    double rate; /**< measured prefill rate, tokens/s */
    bool up, leaving;
} sched_engine_view_t;

struct admission_service; /* admission/admission_view.h */

/* ===== Public functions ===== */

sched_t *sched_create(const sched_options_t *options, tc_time_t now);

/** Drops calls that still wait without an answer. */
void sched_destroy(sched_t *sched);

/** Applies a configuration. Engines that are no longer in it finish their requests and get no new ones. */
void sched_configure(sched_t *sched, const config_t *config, tc_time_t now);

/** Sets how many entry boxes are live: a rebuild ends early once all of them have renewed. */
void sched_expect_reports(sched_t *sched, uint32_t boxes);

/** Policy "share": this scheduler uses one of @p share_count equal parts of each engine. Call before
 *  sched_configure. */
void sched_set_share_count(sched_t *sched, uint32_t share_count);

/** Asks for engines for a request. Answered through SCHED_ACT_ANSWER, by the request's deadline at the latest. */
void sched_place(sched_t *sched, const msg_place_t *place, sched_token_t token, tc_time_t now);

/** Asks for another decode engine after the transfer to the present one failed. Answered through SCHED_ACT_ANSWER. */
void sched_replan(sched_t *sched, const msg_replan_t *replan, sched_token_t token, tc_time_t now);

/** Reports that a request entered another phase, ended or failed. */
void sched_progress(sched_t *sched, const msg_progress_t *progress, tc_time_t now);

/** An entry box renews all the requests it holds: by count and digest (XOR of sched_digest over its placed
 *  requests), or by a list when renew->listed is set. @param lost receives at most @p room requests that the box
 *  must drop @param needs_list set when count or digest differ: the box must send the list @return number of lost
 *  requests */
uint32_t sched_renew(sched_t *sched, const msg_renew_t *renew, held_t *lost, uint32_t room, bool *needs_list,
                     tc_time_t now);

/** Contribution of one attempt to a box's digest. */
uint64_t sched_digest(const char *id, uint32_t attempt);

/** The engine answered a query of its state. @param incarnation changes when the engine restarted and lost
 *  everything it held @param leaving the engine says that it is leaving, or it does not (yet) serve what the
 *  configuration says @param asked when the query was sent */
void sched_on_engine_state(sched_t *sched, const char *engine, uint64_t incarnation, bool leaving,
                           const sched_engine_request_t *held, uint32_t n_held, tc_time_t asked, tc_time_t now);

/** Marks all configured engines as up, where a list of them is the only report: they exist and match the list. */
void sched_on_engine_list(sched_t *sched, tc_time_t now);

/** Sets the requests that an engine reports to run, by their plain ids, as of up to one second ago. Memory of
 *  requests that are not counted here stays unavailable until the next report. For engines that end abandoned
 *  requests by themselves. */
void sched_set_engine_requests(sched_t *sched, const char *engine, const sched_engine_request_t *held, uint32_t n,
                               tc_time_t now);

/** Whether engines may run requests that are not counted here: the scheduler started recently, an engine refused a
 *  request although it had room by the count, or an entry box is silent and may place requests by itself. Engines
 *  should be queried often while this holds. */
bool sched_needs_reconcile(const sched_t *sched, tc_time_t now);

/** The engine did not answer a query of its state. */
void sched_on_engine_timeout(sched_t *sched, const char *engine, tc_time_t now);

/** Sets whether the platform's list says that the engine is leaving. */
void sched_set_engine_leaving(sched_t *sched, const char *engine, bool leaving, tc_time_t now);

/** Sets the notices of back ends to an entry box: no request of the box is granted on a back end that asked for no
 *  calls, for as long as its notice says. Replaces the box's former notices. */
void sched_set_notices(sched_t *sched, const char *box, const backend_notice_t *list, uint32_t n, tc_time_t now);
/** Whether the engine accepts calls of the entry box, by the box's notices. */
bool sched_engine_accepts(const sched_t *sched, const char *box, const char *engine, tc_time_t now);

/** Allows at most @p grants further grants on the engine until the next call; SCHED_NO_LIMIT for any number. @return
 *  number of grants made under the former limit */
uint32_t sched_limit_engine(sched_t *sched, const char *engine, uint32_t grants);

/** Result of a cancel at an engine. @param confirmed the engine holds nothing for that id */
void sched_cancelled(sched_t *sched, const char *engine, const char *engine_id, bool confirmed, tc_time_t now);

/** The lease expired and was extended, and nobody else held it in between. Messages may have been lost meanwhile, so
 *  the leases of all requests start anew and nothing is granted for SCHED_REBUILD_MS. */
void sched_resume(sched_t *sched, tc_time_t now);

/** Stops or resumes granting while the box cannot tell whether it still holds the cell's lease. Keeps all state;
 *  queued requests wait on until they are due. */
void sched_suspend(sched_t *sched, bool suspended);

/** Takes out one waiting call after the cell's lease has ended, so that it can be sent to the next scheduler.
 *  @return false when none waits */
bool sched_pop_waiting(sched_t *sched, sched_token_t *token);

/** Advances time: expires leases, refuses overdue requests, retries cancels. Call at least every 50 ms. */
void sched_tick(sched_t *sched, tc_time_t now);

/** Takes the next action. @return false when there is none */
bool sched_next_action(sched_t *sched, sched_action_t *action);

/** Asserts every invariant. Walks over all requests and engines. */
void sched_check(const sched_t *sched);

sched_stats_t sched_stats(const sched_t *sched);
sched_load_t sched_load(const sched_t *sched, tc_time_t now);

/** Fills in at most @p room entries of @p views. @return number of engines, which may be larger */
uint32_t sched_list_engines(const sched_t *sched, sched_engine_view_t *views, uint32_t room, tc_time_t now);

/** Fills in the view of a service, whose name is the model of its requests. The queue is that of the service. Totals,
 *  workspaces and returns are those of all models of this scheduler together. Walks over all queued requests. */
void sched_view(const sched_t *sched, struct admission_service *view, tc_time_t now);

/** Formats the id by which an engine knows an attempt of a request. */
void sched_engine_id(char *to, size_t size, const char *id, uint32_t attempt);

/** Pieces of SCHED_PIECE_TOKENS that a request needs. */
uint32_t sched_pieces(uint32_t prompt_tokens, uint32_t max_tokens);
/** Pieces of @p piece_tokens that a request needs. */
uint32_t sched_pieces_of(uint32_t piece_tokens, uint32_t prompt_tokens, uint32_t max_tokens);

#endif
