/** @file reports.h
 * Polling of the platform's list of leaving servers and, for the baseline policies, of engine load.
 */
#ifndef TRACKCOVE_REQUEST_REPORTS_H
#define TRACKCOVE_REQUEST_REPORTS_H

#include "backend/engine.h"
#include "request/entry.h"

/** Starts the polling thread. */
reports_t *reports_create(entry_t *entry);

/** Gets the latest load report of an engine. Any thread. @return false when there is none */
bool reports_get_load(reports_t *reports, const char *engine, engine_load_t *load);

#endif
