/* What the scheduler knows of engines and links, and what it learns. */

#include <math.h>
#include <string.h>

#include "sched/sched_internal.h"

/* ===== Engines ===== */

engine_t *engine_find(const sched_t *s, const char *name)
{
    return g_hash_table_lookup(s->engines, name);
}

bool engine_usable(const engine_t *e, tc_time_t now)
{
    const bool leaving = e->leaving_config || e->leaving_platform || e->leaving_self;
    return e->configured && !leaving && !e->down && now >= e->suspect_until && now >= e->outdated_until;
}

uint32_t engine_taken(const sched_t *s, const engine_t *e, tc_time_t now)
{
    const double age = (double)(now - e->unseen_at);
    const double left = s->held_ms > 0 && age < s->held_ms ? 1 - age / s->held_ms : 0;
    const uint32_t unseen = (uint32_t)(left * e->unseen);
    return e->reserved + (unseen > e->foreign ? unseen : e->foreign);
}

void engine_is_full(engine_t *e, tc_time_t now)
{
    e->unseen = e->reserved <= e->pieces ? e->pieces - e->reserved + 1 : 0;
    e->unseen_at = now;
}

double engine_backlog(const engine_t *e, tc_time_t now)
{
    const double left = e->backlog_ms - (double)(now - e->backlog_at);
    return left > 0 ? left : 0;
}

uint32_t engine_cached_pieces(const engine_t *e, const uint64_t *chain, uint32_t n)
{
    uint32_t found = 0;
    while (found < n) {
        bool hit = false;
        for (int i = 0; i < CACHE_SLOTS && !hit; i++)
            hit = e->cache[i].hash == chain[found] && e->cache[i].used > 0;
        if (!hit)
            break;
        found++;
    }
    return found;
}

void engine_remember(engine_t *e, const uint64_t *chain, uint32_t n, tc_time_t now)
{
    for (uint32_t k = 0; k < n && k < CACHE_SLOTS; k++) {
        cache_slot_t *slot = &e->cache[0];
        for (int i = 0; i < CACHE_SLOTS; i++) {
            if (e->cache[i].hash == chain[k]) {
                slot = &e->cache[i];
                break;
            }
            if (e->cache[i].used < slot->used)
                slot = &e->cache[i];
        }
        *slot = (cache_slot_t){.hash = chain[k], .used = now > 0 ? now : 1};
    }
}

double engine_prefill_ms(const engine_t *e, const request_t *r)
{
    const uint32_t cached = engine_cached_pieces(e, r->chain, r->n_chain) * SCHED_PIECE_TOKENS;
    const uint32_t left = cached < r->prompt_tokens ? r->prompt_tokens - cached : 1;
    return PREFILL_BASE_MS + left / e->rate;
}

/** Weight of a new measurement in a moving average. */
static const double LEARN = 0.1;

void engine_learn_rate(engine_t *e, double est_ms, const msg_progress_t *progress)
{
    /* Only prompts long enough that the fixed part does not drown the rate, computed without a queue before
     * them, say something about the rate; est_ms holds the backlog at the time of the grant. */
    const double work_ms = (double)progress->took_ms - PREFILL_BASE_MS;
    if (progress->computed_tokens < SCHED_PIECE_TOKENS / 2 || est_ms > 1 || work_ms < 1)
        return;
    const double rate = progress->computed_tokens / work_ms;
    e->rate += LEARN * (rate - e->rate);
}

/* ===== Models ===== */

model_t *model_find(const sched_t *s, const char *name)
{
    return g_hash_table_lookup(s->models, name);
}

/* ===== Data centres and links ===== */

uint32_t dc_place(sched_t *s, const char *name)
{
    for (guint i = 0; i < s->dcs->len; i++)
        if (strcmp(g_ptr_array_index(s->dcs, i), name) == 0)
            return i;
    g_ptr_array_add(s->dcs, g_strdup(name));
    return s->dcs->len - 1;
}

void links_index(sched_t *s)
{
    const guint n = s->dcs->len;
    g_free(s->best);
    s->best = g_new0(dc_best_t, n + 1);
    g_free(s->link_of);
    s->link_of = g_new0(link_t *, (gsize)n * n + 1);
    for (guint a = 0; a < n; a++)
        for (guint b = 0; b < n; b++)
            s->link_of[a * n + b] = link_between(s, g_ptr_array_index(s->dcs, a), g_ptr_array_index(s->dcs, b));
}

link_t *link_of(const sched_t *s, uint32_t a, uint32_t b)
{
    assert(a < s->dcs->len && b < s->dcs->len); /* places that dc_place gave */
    return s->link_of[a * s->dcs->len + b];
}

link_t *link_between(const sched_t *s, const char *a, const char *b)
{
    for (guint i = 0; i < s->links->len; i++) {
        link_t *const link = g_ptr_array_index(s->links, i);
        if ((strcmp(link->a, a) == 0 && strcmp(link->b, b) == 0) ||
            (strcmp(link->a, b) == 0 && strcmp(link->b, a) == 0))
            return link;
    }
    return NULL;
}

bool link_is_long(const link_t *link, double tokens)
{
    return tokens >= LONG_TRANSFER_TOKENS && tokens / link->rate >= LONG_TRANSFER_MS;
}

double link_ms(const sched_t *s, const link_t *link, double tokens)
{
    if (!link)
        return tokens * 1000.0 / FALLBACK_LINK_RATE;
    /* The other entries' shares of the link are not known to a share: it counts on its part only. */
    return (link->outstanding + tokens) / (link->rate / s->share_of);
}
