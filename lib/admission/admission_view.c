#include "admission/admission_view.h"

#include <jansson.h>
#include <string.h>

#include "common/text.h"

/* ===== Life ===== */

static void free_service(gpointer data)
{
    admission_service_t *const s = data;
    g_array_free(s->backends, TRUE);
    g_array_free(s->queue, TRUE);
    g_array_free(s->workspaces, TRUE);
    g_free(s);
}

admission_view_t *admission_view_create(bool held)
{
    admission_view_t *const view = g_new0(admission_view_t, 1);
    view->held = held;
    view->services = g_ptr_array_new_with_free_func(free_service);
    return view;
}

void admission_view_free(admission_view_t *view)
{
    g_ptr_array_free(view->services, TRUE);
    g_free(view);
}

admission_service_t *admission_view_add(admission_view_t *view, const char *service, admission_kind_t kind)
{
    admission_service_t *const s = g_new0(admission_service_t, 1);
    codec_copy_string(s->service, sizeof(s->service), service);
    s->kind = kind;
    s->backends = g_array_new(FALSE, TRUE, sizeof(slot_backend_view_t));
    s->queue = g_array_new(FALSE, TRUE, sizeof(admission_class_t));
    s->workspaces = g_array_new(FALSE, TRUE, sizeof(admission_workspace_t));
    g_ptr_array_add(view->services, s);
    return s;
}

/* ===== Contents ===== */

/** Whether @p a is listed before @p b; equal levels by name, so that the order does not change by itself. */
static bool is_listed_before(const admission_workspace_t *a, const admission_workspace_t *b)
{
    return a->level != b->level ? a->level > b->level : strcmp(a->workspace, b->workspace) < 0;
}

/** Inserts a workspace at its place, if that is among the first ones. */
static void add_workspace(void *arg, const char *workspace, const fair_share_use_t *use)
{
    admission_service_t *const s = arg;
    admission_workspace_t entry = {.use = *use, .level = (use->queued + use->running) / use->weight};
    codec_copy_string(entry.workspace, sizeof(entry.workspace), workspace);
    guint at = s->workspaces->len;
    while (at > 0 && is_listed_before(&entry, &g_array_index(s->workspaces, admission_workspace_t, at - 1)))
        at--;
    s->workspaces_n++;
    if (at == ADMISSION_WORKSPACES_MAX)
        return;
    g_array_insert_val(s->workspaces, at, entry);
    g_array_set_size(s->workspaces, MIN(s->workspaces->len, ADMISSION_WORKSPACES_MAX));
}

void admission_service_set_workspaces(admission_service_t *s, const fair_share_t *share)
{
    g_array_set_size(s->workspaces, 0);
    s->workspaces_n = 0;
    fair_share_foreach(share, add_workspace, s);
}

void admission_service_set_returns(admission_service_t *s, const returns_t *returns)
{
    s->has_returns = returns != NULL;
    if (returns)
        s->returns = returns_stats(returns);
}

/* ===== JSON ===== */

static void set_count(json_t *to, const char *key, uint64_t n)
{
    json_object_set_new(to, key, json_integer((json_int_t)n));
}

static void set_number(json_t *to, const char *key, double value)
{
    json_object_set_new(to, key, json_real(value));
}

static void set_name(json_t *to, const char *key, const char *name)
{
    json_object_set_new(to, key, text_to_json(name));
}

static json_t *backend_to_json(const slot_backend_view_t *b)
{
    json_t *const to = json_object();
    set_name(to, "backend", b->backend);
    set_count(to, "slots", b->slots);
    set_count(to, "tickets", b->tickets);
    set_count(to, "unticketed", b->unticketed);
    set_count(to, "extra", b->extra);
    set_number(to, "pace", b->pace);
    set_number(to, "service_ms", b->service_ms);
    json_object_set_new(to, "failing", json_boolean(b->failing));
    return to;
}

static json_t *class_to_json(const admission_class_t *c)
{
    json_t *const to = json_object();
    set_count(to, "priority", c->priority);
    set_count(to, "rank", c->rank);
    set_count(to, "in_time", c->in_time);
    set_count(to, "yielded", c->yielded);
    set_count(to, "late", c->late);
    set_count(to, "oldest_ms", (uint64_t)c->oldest_ms);
    return to;
}

static json_t *workspace_to_json(const admission_workspace_t *w)
{
    json_t *const to = json_object();
    set_name(to, "workspace", w->workspace);
    set_count(to, "weight", w->use.weight);
    set_number(to, "queued", w->use.queued);
    set_number(to, "running", w->use.running);
    set_number(to, "level", w->level);
    return to;
}

static json_t *returns_to_json(const returns_stats_t *r)
{
    json_t *const to = json_object();
    set_count(to, "remembered", r->remembered);
    set_count(to, "refused", r->refused);
    set_count(to, "promised", r->promised);
    set_count(to, "in_time", r->in_time);
    set_count(to, "early", r->early);
    set_count(to, "lapsed", r->lapsed);
    set_count(to, "kept", r->kept);
    set_count(to, "broken", r->broken);
    set_number(to, "booked", r->booked);
    set_number(to, "rate_s", r->rate * 1000);
    return to;
}

/** Adds an array with an entry for each item of a list. */
#define SET_LIST(to, key, list, type, to_json)                                                                         \
    do {                                                                                                               \
        json_t *const items = json_array();                                                                            \
        for (guint i = 0; i < (list)->len; i++)                                                                        \
            json_array_append_new(items, to_json(&g_array_index(list, type, i)));                                      \
        json_object_set_new(to, key, items);                                                                           \
    } while (0)

static json_t *service_to_json(const admission_service_t *s)
{
    json_t *const to = json_object();
    set_name(to, "service", s->service);
    json_object_set_new(to, "kind", json_string(s->kind == ADMISSION_SLOTS ? "slots" : "engines"));
    json_object_set_new(to, "ranked", json_boolean(s->ranked));
    set_count(to, "queued", s->queued);
    set_count(to, "queued_late", s->queued_late);
    set_number(to, "rate_s", s->rate_s);
    set_count(to, "granted", s->granted);
    set_count(to, "refused", s->refused);
    set_count(to, "expired", s->expired);
    if (s->kind == ADMISSION_SLOTS)
        SET_LIST(to, "backends", s->backends, slot_backend_view_t, backend_to_json);
    SET_LIST(to, "queue", s->queue, admission_class_t, class_to_json);
    set_count(to, "workspaces_n", s->workspaces_n);
    SET_LIST(to, "workspaces", s->workspaces, admission_workspace_t, workspace_to_json);
    if (s->has_returns)
        json_object_set_new(to, "returns", returns_to_json(&s->returns));
    return to;
}

char *admission_view_to_json(const admission_view_t *view)
{
    json_t *const services = json_array();
    for (guint i = 0; i < view->services->len; i++)
        json_array_append_new(services, service_to_json(g_ptr_array_index(view->services, i)));
    json_t *const root = json_object();
    json_object_set_new(root, "held", json_boolean(view->held));
    json_object_set_new(root, "services", services);
    /* Ten digits: with the default of 17 a time like 0.1 is hard to read. */
    char *const text = json_dumps(root, JSON_COMPACT | JSON_REAL_PRECISION(10));
    if (!text)
        abort(); /* out of memory: all parts are valid */
    json_decref(root);
    return text;
}
