#include "backend/version_history.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/list.h>

/* ===== Types ===== */

typedef struct {
    struct cds_list_head node;
    char service[CODEC_STR_SIZE], version[CODEC_STR_SIZE];
    bool listed, ready;            /* in the present list: some back end; one that does not leave or may return */
    tc_time_t listed_at, ready_at; /* last time that it was */
} served_version_t;

struct version_history {
    struct cds_list_head versions;
};

/* ===== Lists ===== */

static served_version_t *find(const version_history_t *h, const char *service, const char *version)
{
    served_version_t *v;
    cds_list_for_each_entry(v, &h->versions, node)
        if (strcmp(v->version, version) == 0 && strcmp(v->service, service) == 0)
            return v;
    return NULL;
}

static served_version_t *find_or_add(version_history_t *h, const char *service, const char *version)
{
    served_version_t *v = find(h, service, version);
    if (v)
        return v;
    v = g_new0(served_version_t, 1);
    codec_copy_string(v->service, sizeof(v->service), service);
    codec_copy_string(v->version, sizeof(v->version), version);
    cds_list_add_tail(&v->node, &h->versions);
    return v;
}

static bool counts(const served_version_t *v, tc_time_t now)
{
    return v->listed || now - v->listed_at < VERSION_HISTORY_KEEP_MS;
}

static bool writes_answers(const backend_t *b)
{
    return strcmp(b->stage, "prefill") != 0;
}

/** Ends the present list at @p now. */
static void close_list(version_history_t *h, tc_time_t now)
{
    served_version_t *v;
    cds_list_for_each_entry(v, &h->versions, node) {
        v->listed_at = v->listed ? now : v->listed_at;
        v->ready_at = v->ready ? now : v->ready_at;
        v->listed = v->ready = false;
    }
}

static void forget_old(version_history_t *h, tc_time_t now)
{
    served_version_t *v, *next;
    cds_list_for_each_entry_safe(v, next, &h->versions, node) {
        if (counts(v, now))
            continue;
        cds_list_del(&v->node);
        g_free(v);
    }
}

void version_history_set_list(version_history_t *h, const backend_t *list, uint32_t n, tc_time_t now)
{
    close_list(h, now);
    for (uint32_t i = 0; i < n; i++) {
        if (!list[i].version[0] || !writes_answers(&list[i]))
            continue;
        served_version_t *const v = find_or_add(h, list[i].service, list[i].version);
        v->listed = true;
        v->ready = v->ready || !list[i].draining || list[i].ended;
    }
    forget_old(h, now);
}

/* ===== Versions that left ===== */

left_version_t *version_history_list_left(const version_history_t *h, uint32_t *n, tc_time_t now)
{
    GArray *const left = g_array_new(FALSE, TRUE, sizeof(left_version_t));
    const served_version_t *v;
    cds_list_for_each_entry(v, &h->versions, node) {
        left_version_t one = {.age_ms = (uint64_t)(now - v->listed_at)};
        if (v->listed || !counts(v, now))
            continue;
        codec_copy_string(one.service, sizeof(one.service), v->service);
        codec_copy_string(one.version, sizeof(one.version), v->version);
        g_array_append_val(left, one);
    }
    *n = left->len;
    return (left_version_t *)(void *)g_array_free(left, FALSE);
}

void version_history_add_left(version_history_t *h, const left_version_t *left, tc_time_t now)
{
    if (left->age_ms >= VERSION_HISTORY_KEEP_MS || !left->version[0])
        return;
    served_version_t *const v = find_or_add(h, left->service, left->version);
    v->listed_at = MAX(v->listed_at, now - (tc_time_t)left->age_ms);
}

/* ===== Queries ===== */

bool version_history_has(const version_history_t *h, const char *service, const char *version, tc_time_t now)
{
    const served_version_t *v;
    cds_list_for_each_entry(v, &h->versions, node)
        if (counts(v, now) && strcmp(v->service, service) == 0 && strcmp(v->version, version) == 0)
            return true;
    return false;
}

unsigned version_history_count(const version_history_t *h, const char *service, tc_time_t now)
{
    unsigned n = 0;
    const served_version_t *v;
    cds_list_for_each_entry(v, &h->versions, node)
        n += counts(v, now) && strcmp(v->service, service) == 0;
    return n;
}

bool version_history_is_mixed(const version_history_t *h, tc_time_t now)
{
    const served_version_t *v;
    cds_list_for_each_entry(v, &h->versions, node)
        if (counts(v, now) && version_history_count(h, v->service, now) > 1)
            return true;
    return false;
}

bool version_history_is_gone(const version_history_t *h, const char *service, const char *version, tc_time_t now)
{
    const served_version_t *const v = find(h, service, version);
    if (!v || v->listed)
        return !v || !v->ready;
    /* Those that left were not ready in their last list; those that crashed were. */
    return v->ready_at < v->listed_at || now - v->ready_at >= VERSION_HISTORY_RETURN_MS;
}

/* ===== Life ===== */

version_history_t *version_history_create(void)
{
    version_history_t *const h = g_new0(version_history_t, 1);
    CDS_INIT_LIST_HEAD(&h->versions);
    return h;
}

void version_history_destroy(version_history_t *h)
{
    served_version_t *v, *next;
    cds_list_for_each_entry_safe(v, next, &h->versions, node)
        g_free(v);
    g_free(h);
}
