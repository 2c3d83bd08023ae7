#include "platform/soak/silences.h"

#include <signal.h>

#include "platform/soak/engines.h"
#include "platform/soak/routes.h"

enum {
    SILENT_MIN_MS = 1200,
    SILENT_MAX_MS = 2600,
    STAGGER_MAX_MS = 150, /* between the decode engines and the prefill engine: less than a stream's silence timeout */
    NEXT_MIN_MS = 200,
    NEXT_MAX_MS = 1200,
    RESTART_MS = 500,
    WORK_EACH = 3,                          /* one in this many changes is planned work */
    TIME_LIMIT_MS = ROUTES_TIMEOUT_MS - 100 /* the box's time limit ends somewhat before the caller's */
};

/** Share of the requests that engines refuse meanwhile: it uses up the retry budget. */
static const double REFUSAL_RATE = 0.4;

static void set_refusals(world_t *w, double rate)
{
    for (int i = WORLD_PREFILL; i < WORLD_WORKERS; i++)
        w->worker[i].refusal_rate = rate;
}

static void silence(struct worker *k, tc_time_t now)
{
    const int span = SILENT_MIN_MS + world_pick(k->world, SILENT_MAX_MS - SILENT_MIN_MS);
    if (k->resume_at || k->restart_at)
        return;
    world_log(k->world, "worker %s is silent for %d ms", k->id, span);
    engine_freeze(k, now + span);
}

/** Some decode engines fall silent; the prefill engine follows. */
static void silence_group(world_t *w, tc_time_t now)
{
    for (int i = WORLD_DECODE; i < WORLD_WORKERS; i++)
        if (world_random(w) < 0.6)
            silence(&w->worker[i], now);
    w->silences.prefill_at = now + world_pick(w, STAGGER_MAX_MS);
}

static void work_on_box(world_t *w)
{
    box_t *const b = &w->boxes[world_pick(w, WORLD_BOXES)];
    process_t *const p = b->control.program && world_random(w) < 0.3 ? &b->control : &b->entry;
    if (world_random(w) < 0.5)
        process_signal(p, SIGHUP);
    else
        process_restart(w, b, p, SIGTERM, RESTART_MS);
}

void silences_begin(world_t *w)
{
    world_log(w, "silences begin");
    w->silences.since = w->silences.next_at = tc_time_now();
    set_refusals(w, REFUSAL_RATE);
}

void silences_drive(world_t *w, tc_time_t now)
{
    if (w->silences.prefill_at && now >= w->silences.prefill_at) {
        w->silences.prefill_at = 0;
        silence(&w->worker[WORLD_PREFILL], now);
    }
    if (!w->silences.since || now < w->silences.next_at)
        return;
    w->silences.next_at = now + NEXT_MIN_MS + world_pick(w, NEXT_MAX_MS - NEXT_MIN_MS);
    if (world_pick(w, WORK_EACH) == 0)
        work_on_box(w);
    else if (world_random(w) < 0.5)
        silence_group(w, now);
    else
        silence(&w->worker[world_pick(w, WORLD_WORKERS)], now);
}

void silences_end(world_t *w)
{
    w->silences = (silences_t){0};
    set_refusals(w, 0);
    for (int i = 0; i < WORLD_WORKERS; i++)
        engine_resume(&w->worker[i]);
}

void silences_check(world_t *w, int box, const char *id, tc_time_t began, const lab_call_t *call)
{
    const bool is_disturbed = w->crashed_at >= began || tc_time_now() - began >= TIME_LIMIT_MS;
    if (!w->silences.since || began < w->silences.since || is_disturbed || call->how == WEB_RESULT_COMPLETE ||
        call->how == WEB_RESULT_NOT_SENT)
        return;
    if (call->status == 0 && box_was_disrupted(w, box, began))
        return; /* a box that stops may not have read the request */
    world_fail(w, "a whole request has an answer or a refusal: a begun answer of a sound worker is not broken off", id);
}
