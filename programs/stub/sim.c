#include "stub/sim.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "stub_answer.h"

/* ===== Requests ===== */

void sim_unref(sim_request_t *r)
{
    if (--r->refs > 0)
        return;
    pthread_cond_destroy(&r->changed);
    free(r);
}

static void set_state(sim_request_t *r, sim_state_t state)
{
    r->state = state;
    pthread_cond_broadcast(&r->changed);
}

static void free_memory(sim_request_t *r)
{
    if (!r->in_memory)
        return;
    r->in_memory = false;
    r->engine->pieces_used -= r->pieces;
}

static bool reserve_memory(sim_request_t *r)
{
    if (r->engine->pieces_used + r->pieces > r->engine->cfg.pieces)
        return false;
    r->in_memory = true;
    r->engine->pieces_used += r->pieces;
    return true;
}

/** Counts a prefill result that is dropped before a decode engine fetched it. */
static void count_wasted_prefill(sim_t *sim, const sim_request_t *r, uint64_t *reason)
{
    if (r->decode || r->transferred || r->state != SIM_HELD)
        return;
    sim->counts.wasted += r->computed;
    *reason += r->computed;
}

static void release_source(sim_request_t *r)
{
    if (!r->source)
        return;
    sim_unref(r->source);
    r->source = NULL;
}

static void end_request(sim_request_t *r, sim_state_t state, double now)
{
    free_memory(r);
    release_source(r);
    if (r->engine->running == r)
        r->engine->running = NULL;
    r->finished_at = now;
    set_state(r, state);
}

void sim_cancel(sim_t *sim, sim_request_t *r, double now)
{
    if (r->state >= SIM_DONE)
        return;
    count_wasted_prefill(sim, r, &sim->counts.wasted_cancel);
    if (r->state == SIM_PREFILL) { /* partly computed: that part is wasted */
        const double left = r->done_at > now ? r->done_at - now : 0;
        const double whole = SIM_PREFILL_BASE_MS + r->computed * 1000.0 / r->engine->cfg.prefill_rate;
        const uint64_t done = (uint64_t)(r->computed * (1 - left / whole));
        sim->counts.prefilled += done;
        sim->counts.wasted += done;
        sim->counts.wasted_cancel += done;
    }
    end_request(r, SIM_CANCELLED, now);
}

sim_engine_t *sim_find_engine(const sim_t *sim, const char *name)
{
    for (uint32_t i = 0; i < sim->n_engines; i++)
        if (strcmp(sim->engines[i].cfg.name, name) == 0)
            return &sim->engines[i];
    return NULL;
}

sim_request_t *sim_lookup(sim_engine_t *engine, const char *id)
{
    sim_request_t *r;
    cds_list_for_each_entry(r, &engine->requests, node) {
        if (strcmp(r->id, id) == 0) {
            r->refs++;
            return r;
        }
    }
    return NULL;
}

static void hash_pieces(sim_request_t *r, const char *prompt, size_t size, const char *salt)
{
    const size_t piece = (size_t)SIM_PIECE_TOKENS * STUB_BYTES_PER_TOKEN;
    uint64_t hash = XXH3_64bits(salt, strlen(salt));
    for (size_t at = 0; at + piece <= size && r->n_chain < 64; at += piece) {
        hash = XXH3_64bits_withSeed(prompt + at, piece, hash);
        r->chain[r->n_chain++] = hash;
    }
}

void sim_count_run(GHashTable *table, const char *id)
{
    const char *const dot = strrchr(id, '.');
    char *const base = dot ? g_strndup(id, (gsize)(dot - id)) : g_strdup(id);
    const guint runs = GPOINTER_TO_UINT(g_hash_table_lookup(table, base));
    g_hash_table_replace(table, base, GUINT_TO_POINTER(runs + 1));
}

sim_request_t *sim_submit(sim_t *sim, sim_engine_t *engine, const char *id, bool decode, const char *prompt,
                          size_t prompt_size, const char *salt, uint32_t max_tokens, uint32_t priority)
{
    uint32_t waiting = 0;
    sim_request_t *q;
    cds_list_for_each_entry(q, &engine->requests, node)
        waiting += q->state == SIM_QUEUED;
    if (waiting >= SIM_QUEUE_REQUESTS_MAX)
        return NULL;
    sim_request_t *const r = calloc(1, sizeof(*r));
    codec_copy_string(r->id, sizeof(r->id), id);
    r->engine = engine;
    r->decode = decode;
    r->priority = priority;
    r->arrival = ++sim->arrivals;
    engine->started++;
    r->hash = stub_prompt_hash(prompt, prompt_size);
    r->prompt_tokens = (uint32_t)(prompt_size / STUB_BYTES_PER_TOKEN) + 1;
    r->max_tokens = max_tokens;
    r->length = stub_answer_length(r->hash, max_tokens);
    const uint32_t tokens = r->prompt_tokens + (decode ? max_tokens : 0);
    r->pieces = (tokens + SIM_PIECE_TOKENS - 1) / SIM_PIECE_TOKENS;
    hash_pieces(r, prompt, prompt_size, salt);
    r->refs = 2; /* one for the list, one for the caller */
    tc_cond_init(&r->changed);
    cds_list_add_tail(&r->node, &engine->requests);
    return r;
}

void sim_set_source(sim_request_t *r, sim_request_t *source)
{
    r->source = source;
    source->refs++;
}

/** The next waiting request: lowest priority value first, then order of arrival. */
static sim_request_t *next_waiting(const sim_engine_t *e, bool decode)
{
    sim_request_t *r, *best = NULL;
    cds_list_for_each_entry(r, &e->requests, node) {
        if (r->state != SIM_QUEUED || r->decode != decode)
            continue;
        if (!best || r->priority < best->priority || (r->priority == best->priority && r->arrival < best->arrival))
            best = r;
    }
    return best;
}

/* ===== Prefill ===== */

static uint32_t cached_pieces(sim_engine_t *e, const sim_request_t *r, double now)
{
    uint32_t n = 0;
    for (; n < r->n_chain; n++) {
        int at = -1;
        for (int i = 0; i < SIM_CACHE_PIECES; i++)
            if (e->cache[i] == r->chain[n] && e->cache_used_at[i] > 0)
                at = i;
        if (at < 0)
            break;
        e->cache_used_at[at] = now;
    }
    return n;
}

static void record_cache_event(sim_engine_t *e, uint64_t hash, bool stored, double now)
{
    e->n_events++;
    e->events[e->n_events % SIM_CACHE_EVENTS_MAX] =
        (sim_event_t){.seq = e->n_events, .hash = hash, .stored = stored, .at = (tc_time_t)now};
}

uint32_t sim_cache_events(const sim_t *sim, const sim_engine_t *e, uint64_t since, uint32_t loss, sim_event_t *events,
                          uint32_t room, double now)
{
    const uint64_t oldest = e->n_events > SIM_CACHE_EVENTS_MAX ? e->n_events - SIM_CACHE_EVENTS_MAX + 1 : 1;
    uint32_t n = 0;
    for (uint64_t seq = since + 1 > oldest ? since + 1 : oldest; seq <= e->n_events && n < room; seq++) {
        const sim_event_t *const event = &e->events[seq % SIM_CACHE_EVENTS_MAX];
        if ((double)event->at > now - sim->load_lag_ms)
            break;
        if (XXH3_64bits(&seq, sizeof(seq)) % 100 >= loss)
            events[n++] = *event;
    }
    return n;
}

static void fill_cache(sim_engine_t *e, const sim_request_t *r, double now)
{
    for (uint32_t n = 0; n < r->n_chain; n++) {
        int slot = 0;
        for (int i = 0; i < SIM_CACHE_PIECES; i++) {
            if (e->cache[i] == r->chain[n]) {
                slot = i;
                break;
            }
            if (e->cache_used_at[i] < e->cache_used_at[slot])
                slot = i;
        }
        if (e->cache[slot] != r->chain[n]) {
            if (e->cache_used_at[slot] > 0)
                record_cache_event(e, e->cache[slot], false, now);
            record_cache_event(e, r->chain[n], true, now);
        }
        e->cache[slot] = r->chain[n];
        e->cache_used_at[slot] = now;
    }
}

static void start_prefill(sim_t *sim, sim_engine_t *e, double now)
{
    sim_request_t *const r = next_waiting(e, false);
    if (!r || !reserve_memory(r))
        return;
    const uint32_t cached = cached_pieces(e, r, now) * SIM_PIECE_TOKENS;
    r->cached = cached < r->prompt_tokens ? cached : r->prompt_tokens - 1;
    r->computed = r->prompt_tokens - r->cached;
    r->done_at = now + SIM_PREFILL_BASE_MS + r->computed * 1000.0 / e->cfg.prefill_rate;
    e->running = r;
    sim_count_run(sim->runs, r->id);
    set_state(r, SIM_PREFILL);
}

static void advance_prefill(sim_t *sim, sim_engine_t *e, double now)
{
    sim_request_t *r = e->running;
    if (r && now >= r->done_at) {
        sim->counts.prefilled += r->computed;
        fill_cache(e, r, now);
        r->hold_until = now + SIM_HOLD_MS;
        e->running = NULL;
        r->unread_since = now;
        set_state(r, SIM_HELD);
    }
    if (!e->running && now >= e->loading_until)
        start_prefill(sim, e, now);
    sim_request_t *next;
    cds_list_for_each_entry_safe(r, next, &e->requests, node) {
        if (r->state != SIM_HELD || now < r->hold_until)
            continue;
        count_wasted_prefill(sim, r, &sim->counts.wasted_hold);
        end_request(r, SIM_LOST, now);
    }
}

/* ===== Transfers ===== */

static const link_cfg_t *find_link(const sim_t *sim, const sim_request_t *r)
{
    const char *const a = r->source->engine->cfg.dc, *const b = r->engine->cfg.dc;
    for (uint32_t i = 0; i < sim->config.links_n; i++) {
        const link_cfg_t *const l = &sim->config.links[i];
        if ((strcmp(l->a, a) == 0 && strcmp(l->b, b) == 0) || (strcmp(l->a, b) == 0 && strcmp(l->b, a) == 0))
            return l;
    }
    return NULL;
}

static bool transfer_is_active(const sim_request_t *r, double now)
{
    return r->state == SIM_TRANSFER && now >= r->transfer_start_at && now >= r->engine->stall_until;
}

static uint32_t count_transfers(const sim_t *sim, const link_cfg_t *link, double now)
{
    uint32_t n = 0;
    for (uint32_t i = 0; i < sim->n_engines; i++) {
        const sim_request_t *r;
        cds_list_for_each_entry(r, &sim->engines[i].requests, node)
            if (transfer_is_active(r, now))
                n += find_link(sim, r) == link;
    }
    return n;
}

static void advance_transfer(sim_t *sim, sim_request_t *r, double now, double elapsed_ms)
{
    sim_request_t *const source = r->source;
    if (source->state != SIM_HELD) {
        end_request(r, SIM_LOST, now);
        return;
    }
    if (!transfer_is_active(r, now))
        return;
    const link_cfg_t *const link = find_link(sim, r);
    const double rate = link ? link->rate / 1000.0 : 50;
    r->transfer_tokens_left -= rate * elapsed_ms / count_transfers(sim, link, now);
    source->hold_until = now + SIM_HOLD_MS; /* a result is kept while its transfer makes progress */
    if (r->transfer_tokens_left > 0)
        return;
    source->transferred = true;
    end_request(source, SIM_DONE, now);
    release_source(r);
    set_state(r, SIM_DECODE);
}

static void start_transfers(sim_t *sim, sim_engine_t *e, double now)
{
    for (sim_request_t *r = next_waiting(e, true); r; r = next_waiting(e, true)) {
        if (r->source->state != SIM_HELD) {
            end_request(r, SIM_LOST, now);
            continue;
        }
        if (!reserve_memory(r))
            return;
        const link_cfg_t *const link = find_link(sim, r);
        r->transfer_tokens_left = r->prompt_tokens;
        r->transfer_start_at = now + (link ? link->delay_us / 1000.0 : 0);
        r->source->transferring = true;
        set_state(r, SIM_TRANSFER);
    }
}

/* ===== Decode ===== */

static uint32_t step_batch(sim_t *sim, sim_engine_t *e, double now)
{
    uint32_t batch = 0;
    sim_request_t *r;
    cds_list_for_each_entry(r, &e->requests, node) {
        if (r->state != SIM_DECODE)
            continue;
        if (r->generated == 0)
            sim_count_run(sim->answers, r->id);
        r->generated++;
        const bool due = r->awaited > 0 && (r->generated >= r->awaited || r->generated >= r->length);
        if (due && r->unread_since == 0)
            r->unread_since = now;
        sim->counts.decoded++;
        if (r->generated >= r->length)
            end_request(r, SIM_DONE, now);
        else
            pthread_cond_broadcast(&r->changed);
        batch += r->state == SIM_DECODE;
    }
    return batch;
}

static uint32_t count_state(const sim_engine_t *e, sim_state_t state)
{
    uint32_t n = 0;
    const sim_request_t *r;
    cds_list_for_each_entry(r, &e->requests, node)
        n += r->state == state;
    return n;
}

static void advance_decode(sim_t *sim, sim_engine_t *e, double now, double elapsed_ms)
{
    start_transfers(sim, e, now);
    sim_request_t *r;
    cds_list_for_each_entry(r, &e->requests, node)
        if (r->state == SIM_TRANSFER)
            advance_transfer(sim, r, now, elapsed_ms);
    if (e->step_end > 0 && now < e->step_end)
        return;
    if (e->step_end > 0)
        step_batch(sim, e, now);
    const uint32_t batch = count_state(e, SIM_DECODE);
    /* A step starts at the exact end of the previous one, not at the later tick that noticed it. */
    const double begin = e->step_end > 0 && now - e->step_end < 5 ? e->step_end : now;
    e->step_end = batch ? begin + (SIM_STEP_BASE_US + SIM_STEP_PER_REQUEST_US * (double)batch) / 1000 : 0;
}

/* ===== Time ===== */

static void evict_finished(sim_engine_t *e, double now)
{
    sim_request_t *r, *next;
    cds_list_for_each_entry_safe(r, next, &e->requests, node) {
        const double keep = r->decode ? SIM_STREAM_RETENTION_MS : 2000;
        if (r->state < SIM_DONE || now - r->finished_at < keep)
            continue;
        cds_list_del(&r->node);
        sim_unref(r);
    }
}

static void record_load(sim_engine_t *e, double now)
{
    sim_load_t *const slot = &e->loads[e->n_loads++ % SIM_LOAD_SAMPLES];
    *slot = (sim_load_t){.at = (tc_time_t)now,
                         .queue = count_state(e, SIM_QUEUED) + (e->running ? 1 : 0),
                         .batch = count_state(e, SIM_DECODE) + count_state(e, SIM_TRANSFER),
                         .pieces_free = e->cfg.pieces - e->pieces_used};
}

sim_load_t sim_load_report(const sim_t *sim, const sim_engine_t *e, double now)
{
    const uint32_t kept = e->n_loads < SIM_LOAD_SAMPLES ? e->n_loads : SIM_LOAD_SAMPLES;
    for (uint32_t back = 1; back <= kept; back++) {
        const sim_load_t *const slot = &e->loads[(e->n_loads - back) % SIM_LOAD_SAMPLES];
        if ((double)slot->at <= now - sim->load_lag_ms)
            return *slot;
    }
    return (sim_load_t){.at = (tc_time_t)now, .pieces_free = e->cfg.pieces};
}

/** Counts the time from @p from to @p to once, however many threads were late in it. */
static void count_stall(sim_t *sim, double from, double to)
{
    sim->counts.stalled_ms += to - fmax(from, fmin(sim->stalled_until, to));
    sim->stalled_until = fmax(sim->stalled_until, to);
}

void sim_take_results(sim_t *sim, sim_request_t *r, double now)
{
    const double late = r->unread_since > 0 ? now - r->unread_since : 0;
    r->unread_since = 0;
    r->awaited = 0;
    if (late >= SIM_LATE_MS)
        count_stall(sim, now - late, now);
}

void sim_advance(sim_t *sim, double now)
{
    static double last;
    pthread_mutex_lock(&sim->lock);
    const double elapsed_ms = last > 0 ? now - last : 0;
    last = now;
    if (elapsed_ms > SIM_STALL_MS)
        count_stall(sim, now - elapsed_ms, now);
    const bool load_due = now >= sim->next_load_at;
    if (load_due)
        sim->next_load_at = now + SIM_LOAD_INTERVAL_MS;
    for (uint32_t i = 0; i < sim->n_engines; i++) {
        sim_engine_t *const e = &sim->engines[i];
        if (e->dead)
            continue;
        advance_prefill(sim, e, now);
        advance_decode(sim, e, now, elapsed_ms);
        if (load_due) {
            record_load(e, now);
            evict_finished(e, now);
        }
        if (e->leaving != e->leaving_listed && now >= e->list_update_at)
            e->leaving_listed = e->leaving;
    }
    pthread_mutex_unlock(&sim->lock);
}

void sim_kill(sim_t *sim, sim_engine_t *e, double now)
{
    sim_request_t *r, *next;
    cds_list_for_each_entry_safe(r, next, &e->requests, node) {
        if (r->state < SIM_DONE) {
            count_wasted_prefill(sim, r, &sim->counts.wasted_dead);
            end_request(r, SIM_LOST, now);
        }
        cds_list_del(&r->node);
        sim_unref(r);
    }
    memset(e->cache, 0, sizeof(e->cache));
    memset(e->cache_used_at, 0, sizeof(e->cache_used_at));
    e->step_end = 0;
    e->running = NULL;
}

sim_t *sim_create(const config_t *config, uint32_t load_lag_ms, uint32_t list_lag_ms)
{
    sim_t *const sim = calloc(1, sizeof(*sim));
    pthread_mutex_init(&sim->lock, NULL);
    sim->config = *config;
    sim->n_engines = config->engines_n;
    sim->engines = calloc(sim->n_engines + 1, sizeof(*sim->engines));
    sim->runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    sim->answers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    sim->load_lag_ms = load_lag_ms;
    sim->list_lag_ms = list_lag_ms;
    for (uint32_t i = 0; i < sim->n_engines; i++) {
        sim->engines[i].cfg = config->engines[i];
        sim->engines[i].incarnation = (uint64_t)tc_time_wall() * 1000 + i;
        CDS_INIT_LIST_HEAD(&sim->engines[i].requests);
    }
    return sim;
}
