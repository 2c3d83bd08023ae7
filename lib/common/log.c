#include "common/log.h"

#include <errno.h>
#include <fcntl.h>
#include <log4c.h>
#include <math.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "common/counter.h"
#include "common/text.h"
#include "common/time.h"

/* ===== log4c layout and appender ===== */

COUNTER_DEFINE(c_dropped, "counter", "trackcove_log_lines_dropped_total", "Log lines that standard output did not take")

/** Most lines per second on standard output. Further ones are dropped; errors and warnings only beyond twice as many. A
 *  box at its highest measured load (burst days of the platform) writes 200. */
enum { STDOUT_LINES_A_SECOND = 2000 };

static FILE *log_file;
static bool log_to_stdout;
static char log_box[96];
static log4c_category_t *log_category;

static const char *layout_format(const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
    (void)layout;
    return event->evt_msg;
}

/** Whether one more line is allowed in this second. Called from one thread at a time; a race would only let one more
 *  line through. */
static bool fits_in_second(int priority)
{
    static tc_time_t second;
    static int lines;
    const tc_time_t now = tc_time_now() / 1000;
    lines = now == second ? lines + 1 : 1;
    second = now;
    return lines <= STDOUT_LINES_A_SECOND || (priority <= LOG4C_PRIORITY_WARN && lines <= 2 * STDOUT_LINES_A_SECOND);
}

static int write_line(const char *text, int priority)
{
    const size_t size = strlen(text);
    if (!fits_in_second(priority) || write(STDOUT_FILENO, text, size) < 0)
        counter_add(&c_dropped, 1);
    return (int)size;
}

static int appender_append(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
    (void)appender;
    FILE *const out = log_file;
    if (!out)
        return 0;
    if (log_to_stdout)
        return write_line(event->evt_rendered_msg, event->evt_priority);
    /* One fwrite per line: stdio locks the stream, so lines of several threads do not interleave. */
    return (int)fwrite(event->evt_rendered_msg, 1, strlen(event->evt_rendered_msg), out);
}

static const log4c_layout_type_t json_layout = {.name = "trackcove_json", .format = layout_format};
static const log4c_appender_type_t file_appender = {.name = "trackcove_file", .append = appender_append};

/* ===== Public functions ===== */

int log_open(const char *box, const char *path, tc_err_t *err)
{
    snprintf(log_box, sizeof(log_box), "%s", box);
    log_to_stdout = strcmp(path, LOG_STDOUT) == 0;
    if (log_to_stdout)
        (void)fcntl(STDOUT_FILENO, F_SETFL, fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
    FILE *const out = log_to_stdout ? stdout : (path[0] ? fopen(path, "a") : stderr);
    if (!out)
        return tc_err_set(err, TC_E_IO, "open log", path, "%s", strerror(errno));
    setvbuf(out, NULL, _IOLBF, LOG_LINE_MAX * 2);
    log4c_init();
    log4c_layout_type_set(&json_layout);
    log4c_appender_type_set(&file_appender);
    log4c_layout_t *const layout = log4c_layout_get("trackcove_json");
    log4c_layout_set_type(layout, &json_layout);
    log4c_appender_t *const appender = log4c_appender_get("trackcove_file");
    log4c_appender_set_type(appender, &file_appender);
    log4c_appender_set_layout(appender, layout);
    log_category = log4c_category_get("trackcove");
    log4c_category_set_appender(log_category, appender);
    log4c_category_set_additivity(log_category, 0);
    log4c_category_set_priority(log_category, LOG4C_PRIORITY_INFO);
    log_file = out;
    return TC_OK;
}

void log_close(void)
{
    FILE *const out = log_file;
    if (!out)
        return;
    fflush(out);
    log_file = NULL;
    if (out != stderr && out != stdout)
        fclose(out);
}

static void put(log_line_t *line, const char *text, size_t size)
{
    enum { TAIL = 32 }; /* bytes reserved for the closing brace and the "cut" member */
    if (line->used + size + TAIL > sizeof(line->text)) {
        line->truncated = 1;
        return;
    }
    memcpy(line->text + line->used, text, size);
    line->used += size;
}

/** Bytes that are no UTF-8 are replaced, so that each line stays valid JSON whatever it quotes. */
static void put_escaped(log_line_t *line, const char *text)
{
    put(line, "\"", 1);
    size_t left = strlen(text);
    while (left > 0) {
        char buffer[8];
        const size_t size = text_character(text, left);
        if (*text == '"' || *text == '\\')
            put(line, (const char[]){'\\', *text}, 2);
        else if ((unsigned char)*text < 0x20)
            put(line, buffer, (size_t)snprintf(buffer, sizeof(buffer), "\\u%04x", (unsigned)*text));
        else if (size > 0)
            put(line, text, size);
        else
            put(line, TEXT_REPLACEMENT, strlen(TEXT_REPLACEMENT));
        text += size > 0 ? size : 1;
        left -= size > 0 ? size : 1;
    }
    put(line, "\"", 1);
}

static void put_key(log_line_t *line, const char *key)
{
    put(line, ",", 1);
    put_escaped(line, key);
    put(line, ":", 1);
}

/** Add a member whose value is JSON already. One that does not fit is dropped as a whole. */
static void put_member(log_line_t *line, const char *key, const char *value)
{
    const size_t start = line->used;
    put_key(line, key);
    put(line, value, strlen(value));
    if (line->truncated)
        line->used = start;
}

void log_begin(log_line_t *line, log_level_t level, const char *event)
{
    static const char *const names[] = {"error", "warn", "info", "debug"};
    line->level = level;
    line->truncated = 0;
    line->used = (size_t)snprintf(line->text, sizeof(line->text), "{\"time\":%lld,\"level\":\"%s\"",
                                  (long long)tc_time_wall(), names[level]);
    log_str(line, "box", log_box);
    log_str(line, "event", event);
}

void log_str(log_line_t *line, const char *key, const char *value)
{
    const size_t start = line->used;
    put_key(line, key);
    put_escaped(line, value);
    if (line->truncated)
        line->used = start; /* drop the incomplete field */
}

void log_int(log_line_t *line, const char *key, int64_t value)
{
    char buffer[24];
    (void)snprintf(buffer, sizeof(buffer), "%lld", (long long)value);
    put_member(line, key, buffer);
}

void log_num(log_line_t *line, const char *key, double value)
{
    static const double FIXED_MAX = 1e15; /* larger ones have too many digits */
    char buffer[40];
    if (!isfinite(value))
        (void)snprintf(buffer, sizeof(buffer), "null");
    else if (fabs(value) < FIXED_MAX)
        (void)snprintf(buffer, sizeof(buffer), "%.3f", value);
    else
        (void)snprintf(buffer, sizeof(buffer), "%.17g", value);
    put_member(line, key, buffer);
}

void log_hash(log_line_t *line, const char *key, uint64_t value)
{
    char text[17];
    (void)snprintf(text, sizeof(text), "%016llx", (unsigned long long)value);
    log_str(line, key, text);
}

void log_err(log_line_t *line, const tc_err_t *err)
{
    log_int(line, "code", err->code);
    log_str(line, "error", tc_err_name(err->code));
    log_str(line, "step", err->step ? err->step : "");
    log_str(line, "peer", err->peer);
    log_str(line, "detail", err->detail);
}

void log_end(log_line_t *line)
{
    static const int priorities[] = {LOG4C_PRIORITY_ERROR, LOG4C_PRIORITY_WARN, LOG4C_PRIORITY_INFO,
                                     LOG4C_PRIORITY_DEBUG};
    const char *const end = line->truncated ? ",\"cut\":true}\n" : "}\n";
    const size_t size = strlen(end);
    memcpy(line->text + line->used, end, size + 1);
    if (log_category)
        log4c_category_log(log_category, priorities[line->level], "%s", line->text);
}

void log_failure(log_level_t level, const char *event, const tc_err_t *err)
{
    log_line_t line;
    log_begin(&line, level, event);
    log_err(&line, err);
    log_end(&line);
}
