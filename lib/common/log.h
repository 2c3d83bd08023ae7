/** @file log.h
 * JSON lines, written with log4c.
 *
 * One line per event: {"time":..., "level":..., "box":..., "event":..., fields}.
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

/** Longest line, in bytes; a longer one loses its last fields and is marked with "cut":true. */
#define LOG_LINE_MAX 2048

/** A line being built, on the stack of one thread. */
typedef struct {
    char text[LOG_LINE_MAX];
    size_t used;
    log_level_t level;
    int truncated;
} log_line_t;

/* ===== Public functions ===== */

/** Path for standard output. Writes to it never block: a line that does not fit is dropped and counted. */
#define LOG_STDOUT "-"

/** Opens the log. @param path file to append to, "" for standard error, LOG_STDOUT for standard output @param box name
 * of this box, added to every line */
int log_open(const char *box, const char *path, tc_err_t *err);

/** Flushes and closes the log; later lines are dropped. */
void log_close(void);

void log_begin(log_line_t *line, log_level_t level, const char *event);
void log_str(log_line_t *line, const char *key, const char *value);
void log_int(log_line_t *line, const char *key, int64_t value);
void log_num(log_line_t *line, const char *key, double value);
/** Adds a hash as 16 hex digits, since JSON readers round large numbers. */
void log_hash(log_line_t *line, const char *key, uint64_t value);
/** Adds an error's code, name, step, peer and detail. */
void log_err(log_line_t *line, const tc_err_t *err);
void log_end(log_line_t *line);

/** Writes a line that holds only an error. */
void log_failure(log_level_t level, const char *event, const tc_err_t *err);

#endif
