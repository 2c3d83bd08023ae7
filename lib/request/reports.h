/** @file reports.h
 * What others report, late: the platform's list of leaving servers, and engines' load for the baseline policies.
 */
#ifndef TRACKCOVE_REQUEST_REPORTS_H
#define TRACKCOVE_REQUEST_REPORTS_H

#include "backend/engine.h"
#include "request/entry.h"

/** Start the thread that asks. */
reports_t *reports_create(entry_t *entry);

/** Newest load report of an engine. @return false when there is none */
bool reports_get_load(reports_t *reports, const char *engine, engine_load_t *load);

#endif
