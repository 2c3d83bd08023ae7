/** @file placer.h
 * Placement of requests on engines, under any policy.
 *
 * cell: the scheduler that holds the cell's lease decides. share: this box's
 * own scheduler decides over its share of every engine. random, least_loaded:
 * baselines; each entry decides alone, the latter on delayed load reports, and
 * nothing is reserved.
 */
#ifndef TRACKCOVE_REQUEST_PLACER_H
#define TRACKCOVE_REQUEST_PLACER_H

#include "backend/engine.h"
#include "request/entry.h"

/* ===== Types ===== */

/** The parts of a request that placement needs. Pointers are borrowed. */
typedef struct {
    const char *id, *model, *workspace;
    uint32_t prompt_tokens, max_tokens, priority;
    const uint64_t *chain;
    uint32_t n_chain;
    bool repeatable;
    uint64_t content_hash;
} placer_request_t;

/** The engines for one attempt. */
typedef struct {
    policy_t policy;
    char cell[CODEC_STR_SIZE];
    char scheduler[CODEC_STR_SIZE]; /**< address of the scheduler that granted it; "" for the baselines */
    uint64_t epoch;
    uint32_t attempt, pieces, est_ttft_ms;
    bool resume; /**< the answer already exists on the decode engine: read it from there */
    engine_cfg_t prefill, decode;
    char engine_id[ENGINE_ID_SIZE];
    uint32_t retry_after_ms; /**< set when refused */
    char reason[CODEC_STR_SIZE];
} placement_t;

/** Called every 50 ms while a placement is pending. @return false to cancel it */
typedef bool (*placer_idle_fn_t)(void *arg);

/* ===== Public functions ===== */

/** Requests engines for an attempt. Blocks until @p due at the latest, plus 250 ms for the scheduler's reply.
 * @param avoid engine that has just failed this request, or ""
 * @return 0; TC_E_REFUSED: refused, and nothing ran for this attempt; TC_E_CANCELLED: @p on_idle returned false;
 * TC_E_NOT_FOUND: no engine serves the model */
int placer_place(entry_t *entry, const placer_request_t *request, const char *avoid, tc_time_t due,
                 placer_idle_fn_t on_idle, void *arg, placement_t *placement, tc_err_t *err);

/** Requests another decode engine for an existing prefill result. On success, @p placement has the new decode engine
 * and attempt. Blocks up to 300 ms. */
int placer_replan(entry_t *entry, const placer_request_t *request, placement_t *placement, tc_err_t *err);

/** Reports the phase of an attempt to its scheduler. Does nothing under a baseline policy.
 * @param took_ms duration of the prefill
 * @param prefill result of the prefill, or NULL
 * @param failed_engine engine that failed, or ""
 * @param held whether engines may still hold memory for the attempt */
void placer_report_progress(entry_t *entry, const char *id, const placement_t *placement, phase_t phase,
                            uint32_t took_ms, const engine_prefill_t *prefill, const char *failed_engine, bool held);

#endif
