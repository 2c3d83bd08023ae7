#include "forward/read_schedule.h"

/* ===== Constants ===== */

enum {
    MAX_READS_PER_S = 5, /* by all boxes together: what ten boxes make that each read a stale list at once, and again
                            after MIN_READ_INTERVAL_MS */
    MIN_READ_INTERVAL_MS = 1500, /* between two reads of one box; up to twice that, at random */
    ASSUMED_BOXES = 1000         /* where the number of boxes is unknown: all of a large fleet may have just started */
};

/** Share of the platform's rate for the reads of entry boxes: the readers of the control boxes have the rest. */
static const double ENTRY_SHARE = 0.25;

/* ===== Public functions ===== */

/** Time in which each box may read once, in ms. */
static tc_time_t round_ms(const read_schedule_load_t *load)
{
    const double by_calls = ENTRY_SHARE * load->rate / load->calls;
    const double reads_per_s = by_calls < MAX_READS_PER_S ? by_calls : MAX_READS_PER_S;
    const uint32_t boxes = load->boxes > 0 ? load->boxes : ASSUMED_BOXES;
    return (tc_time_t)(boxes * 1000 / reads_per_s);
}

static tc_time_t random_part(tc_time_t span, uint32_t draw)
{
    return span > 0 ? (tc_time_t)(draw % (uint64_t)span) : 0;
}

/** A few boxes read at once; many are spread at random over one round. */
static tc_time_t first_delay(const read_schedule_load_t *load, uint32_t draw)
{
    return random_part(round_ms(load) - MIN_READ_INTERVAL_MS, draw);
}

static tc_time_t next_delay(const read_schedule_load_t *load, uint32_t draw)
{
    const tc_time_t round = round_ms(load);
    const tc_time_t least = round > MIN_READ_INTERVAL_MS ? round : MIN_READ_INTERVAL_MS;
    return least + random_part(least, draw);
}

bool read_schedule_is_due(read_schedule_t *schedule, tc_time_t age, const read_schedule_load_t *load, uint32_t draw,
                          tc_time_t now)
{
    const bool stale = age >= READ_SCHEDULE_STALE_MS;
    if (stale && !schedule->stale)
        schedule->next = now + first_delay(load, draw);
    schedule->stale = stale;
    if (!stale || now < schedule->next)
        return false;
    schedule->next = now + next_delay(load, draw);
    return true;
}
