/** @file sched.h
 * The scheduler of one cell: a pure state machine.
 *
 * It is the single writer of the reservations on a cell's engines. Events go in
 * as function calls with the time; actions come out of sched_next_action. There
 * is no I/O, no thread and no clock in here. The same core runs inside the entry
 * box that holds the cell's lease, in the randomised test with its oracle, and
 * under libFuzzer.
 *
 * What it keeps true (asserted by sched_check in every build):
 *  - the pieces reserved on an engine are exactly those of the requests placed
 *    there plus those of requests being cancelled there;
 *  - a grant never reserves more pieces than the engine has;
 *  - a request is queued, or placed on one pair of engines, never both;
 *  - an attempt number is never used twice for a request;
 *  - every waiting call is answered exactly once.
 *
 * A refusal ("not run") is given only to a request for which no engine has been
 * named in this attempt, so it has truly not run.
 */
#ifndef TRACKCOVE_SCHED_SCHED_H
#define TRACKCOVE_SCHED_SCHED_H

/* ===== Dependencies ===== */

#include <stdbool.h>
#include <stdint.h>

#include "common/time.h"
#include "gen/schema.h"

/* ===== Constants ===== */

/** Tokens in one piece of engine memory (users' brief). */
#define SCHED_PIECE_TOKENS 2000u
/** The same where memory is handed out by small blocks and prompts are some thousand tokens: pieces of this size waste
 *  one in two hundred, pieces of 256 tokens one in thirty. */
#define SCHED_SMALL_PIECE_TOKENS 32u
/** A reservation lapses when its entry box has not renewed it for this long. Entry boxes renew every
 *  SCHED_RENEW_MS, so four renewals in a row must be lost. */
#define SCHED_LEASE_MS 1200
#define SCHED_RENEW_MS 300
/** A new scheduler grants nothing for this long, so that every entry box can report what it holds: entries renew as
 *  soon as they hear of it, and again after SCHED_RENEW_MS. What is not reported by then stays out of reach all the
 *  same, since the engines' own lists show it. */
#define SCHED_REBUILD_MS 450
/** How long a finished request is remembered, so that a caller who lost the answer can fetch it. */
#define SCHED_FINISHED_MS 30000
/** For sched_limit_engine. */
#define SCHED_NO_LIMIT UINT32_MAX

/* ===== Types ===== */

typedef struct sched sched_t;

/** Names a waiting call; the shell knows what it means. */
typedef struct {
    uint64_t a, b;
} sched_token_t;

typedef struct {
    const char *cell;                 /**< engines with this cell belong to the scheduler */
    uint64_t epoch;                   /**< of the lease */
    uint32_t share_count;             /**< 1: the whole cell. N: one Nth of each engine (policy "share") */
    uint32_t piece_tokens;            /**< size of the pieces that memory is counted in; 0 for SCHED_PIECE_TOKENS */
    tc_time_t local_prefill_after_ms; /**< a request that no prefill engine took for this long, ms, may be read by its
                               decode engine itself, one at a time there; 0: never */
    bool rebuild;                     /**< start with SCHED_REBUILD_MS of learning */
    bool adopt_unknown; /**< what an entry box lists runs, whoever placed it: it is counted at any time. Without it,
                      what nobody here knows outside a rebuild is a request whose lease lapsed */
} sched_options_t;

typedef enum { SCHED_ACT_ANSWER, SCHED_ACT_CANCEL } sched_action_kind_t;

typedef struct {
    sched_token_t token;
    char id[CODEC_STR_SIZE];
    msg_placed_t placed;
    bool repeated; /**< the same box has asked on: this is no decision, and the call has probably timed out */
} sched_answer_t;

/** Something the shell must do. */
typedef struct {
    sched_action_kind_t kind;
    union {
        sched_answer_t answer; /**< send placed to the waiting call */
        struct {
            char engine[CODEC_STR_SIZE];
            char engine_id[CODEC_STR_SIZE + 16]; /**< id the engine knows: "ID.ATTEMPT" */
        } cancel;                                /**< cancel it at the engine, then report with sched_cancelled */
    } u;
} sched_action_t;

/** What an engine says it holds, from its state page. */
typedef struct {
    char engine_id[CODEC_STR_SIZE + 16];
    uint32_t pieces;
} sched_engine_request_t;

typedef struct {
    uint32_t queued, placed, cancelling, engines;
    double prefill_busy, decode_busy;                    /**< moving averages, 0 to 1, for the planner */
    double prefill_load, prefill_load_slow, decode_load; /**< for the rebalancer: as prefill, settled and decode in
                                                            pool_load_t (roles/balance.h) */
    uint64_t cache_predicted,
        cache_actual; /**< prompt tokens taken for cached at the grant, and cached as engines said */
    uint64_t granted, refused, resumed, replanned, lapsed, orphans, adopted;
    uint64_t engines_scanned; /**< engines scanned at to choose, or to judge how long a request would wait */
} sched_stats_t;

/** What the scheduler takes all engines that can be used for, at one moment. */
typedef struct {
    uint32_t queued, placed;              /**< requests */
    uint32_t prefills, decodes;           /**< engines */
    uint32_t decode_pieces, decode_taken; /**< memory of the decode engines, and what of it nobody can have */
    double backlog_ms;                    /**< prefill work given and not done, over all prefill engines */
    double free_rate;                     /**< decode pieces freed, a ms */
} sched_load_t;

/** One engine as the scheduler sees it, for status pages. */
typedef struct {
    char name[CODEC_STR_SIZE];
    role_t role;
    uint32_t pieces, reserved, batch;
    uint32_t backlog_ms;
    double rate; /**< measured prefill rate, tokens/s */
    bool up, leaving;
} sched_engine_view_t;

/* ===== Public functions ===== */

sched_t *sched_create(const sched_options_t *options, tc_time_t now);

/** Calls still waiting are dropped without an answer. */
void sched_destroy(sched_t *sched);

/** Take over a configuration. Engines that are gone from it finish what they have and get nothing new. */
void sched_configure(sched_t *sched, const config_t *config, tc_time_t now);

/** So many entry boxes are live: once all of them have renewed, a rebuilding scheduler need not wait any longer. */
void sched_expect_reports(sched_t *sched, uint32_t boxes);

/** Policy "share": from now on this is one of @p share_count equal parts. Call before sched_configure. */
void sched_set_share_count(sched_t *sched, uint32_t share_count);

/** A request asks for engines; answered later through SCHED_ACT_ANSWER, by its deadline at the latest. */
void sched_place(sched_t *sched, const msg_place_t *place, sched_token_t token, tc_time_t now);

/** The transfer to the decode engine failed: name another. Answered through SCHED_ACT_ANSWER. */
void sched_replan(sched_t *sched, const msg_replan_t *replan, sched_token_t token, tc_time_t now);

/** A request moved on, ended or failed. */
void sched_progress(sched_t *sched, const msg_progress_t *progress, tc_time_t now);

/** An entry box renews all it holds: by count and digest (XOR of sched_digest over its placed requests), or, when
 *  renew->listed, by a list.
 * @param lost filled with at most @p room requests it must let go @param want_list the counts differ: send the list
 * @return how many are lost */
uint32_t sched_renew(sched_t *sched, const msg_renew_t *renew, held_t *lost, uint32_t room, bool *want_list,
                     tc_time_t now);

/** What one attempt adds to a box's digest. */
uint64_t sched_digest(const char *id, uint32_t attempt);

/** The engine answered its state page. @param incarnation changes when it restarted and forgot everything
 * @param leaving it says that it leaves, or it does not (yet) serve what the configuration says
 * @param asked when the page was asked for */
void sched_on_engine_state(sched_t *sched, const char *engine, uint64_t incarnation, bool leaving,
                           const sched_engine_request_t *held, uint32_t n_held, tc_time_t asked, tc_time_t now);

/** The same of all engines of the configuration, where a list of them is all that is heard: they are there, and as it
 *  says. */
void sched_on_engine_list(sched_t *sched, tc_time_t now);

/** An engine told which requests it runs, by their plain ids, as of up to a second ago: what is not counted here is
 *  given to nobody, until it tells otherwise. For engines that end what nobody holds by themselves. */
void sched_set_engine_requests(sched_t *sched, const char *engine, const sched_engine_request_t *held, uint32_t n,
                               tc_time_t now);

/** Whether engines may run what is not counted here: the scheduler has just begun, an engine refused what it had room
 * for by the count, or an entry box is silent and may place by itself. Then it is worth asking them often. */
bool sched_needs_reconcile(const sched_t *sched, tc_time_t now);

/** The engine did not answer its state page. */
void sched_on_engine_timeout(sched_t *sched, const char *engine, tc_time_t now);

/** The platform's list says that the engine is leaving, or is not. */
void sched_set_engine_leaving(sched_t *sched, const char *engine, bool leaving, tc_time_t now);

/** What back ends say of themselves to an entry box: nothing of that box's requests is granted on those that want no
 *  calls of it, for so long. Replaces what the box said before. */
void sched_set_notices(sched_t *sched, const char *box, const backend_notice_t *list, uint32_t n, tc_time_t now);
/** Whether the engine wants calls of the entry box, as far as that has said. */
bool sched_engine_accepts(const sched_t *sched, const char *box, const char *engine, tc_time_t now);

/** From now on no more than @p grants are made on the engine, until this is called again. SCHED_NO_LIMIT: any number.
 *  @return how many were made within the last such number */
uint32_t sched_limit_engine(sched_t *sched, const char *engine, uint32_t grants);

/** The engine confirmed a cancel (it holds nothing for that id), or did not. */
void sched_cancelled(sched_t *sched, const char *engine, const char *engine_id, bool confirmed, tc_time_t now);

/** The lease ran out and was extended without anybody else having had it: nothing was heard meanwhile, so leases of
 *  requests begin anew and nothing is granted for SCHED_REBUILD_MS. */
void sched_resume(sched_t *sched, tc_time_t now);

/** The holder of the lease can't tell for a moment whether it still holds: nothing is granted until it can, and nothing
 *  is forgotten. Who waits goes on waiting, until its due time. */
void sched_suspend(sched_t *sched, bool suspended);

/** The lease is over: take out one waiting call, so that the shell can send it to the next scheduler.
 * @return false when none waits */
bool sched_pop_waiting(sched_t *sched, sched_token_t *token);

/** Let time pass: leases lapse, deadlines refuse, cancels are tried again. Call at least every 50 ms. */
void sched_tick(sched_t *sched, tc_time_t now);

/** Take the next action. @return false when there is none */
bool sched_next_action(sched_t *sched, sched_action_t *action);

/** Assert every invariant; costs a walk over all requests and engines. */
void sched_check(const sched_t *sched);

sched_stats_t sched_stats(const sched_t *sched);
sched_load_t sched_load(const sched_t *sched, tc_time_t now);

/** Fill up to @p room views. @return how many engines there are */
uint32_t sched_list_engines(const sched_t *sched, sched_engine_view_t *views, uint32_t room, tc_time_t now);

/** The id by which an engine knows an attempt of a request. */
void sched_engine_id(char *to, size_t size, const char *id, uint32_t attempt);

/** Pieces of engine memory a request needs, in pieces of SCHED_PIECE_TOKENS. */
uint32_t sched_pieces(uint32_t prompt_tokens, uint32_t max_tokens);
/** The same in pieces of another size. */
uint32_t sched_pieces_of(uint32_t piece_tokens, uint32_t prompt_tokens, uint32_t max_tokens);

#endif
