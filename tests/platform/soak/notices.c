#include "platform/soak/notices.h"

enum {
    REJECT_MS = 3000, /* how long a worker rejects requests */
    LEAVE_MS = 6000,  /* from the announcement that a worker leaves to its end */
    PAUSE_MIN_MS = 1000,
    PAUSE_MAX_MS = 2500,   /* pause that a rejection asks for */
    IN_FLIGHT_MS = 500,    /* requests that arrive this soon after the answer were already in flight */
    LATE_REQUESTS_MAX = 2, /* requests after that which the platform allows */
    DRAIN_MS = 3000        /* after it received the announcement, a box sends no more requests to the worker */
};

/** One answer that asked a box to pause. */
typedef struct {
    int box;
    tc_time_t at, until;
    unsigned late_requests; /* requests of that box after IN_FLIGHT_MS */
} pause_t;

bool notices_are_active(const struct worker *k)
{
    return k->reject_until > 0 || k->leave_at > 0;
}

GArray *notices_create_pauses(void)
{
    return g_array_new(FALSE, FALSE, sizeof(pause_t));
}

void notices_begin(struct worker *k)
{
    world_t *const w = k->world;
    for (int i = 0; i < WORLD_WORKERS; i++)
        if (notices_are_active(&w->worker[i]))
            return;
    if (k->restart_at || k->resume_at)
        return; /* it is down or suspended */
    proxy_set(k->proxy, PROXY_PASS);
    proxy_reset(k->proxy); /* closes connections that drop answers */
    if (world_pick(w, 2)) {
        k->reject_until = tc_time_now() + REJECT_MS;
        world_log(w, "worker %s rejects requests and asks boxes to pause", k->id);
        return;
    }
    k->leave_at = tc_time_now() + LEAVE_MS;
    k->list_draining_at = tc_time_now() + world_pick(w, LEAVE_MS);
    world_log(w, "worker %s announces that it leaves", k->id);
}

void notices_stop_rejecting(struct worker *k)
{
    if (k->reject_until)
        notices_clear(k);
}

void notices_clear(struct worker *k)
{
    k->reject_until = k->leave_at = k->list_draining_at = 0;
    k->draining = false;
    g_array_set_size(k->pauses, 0);
    for (int i = 0; i < WORLD_BOXES; i++)
        k->leaving_received_at[i] = 0;
}

bool notices_tick(struct worker *k)
{
    const tc_time_t now = tc_time_now();
    if (k->reject_until && now >= k->reject_until + PAUSE_MAX_MS)
        notices_clear(k); /* all pauses have expired */
    k->draining = k->list_draining_at && now >= k->list_draining_at;
    return k->leave_at && now >= k->leave_at;
}

static void check_pauses(struct worker *k, int box, tc_time_t now)
{
    for (guint i = 0; i < k->pauses->len; i++) {
        pause_t *const r = &g_array_index(k->pauses, pause_t, i);
        if (r->box != box || now < r->at + IN_FLIGHT_MS || now >= r->until || box_was_disrupted(k->world, box, r->at))
            continue;
        if (++r->late_requests > LATE_REQUESTS_MAX)
            world_fail(k->world, "a box sends no requests to a worker that asked it to pause", k->id);
    }
}

void notices_arrived(struct worker *k, const char *id)
{
    const tc_time_t now = tc_time_now();
    const int box = world_attempt_box(k->world, id);
    if (box < 0)
        return; /* not a request of a client */
    check_pauses(k, box, now);
    const tc_time_t received_at = k->leaving_received_at[box];
    if (received_at && now >= received_at + DRAIN_MS && !box_was_disrupted(k->world, box, received_at))
        world_fail(k->world, "a worker that announced that it leaves gets no more requests", k->id);
}

lab_reply_t notices_refuse(struct worker *k, const char *id)
{
    const tc_time_t now = tc_time_now();
    if (now >= k->reject_until)
        return (lab_reply_t){0};
    const tc_time_t pause = PAUSE_MIN_MS + world_pick(k->world, PAUSE_MAX_MS - PAUSE_MIN_MS);
    const pause_t asked = {.box = world_attempt_box(k->world, id), .at = now, .until = now + pause};
    if (asked.box >= 0)
        g_array_append_val(k->pauses, asked);
    char *const bytes = g_strdup_printf("HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nRetry-After: %.3f\r\n"
                                        "Content-Length: 0\r\n\r\n",
                                        (double)pause / 1000);
    return (lab_reply_t){.bytes = bytes, .end = LAB_KEEP};
}

const char *notices_header(const struct worker *k)
{
    return k->leave_at ? "Server-Leaving: 1\r\n" : "";
}

void notices_answered(struct worker *k, const char *id, const lab_reply_t *answer)
{
    const int box = world_attempt_box(k->world, id);
    if (k->leave_at && box >= 0 && answer_is_delivered(answer))
        box_note_delivery(k->world, box, &k->leaving_received_at[box]);
}
