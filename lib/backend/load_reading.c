#include "backend/load_reading.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* ===== Constants ===== */

/** Time constant of the moving average of paces. A pace lasts 600 ms, so the estimate has to follow within 150 ms;
 * three time constants are 95 % of a step. A reading that was overtaken by newer ones has little weight, since it
 * arrives shortly after them. */
static const double PACE_TIME_CONSTANT_MS = 50;

/** Weight of an answer in the moving average of service times: a lasting change is followed within some 20 answers. */
static const double ANSWER_WEIGHT = 0.1;
/** Largest factor, up or down, by which one answer may differ from the average. The pace changes during some calls,
 * which are then off by up to its whole change; a stall is off by much more. */
static const double ANSWER_FACTOR_MAX = 2;

/* ===== Statements ===== */

enum { FIGURES_MIN = 3, FIGURES_MAX = 4 };

static const char *skip_blanks(const char *at)
{
    return at + strspn(at, " \t");
}

/** Parses a decimal number without a sign. @return the position after it, or NULL if there is none from @p min to
 *  @p max */
static const char *read_figure(const char *at, uint32_t min, uint32_t max, uint32_t *figure)
{
    uint64_t value = 0;
    if (!g_ascii_isdigit(*at))
        return NULL;
    for (; g_ascii_isdigit(*at); at++) {
        value = 10 * value + (uint64_t)(*at - '0');
        if (value > max)
            return NULL;
    }
    *figure = (uint32_t)value;
    return value >= min ? at : NULL;
}

load_reading_t load_reading_parse(const char *text)
{
    static const struct {
        uint32_t min, max;
    } ranges[FIGURES_MAX] = {{0, LOAD_READING_COUNT_MAX},
                             {0, LOAD_READING_COUNT_MAX},
                             {1, LOAD_READING_COUNT_MAX},
                             {LOAD_READING_PACE_MIN, LOAD_READING_PACE_MAX}};
    const load_reading_t none = {0};
    uint32_t figures[FIGURES_MAX] = {0};
    const char *at = text ? text : "";
    unsigned n = 0;
    while (n < FIGURES_MAX) {
        at = read_figure(skip_blanks(at), ranges[n].min, ranges[n].max, &figures[n]);
        if (!at)
            return none;
        n++;
        at = skip_blanks(at);
        if (*at != ',')
            break;
        at++;
    }
    /* After a comma another figure must follow: the position is then behind the comma of the last allowed figure. */
    if (n < FIGURES_MIN || *at != '\0' || at[-1] == ',')
        return none;
    return (load_reading_t){
        .stated = true, .running = figures[0], .waiting = figures[1], .slots = figures[2], .pace = figures[3]};
}

/* ===== Estimate ===== */

void load_estimate_init(load_estimate_t *e)
{
    *e = (load_estimate_t){.pace = LOAD_READING_PACE_USUAL, .pace_at = TC_TIME_NEVER, .reading_at = TC_TIME_NEVER};
}

static tc_time_t age_of(tc_time_t at, tc_time_t now)
{
    if (at == TC_TIME_NEVER)
        return TC_TIME_NEVER;
    return now > at ? now - at : 0;
}

static void add_pace(load_estimate_t *e, uint32_t pace, tc_time_t now)
{
    const tc_time_t age = age_of(e->pace_at, now);
    /* Readings of the same millisecond weigh as if they were 1 ms apart, so that each counts. */
    const double weight = age >= LOAD_READING_EXPIRY_MS ? 1 : 1 - exp(-(double)MAX(age, 1) / PACE_TIME_CONSTANT_MS);
    e->pace += weight * (pace - e->pace);
    e->pace_at = age == TC_TIME_NEVER ? now : MAX(e->pace_at, now);
}

void load_estimate_add_reading(load_estimate_t *e, const load_reading_t *reading, uint32_t sent, tc_time_t now)
{
    if (!reading->stated)
        return;
    const uint32_t there = reading->running + reading->waiting;
    e->reading_at = e->reading_at == TC_TIME_NEVER ? now : MAX(e->reading_at, now);
    e->slots = reading->slots;
    e->beyond = there > sent ? there - sent : 0;
    if (reading->pace > 0)
        add_pace(e, reading->pace, now);
}

void load_estimate_add_answer(load_estimate_t *e, double took_ms, tc_time_t now)
{
    if (!isfinite(took_ms) || took_ms <= 0)
        return;
    const double usual = took_ms * LOAD_READING_PACE_USUAL / load_estimate_pace(e, now);
    if (e->service_ms <= 0) {
        e->service_ms = usual;
        return;
    }
    const double bounded = CLAMP(usual, e->service_ms / ANSWER_FACTOR_MAX, e->service_ms * ANSWER_FACTOR_MAX);
    e->service_ms += ANSWER_WEIGHT * (bounded - e->service_ms);
}

double load_estimate_pace(const load_estimate_t *e, tc_time_t now)
{
    return age_of(e->pace_at, now) < LOAD_READING_EXPIRY_MS ? e->pace : LOAD_READING_PACE_USUAL;
}

double load_estimate_service_ms(const load_estimate_t *e, double otherwise, tc_time_t now)
{
    const double usual = e->service_ms > 0 ? e->service_ms : otherwise;
    return usual * load_estimate_pace(e, now) / LOAD_READING_PACE_USUAL;
}

uint32_t load_estimate_others(const load_estimate_t *e)
{
    return e->beyond;
}

bool load_estimate_is_shared(const load_estimate_t *e)
{
    return e->pace_at != TC_TIME_NEVER;
}

tc_time_t load_estimate_age(const load_estimate_t *e, tc_time_t now)
{
    return age_of(e->reading_at, now);
}
