/** @file web_probe.h
 * Asks one thing of an address: does anybody listen there? A connection is opened and closed, nothing is sent. A
 * process that has ended is told from one that broke a connection off: the system refuses for it. Everything runs in
 * the loop's thread.
 */
#ifndef TRACKCOVE_WEB_WEB_PROBE_H
#define TRACKCOVE_WEB_WEB_PROBE_H

/* ===== Dependencies ===== */

#include <stdbool.h>

#include "common/time.h"
#include "peer/loop.h"

/* ===== Types ===== */

typedef enum {
    WEB_PROBE_OPEN,       /**< a connection came up */
    WEB_PROBE_REFUSED,    /**< the machine is there, and nobody listens */
    WEB_PROBE_UNREACHABLE /**< neither: the way or the machine may be lost */
} web_probe_result_t;

/** The probe has ended; it may be begun again, or freed, from within. */
typedef void (*web_probe_fn_t)(void *arg, web_probe_result_t end);

/** One probe at a time. Zeroed before its first use. */
typedef struct {
    loop_t *loop; /**< NULL while none is under way */
    loop_watch_t watch;
    loop_timer_t limit;
    web_probe_fn_t fn;
    void *arg;
} web_probe_t;

/* ===== Public functions ===== */

/** Probe @p addr, "IP:port". @p fn runs once, later, within @p limit_ms, unless it is cancelled. */
void web_probe(web_probe_t *probe, loop_t *loop, const char *addr, tc_time_t limit_ms, web_probe_fn_t fn, void *arg);

/** Drop the probe under way, if there is one: nothing is reported. */
void web_probe_cancel(web_probe_t *probe);

#endif
