/** @file version_history.h
 * Which software versions of a service serve now or served lately, by the lists of back ends. Engines that only compute
 * prompts write no answers and do not count.
 *
 * No I/O, no clock.
 */
#ifndef TRACKCOVE_BACKEND_VERSION_HISTORY_H
#define TRACKCOVE_BACKEND_VERSION_HISTORY_H

/* ===== Dependencies ===== */

#include <stdbool.h>
#include <stdint.h>

#include "common/time.h"
#include "gen/schema.h"

/* ===== Constants ===== */

enum {
    /** Time for which a version counts after it has left the list, ms: its streams may be taken up again. */
    VERSION_HISTORY_KEEP_MS = 60 * 1000,
    /** Time after which no back end of a version is expected to return, once all have vanished from the list, ms. One
     *  that crashed is back within seconds. */
    VERSION_HISTORY_RETURN_MS = 5 * 1000
};

/* ===== Types ===== */

typedef struct version_history version_history_t;

/* ===== Public functions ===== */

version_history_t *version_history_create(void);
void version_history_destroy(version_history_t *history);

/** Replaces the list; a version in both lists keeps its state. */
void version_history_set_list(version_history_t *history, const backend_t *list, uint32_t n, tc_time_t now);
/** Lists the versions that served lately and are not listed any more. @return for free(), their number in @p n */
left_version_t *version_history_list_left(const version_history_t *history, uint32_t *n, tc_time_t now);
/** Records a version from another process's list of them. */
void version_history_add_left(version_history_t *history, const left_version_t *left, tc_time_t now);
/** @return number of versions of the service that serve or served lately; unnamed ones do not count */
unsigned version_history_count(const version_history_t *history, const char *service, tc_time_t now);
/** Whether that version of the service serves or served lately. */
bool version_history_has(const version_history_t *history, const char *service, const char *version, tc_time_t now);
/** Whether any service has several versions. */
bool version_history_is_mixed(const version_history_t *history, tc_time_t now);
/** Whether all back ends of the version leave or have left. Those that crashed are expected to return. */
bool version_history_is_gone(const version_history_t *history, const char *service, const char *version, tc_time_t now);

#endif
