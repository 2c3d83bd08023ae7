/** @file placer.h
 * Where a request's thread asks for engines, whatever the policy.
 *
 * cell: the scheduler that holds the cell's lease. share: our own scheduler over
 * our part of every engine. random, least_loaded: the baselines, each entry
 * alone on lagged reports, nothing reserved.
 */
#ifndef TRACKCOVE_REQUEST_PLACER_H
#define TRACKCOVE_REQUEST_PLACER_H

#include "backend/engine.h"
#include "request/entry.h"

/* ===== Types ===== */

/** What the placer must know of a request. Strings stay the caller's. */
typedef struct {
    const char *id, *model, *workspace;
    uint32_t prompt_tokens, max_tokens, priority;
    const uint64_t *chain;
    uint32_t n_chain;
    bool repeatable;
    uint64_t content_hash;
} placer_request_t;

/** A pair of engines for one attempt. */
typedef struct {
    policy_t policy;
    char cell[CODEC_STR_SIZE];
    char scheduler[CODEC_STR_SIZE]; /**< address of the scheduler that granted it */
    uint64_t epoch;
    uint32_t attempt, pieces, est_ttft_ms;
    bool resume; /**< the answer exists on the decode engine: read it from there */
    engine_cfg_t prefill, decode;
    char engine_id[ENGINE_ID_SIZE];
    uint32_t retry_after_ms; /**< when refused */
    char reason[CODEC_STR_SIZE];
} placement_t;

/** Called every 50 ms while waiting. @return false to give up */
typedef bool (*placer_idle_fn_t)(void *arg);

/* ===== Public functions ===== */

/** Ask for engines; blocks until @p due at the latest.
 * @param avoid an engine that just failed this request, or ""
 * @return 0; TC_E_REFUSED: refused, nothing ran for this attempt; TC_E_CANCELLED: given up; TC_E_NOT_FOUND: no engine
 *  serves the model */
int placer_place(entry_t *entry, const placer_request_t *request, const char *avoid, tc_time_t due,
                 placer_idle_fn_t on_idle, void *arg, placement_t *placement, tc_err_t *err);

/** Ask for another decode engine for a prefill result that stands. Changes placement->decode and the attempt. */
int placer_replan(entry_t *entry, const placer_request_t *request, placement_t *placement, tc_err_t *err);

/** Tell the scheduler where the attempt stands. @param bad engine that failed, or "" @param held whether engines may
 *  still hold memory for it */
void placer_report_progress(entry_t *entry, const char *id, const placement_t *placement, phase_t phase,
                            uint32_t took_ms, const engine_prefill_t *prefill, const char *failed_engine, bool held);

#endif
