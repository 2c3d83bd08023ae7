/** @file stub.c
 * trackcove-stub: simulated engines, plain services and the platform's list, all in one process.
 *
 *   /e/ENGINE/v1/completions   prefill (do_remote_decode) or decode (do_remote_prefill), the published
 *                              interface of disaggregated serving: the prefill's kv_transfer_params go to the decode
 *   /e/ENGINE/v1/streams/ID?from=N   resume a stream
 *   /e/ENGINE/v1/cancel        {"request_id"}
 *   /e/ENGINE/v1/state         requests it holds now; /e/ENGINE/v1/load: its load, delayed
 *   /e/ENGINE/v1/events?since=N  changes of its prefix cache, delayed and with gaps
 *   /e/ENGINE/v1/orders        fenced orders
 *   /s/WORKER/...              a plain service's worker
 *   /platform/list             live and leaving engines and workers, delayed
 *   /admin/fault, /admin/stats, /admin/runs   for tests
 */

#include <errno.h>
#include <glib.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/codec.h"
#include "http/http.h"
#include "stub/stub.h"
#include "stub_answer.h"

/* ===== State ===== */

enum {
    BODY_BYTES_MAX = 64 * 1024 * 1024,
    STUB_THREADS = 1200,
    CHANGE_WAIT_MS = 100 /* interval at which a waiting handler checks for a lost connection */
};

sim_t *sim;
worker_t workers[STUB_WORKERS_MAX];
uint32_t n_workers;
static double service_ms = 10;
static gint event_loss = 5;

int stub_send_error(struct mg_connection *conn, int status, const char *type, const char *text)
{
    return http_send_json(conn, status, json_pack("{s:{s:s,s:s}}", "error", "type", type, "message", text), 0);
}

/** Closes the connection without a response, like a process that dies. @return a status for CivetWeb's log */
static int close_without_response(struct mg_connection *conn)
{
    enum { NO_ANSWER = 499 };
    mg_close_connection(conn);
    return NO_ANSWER;
}

/** Waits on a request's condition, for CHANGE_WAIT_MS at most so that a lost connection is noticed. Lock held. */
static void wait_for_change(sim_request_t *r)
{
    tc_cond_wait_for(&r->changed, &sim->lock, CHANGE_WAIT_MS);
}

/** Sleeps for the round trip between the caller's data centre and the engine's: twice the link's one-way delay. */
static void network_delay(const struct mg_connection *conn, const char *dc)
{
    const char *const from = http_header(conn, "X-Trackcove-Dc");
    for (uint32_t i = 0; i < sim->config.links_n && from[0]; i++) {
        const link_cfg_t *const l = &sim->config.links[i];
        const bool match =
            (strcmp(l->a, from) == 0 && strcmp(l->b, dc) == 0) || (strcmp(l->b, from) == 0 && strcmp(l->a, dc) == 0);
        if (match && l->delay_us > 0)
            g_usleep(2 * l->delay_us);
    }
}

/* ===== Streams ===== */

/** Number of generated tokens from which the next event is due. */
static uint32_t next_event_at(const sim_request_t *r, uint32_t sent)
{
    const uint32_t tokens_max = r->engine->stream_faults.event_tokens_max;
    return sent + (tokens_max ? tokens_max : 1);
}

/** Whether there is something to write after @p sent tokens: a full event, or the end of the stream. */
static bool event_is_due(const sim_request_t *r, uint32_t sent)
{
    return r->state >= SIM_DONE || r->generated >= next_event_at(r, sent);
}

/** Appends one event of up to event_tokens_max tokens; with that fault set, token_ids lists them one by one.
 * @return number of tokens sent, including this event */
static uint32_t append_event(GString *out, const sim_request_t *r, uint32_t sent)
{
    const sim_stream_faults_t *const faults = &r->engine->stream_faults;
    const uint32_t tokens_max = faults->event_tokens_max ? faults->event_tokens_max : 1;
    const uint32_t end = r->generated - sent < tokens_max ? r->generated : sent + tokens_max;
    GString *const ids = g_string_new(NULL);
    g_string_append_printf(out, "id: %u\ndata: {\"choices\":[{\"index\":0,\"text\":\"", end);
    for (uint32_t place = sent; place < end; place++) {
        char token[STUB_TOKEN_BYTES];
        const bool varies = faults->diverge_from && place + 1 >= faults->diverge_from;
        stub_token_text(token, varies ? ~r->hash : r->hash, place);
        g_string_append(out, token);
        g_string_append_printf(ids, "%s%lu", ids->len ? "," : "", strtoul(token + 1, NULL, 16));
    }
    if (faults->event_tokens_max)
        g_string_append_printf(out, "\",\"token_ids\":[%s],\"finish_reason\":", ids->str);
    else
        g_string_append(out, "\",\"finish_reason\":");
    g_string_append(out, end == r->length ? "\"stop\"}]}\n\n" : "null}]}\n\n");
    g_string_free(ids, TRUE);
    return end;
}

/** Returns the faults for the event that ends at @p place, and clears a stop that applies to it. Lock held. */
static sim_stream_faults_t take_stream_faults(sim_engine_t *e, uint32_t place)
{
    sim_stream_faults_t faults = e->stream_faults;
    if (faults.stop != SIM_STOP_NONE && place < faults.stop_place)
        faults.stop = SIM_STOP_NONE;
    if (faults.stop != SIM_STOP_NONE)
        e->stream_faults.stop = SIM_STOP_NONE;
    return faults;
}

/** Whether the event is the last one in its write. */
static bool is_last_in_write(const sim_stream_faults_t *faults)
{
    return faults->write_bytes > 0 || faults->stop != SIM_STOP_NONE;
}

/** Sends the data in chunks of @p piece bytes that arrive one by one; 0: in one write. */
static void send_in_chunks(http_stream_t *stream, const char *data, size_t size, size_t piece)
{
    enum { CHUNK_INTERVAL_US = 500 };
    if (piece == 0) {
        http_stream_send(stream, data, size);
        return;
    }
    for (size_t at = 0; at < size && !stream->broken; at += piece) {
        http_stream_send(stream, data + at, size - at < piece ? size - at : piece);
        g_usleep(CHUNK_INTERVAL_US);
    }
}

/** Blocks until the test resumes the stream, the request is cancelled, the engine dies, or the stream's retention ends.
 */
static void pause_stream(sim_request_t *r, uint32_t resume_count)
{
    const double until = tc_time_exact() + SIM_STREAM_RETENTION_MS;
    pthread_mutex_lock(&sim->lock);
    r->engine->stopped++;
    while (r->engine->stream_faults.resume_count == resume_count && r->state != SIM_CANCELLED && !r->engine->dead &&
           tc_time_exact() < until)
        wait_for_change(r);
    pthread_mutex_unlock(&sim->lock);
}

/** Writes events; a stop interrupts the last one, at offset @p last. @return false if the connection must be closed */
static bool write_events(http_stream_t *stream, sim_request_t *r, const GString *out, size_t last,
                         const sim_stream_faults_t *faults)
{
    const size_t first = faults->stop == SIM_STOP_NONE ? out->len : MIN(last + faults->stop_byte, out->len);
    send_in_chunks(stream, out->str, first, faults->write_bytes);
    if (faults->stop == SIM_STOP_HALT) {
        pause_stream(r, faults->resume_count);
        send_in_chunks(stream, out->str + first, out->len - first, faults->write_bytes);
    }
    return faults->stop != SIM_STOP_BREAK;
}

/** Streams tokens from position @p from on. Decoding goes on when the reader disconnects: only a cancel ends it. */
static int stream_tokens(struct mg_connection *conn, sim_request_t *r, uint32_t from)
{
    http_stream_t stream = {.conn = conn, .sse = true};
    uint32_t sent = from;
    bool disconnect = false;
    GString *const out = g_string_new(NULL);
    pthread_mutex_lock(&sim->lock);
    while (!stream.broken) {
        while (!event_is_due(r, sent)) {
            r->awaited = next_event_at(r, sent);
            wait_for_change(r);
        }
        sim_take_results(sim, r, tc_time_exact());
        if (r->generated <= sent && r->state != SIM_DONE)
            break;
        g_string_truncate(out, 0);
        sim_stream_faults_t faults = {.stop = SIM_STOP_NONE};
        size_t last = 0; /* offset of the last event */
        while (sent < r->generated && event_is_due(r, sent) && !is_last_in_write(&faults)) {
            last = out->len;
            sent = append_event(out, r, sent);
            faults = take_stream_faults(r->engine, sent);
        }
        const bool done = r->state == SIM_DONE && sent >= r->length;
        if (done)
            g_string_append(out, "data: [DONE]\n\n");
        const bool dead = r->engine->dead;
        pthread_mutex_unlock(&sim->lock);
        if (!dead)
            disconnect = !write_events(&stream, r, out, last, &faults);
        pthread_mutex_lock(&sim->lock);
        r->engine->stopped += disconnect;
        if (done || dead || disconnect)
            break;
    }
    const sim_state_t state = r->state;
    const bool none_sent = !stream.open;
    sim_unref(r);
    pthread_mutex_unlock(&sim->lock);
    g_string_free(out, TRUE);
    if (disconnect)
        return close_without_response(conn);
    if (state == SIM_DONE) {
        http_stream_close(&stream);
        return 200;
    }
    if (none_sent && state == SIM_LOST)
        return stub_send_error(conn, 409, "kv_lost", "the prefill result is gone");
    if (none_sent)
        return stub_send_error(conn, 410, "cancelled", "cancelled");
    return close_without_response(conn); /* without the final chunk: the reader sees a truncated stream */
}

/* ===== Completions ===== */

static int answer_prefill(struct mg_connection *conn, sim_request_t *r)
{
    pthread_mutex_lock(&sim->lock);
    while (r->state == SIM_QUEUED || r->state == SIM_PREFILL)
        wait_for_change(r);
    sim_take_results(sim, r, tc_time_exact());
    const bool held = r->state == SIM_HELD || r->state == SIM_DONE;
    json_t *const body =
        json_pack("{s:s,s:s,s:{s:i,s:i,s:i},s:{s:b,s:b,s:s,s:s}}", "id", r->id, "object", "text_completion", "usage",
                  "prompt_tokens", (int)r->prompt_tokens, "cached_tokens", (int)r->cached, "computed_tokens",
                  (int)r->computed, "kv_transfer_params", "do_remote_prefill", 1, "do_remote_decode", 0,
                  "remote_engine_id", r->engine->cfg.name, "remote_request_id", r->id);
    const bool dead = r->engine->dead;
    sim_unref(r);
    pthread_mutex_unlock(&sim->lock);
    if (held && !dead)
        return http_send_json(conn, 200, body, 0);
    json_decref(body);
    return dead ? close_without_response(conn) : stub_send_error(conn, 410, "cancelled", "cancelled");
}

const char *stub_json_string(const json_t *body, const char *key)
{
    const char *const text = json_string_value(json_object_get(body, key));
    return text ? text : "";
}

static sim_request_t *find_source(const json_t *kv)
{
    sim_engine_t *const from = sim_find_engine(sim, stub_json_string(kv, "remote_engine_id"));
    return from ? sim_lookup(from, stub_json_string(kv, "remote_request_id")) : NULL;
}

static int submit_completion(struct mg_connection *conn, sim_engine_t *e, const json_t *body)
{
    const json_t *const kv = json_object_get(body, "kv_transfer_params");
    const bool decode = json_is_true(json_object_get(kv, "do_remote_prefill"));
    const json_t *const prompt = json_object_get(body, "prompt");
    const uint32_t max_tokens = (uint32_t)json_integer_value(json_object_get(body, "max_tokens"));
    pthread_mutex_lock(&sim->lock);
    sim_request_t *source = decode ? find_source(kv) : NULL;
    const bool wrong_role = e->cfg.role != (decode ? ROLE_DECODE : ROLE_PREFILL) ||
                            tc_time_exact() < e->loading_until ||
                            strcmp(stub_json_string(body, "model"), e->cfg.model) != 0;
    sim_request_t *r = NULL;
    if (!wrong_role && (!decode || source))
        r = sim_submit(sim, e, stub_json_string(body, "request_id"), decode, json_string_value(prompt),
                       json_string_length(prompt), stub_json_string(body, "cache_salt"), max_tokens,
                       (uint32_t)json_integer_value(json_object_get(body, "priority")));
    if (r && decode)
        sim_set_source(r, source);
    if (source)
        sim_unref(source);
    pthread_mutex_unlock(&sim->lock);
    if (wrong_role)
        return stub_send_error(conn, 421, "wrong_role", "this engine does not serve that");
    if (decode && !source)
        return stub_send_error(conn, 409, "kv_lost", "no such prefill result");
    if (!r)
        return stub_send_error(conn, 429, "busy", "queue is full");
    return decode ? stream_tokens(conn, r, 0) : answer_prefill(conn, r);
}

json_t *stub_read_json(struct mg_connection *conn)
{
    size_t size;
    tc_err_t err = {0};
    char *const text = http_read_body(conn, BODY_BYTES_MAX, &size, &err);
    json_t *const body = text ? json_loadb(text, size, 0, NULL) : NULL;
    free(text);
    return body;
}

static int handle_completions(struct mg_connection *conn, sim_engine_t *e)
{
    json_t *const body = stub_read_json(conn);
    if (!json_is_string(json_object_get(body, "prompt"))) {
        json_decref(body);
        return stub_send_error(conn, 400, "invalid", "prompt must be a string");
    }
    const int status = submit_completion(conn, e, body);
    json_decref(body);
    return status;
}

static int handle_resume(struct mg_connection *conn, sim_engine_t *e, const char *id)
{
    const char *const query = mg_get_request_info(conn)->query_string;
    const uint32_t from = query && strncmp(query, "from=", 5) == 0 ? (uint32_t)strtoul(query + 5, NULL, 10) : 0;
    pthread_mutex_lock(&sim->lock);
    sim_request_t *const r = sim_lookup(e, id);
    pthread_mutex_unlock(&sim->lock);
    return r ? stream_tokens(conn, r, from) : stub_send_error(conn, 404, "not_found", "no such stream");
}

static int handle_cancel(struct mg_connection *conn, sim_engine_t *e)
{
    json_t *const body = stub_read_json(conn);
    pthread_mutex_lock(&sim->lock);
    sim_request_t *const r = sim_lookup(e, stub_json_string(body, "request_id"));
    if (r) {
        sim_cancel(sim, r, tc_time_exact());
        sim_unref(r);
    }
    pthread_mutex_unlock(&sim->lock);
    json_decref(body);
    return http_send_json(conn, 200, json_pack("{s:b}", "found", r != NULL), 0);
}

/* ===== Reports and orders ===== */

static int handle_state(struct mg_connection *conn, const sim_engine_t *e)
{
    json_t *const held = json_array();
    pthread_mutex_lock(&sim->lock);
    const sim_request_t *r;
    cds_list_for_each_entry(r, &e->requests, node)
        if (r->state < SIM_DONE)
            json_array_append_new(held,
                                  json_pack("{s:s,s:i}", "id", r->id, "pieces", r->in_memory ? (int)r->pieces : 0));
    json_t *const body = json_pack("{s:I,s:s,s:s,s:s,s:b,s:o}", "incarnation", (json_int_t)e->incarnation, "role",
                                   role_names[e->cfg.role], "model", e->cfg.model, "version", e->cfg.version, "loading",
                                   tc_time_exact() < e->loading_until, "held", held);
    pthread_mutex_unlock(&sim->lock);
    return http_send_json(conn, 200, body, 0);
}

static int handle_load(struct mg_connection *conn, const sim_engine_t *e)
{
    pthread_mutex_lock(&sim->lock);
    const sim_load_t l = sim_load_report(sim, e, tc_time_exact());
    pthread_mutex_unlock(&sim->lock);
    return http_send_json(
        conn, 200,
        json_pack("{s:i,s:i,s:i}", "queue", (int)l.queue, "batch", (int)l.batch, "pieces_free", (int)l.pieces_free), 0);
}

static int handle_cache_events(struct mg_connection *conn, const sim_engine_t *e)
{
    const char *const query = mg_get_request_info(conn)->query_string;
    const uint64_t since = query && strncmp(query, "since=", 6) == 0 ? strtoull(query + 6, NULL, 10) : 0;
    sim_event_t events[SIM_CACHE_EVENTS_MAX];
    pthread_mutex_lock(&sim->lock);
    const uint32_t n =
        sim_cache_events(sim, e, since, (uint32_t)event_loss, events, SIM_CACHE_EVENTS_MAX, tc_time_exact());
    pthread_mutex_unlock(&sim->lock);
    json_t *const list = json_array();
    for (uint32_t i = 0; i < n; i++) {
        char hash[24];
        snprintf(hash, sizeof(hash), "%016llx", (unsigned long long)events[i].hash);
        json_array_append_new(list, json_pack("{s:I,s:s,s:s}", "seq", (json_int_t)events[i].seq, "event",
                                              events[i].stored ? "stored" : "removed", "hash", hash));
    }
    return http_send_json(conn, 200, json_pack("{s:o}", "events", list), 0);
}

static bool order_is_newer(const sim_engine_t *e, uint64_t term, uint64_t index)
{
    return term > e->order_term || (term == e->order_term && index > e->order_index);
}

static void apply_order(sim_engine_t *e, const json_t *body, uint64_t term, uint64_t index, double now)
{
    if (!order_is_newer(e, term, index))
        e->orders_applied_stale++;
    e->orders_applied++;
    e->order_term = term;
    e->order_index = index;
    sim_kill(sim, e, now);
    e->cfg.role = strcmp(stub_json_string(body, "role"), "decode") == 0 ? ROLE_DECODE : ROLE_PREFILL;
    const bool needs_load = strcmp(e->cfg.model, stub_json_string(body, "model")) != 0 ||
                            strcmp(e->cfg.version, stub_json_string(body, "version")) != 0;
    codec_copy_string(e->cfg.model, sizeof(e->cfg.model), stub_json_string(body, "model"));
    codec_copy_string(e->cfg.version, sizeof(e->cfg.version), stub_json_string(body, "version"));
    enum { ROLE_CHANGE_MS = 500 };
    const double start = sim->store_free_at > now ? sim->store_free_at : now;
    if (needs_load)
        sim->store_free_at = start + SIM_MODEL_WEIGHTS_MB * 1000.0 / SIM_WEIGHT_STORE_MB_PER_S;
    e->loading_until = needs_load ? sim->store_free_at : now + ROLE_CHANGE_MS;
}

static int handle_order(struct mg_connection *conn, sim_engine_t *e)
{
    json_t *const body = stub_read_json(conn);
    const uint64_t term = (uint64_t)json_integer_value(json_object_get(body, "term"));
    const uint64_t index = (uint64_t)json_integer_value(json_object_get(body, "index"));
    pthread_mutex_lock(&sim->lock);
    const bool repeat = term == e->order_term && index == e->order_index;
    const bool stale = !repeat && e->cfg.checks_fence && !order_is_newer(e, term, index);
    if (stale)
        e->orders_rejected++;
    else if (!repeat)
        apply_order(e, body, term, index, tc_time_exact());
    pthread_mutex_unlock(&sim->lock);
    json_decref(body);
    return stale ? stub_send_error(conn, 409, "fenced", "a newer order was obeyed before")
                 : http_send_json(conn, 200, json_pack("{s:b}", "done", 1), 0);
}

static int engine_handler(struct mg_connection *conn, void *arg)
{
    (void)arg;
    char name[CODEC_STR_SIZE];
    const char *const uri = mg_get_request_info(conn)->local_uri + strlen("/e/");
    const char *const slash = strchr(uri, '/');
    if (!slash || (size_t)(slash - uri) >= sizeof(name))
        return stub_send_error(conn, 404, "not_found", "no such engine");
    codec_copy_string(name, (size_t)(slash - uri) + 1, uri);
    sim_engine_t *const e = sim_find_engine(sim, name);
    if (!e)
        return stub_send_error(conn, 404, "not_found", "no such engine");
    pthread_mutex_lock(&sim->lock);
    const bool dead = e->dead;
    const bool refuse = tc_time_exact() < e->refuse_until;
    const double delay = e->delay_ms;
    pthread_mutex_unlock(&sim->lock);
    if (dead) {
        return close_without_response(conn);
    }
    network_delay(conn, e->cfg.dc);
    if (delay > 0)
        g_usleep((gulong)(delay * 1000));
    if (refuse)
        return stub_send_error(conn, 503, "refused", "refusing by order of the test");
    if (strcmp(slash, "/v1/completions") == 0)
        return handle_completions(conn, e);
    if (strncmp(slash, "/v1/streams/", 12) == 0)
        return handle_resume(conn, e, slash + 12);
    if (strcmp(slash, "/v1/cancel") == 0)
        return handle_cancel(conn, e);
    if (strcmp(slash, "/v1/state") == 0)
        return handle_state(conn, e);
    if (strcmp(slash, "/v1/load") == 0)
        return handle_load(conn, e);
    if (strcmp(slash, "/v1/events") == 0)
        return handle_cache_events(conn, e);
    if (strcmp(slash, "/v1/orders") == 0)
        return handle_order(conn, e);
    return stub_send_error(conn, 404, "not_found", "no such page");
}

/* ===== Plain services ===== */

worker_t *stub_find_worker(const char *name)
{
    for (uint32_t i = 0; i < n_workers; i++)
        if (strcmp(workers[i].name, name) == 0)
            return &workers[i];
    return NULL;
}

static int service_handler(struct mg_connection *conn, void *arg)
{
    (void)arg;
    char name[CODEC_STR_SIZE];
    codec_copy_string(name, sizeof(name), mg_get_request_info(conn)->local_uri + strlen("/s/"));
    char *const slash = strchr(name, '/');
    if (slash)
        *slash = '\0';
    worker_t *const w = stub_find_worker(name);
    if (!w)
        return stub_send_error(conn, 404, "not_found", "no such worker");
    json_t *const body = stub_read_json(conn);
    json_decref(body);
    const double now = tc_time_exact();
    if (w->dead || now < w->die_before_until) {
        return close_without_response(conn);
    }
    if (now < w->shed_until)
        return http_send_json(conn, 503, json_pack("{s:s}", "worker", w->name), (unsigned)(w->shed_until - now));
    const char *const id = http_header(conn, "Idempotency-Key");
    char counted[160];
    snprintf(counted, sizeof(counted), "%s.0", id);
    pthread_mutex_lock(&sim->lock);
    sim_count_run(sim->runs, counted);
    sim_count_run(sim->answers, counted);
    pthread_mutex_unlock(&sim->lock);
    g_usleep((gulong)((service_ms + w->slow_ms) * 1000));
    if (now < w->die_after_until || w->dead) {
        return close_without_response(conn);
    }
    return http_send_json(conn, 200, json_pack("{s:s,s:s}", "worker", w->name, "id", id), 0);
}

/* ===== Platform list ===== */

static int platform_handler(struct mg_connection *conn, void *arg)
{
    (void)arg;
    json_t *const live = json_array(), *const leaving = json_array();
    pthread_mutex_lock(&sim->lock);
    for (uint32_t i = 0; i < sim->n_engines; i++) {
        const sim_engine_t *const e = &sim->engines[i];
        json_array_append_new(e->leaving_listed ? leaving : live, json_string(e->cfg.name));
    }
    for (uint32_t i = 0; i < n_workers; i++) {
        if (workers[i].leaving != workers[i].leaving_listed && tc_time_exact() >= workers[i].list_update_at)
            workers[i].leaving_listed = workers[i].leaving;
        json_array_append_new(workers[i].leaving_listed ? leaving : live, json_string(workers[i].name));
    }
    pthread_mutex_unlock(&sim->lock);
    return http_send_json(conn, 200, json_pack("{s:o,s:o}", "live", live, "leaving", leaving), 0);
}

/* ===== Main ===== */

static atomic_bool stopping;

static void on_signal(int number)
{
    (void)number;
    atomic_store(&stopping, true);
}

static void add_workers(const config_t *config)
{
    for (uint32_t i = 0; i < config->services_n; i++)
        for (uint32_t k = 0; k < config->services[i].workers_n && n_workers < G_N_ELEMENTS(workers); k++)
            codec_copy_string(workers[n_workers++].name, CODEC_STR_SIZE, config->services[i].workers[k].name);
}

int main(int argc, char **argv)
{
    gchar *listen = NULL, *config_path = NULL;
    gint load_lag = 500, list_lag = 1500;
    const GOptionEntry entries[] = {
        {"listen", 'l', 0, G_OPTION_ARG_STRING, &listen, "address to listen on", "IP:PORT"},
        {"config", 'c', 0, G_OPTION_ARG_FILENAME, &config_path, "configuration with engines, services and links",
         "FILE"},
        {"load-lag-ms", 0, 0, G_OPTION_ARG_INT, &load_lag, "delay of load reports and cache events, ms (500)", "MS"},
        {"event-loss", 0, 0, G_OPTION_ARG_INT, &event_loss, "share of cache events that are lost, per cent (5)", "N"},
        {"list-lag-ms", 0, 0, G_OPTION_ARG_INT, &list_lag, "delay of the platform's list, ms (1500)", "MS"},
        {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL}};
    GOptionContext *const context = g_option_context_new("- simulated engines, plain services and platform list");
    g_option_context_add_main_entries(context, entries, NULL);
    GError *error = NULL;
    if (!g_option_context_parse(context, &argc, &argv, &error) || !listen || !config_path) {
        fprintf(stderr, "trackcove-stub: %s\n", error ? error->message : "--listen and --config are required");
        return 2;
    }
    g_option_context_free(context);
    config_t config;
    tc_err_t err = {0};
    if (codec_from_json_file(&config_desc, &config, config_path, &err) < 0) {
        fprintf(stderr, "trackcove-stub: %s: %s: %s\n", config_path, err.peer, err.detail);
        return 2;
    }
    signal(SIGTERM, on_signal);
    signal(SIGINT, on_signal);
    signal(SIGPIPE, SIG_IGN);
    sim = sim_create(&config, (uint32_t)load_lag, (uint32_t)list_lag);
    add_workers(&config);
    http_server_t *const server = http_start(listen, STUB_THREADS, &err);
    if (!server) {
        fprintf(stderr, "trackcove-stub: %s: %s\n", err.peer, err.detail);
        return 1;
    }
    http_route(server, "/e", engine_handler, NULL);
    http_route(server, "/s", service_handler, NULL);
    http_route(server, "/platform/list", platform_handler, NULL);
    http_route(server, "/admin/fault", stub_fault_handler, NULL);
    http_route(server, "/admin/stats", stub_stats_handler, NULL);
    http_route(server, "/admin/runs", stub_runs_handler, NULL);
    while (!atomic_load(&stopping)) {
        sim_advance(sim, tc_time_exact());
        g_usleep(1000);
    }
    _exit(0); /* without exit handlers: HTTP threads may be blocked, and there is no state to save */
}
