/** @file sched_choose.h
 * Choice of engines for a request, and estimates of its wait. Private to the scheduler.
 */
#ifndef TRACKCOVE_SCHED_SCHED_CHOOSE_H
#define TRACKCOVE_SCHED_SCHED_CHOOSE_H

#include "sched/sched_internal.h"

struct choice {
    engine_t *prefill, *decode;
    link_t *link;
    double prefill_ms; /* prefill time without the engine's backlog */
    double total_ms;   /* until the first token */
    double cost;       /* value that the choice minimises: total_ms plus the cost to the requests that run there */
    uint32_t prefills, decodes; /* engines that could have been chosen */
    const char *reason;         /* why there is no choice */
    bool no_memory;             /* there is none since no decode engine has room */
};

/** Chooses the best pair of engines for a queued request or, with keep_prefill, the best decode engine for a replan,
 *  which keeps r->prefill. Scans each engine once: the cost of a pair is the sum of the costs of its prefill engine,
 *  its decode engine and the link between their data centres, so only the best engines of each data centre need to
 *  be paired. */
choice_t choose_pair(sched_t *s, const request_t *r, bool keep_prefill, tc_time_t now);
/** Whether the request may share the engine with those that run there, by the back ends that ended under them. */
bool may_share_engine(const engine_t *e, const request_t *r);
/** Whether the engine may decode the request by its version. */
bool engine_has_version(const engine_t *e, const request_t *r);
/** Chooses the best decode engine that would read the prompt itself. */
choice_t choose_local_prefill(sched_t *s, const request_t *r, tc_time_t now);
/** Tries choose_pair, then choose_local_prefill, for a queued request. Skips the scan where an earlier request of
 *  this pass has shown that nothing is available. Call after begin_pass. */
choice_t choose_queued(sched_t *s, const request_t *r, tc_time_t now);
void begin_pass(sched_t *s);
/** Whether the model's fixed latency is known and modelled apart from the time that occupies an engine. */
bool model_has_latency(const model_t *m);
/** Fixed latency of a prompt, in ms; PREFILL_BASE_MS unless model_has_latency. */
double model_latency_ms(const model_t *m);
/** Part of a time of engine_prefill_ms that occupies an engine of the model: reading only where the latency is
 *  modelled apart, otherwise all of it. */
double model_occupied_ms(const model_t *m, double prefill_ms);

/** Part of the time to the first token that an estimate may use; the rest covers its error. */
#define DUE_MARGIN 0.85

/** Free capacity and backlog of the engines that serve a model. */
typedef struct {
    double free_pieces, backlog_ms;
    double prefills; /* number of prefill engines; decode engines that do local prefill count as a fraction */
    double least_ms; /* shortest time in which one engine could read the prompt, given its cache */
} supply_t;

/** Capacity for the request. Scans all engines. */
supply_t supply_for(sched_t *s, const request_t *r, tc_time_t now);
/** Expected time until the first token of a request, in ms, without a margin; INFINITY when no engine can read it.
 *  @param work_ms prefill work that is done before @param need pieces of it and all before it @param own_ms time to
 *  read its prompt @param left_over it gets only memory that requests in time leave over */
double wait_behind(const sched_t *s, const supply_t *supply, double work_ms, double need, double own_ms,
                   bool left_over);
/** As estimate_wait, with a known capacity. */
double estimate_wait_of(const sched_t *s, const request_t *r, const supply_t *supply);
/** Estimated time until the request's first token, in ms, given the queue ahead of it. */
double estimate_wait(sched_t *s, request_t *r, tc_time_t now);

#endif
