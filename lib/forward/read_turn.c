#include "forward/read_turn.h"

/* ===== Constants ===== */

enum {
    READS_S = 5,          /* of the list by all boxes together, each some calls: what ten boxes do that each read it
                             as soon as it is stale, and again after READ_EVERY_MS */
    READ_EVERY_MS = 1500, /* between two readings of one box at least; up to twice that, by lot */
    BOXES_UNKNOWN = 30    /* taken for their number by a box that knows no other: it has just started, and control
                             ordinarily answers before its turn comes */
};

/* ===== Public functions ===== */

/** Time in which each of the boxes has one turn, in ms. */
static tc_time_t round_of(uint32_t boxes)
{
    return (tc_time_t)(boxes > 0 ? boxes : BOXES_UNKNOWN) * 1000 / READS_S;
}

static tc_time_t part_of(tc_time_t span, uint32_t draw)
{
    return span > 0 ? (tc_time_t)(draw % (uint32_t)span) : 0;
}

/** A few boxes read at once; of more, each waits for its turn in the round. */
static tc_time_t first_pause(uint32_t boxes, uint32_t draw)
{
    return part_of(round_of(boxes) - READ_EVERY_MS, draw);
}

static tc_time_t next_pause(uint32_t boxes, uint32_t draw)
{
    const tc_time_t round = round_of(boxes);
    const tc_time_t least = round > READ_EVERY_MS ? round : READ_EVERY_MS;
    return least + part_of(least, draw);
}

bool read_turn_is_due(read_turn_t *turn, tc_time_t age, uint32_t boxes, uint32_t draw, tc_time_t now)
{
    const bool stale = age >= READ_TURN_STALE_MS;
    if (stale && !turn->stale)
        turn->next = now + first_pause(boxes, draw);
    turn->stale = stale;
    if (!stale || now < turn->next)
        return false;
    turn->next = now + next_pause(boxes, draw);
    return true;
}
