#include "forward/read_schedule.h"

/* ===== Constants ===== */

enum {
    READS_S = 5, /* of the list by all boxes together at most: what ten boxes do that each read it as soon as it
                    is stale, and again after READ_EVERY_MS */
    READ_EVERY_MS = 1500, /* between two readings of one box at least; up to twice that, by lot */
    BOXES_UNKNOWN = 1000  /* taken for their number by a box that knows no other: all of a large fleet may have just
                             started */
};

/** Of the platform's rate, what such readings may take: the readers of the control boxes have the rest. */
static const double TURNS_PART = 0.25;

/* ===== Public functions ===== */

/** Time in which each of the boxes has one turn, in ms. */
static tc_time_t round_of(const read_schedule_load_t *load)
{
    const double by_calls = TURNS_PART * load->rate / load->calls;
    const double reads_s = by_calls < READS_S ? by_calls : READS_S;
    const uint32_t boxes = load->boxes > 0 ? load->boxes : BOXES_UNKNOWN;
    return (tc_time_t)(boxes * 1000 / reads_s);
}

static tc_time_t part_of(tc_time_t span, uint32_t draw)
{
    return span > 0 ? (tc_time_t)(draw % (uint64_t)span) : 0;
}

/** A few boxes read at once; of more, each waits for its turn in the round. */
static tc_time_t first_pause(const read_schedule_load_t *load, uint32_t draw)
{
    return part_of(round_of(load) - READ_EVERY_MS, draw);
}

static tc_time_t next_pause(const read_schedule_load_t *load, uint32_t draw)
{
    const tc_time_t round = round_of(load);
    const tc_time_t least = round > READ_EVERY_MS ? round : READ_EVERY_MS;
    return least + part_of(least, draw);
}

bool read_schedule_is_due(read_schedule_t *turn, tc_time_t age, const read_schedule_load_t *load, uint32_t draw,
                          tc_time_t now)
{
    const bool stale = age >= READ_SCHEDULE_STALE_MS;
    if (stale && !turn->stale)
        turn->next = now + first_pause(load, draw);
    turn->stale = stale;
    if (!stale || now < turn->next)
        return false;
    turn->next = now + next_pause(load, draw);
    return true;
}
