/** @file fair_share.h
 * Use of a shared resource by workspaces, and whose request yields when it is short: weighted max-min fairness. The
 * workspace with the largest use for its weight yields first, so that one workspace cannot take what others need.
 *
 * Use is what a workspace has queued and what it has running, in the owner's unit.
 *
 * Pure: no I/O, no clock. Not thread-safe.
 */
#ifndef TRACKCOVE_ADMISSION_FAIR_SHARE_H
#define TRACKCOVE_ADMISSION_FAIR_SHARE_H

/* ===== Dependencies ===== */

#include <stdbool.h>
#include <stdint.h>

/* ===== Types ===== */

typedef struct fair_share fair_share_t;

/** What a workspace holds. */
typedef struct {
    double queued, running; /**< units */
    uint32_t weight;        /**< at least 1 */
} fair_share_use_t;

typedef void (*fair_share_fn_t)(void *arg, const char *workspace, const fair_share_use_t *use);

/* ===== Public functions ===== */

fair_share_t *fair_share_create(void);
void fair_share_destroy(fair_share_t *share);

/** Sets the weight of a workspace; 1 unless set. @param weight at least 1 */
void fair_share_set_weight(fair_share_t *share, const char *workspace, uint32_t weight);

/** Counts units that are queued or running. Workspaces without any use are forgotten. What is removed must have been
 *  added. @param workspace "" is one too @param units more than 0 */
void fair_share_add_queued(fair_share_t *share, const char *workspace, double units);
void fair_share_remove_queued(fair_share_t *share, const char *workspace, double units);
void fair_share_add_running(fair_share_t *share, const char *workspace, double units);
void fair_share_remove_running(fair_share_t *share, const char *workspace, double units);

/** Use of a workspace; zero for an unknown one. */
fair_share_use_t fair_share_use(const fair_share_t *share, const char *workspace);
/** Use of all workspaces together; weight 1. */
fair_share_use_t fair_share_total(const fair_share_t *share);
/** Use divided by the weight. */
double fair_share_level(const fair_share_t *share, const char *workspace);
/** Whether a request of @p mine goes before one of @p other: its level, with @p units more, stays below. */
bool fair_share_precedes(const fair_share_t *share, const char *mine, double units, const char *other);
/** Calls @p fn for each workspace with any use, in any order. */
void fair_share_foreach(const fair_share_t *share, fair_share_fn_t fn, void *arg);
/** Number of workspaces with any use. */
uint32_t fair_share_count(const fair_share_t *share);

#endif
