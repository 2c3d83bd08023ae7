/** @file log.h
 * JSON lines through log4c.
 *
 * One line an event: {"time":..., "level":..., "box":..., "event":..., fields}.
 * docs/operate/logs.md lists every event. Usage:
 *
 *     log_line_t line;
 *     log_begin(&line, LOG_INFO, "placement");
 *     log_str(&line, "request", id);
 *     log_int(&line, "est_ttft_ms", est);
 *     log_end(&line);
 */
#ifndef TRACKCOVE_COMMON_LOG_H
#define TRACKCOVE_COMMON_LOG_H

/* ===== Dependencies ===== */

#include <stddef.h>
#include <stdint.h>

#include "common/err.h"

/* ===== Types ===== */

typedef enum { LOG_ERROR, LOG_WARN, LOG_INFO, LOG_DEBUG } log_level_t;

/** Longest line; a longer one loses its last fields and says so with "cut":true. */
#define LOG_LINE_MAX 2048

/** A line being built. Lives on the stack of one thread. */
typedef struct {
    char text[LOG_LINE_MAX];
    size_t used;
    log_level_t level;
    int cut;
} log_line_t;

/* ===== Public functions ===== */

/** In place of a path: standard output, which is never waited for. A line that does not fit is dropped and counted. */
#define LOG_STDOUT "-"

/** Open the log. @param path file to append to, "" for standard error, LOG_STDOUT for standard output. @param box goes
 * into every line. */
int log_open(const char *box, const char *path, tc_err_t *err);

/** Flush and close; lines after this are dropped. */
void log_close(void);

void log_begin(log_line_t *line, log_level_t level, const char *event);
void log_str(log_line_t *line, const char *key, const char *value);
void log_int(log_line_t *line, const char *key, int64_t value);
void log_num(log_line_t *line, const char *key, double value);
/** A hash, as 16 hex digits: JSON readers round large numbers. */
void log_hash(log_line_t *line, const char *key, uint64_t value);
/** Add an error's number, name, step, peer and detail. */
void log_err(log_line_t *line, const tc_err_t *err);
void log_end(log_line_t *line);

/** One line with nothing but an error. */
void log_failure(log_level_t level, const char *event, const tc_err_t *err);

#endif
