/** @file web_probe.h
 * TCP connect probe: checks whether a process listens at an address. The connection is opened and closed; no data is
 * sent. Distinguishes a process that has exited, for which the kernel refuses the connection, from one that merely
 * closed a connection. Everything runs in the loop's thread.
 */
#ifndef TRACKCOVE_WEB_WEB_PROBE_H
#define TRACKCOVE_WEB_WEB_PROBE_H

/* ===== Dependencies ===== */

#include <stdbool.h>

#include "common/time.h"
#include "peer/loop.h"

/* ===== Types ===== */

typedef enum {
    WEB_PROBE_OPEN,       /**< connection established */
    WEB_PROBE_REFUSED,    /**< connection refused: the machine is up, no process listens */
    WEB_PROBE_UNREACHABLE /**< time-out or another error: the network path or the machine may be down */
} web_probe_result_t;

/** The probe has ended. The callback may start it again or free it. */
typedef void (*web_probe_fn_t)(void *arg, web_probe_result_t end);

/** One probe at a time. Zero it before first use. */
typedef struct {
    loop_t *loop; /**< NULL when idle */
    loop_watch_t watch;
    loop_timer_t timeout_timer;
    web_probe_fn_t fn;
    void *arg;
} web_probe_t;

/* ===== Public functions ===== */

/** Probe @p addr, "IP:port". @p fn runs once, within @p limit_ms and never from within this call, unless the probe is
 *  cancelled. */
void web_probe(web_probe_t *probe, loop_t *loop, const char *addr, tc_time_t limit_ms, web_probe_fn_t fn, void *arg);

/** Cancel the probe in progress, if any. No callback runs. */
void web_probe_cancel(web_probe_t *probe);

#endif
