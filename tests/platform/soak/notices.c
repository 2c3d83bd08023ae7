#include "platform/soak/notices.h"

enum {
    SHED_MS = 3000,  /* for which a worker turns requests away */
    LEAVE_MS = 6000, /* before one that leaves ends */
    REST_MIN_MS = 1000,
    REST_MAX_MS = 2500, /* that it asks for */
    UNDER_WAY_MS = 500, /* requests that come so soon after the answer were on their way */
    MORE_MAX = 2,       /* that may come behind that, by the platform's word */
    DRAIN_MS = 3000     /* after an answer that said so its box sends none to a worker that leaves */
};

/** One answer that asked a box for no calls. */
typedef struct {
    int box;
    tc_time_t at, until;
    unsigned more; /* requests of that box behind UNDER_WAY_MS */
} rest_t;

bool notices_is_on(const struct worker *k)
{
    return k->shed_until > 0 || k->leave_at > 0;
}

GArray *notices_array(void)
{
    return g_array_new(FALSE, FALSE, sizeof(rest_t));
}

void notices_begin(struct worker *k)
{
    world_t *const w = k->world;
    for (int i = 0; i < WORLD_WORKERS; i++)
        if (notices_is_on(&w->worker[i]))
            return;
    if (k->back_at || k->wake_at)
        return; /* it doesn't run */
    proxy_set(k->way, PROXY_PASS);
    proxy_reset(k->way); /* of connections that lose answers */
    if (world_pick(w, 2)) {
        k->shed_until = tc_time_now() + SHED_MS;
        world_note(w, "worker %s asks for no calls", k->id);
        return;
    }
    k->leave_at = tc_time_now() + LEAVE_MS;
    k->listed_leaving_at = tc_time_now() + world_pick(w, LEAVE_MS);
    world_note(w, "worker %s says that it leaves", k->id);
}

void notices_calm(struct worker *k)
{
    if (k->shed_until)
        notices_end(k);
}

void notices_end(struct worker *k)
{
    k->shed_until = k->leave_at = k->listed_leaving_at = 0;
    k->draining = false;
    g_array_set_size(k->rests, 0);
    for (int i = 0; i < WORLD_BOXES; i++)
        k->told_leaving[i] = 0;
}

bool notices_tick(struct worker *k)
{
    const tc_time_t now = tc_time_now();
    if (k->shed_until && now >= k->shed_until + REST_MAX_MS)
        notices_end(k); /* all that it asked for is over */
    k->draining = k->listed_leaving_at && now >= k->listed_leaving_at;
    return k->leave_at && now >= k->leave_at;
}

static void check_rests(struct worker *k, int box, tc_time_t now)
{
    for (guint i = 0; i < k->rests->len; i++) {
        rest_t *const r = &g_array_index(k->rests, rest_t, i);
        if (r->box != box || now < r->at + UNDER_WAY_MS || now >= r->until || box_was_harmed(k->world, box, r->at))
            continue;
        if (++r->more > MORE_MAX)
            world_broken(k->world, "a worker that asked a box for no calls gets none", k->id);
    }
}

void notices_arrived(struct worker *k, const char *id)
{
    const tc_time_t now = tc_time_now();
    const int box = world_box_of(k->world, id);
    if (box < 0)
        return; /* no caller's request */
    check_rests(k, box, now);
    const tc_time_t told = k->told_leaving[box];
    if (told && now >= told + DRAIN_MS && !box_was_harmed(k->world, box, told))
        world_broken(k->world, "a worker that says that it leaves gets no more requests", k->id);
}

lab_reply_t notices_refuse(struct worker *k, const char *id)
{
    const tc_time_t now = tc_time_now();
    if (now >= k->shed_until)
        return (lab_reply_t){0};
    const tc_time_t rest = REST_MIN_MS + world_pick(k->world, REST_MAX_MS - REST_MIN_MS);
    const rest_t asked = {.box = world_box_of(k->world, id), .at = now, .until = now + rest};
    if (asked.box >= 0)
        g_array_append_val(k->rests, asked);
    char *const bytes = g_strdup_printf("HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nRetry-After: %.3f\r\n"
                                        "Content-Length: 0\r\n\r\n",
                                        (double)rest / 1000);
    return (lab_reply_t){.bytes = bytes, .end = LAB_KEEP};
}

const char *notices_header(const struct worker *k)
{
    return k->leave_at ? "Server-Leaving: 1\r\n" : "";
}

void notices_answered(struct worker *k, const char *id, const lab_reply_t *answer)
{
    const int box = world_box_of(k->world, id);
    if (k->leave_at && box >= 0 && answer_is_heard(answer))
        box_hears(k->world, box, &k->told_leaving[box]);
}
