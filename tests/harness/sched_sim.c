#include "harness/sched_sim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sched/sched.h"

/* ===== Types ===== */

enum {
    ENTRIES = 3,
    PREFILLS = 2,
    DECODES = 3,
    ENGINES = PREFILLS + DECODES,
    PIECES = 12,
    STEP_MS = 20,
    SETTLE_STEPS = 500
};
enum { HOLD_STEPS = 45, POLL_STEPS = 50, RENEW_STEPS = 15 };

typedef enum { CALLER_WAITING, CALLER_PREFILL, CALLER_TRANSFER, CALLER_DECODE, CALLER_GONE } caller_state_t;

typedef struct {
    unsigned number, entry;
    caller_state_t state;
    msg_place_t place;
    msg_placed_t placed;
    unsigned asked, answered; /* calls sent and answers had */
    bool quit;                /* left, or was told to stop: its engines may be cancelled */
    bool unsure;              /* something about it was lost on the way */
} caller_t;

typedef struct {
    char name[16];
    uint64_t incarnation;
    GHashTable *held; /* engine id -> pieces */
    uint32_t pieces;
} fake_engine_t;

typedef struct {
    sched_sim_options_t options;
    chooser_t *chooser;
    sched_t *sched;
    uint64_t epoch;
    tc_time_t now;
    config_t config;
    fake_engine_t engines[ENGINES];
    bool entry_dead[ENTRIES];
    tc_time_t frozen_until[ENTRIES];
    tc_time_t closed_until[ENTRIES][ENGINES]; /* the engine wants no calls of the entry box, */
    tc_time_t told_until[ENTRIES][ENGINES];   /* as that has told this scheduler */
    tc_time_t suspended_until;                /* the scheduler's lease ran out: it hears and does nothing */
    GPtrArray *callers;
    sched_sim_result_t result;
} world_t;

static void broken(world_t *w, const char *promise)
{
    if (!w->result.broken)
        w->result.broken = promise;
}

static bool entry_acts(const world_t *w, unsigned entry)
{
    return !w->entry_dead[entry] && w->now >= w->frozen_until[entry];
}

/* ===== Fake engines ===== */

static fake_engine_t *engine_of(world_t *w, const char *name)
{
    for (unsigned i = 0; i < ENGINES; i++)
        if (strcmp(w->engines[i].name, name) == 0)
            return &w->engines[i];
    return NULL;
}

static bool engine_take(fake_engine_t *e, const char *id, uint32_t pieces)
{
    if (e->pieces + pieces > PIECES && pieces > 0)
        return false;
    g_hash_table_insert(e->held, g_strdup(id), GUINT_TO_POINTER(pieces));
    e->pieces += pieces;
    return true;
}

static void engine_drop(fake_engine_t *e, const char *id)
{
    gpointer pieces;
    if (!g_hash_table_lookup_extended(e->held, id, NULL, &pieces))
        return;
    e->pieces -= GPOINTER_TO_UINT(pieces);
    g_hash_table_remove(e->held, id);
}

static void engine_poll(world_t *w, fake_engine_t *e)
{
    sched_engine_request_t held[128];
    uint32_t n = 0;
    GHashTableIter iter;
    gpointer id, pieces;
    g_hash_table_iter_init(&iter, e->held);
    while (n < 128 && g_hash_table_iter_next(&iter, &id, &pieces)) {
        codec_copy_string(held[n].engine_id, sizeof(held[n].engine_id), id);
        held[n++].pieces = GPOINTER_TO_UINT(pieces);
    }
    sched_on_engine_state(w->sched, e->name, e->incarnation, false, held, n, w->now, w->now);
}

/* ===== Callers ===== */

static void engine_id_of(const caller_t *c, char id[CODEC_STR_SIZE + 16])
{
    sched_engine_id(id, CODEC_STR_SIZE + 16, c->place.id, c->placed.attempt);
}

static caller_t *caller_by_id(world_t *w, const char *id)
{
    const unsigned number = (unsigned)strtoul(id + 1, NULL, 10);
    return number < w->callers->len ? g_ptr_array_index(w->callers, number) : NULL;
}

static void tell(world_t *w, const caller_t *c, phase_t phase, bool held)
{
    msg_progress_t p = {
        .attempt = c->placed.attempt, .phase = phase, .took_ms = 100, .computed_tokens = 1500, .held = held};
    codec_copy_string(p.id, sizeof(p.id), c->place.id);
    if (!once_in(w->chooser, 20) && w->now >= w->suspended_until) /* some news is lost */
        sched_progress(w->sched, &p, w->now);
}

static void quit(world_t *w, caller_t *c)
{
    tell(w, c, PHASE_FAILED, true);
    c->quit = true;
    c->state = CALLER_GONE;
}

static void ask(world_t *w, caller_t *c)
{
    c->asked++;
    const sched_token_t token = {.a = c->number, .b = c->asked};
    sched_place(w->sched, &c->place, token, w->now);
}

static void new_caller(world_t *w)
{
    caller_t *const c = g_new0(caller_t, 1);
    c->number = w->callers->len;
    c->entry = choose(w->chooser, ENTRIES);
    if (!entry_acts(w, c->entry)) {
        g_free(c);
        return;
    }
    g_ptr_array_add(w->callers, c);
    snprintf(c->place.id, sizeof(c->place.id), "r%u", c->number);
    snprintf(c->place.box, sizeof(c->place.box), "entry-%u", c->entry);
    snprintf(c->place.workspace, sizeof(c->place.workspace), "ws-%u", choose(w->chooser, 3));
    codec_copy_string(c->place.model, sizeof(c->place.model), "m");
    c->place.prompt_tokens = 100 + choose(w->chooser, 9000);
    c->place.max_tokens = 1 + choose(w->chooser, 3000);
    c->place.priority = choose(w->chooser, 4);
    c->place.wait_ms = 200 + choose(w->chooser, 3000);
    c->place.repeatable = true;
    ask(w, c);
}

/** The caller comes again through another entry, with the same id. */
static void reconnect(world_t *w, caller_t *c)
{
    const unsigned entry = choose(w->chooser, ENTRIES);
    if (!entry_acts(w, entry) || c->state == CALLER_WAITING)
        return;
    c->entry = entry;
    c->state = CALLER_WAITING;
    snprintf(c->place.box, sizeof(c->place.box), "entry-%u", entry);
    c->quit = false;
    c->unsure = true;
    ask(w, c);
}

static void transfer(world_t *w, caller_t *c)
{
    char id[CODEC_STR_SIZE + 16];
    engine_id_of(c, id);
    engine_drop(engine_of(w, c->placed.prefill), id);
    w->result.checks++;
    if (!engine_take(engine_of(w, c->placed.decode), id, c->placed.pieces)) {
        if (!w->options.freezes && !c->unsure)
            broken(w, "two requests were given the same piece");
        quit(w, c);
        return;
    }
    c->state = CALLER_DECODE;
    tell(w, c, PHASE_DECODE, false);
}

static void advance(world_t *w, caller_t *c)
{
    char id[CODEC_STR_SIZE + 16];
    if (!entry_acts(w, c->entry) || c->state == CALLER_WAITING || c->state == CALLER_GONE)
        return;
    if (once_in(w->chooser, 25)) { /* leaves in the middle */
        quit(w, c);
        return;
    }
    engine_id_of(c, id);
    if (c->state == CALLER_PREFILL) {
        engine_take(engine_of(w, c->placed.prefill), id, 0);
        tell(w, c, PHASE_TRANSFER, false);
        c->state = CALLER_TRANSFER;
    } else if (c->state == CALLER_TRANSFER) {
        transfer(w, c);
    } else {
        fake_engine_t *const e = engine_of(w, c->placed.decode);
        if (!g_hash_table_contains(e->held, id)) { /* the engine restarted, or cancelled it */
            quit(w, c);
            return;
        }
        engine_drop(e, id);
        tell(w, c, PHASE_FINISHED, false);
        c->state = CALLER_GONE;
        c->quit = true;
        w->result.finished++;
    }
}

static void replan(world_t *w, caller_t *c)
{
    if (c->state != CALLER_TRANSFER || !entry_acts(w, c->entry))
        return;
    msg_replan_t r = {.attempt = c->placed.attempt};
    codec_copy_string(r.id, sizeof(r.id), c->place.id);
    codec_copy_string(r.bad, sizeof(r.bad), c->placed.decode);
    char id[CODEC_STR_SIZE + 16];
    engine_id_of(c, id);
    engine_drop(engine_of(w, c->placed.prefill), id);
    c->asked++;
    const sched_token_t token = {.a = c->number, .b = c->asked};
    c->quit = true; /* the first decode engine may be cancelled from here on */
    sched_replan(w->sched, &r, token, w->now);
}

/* ===== The scheduler's actions ===== */

static bool is_closed(const world_t *w, const caller_t *c, const char *engine)
{
    for (unsigned i = 0; i < ENGINES; i++)
        if (strcmp(w->engines[i].name, engine) == 0)
            return w->now < w->told_until[c->entry][i];
    return false;
}

static void take_answer(world_t *w, const sched_action_t *action)
{
    caller_t *const c = g_ptr_array_index(w->callers, action->u.answer.token.a);
    const msg_placed_t *const placed = &action->u.answer.placed;
    c->answered++;
    w->result.checks++;
    if (c->answered > c->asked)
        broken(w, "a call was answered twice");
    const bool latest = action->u.answer.token.b == c->asked;
    if (!latest)
        return; /* an older call of a caller who came again */
    if (!placed->granted) {
        w->result.refused++;
        if (c->state == CALLER_TRANSFER)
            quit(w, c); /* no other decode engine */
        else
            c->state = CALLER_GONE;
        return;
    }
    w->result.granted++;
    if (!placed->resume &&
        (is_closed(w, c, placed->decode) || (c->state == CALLER_WAITING && is_closed(w, c, placed->prefill))))
        broken(w, "an engine that wants no calls of a box is granted to it");
    if (c->state == CALLER_GONE) { /* died, or left, while it waited: the lease lapses */
        c->placed = *placed;
        return;
    }
    const bool replanned = c->state == CALLER_TRANSFER;
    c->placed = *placed;
    c->quit = false;
    c->state = placed->resume ? CALLER_DECODE : (replanned ? CALLER_TRANSFER : CALLER_PREFILL);
}

static void take_cancel(world_t *w, const sched_action_t *action)
{
    const char *const engine = action->u.cancel.engine, *const engine_id = action->u.cancel.engine_id;
    char id[CODEC_STR_SIZE + 16];
    codec_copy_string(id, sizeof(id), engine_id);
    char *const dot = strrchr(id, '.');
    *dot = '\0';
    const caller_t *const c = caller_by_id(w, id);
    const bool current =
        c && strtoul(dot + 1, NULL, 10) == c->placed.attempt && c->state >= CALLER_PREFILL && c->state <= CALLER_DECODE;
    w->result.checks++;
    w->result.cancels++;
    /* Promise: nothing that a live caller uses is freed. */
    if (current && !c->quit && !c->unsure && !w->options.freezes && entry_acts(w, c->entry))
        broken(w, "memory in use by a live caller was cancelled");
    const bool confirmed = !once_in(w->chooser, 5);
    if (confirmed)
        engine_drop(engine_of(w, engine), engine_id);
    sched_cancelled(w->sched, engine, engine_id, confirmed, w->now);
}

static void drain(world_t *w)
{
    sched_action_t action;
    while (sched_next_action(w->sched, &action)) {
        if (action.kind == SCHED_ACT_ANSWER)
            take_answer(w, &action);
        else
            take_cancel(w, &action);
    }
}

/* ===== Renewals, faults ===== */

/** The entry box tells which engines want no calls of it. */
static void tell_closed(world_t *w, unsigned entry)
{
    backend_notice_t list[ENGINES];
    char box[16];
    memset(list, 0, sizeof(list));
    snprintf(box, sizeof(box), "entry-%u", entry);
    drain(w); /* what was granted before rests on what was told before */
    for (unsigned i = 0; i < ENGINES; i++) {
        const tc_time_t left = w->closed_until[entry][i] - w->now;
        codec_copy_string(list[i].backend, sizeof(list[i].backend), w->engines[i].name);
        list[i].closed_ms = left > 0 ? (uint64_t)left : 0;
        w->told_until[entry][i] = w->closed_until[entry][i];
    }
    sched_set_notices(w->sched, box, list, ENGINES, w->now);
}

static void renew(world_t *w, unsigned entry)
{
    held_t held[256], lost[256];
    msg_renew_t message = {.epoch = w->epoch, .held = held};
    bool want_list = false;
    snprintf(message.box, sizeof(message.box), "entry-%u", entry);
    for (guint i = 0; i < w->callers->len && message.held_n < 256; i++) {
        const caller_t *const c = g_ptr_array_index(w->callers, i);
        if (c->entry != entry || c->state == CALLER_GONE)
            continue;
        held_t *const h = &held[message.held_n++];
        static const phase_t phases[] = {PHASE_QUEUED, PHASE_PREFILL, PHASE_TRANSFER, PHASE_DECODE};
        *h = (held_t){.attempt = c->state == CALLER_WAITING ? 0 : c->placed.attempt,
                      .phase = phases[c->state],
                      .pieces = c->placed.pieces,
                      .prompt_tokens = c->place.prompt_tokens,
                      .max_tokens = c->place.max_tokens};
        codec_copy_string(h->id, sizeof(h->id), c->place.id);
        codec_copy_string(h->prefill, sizeof(h->prefill), c->placed.prefill);
        codec_copy_string(h->decode, sizeof(h->decode), c->placed.decode);
        if (h->attempt > 0) {
            message.count++;
            message.digest ^= sched_digest(h->id, h->attempt);
        }
    }
    (void)sched_renew(w->sched, &message, lost, 256, &want_list, w->now);
    if (!want_list)
        return;
    message.listed = true;
    const uint32_t n = sched_renew(w->sched, &message, lost, 256, &want_list, w->now);
    for (uint32_t i = 0; i < n; i++) {
        caller_t *const c = caller_by_id(w, lost[i].id);
        if (c && c->placed.attempt == lost[i].attempt && c->state != CALLER_WAITING) {
            c->quit = true;
            c->state = CALLER_GONE;
        }
    }
}

static sched_t *make_sched(world_t *w)
{
    const sched_options_t options = {.cell = "main", .epoch = ++w->epoch, .share_count = 1, .rebuild = w->epoch > 1};
    sched_t *const s = sched_create(&options, w->now);
    sched_expect_reports(s, ENTRIES);
    sched_configure(s, &w->config, w->now);
    return s;
}

static void restart_scheduler(world_t *w)
{
    sched_destroy(w->sched);
    w->sched = make_sched(w);
    memset(w->told_until, 0, sizeof(w->told_until));
    w->result.restarts++;
    for (unsigned i = 0; i < ENGINES; i++)
        engine_poll(w, &w->engines[i]);
    for (unsigned i = 0; i < ENTRIES; i++)
        if (entry_acts(w, i))
            renew(w, i);
    for (guint i = 0; i < w->callers->len; i++) {
        caller_t *const c = g_ptr_array_index(w->callers, i);
        c->answered = c->asked; /* calls to the old one are over */
        if (c->state == CALLER_WAITING && entry_acts(w, c->entry))
            ask(w, c);
    }
}

/** Callers who wait are turned away and ask again once the scheduler acts. */
static void suspend(world_t *w)
{
    sched_token_t token;
    while (sched_pop_waiting(w->sched, &token))
        ((caller_t *)g_ptr_array_index(w->callers, token.a))->answered++;
    w->suspended_until = w->now + 500 + (tc_time_t)choose(w->chooser, 4000);
}

static void resume(world_t *w)
{
    sched_resume(w->sched, w->now);
    for (guint i = 0; i < w->callers->len; i++) {
        caller_t *const c = g_ptr_array_index(w->callers, i);
        if (c->state == CALLER_WAITING && c->answered == c->asked && entry_acts(w, c->entry))
            ask(w, c);
    }
}

static void restart_engine(world_t *w, fake_engine_t *e)
{
    g_hash_table_remove_all(e->held);
    e->pieces = 0;
    e->incarnation++;
}

static void kill_entry(world_t *w, unsigned entry)
{
    w->entry_dead[entry] = true;
    for (guint i = 0; i < w->callers->len; i++) {
        caller_t *const c = g_ptr_array_index(w->callers, i);
        if (c->entry == entry) {
            c->quit = true;
            c->state = CALLER_GONE;
        }
    }
}

static void close_engine(world_t *w)
{
    const unsigned entry = choose(w->chooser, ENTRIES);
    w->closed_until[entry][choose(w->chooser, ENGINES)] = w->now + (tc_time_t)choose(w->chooser, 3000);
}

static void disturb(world_t *w)
{
    w->result.operations++;
    switch (choose(w->chooser, 10)) {
    case 7: suspend(w); break;
    case 8: close_engine(w); break;
    case 0: kill_entry(w, choose(w->chooser, ENTRIES)); break;
    case 1: memset(w->entry_dead, 0, sizeof(w->entry_dead)); break;
    case 2: restart_scheduler(w); break;
    case 3: restart_engine(w, &w->engines[choose(w->chooser, ENGINES)]); break;
    case 4:
        if (w->options.freezes)
            w->frozen_until[choose(w->chooser, ENTRIES)] = w->now + (tc_time_t)choose(w->chooser, 4000);
        break;
    default: break;
    }
}

/* ===== Runs ===== */

static void step(world_t *w, unsigned number)
{
    const bool suspended = w->now < w->suspended_until;
    w->now += STEP_MS;
    if (w->now < w->suspended_until)
        return;
    if (suspended)
        resume(w);
    for (unsigned i = 0; i < ENTRIES; i++)
        if (number % RENEW_STEPS == i && entry_acts(w, i) && !w->options.no_renewals) {
            renew(w, i);
            tell_closed(w, i);
        }
    for (unsigned i = 0; i < ENGINES; i++)
        if (number % POLL_STEPS == i * 7)
            engine_poll(w, &w->engines[i]);
    sched_tick(w->sched, w->now);
    drain(w);
    sched_check(w->sched);
}

static void init(world_t *w)
{
    GString *const text = g_string_new("{\"engines\":{");
    for (unsigned i = 0; i < ENGINES; i++) {
        fake_engine_t *const e = &w->engines[i];
        const bool prefill = i < PREFILLS;
        snprintf(e->name, sizeof(e->name), "%s%u", prefill ? "p" : "d", prefill ? i : i - PREFILLS);
        e->incarnation = 1;
        e->held = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        g_string_append_printf(text,
                               "%s\"%s\":{\"url\":\"u\",\"dc\":\"a\",\"role\":\"%s\",\"model\":\"m\",\"pieces\":%d}",
                               i ? "," : "", e->name, prefill ? "prefill" : "decode", PIECES);
    }
    g_string_append(text, "},\"links\":{\"l\":{\"a\":\"a\",\"b\":\"a\",\"rate\":100000}}}");
    if (codec_from_json_text(&config_desc, &w->config, text->str, text->len, "test", NULL) < 0)
        abort();
    g_string_free(text, TRUE);
    w->sched = make_sched(w);
    w->callers = g_ptr_array_new_with_free_func(g_free);
}

static void run(world_t *w)
{
    for (unsigned i = 0; i < w->options.steps && !w->result.broken && !chooser_empty(w->chooser); i++) {
        step(w, i);
        const bool suspended = w->now < w->suspended_until;
        if (!suspended && once_in(w->chooser, 3)) {
            new_caller(w);
            w->result.operations++;
        }
        for (unsigned k = 0; k < 3 && w->callers->len > 0; k++) {
            const guint recent = w->callers->len < 60 ? w->callers->len : 60;
            caller_t *const c = g_ptr_array_index(w->callers, w->callers->len - 1 - choose(w->chooser, recent));
            w->result.operations++;
            if (!suspended && once_in(w->chooser, 30))
                reconnect(w, c);
            else if (!suspended && once_in(w->chooser, 20))
                replan(w, c);
            else
                advance(w, c);
        }
        if (!suspended && once_in(w->chooser, 60))
            disturb(w);
        if (w->now >= w->suspended_until)
            drain(w);
    }
}

static void settle(world_t *w)
{
    for (unsigned i = 0; i < ENTRIES; i++)
        kill_entry(w, i);
    w->now = w->suspended_until > w->now ? w->suspended_until : w->now;
    sched_resume(w->sched, w->now);
    for (unsigned i = 0; i < SETTLE_STEPS; i++)
        step(w, i);
    const sched_stats_t stats = sched_stats(w->sched);
    w->result.checks += ENGINES;
    if (stats.queued || stats.placed || stats.cancelling)
        broken(w, "the scheduler still counts requests whose callers are gone");
    for (unsigned i = 0; i < ENGINES; i++)
        if (g_hash_table_size(w->engines[i].held) > 0)
            broken(w, "an engine still holds memory for callers who are gone");
}

sched_sim_result_t sched_sim_run(const sched_sim_options_t *options, chooser_t *chooser)
{
    world_t *const w = calloc(1, sizeof(*w));
    if (!w)
        abort();
    w->options = *options;
    w->chooser = chooser;
    w->now = 1000;
    init(w);
    run(w);
    if (!w->result.broken)
        settle(w);
    const sched_sim_result_t result = w->result;
    sched_destroy(w->sched);
    for (unsigned i = 0; i < ENGINES; i++)
        g_hash_table_destroy(w->engines[i].held);
    g_ptr_array_free(w->callers, TRUE);
    codec_free(&config_desc, &w->config);
    free(w);
    return result;
}
