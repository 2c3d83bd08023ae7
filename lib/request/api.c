#include "request/api.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "http/pages.h"
#include "request/caller.h"
#include "request/completion.h"
#include "request/scheduler.h"
#include "request/service.h"

enum { RETRY_AFTER_MS = 500, ENTRIES_MAX = 512 };

/* ===== Requests ===== */

/** Whether new requests may be accepted. Otherwise sends a 503 response. */
static bool admit(entry_t *e, struct mg_connection *conn)
{
    if (entry_may_serve(e))
        return true;
    tc_err_t err = {0};
    tc_err_set(&err, TC_E_FENCED, "admit", e->settings->box,
               "this box has not heard from the control leader and may be behind: use another entry");
    caller_refuse(conn, OUTCOME_NOT_RUN, &err, RETRY_AFTER_MS);
    return false;
}

static int reject_method(struct mg_connection *conn, const char *wanted)
{
    tc_err_t err = {0};
    tc_err_set(&err, TC_E_INVALID, "read request", "method", "must be %s", wanted);
    return caller_refuse(conn, OUTCOME_INVALID, &err, 0);
}

static int serve_completion(entry_t *e, struct mg_connection *conn, bool chat)
{
    if (!http_method_is(conn, "POST"))
        return reject_method(conn, "POST");
    if (!admit(e, conn))
        return 503;
    atomic_fetch_add(&e->active, 1);
    const int status = completion_serve(e, conn, chat);
    atomic_fetch_sub(&e->active, 1);
    return status;
}

static int on_completion(struct mg_connection *conn, void *arg)
{
    return serve_completion(arg, conn, false);
}

static int on_chat(struct mg_connection *conn, void *arg)
{
    return serve_completion(arg, conn, true);
}

static int on_service(struct mg_connection *conn, void *arg)
{
    entry_t *const e = arg;
    if (!admit(e, conn))
        return 503;
    atomic_fetch_add(&e->active, 1);
    const int status = service_serve(e, conn);
    atomic_fetch_sub(&e->active, 1);
    return status;
}

/* ===== Choice of entry box ===== */

typedef struct {
    const member_t *member;
    double rank;
} ranked_t;

static int compare_rank(const void *a, const void *b)
{
    const double x = ((const ranked_t *)a)->rank, y = ((const ranked_t *)b)->rank;
    return x < y ? -1 : (x > y ? 1 : 0);
}

/** Orders the entry boxes for a caller by weighted rendezvous hashing, so that callers spread over boxes by free
 * capacity and keep their order when a box leaves. Boxes of the caller's data centre come first. */
static uint32_t rank_entries(const view_t *view, const char *caller, const char *dc, ranked_t *ranked)
{
    static const double OTHER_DC = 1e6;
    uint32_t n = 0;
    for (uint32_t i = 0; i < view->n_members && n < ENTRIES_MAX; i++) {
        const member_t *const m = &view->members[i];
        if (m->draining || view_is_leaving(view, m->box))
            continue;
        const uint64_t hash = XXH3_64bits_withSeed(m->box, strlen(m->box), XXH3_64bits(caller, strlen(caller)));
        const double u = ((double)(hash >> 11) + 1) / 9007199254740994.0;
        ranked[n].member = m;
        ranked[n].rank = (1 - u) / (m->room + 1) + (dc[0] && strcmp(dc, m->dc) != 0 ? OTHER_DC : 0);
        n++;
    }
    qsort(ranked, n, sizeof(*ranked), compare_rank);
    return n;
}

static int on_entries(struct mg_connection *conn, void *arg)
{
    entry_t *const e = arg;
    const struct mg_request_info *const info = mg_get_request_info(conn);
    char dc[CODEC_STR_SIZE] = "", caller[CODEC_STR_SIZE * 2] = "";
    const char *const query = info->query_string ? info->query_string : "";
    mg_get_var(query, strlen(query), "dc", dc, sizeof(dc));
    if (mg_get_var(query, strlen(query), "caller", caller, sizeof(caller)) <= 0)
        snprintf(caller, sizeof(caller), "%s:%d", info->remote_addr, info->remote_port);
    ranked_t *const ranked = calloc(ENTRIES_MAX, sizeof(*ranked));
    if (!ranked)
        abort();
    view_t *const view = view_acquire(&e->view);
    const uint32_t n = rank_entries(view, caller, dc, ranked);
    json_t *const list = json_array();
    for (uint32_t i = 0; i < n; i++)
        json_array_append_new(list, json_pack("{s:s,s:s,s:s,s:i}", "box", ranked[i].member->box, "addr",
                                              ranked[i].member->http_addr, "dc", ranked[i].member->dc, "room",
                                              (int)ranked[i].member->room));
    view_release(view);
    free(ranked);
    return http_send_json(conn, 200,
                          json_pack("{s:o,s:i}", "entries", list, "keep_ms", (int)e->settings->answer_keep_ms), 0);
}

/* ===== Status ===== */

typedef struct {
    entry_t *entry;
    json_t *cells;
} describe_t;

static void describe(void *arg)
{
    const describe_t *const d = arg;
    scheduler_describe(d->entry->scheduler, d->cells);
}

static int on_engines(struct mg_connection *conn, void *arg)
{
    entry_t *const e = arg;
    describe_t d = {.entry = e, .cells = json_array()};
    loop_post_wait(e->loop, describe, &d);
    json_t *const holders = json_array();
    view_t *const view = view_acquire(&e->view);
    for (uint32_t i = 0; i < view->n_cells; i++)
        json_array_append_new(holders, codec_to_json(&cell_lease_desc, &view->cells[i]));
    const uint64_t version = view->version;
    view_release(view);
    return http_send_json(conn, 200,
                          json_pack("{s:s,s:I,s:i,s:o,s:o}", "box", e->settings->box, "version", (json_int_t)version,
                                    "inflight", (int)atomic_load(&e->inflight.count), "hosted", d.cells, "holders",
                                    holders),
                          0);
}

static int on_ready(struct mg_connection *conn, void *arg)
{
    entry_t *const e = arg;
    view_t *const view = view_acquire(&e->view);
    const bool placed =
        view_config(view)->policy != POLICY_CELL || view_config(view)->engines_n == 0 || view->n_cells > 0;
    view_release(view);
    const bool ready = entry_may_serve(e) && placed && !atomic_load(&e->draining);
    return http_send_text(conn, ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n");
}

void api_route(entry_t *e, http_server_t *server)
{
    http_route(server, "/v1/completions", on_completion, e);
    http_route(server, "/v1/chat/completions", on_chat, e);
    http_route(server, "/v1/services", on_service, e);
    http_route(server, "/v1/entries", on_entries, e);
    http_route(server, "/v1/engines", on_engines, e);
    http_route(server, "/readyz", on_ready, e);
    pages_route(server);
}
