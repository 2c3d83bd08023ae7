#include "cluster/roster.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/list.h>

#include "cluster/list.h"

/* ===== Types ===== */

typedef struct {
    struct cds_list_head node; /* by name */
    entry_box_t box;
    tc_time_t heard;
    uint64_t version; /* of the document that it acts on */
    backend_load_t *loads;
    uint32_t loads_n;
} reported_t;

struct roster {
    struct cds_list_head members;
    uint32_t n;
};

/* ===== Life ===== */

roster_t *roster_create(void)
{
    roster_t *const r = g_new0(roster_t, 1);
    CDS_INIT_LIST_HEAD(&r->members);
    return r;
}

static void member_drop(roster_t *r, reported_t *m)
{
    cds_list_del(&m->node);
    r->n--;
    g_free(m->loads);
    g_free(m);
}

void roster_destroy(roster_t *r)
{
    reported_t *m, *next;
    cds_list_for_each_entry_safe(m, next, &r->members, node)
        member_drop(r, m);
    g_free(r);
}

/* ===== Hearing ===== */

static reported_t *member_of(roster_t *r, const char *box)
{
    reported_t *m;
    cds_list_for_each_entry(m, &r->members, node) {
        const int order = strcmp(m->box.box, box);
        if (order == 0)
            return m;
        if (order > 0)
            break;
    }
    reported_t *const fresh = g_new0(reported_t, 1);
    cds_list_add_tail(&fresh->node, &m->node);
    r->n++;
    return fresh;
}

void roster_hear(roster_t *r, const msg_report_t *report, tc_time_t now)
{
    reported_t *const m = member_of(r, report->self.box);
    if (m->box.incarnation > report->self.incarnation)
        return; /* of an earlier start, late */
    m->box = report->self;
    m->heard = now;
    m->version = report->version;
    g_free(m->loads);
    m->loads = g_memdup2(report->loads, report->loads_n * sizeof(*report->loads));
    m->loads_n = report->loads_n;
}

void roster_expire(roster_t *r, tc_time_t now)
{
    reported_t *m, *next;
    cds_list_for_each_entry_safe(m, next, &r->members, node)
        if (now - m->heard > ROSTER_SILENT_MS)
            member_drop(r, m);
}

/* ===== Telling ===== */

bool roster_is_behind(const roster_t *r, uint64_t version)
{
    const reported_t *m;
    cds_list_for_each_entry(m, &r->members, node)
        if (m->version < version)
            return true;
    return false;
}

uint32_t roster_count(const roster_t *r)
{
    return r->n;
}

entry_box_t *roster_list(const roster_t *r, uint32_t *n, uint64_t *hash)
{
    entry_box_t *const list = calloc(r->n + 1, sizeof(*list));
    if (!list)
        abort();
    *n = 0;
    const reported_t *m;
    cds_list_for_each_entry(m, &r->members, node)
        list[(*n)++] = m->box;
    *hash = list_hash(list, *n * sizeof(*list));
    return list;
}

backend_load_t *roster_loads(const roster_t *r, const char *except, uint32_t *n)
{
    GHashTable *const sums = g_hash_table_new(g_str_hash, g_str_equal);
    const reported_t *m;
    cds_list_for_each_entry(m, &r->members, node) {
        for (uint32_t i = 0; i < m->loads_n && strcmp(m->box.box, except) != 0; i++) {
            backend_load_t *sum = g_hash_table_lookup(sums, m->loads[i].id);
            if (!sum) {
                sum = g_memdup2(&m->loads[i], sizeof(*sum));
                g_hash_table_insert(sums, sum->id, sum);
                continue;
            }
            sum->running += m->loads[i].running;
            sum->tokens += m->loads[i].tokens;
        }
    }
    *n = 0;
    backend_load_t *const list = calloc(g_hash_table_size(sums) + 1, sizeof(*list));
    if (!list)
        abort();
    GHashTableIter iter;
    gpointer key, value;
    g_hash_table_iter_init(&iter, sums);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        list[(*n)++] = *(backend_load_t *)value;
        g_free(value);
    }
    g_hash_table_destroy(sums);
    return list;
}

void roster_each(const roster_t *r, void (*fn)(void *arg, const char *peer_addr), void *arg)
{
    const reported_t *m;
    cds_list_for_each_entry(m, &r->members, node)
        fn(arg, m->box.peer_addr);
}
