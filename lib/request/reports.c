#include "request/reports.h"

#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "request/scheduler.h"

/* ===== Constants ===== */

enum {
    PLATFORM_LIST_INTERVAL_MS = 1000, /* a leaving server must get no new work after a few seconds */
    LOAD_INTERVAL_MS = 250,           /* polled under the baseline policies only */
    CALL_TIMEOUT_MS = 800,
    LOOP_INTERVAL_MS = 50
};

struct reports {
    entry_t *entry;
    pthread_t thread;
    pthread_mutex_t lock;
    GHashTable *loads; /* engine -> engine_load_t */
};

/* ===== Platform list ===== */

typedef struct {
    entry_t *entry;
    char (*names)[CODEC_STR_SIZE];
    uint32_t n;
} leaving_t;

static void publish_leaving(void *arg)
{
    leaving_t *const l = arg;
    entry_t *const e = l->entry;
    const view_t *const current = e->view.current;
    const bool same =
        current->n_leaving == l->n && (l->n == 0 || memcmp(current->leaving, l->names, l->n * sizeof(*l->names)) == 0);
    if (!same) {
        view_t *const view = view_copy(&e->view);
        view_set_leaving(view, (const char(*)[CODEC_STR_SIZE])l->names, l->n);
        view_publish(&e->view, view);
        scheduler_configure(e->scheduler);
        log_line_t line;
        log_begin(&line, LOG_INFO, "platform_list");
        log_int(&line, "leaving", l->n);
        log_end(&line);
    }
    free(l->names);
    free(l);
}

static void poll_platform_list(reports_t *r, const char *url)
{
    const http_call_t call = {
        .url = url, .method = "GET", .timeout = CALL_TIMEOUT_MS, .peer = "platform", .step = "platform list"};
    http_result_t result;
    tc_err_t err = {0};
    json_t *body = NULL;
    if (http_call(&call, &result, &err) == TC_OK)
        body = json_loadb(result.body ? result.body : "", result.body_size, 0, NULL);
    free(result.body);
    const json_t *const names = json_object_get(body, "leaving");
    if (json_is_array(names)) { /* without a valid list the last one stays in force */
        leaving_t *const l = calloc(1, sizeof(*l));
        if (!l)
            abort();
        l->entry = r->entry;
        l->names = calloc(json_array_size(names) + 1, sizeof(*l->names));
        if (!l->names)
            abort();
        for (size_t i = 0; i < json_array_size(names); i++) {
            const char *const name = json_string_value(json_array_get(names, i));
            if (name)
                codec_copy_string(l->names[l->n++], CODEC_STR_SIZE, name);
        }
        loop_post(r->entry->loop, publish_leaving, l);
    }
    json_decref(body);
}

/* ===== Engine load ===== */

typedef struct {
    reports_t *reports;
    char engine[CODEC_STR_SIZE];
    char url[CODEC_PATH_SIZE];
} load_poll_t;

static void run_load_poll(void *arg)
{
    load_poll_t *const poll = arg;
    reports_t *const r = poll->reports;
    engine_load_t load;
    tc_err_t err = {0};
    if (engine_load(poll->engine, poll->url, CALL_TIMEOUT_MS, &load, &err) == TC_OK) {
        pthread_mutex_lock(&r->lock);
        g_hash_table_insert(r->loads, g_strdup(poll->engine), g_memdup2(&load, sizeof(load)));
        pthread_mutex_unlock(&r->lock);
    }
    free(poll);
}

static void poll_loads(reports_t *r, const view_t *view)
{
    for (uint32_t i = 0; i < view_config(view)->engines_n; i++) {
        load_poll_t *const poll = calloc(1, sizeof(*poll));
        if (!poll)
            abort();
        poll->reports = r;
        codec_copy_string(poll->engine, sizeof(poll->engine), view_config(view)->engines[i].name);
        codec_copy_string(poll->url, sizeof(poll->url), view_config(view)->engines[i].url);
        entry_run_job(r->entry, run_load_poll, poll);
    }
}

bool reports_get_load(reports_t *r, const char *engine, engine_load_t *load)
{
    pthread_mutex_lock(&r->lock);
    const engine_load_t *const found = g_hash_table_lookup(r->loads, engine);
    if (found)
        *load = *found;
    pthread_mutex_unlock(&r->lock);
    return found != NULL;
}

/* ===== Polling thread ===== */

static void *run(void *arg)
{
    reports_t *const r = arg;
    tc_time_t list_at = 0, load_at = 0;
    for (;;) {
        view_t *const view = view_acquire(&r->entry->view);
        const tc_time_t now = tc_time_now();
        if (now >= list_at && view_config(view)->platform_url[0]) {
            list_at = now + PLATFORM_LIST_INTERVAL_MS;
            poll_platform_list(r, view_config(view)->platform_url);
        }
        if (now >= load_at && view_config(view)->policy <= POLICY_LEAST_LOADED) {
            load_at = now + LOAD_INTERVAL_MS;
            poll_loads(r, view);
        }
        view_release(view);
        tc_time_sleep(LOOP_INTERVAL_MS);
    }
    return NULL;
}

reports_t *reports_create(entry_t *entry)
{
    reports_t *const r = calloc(1, sizeof(*r));
    if (!r)
        abort();
    r->entry = entry;
    pthread_mutex_init(&r->lock, NULL);
    r->loads = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    if (pthread_create(&r->thread, NULL, run, r) != 0)
        abort();
    return r;
}
