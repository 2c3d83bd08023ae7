/* Fault injection and counts for tests and benchmarks. */

#include <string.h>

#include "stub/stub.h"

/* ===== Faults and counts ===== */

/** Sets a fault of streams. @param n bytes, tokens or a token position, depending on @p kind
 * @return false if @p kind is unknown */
static bool apply_stream_fault(sim_stream_faults_t *faults, const char *kind, uint32_t n, uint32_t place)
{
    if (strcmp(kind, "split") == 0) {
        faults->write_bytes = n;
    } else if (strcmp(kind, "batch") == 0) {
        faults->event_tokens_max = n;
    } else if (strcmp(kind, "vary") == 0) {
        faults->diverge_from = n;
    } else if (strcmp(kind, "halt") == 0 || strcmp(kind, "break") == 0) {
        faults->stop = kind[0] == 'h' ? SIM_STOP_HALT : SIM_STOP_BREAK;
        faults->stop_byte = n;
        faults->stop_place = place;
    } else if (strcmp(kind, "go_on") == 0) {
        faults->resume_count++;
    } else if (strcmp(kind, "plain") == 0) {
        *faults = (sim_stream_faults_t){.resume_count = faults->resume_count + 1};
    } else {
        return false;
    }
    return true;
}

static bool apply_engine_fault(sim_engine_t *e, const char *kind, double ms, double now)
{
    if (strcmp(kind, "die") == 0) {
        sim_kill(sim, e, now);
        e->dead = true;
    } else if (strcmp(kind, "revive") == 0) {
        e->dead = false;
        e->incarnation++;
    } else if (strcmp(kind, "stall") == 0) {
        e->stall_until = now + ms;
    } else if (strcmp(kind, "refuse") == 0) {
        e->refuse_until = now + ms;
    } else if (strcmp(kind, "delay") == 0) {
        e->delay_ms = ms;
    } else if (strcmp(kind, "leave") == 0 || strcmp(kind, "stay") == 0) {
        e->leaving = kind[0] == 'l';
        e->list_update_at = now + sim->list_lag_ms;
    } else {
        return false;
    }
    return true;
}

static bool apply_worker_fault(worker_t *w, const char *kind, double ms, double now)
{
    if (strcmp(kind, "die") == 0)
        w->dead = true;
    else if (strcmp(kind, "revive") == 0)
        w->dead = false;
    else if (strcmp(kind, "slow") == 0)
        w->slow_ms = ms;
    else if (strcmp(kind, "shed") == 0)
        w->shed_until = now + ms;
    else if (strcmp(kind, "die_before") == 0)
        w->die_before_until = now + ms;
    else if (strcmp(kind, "die_after") == 0)
        w->die_after_until = now + ms;
    else if (strcmp(kind, "leave") == 0) {
        w->leaving = true;
        w->list_update_at = now + sim->list_lag_ms;
    } else
        return false;
    return true;
}

static uint32_t get_uint(const json_t *body, const char *key)
{
    return (uint32_t)json_integer_value(json_object_get(body, key));
}

int stub_fault_handler(struct mg_connection *conn, void *arg)
{
    (void)arg;
    json_t *const body = stub_read_json(conn);
    const char *const kind = stub_json_string(body, "kind");
    const double ms = json_number_value(json_object_get(body, "ms"));
    bool done = false;
    pthread_mutex_lock(&sim->lock);
    sim_engine_t *const e = sim_find_engine(sim, stub_json_string(body, "name"));
    worker_t *const w = stub_find_worker(stub_json_string(body, "name"));
    if (e)
        done = apply_engine_fault(e, kind, ms, tc_time_exact()) ||
               apply_stream_fault(&e->stream_faults, kind, get_uint(body, "n"), get_uint(body, "place"));
    else if (w)
        done = apply_worker_fault(w, kind, ms, tc_time_exact());
    pthread_mutex_unlock(&sim->lock);
    json_decref(body);
    return done ? http_send_json(conn, 200, json_pack("{s:b}", "done", 1), 0)
                : stub_send_error(conn, 400, "invalid", "no such engine, worker or kind of fault");
}

static json_t *engine_stats(const sim_engine_t *e)
{
    uint32_t live = 0;
    const sim_request_t *r;
    cds_list_for_each_entry(r, &e->requests, node)
        live += r->state < SIM_DONE;
    return json_pack(
        "{s:s,s:i,s:s,s:s,s:i,s:i,s:i,s:i,s:i,s:i,s:i}", "name", e->cfg.name, "started", (int)e->started, "role",
        role_names[e->cfg.role], "model", e->cfg.model, "live", (int)live, "pieces", (int)e->pieces_used, "batch",
        (int)(e->n_loads ? e->loads[(e->n_loads - 1) % SIM_LOAD_SAMPLES].batch : 0), "obeyed", (int)e->orders_applied,
        "refused", (int)e->orders_rejected, "backward", (int)e->orders_applied_stale, "stopped", (int)e->stopped);
}

int stub_stats_handler(struct mg_connection *conn, void *arg)
{
    (void)arg;
    json_t *const engines = json_array();
    uint32_t held = 0;
    pthread_mutex_lock(&sim->lock);
    for (uint32_t i = 0; i < sim->n_engines; i++) {
        json_array_append_new(engines, engine_stats(&sim->engines[i]));
        held += sim->engines[i].pieces_used;
    }
    const sim_counts_t c = sim->counts;
    pthread_mutex_unlock(&sim->lock);
    return http_send_json(conn, 200,
                          json_pack("{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:i,s:o}", "stalled_ms", (json_int_t)c.stalled_ms,
                                    "prefilled", (json_int_t)c.prefilled, "wasted", (json_int_t)c.wasted, "wasted_hold",
                                    (json_int_t)c.wasted_hold, "wasted_cancel", (json_int_t)c.wasted_cancel,
                                    "wasted_dead", (json_int_t)c.wasted_dead, "decoded", (json_int_t)c.decoded,
                                    "held_pieces", (int)held, "engines", engines),
                          0);
}

/** Answers with the number of prefills and of decodes started for each requested id; a service call counts as both. */
int stub_runs_handler(struct mg_connection *conn, void *arg)
{
    (void)arg;
    json_t *const body = stub_read_json(conn);
    json_t *const runs = json_array(), *const answers = json_array();
    size_t i;
    json_t *id;
    pthread_mutex_lock(&sim->lock);
    json_array_foreach(json_object_get(body, "ids"), i, id) {
        const char *const text = json_string_value(id);
        json_array_append_new(runs, json_integer(GPOINTER_TO_UINT(g_hash_table_lookup(sim->runs, text ? text : ""))));
        json_array_append_new(answers,
                              json_integer(GPOINTER_TO_UINT(g_hash_table_lookup(sim->answers, text ? text : ""))));
    }
    pthread_mutex_unlock(&sim->lock);
    json_decref(body);
    return http_send_json(conn, 200, json_pack("{s:o,s:o}", "runs", runs, "answers", answers), 0);
}
