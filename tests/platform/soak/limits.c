#include "platform/soak/limits.h"

enum {
    CONTACT_MS = 3000, /* after an answer of a worker first named its limit it is held, */
    HEARD_MS = 500,    /* by boxes that had passed on such an answer so long before, or longer */
    WINDOW_MS = 4000,
    RATE_MIN = 2, /* of a limit, a second */
    RATE_MAX = 7
};

/** Requests in a window: half more than the limit allows, and five. */
static double allowed(double rate)
{
    return 1.5 * rate * WINDOW_MS / 1000 + 5;
}

void limits_lift(struct worker *k)
{
    if (k->limit > 0)
        world_note(k->world, "worker %s names no limit", k->id);
    k->limit = 0;
    g_array_set_size(k->limited, 0);
}

void limits_restart(struct worker *k)
{
    k->named_at = 0;
    for (int i = 0; i < WORLD_BOXES; i++)
        k->told_limit[i] = 0;
    g_array_set_size(k->limited, 0);
}

void limits_change(struct worker *k)
{
    if (k->limit > 0) {
        limits_lift(k);
        return;
    }
    k->limit = RATE_MIN + world_pick(k->world, RATE_MAX - RATE_MIN);
    limits_restart(k);
    world_note(k->world, "worker %s names a limit of %.0f", k->id, k->limit);
}

char *limits_header(const struct worker *k)
{
    return k->limit > 0 ? g_strdup_printf("Server-Limit: %.1f\r\n", k->limit) : g_strdup("");
}

void limits_answered(struct worker *k, const char *id, const lab_reply_t *answer)
{
    const int box = world_box_of(k->world, id);
    if (k->limit <= 0 || box < 0 || !answer_is_heard(answer))
        return;
    if (k->named_at == 0)
        k->named_at = tc_time_now();
    box_hears(k->world, box, &k->told_limit[box]);
}

/** Whether the box that sent the request is to hold the limit: a start or a stand-still since it heard of it excuses it
 *  until it hears of it again. */
static bool is_to_hold(const struct worker *k, int box, tc_time_t now)
{
    const tc_time_t told = k->told_limit[box];
    return told > 0 && now >= told + HEARD_MS && !box_was_harmed(k->world, box, told);
}

void limits_arrived(struct worker *k, const char *id)
{
    const tc_time_t now = tc_time_now();
    const int box = world_box_of(k->world, id);
    if (k->limit <= 0 || box < 0 || !is_to_hold(k, box, now))
        return;
    if (k->named_at == 0 || now < k->named_at + CONTACT_MS)
        return;
    g_array_append_val(k->limited, now);
    guint n = 0;
    for (guint i = k->limited->len; i-- > 0 && now - g_array_index(k->limited, tc_time_t, i) < WINDOW_MS;)
        n++;
    if (n > allowed(k->limit))
        world_broken(k->world, "a worker gets no more than its limit from all boxes together", k->id);
}
