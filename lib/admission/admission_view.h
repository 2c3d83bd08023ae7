/** @file admission_view.h
 * State of admission at one moment, for operators: per service who waits, who uses how much, and the schedule of
 * returns. Filled in by slot_pool_view and sched_view; nothing is kept for it alone.
 *
 * Pure: no I/O, no clock. Not thread-safe.
 */
#ifndef TRACKCOVE_ADMISSION_ADMISSION_VIEW_H
#define TRACKCOVE_ADMISSION_ADMISSION_VIEW_H

/* ===== Dependencies ===== */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "admission/fair_share.h"
#include "admission/returns.h"
#include "admission/slot_pool.h"
#include "common/time.h"
#include "gen/schema.h"

/* ===== Constants ===== */

/** Most workspaces that are listed per service, those with the largest level. */
#define ADMISSION_WORKSPACES_MAX 50

/* ===== Types ===== */

/** What is short. */
typedef enum {
    ADMISSION_SLOTS,  /**< slots of plain back ends; the unit is one request */
    ADMISSION_ENGINES /**< memory of engines; the unit is a KV block of SCHED_SMALL_PIECE_TOKENS tokens */
} admission_kind_t;

/** Queued requests of one priority and rank. */
typedef struct {
    uint32_t priority, rank;
    uint32_t in_time, yielded, late; /**< requests that can meet their target; could, but had to yield; cannot */
    tc_time_t oldest_ms;             /**< longest time in the queue; 0 without a request */
} admission_class_t;

/** Use of a workspace, in the unit of the service. */
typedef struct {
    char workspace[CODEC_STR_SIZE];
    fair_share_use_t use;
    double level; /**< as fair_share_level */
} admission_workspace_t;

/** One service. */
typedef struct admission_service {
    char service[CODEC_STR_SIZE];
    admission_kind_t kind;
    bool ranked;                  /**< its requests have different ranks */
    uint32_t queued, queued_late; /**< requests; the second: those that can no longer meet their target */
    double rate_s;                /**< units that come free per second, moving average */
    uint64_t granted, refused;    /**< requests, since the queue was created */
    uint64_t expired;             /**< of those refused, queued ones whose time ended before there was room */
    GArray *backends;             /**< of slot_backend_view_t; empty for engines */
    GArray *queue;                /**< of admission_class_t, the most urgent first */
    GArray *workspaces;           /**< of admission_workspace_t, the largest level first */
    uint32_t workspaces_n;        /**< how many have any use; more than listed, if there are many */
    bool has_returns;
    returns_stats_t returns;
} admission_service_t;

typedef struct {
    bool held;           /**< whether the leader holds its lease now; without it nothing is granted */
    GPtrArray *services; /**< of admission_service_t */
} admission_view_t;

/* ===== Public functions ===== */

/** @return for admission_view_free */
admission_view_t *admission_view_create(bool held);
void admission_view_free(admission_view_t *view);
/** Adds a service. @return it with empty lists, owned by the view */
admission_service_t *admission_view_add(admission_view_t *view, const char *service, admission_kind_t kind);
/** Sets workspaces and workspaces_n. Walks over all workspaces that have any use. */
void admission_service_set_workspaces(admission_service_t *service, const fair_share_t *share);
/** Sets returns. @param returns NULL: there is no schedule */
void admission_service_set_returns(admission_service_t *service, const returns_t *returns);

/** The view as JSON, with the fields that docs/OPERATIONS.md explains in section 10. @return for free() */
char *admission_view_to_json(const admission_view_t *view);

#endif
