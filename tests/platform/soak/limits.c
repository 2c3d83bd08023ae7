#include "platform/soak/limits.h"

enum {
    AGREEMENT_MS = 3000,  /* after the first answer with a limit: by then all boxes together keep it */
    PROPAGATION_MS = 500, /* a box keeps the limit from this long after it passed on such an answer */
    WINDOW_MS = 4000,
    RATE_MIN = 2, /* of a limit, requests/s */
    RATE_MAX = 7
};

/** Requests that the check allows in a window: 50% more than the limit, and five. */
static double allowed_requests(double rate)
{
    return 1.5 * rate * WINDOW_MS / 1000 + 5;
}

void limits_remove(struct worker *k)
{
    if (k->limit > 0)
        world_log(k->world, "worker %s removes its limit", k->id);
    k->limit = 0;
    g_array_set_size(k->limited_at, 0);
}

void limits_restart(struct worker *k)
{
    k->limit_sent_at = 0;
    for (int i = 0; i < WORLD_BOXES; i++)
        k->limit_received_at[i] = 0;
    g_array_set_size(k->limited_at, 0);
}

void limits_change(struct worker *k)
{
    if (k->limit > 0) {
        limits_remove(k);
        return;
    }
    k->limit = RATE_MIN + world_pick(k->world, RATE_MAX - RATE_MIN);
    limits_restart(k);
    world_log(k->world, "worker %s sets a limit of %.0f requests/s", k->id, k->limit);
}

char *limits_header(const struct worker *k)
{
    return k->limit > 0 ? g_strdup_printf("Server-Limit: %.1f\r\n", k->limit) : g_strdup("");
}

void limits_answered(struct worker *k, const char *id, const lab_reply_t *answer)
{
    const int box = world_attempt_box(k->world, id);
    if (k->limit <= 0 || box < 0 || !answer_is_delivered(answer))
        return;
    if (k->limit_sent_at == 0)
        k->limit_sent_at = tc_time_now();
    box_note_delivery(k->world, box, &k->limit_received_at[box]);
}

/** Whether the box that sent the request must keep the limit. A restart or a suspension since it received the limit
 *  excuses it until it receives the limit again. */
static bool must_hold_limit(const struct worker *k, int box, tc_time_t now)
{
    const tc_time_t received_at = k->limit_received_at[box];
    return received_at > 0 && now >= received_at + PROPAGATION_MS && !box_was_disrupted(k->world, box, received_at);
}

void limits_arrived(struct worker *k, const char *id)
{
    const tc_time_t now = tc_time_now();
    const int box = world_attempt_box(k->world, id);
    if (k->limit <= 0 || box < 0 || !must_hold_limit(k, box, now))
        return;
    if (k->limit_sent_at == 0 || now < k->limit_sent_at + AGREEMENT_MS)
        return;
    g_array_append_val(k->limited_at, now);
    guint n = 0;
    for (guint i = k->limited_at->len; i-- > 0 && now - g_array_index(k->limited_at, tc_time_t, i) < WINDOW_MS;)
        n++;
    if (n > allowed_requests(k->limit))
        world_fail(k->world, "a worker gets no more than its limit from all boxes together", k->id);
}
