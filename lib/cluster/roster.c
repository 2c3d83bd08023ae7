#include "cluster/roster.h"

#include <assert.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/list.h>

/* ===== Types ===== */

typedef struct {
    struct cds_list_head node; /* sorted by name */
    entry_box_t box;
    tc_time_t reported_at;             /* last report */
    tc_time_t engines_sent_at;         /* when the loads of engines were last sent to it; 0: never */
    uint64_t version[ROSTER_SUBJECTS]; /* that it acts on */
    backend_load_t *loads;
    uint32_t loads_n;
} reported_t;

/** Kind of a back end for which kind_of has not been called yet. */
enum { KIND_UNKNOWN = ROSTER_KINDS, KINDS };

/** Least number of requests at a decode engine for its load to be sent. */
enum { DECODE_RUNNING_MIN = 2 };

/** Total of what boxes have in flight at one back end. */
typedef struct {
    struct cds_list_head node; /* in the list of its kind */
    int kind;                  /* roster_kind_t, or KIND_UNKNOWN */
    backend_load_t load;
    uint32_t parts; /* number of loads in the sum */
} sum_t;

struct roster {
    struct cds_list_head members;
    GHashTable *by_name; /* box -> reported_t */
    GHashTable *sums;    /* back end -> sum_t over all boxes, updated with each report; owned */
    struct cds_list_head kinds[KINDS];
    uint32_t sums_n[KINDS];
    uint32_t n;
    list_publisher_t *list; /* published list of boxes */
    bool is_listed;         /* list is up to date */
    tc_time_t listed_at;
};

/* ===== Lifecycle ===== */

roster_t *roster_create(void)
{
    roster_t *const r = g_new0(roster_t, 1);
    CDS_INIT_LIST_HEAD(&r->members);
    r->by_name = g_hash_table_new(g_str_hash, g_str_equal);
    r->sums = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    r->list = list_publisher_create(&list_of_entries);
    for (int i = 0; i < KINDS; i++)
        CDS_INIT_LIST_HEAD(&r->kinds[i]);
    return r;
}

/* ===== Loads ===== */

static void set_kind(roster_t *r, sum_t *sum, roster_kind_t kind)
{
    cds_list_del(&sum->node);
    cds_list_add_tail(&sum->node, &r->kinds[kind]);
    r->sums_n[sum->kind]--;
    r->sums_n[kind]++;
    sum->kind = kind;
}

static void sum_add(roster_t *r, const backend_load_t *load)
{
    sum_t *sum = g_hash_table_lookup(r->sums, load->id);
    if (!sum) {
        sum = g_new0(sum_t, 1);
        codec_copy_string(sum->load.id, sizeof(sum->load.id), load->id);
        sum->kind = KIND_UNKNOWN;
        cds_list_add_tail(&sum->node, &r->kinds[KIND_UNKNOWN]);
        r->sums_n[KIND_UNKNOWN]++;
        g_hash_table_insert(r->sums, sum->load.id, sum);
    }
    sum->load.running += load->running;
    sum->load.tokens += load->tokens;
    sum->parts++;
}

static void sum_subtract(roster_t *r, const backend_load_t *load)
{
    sum_t *const sum = g_hash_table_lookup(r->sums, load->id);
    assert(sum && sum->parts > 0); /* each load was added before */
    sum->load.running -= load->running;
    sum->load.tokens -= load->tokens;
    if (--sum->parts > 0)
        return;
    cds_list_del(&sum->node);
    r->sums_n[sum->kind]--;
    g_hash_table_remove(r->sums, load->id);
}

static void set_loads(roster_t *r, reported_t *m, const backend_load_t *loads, uint32_t n)
{
    for (uint32_t i = 0; i < m->loads_n; i++)
        sum_subtract(r, &m->loads[i]);
    g_free(m->loads);
    m->loads = g_memdup2(loads, n * sizeof(*loads));
    m->loads_n = n;
    for (uint32_t i = 0; i < n; i++)
        sum_add(r, &m->loads[i]);
}

/** What all boxes but @p self have in flight at a back end. @param self or NULL */
static backend_load_t load_of_others(const sum_t *sum, const reported_t *self)
{
    backend_load_t load = sum->load;
    for (uint32_t i = 0; self && i < self->loads_n; i++) {
        if (strcmp(self->loads[i].id, load.id) != 0)
            continue;
        load.running -= self->loads[i].running;
        load.tokens -= self->loads[i].tokens;
    }
    return load;
}

/** Add the loads of one kind with at least @p least requests. */
static void add_loads(const roster_t *r, roster_loads_t *loads, const reported_t *self, roster_kind_t kind,
                      uint32_t least)
{
    const sum_t *sum;
    cds_list_for_each_entry(sum, &r->kinds[kind], node) {
        loads->list[loads->n] = load_of_others(sum, self);
        loads->n += loads->list[loads->n].running >= least;
    }
}

roster_loads_t roster_loads(roster_t *r, const char *except, roster_kind_fn_t kind_of, void *arg, bool engines)
{
    const reported_t *const self = g_hash_table_lookup(r->by_name, except);
    sum_t *sum, *next;
    cds_list_for_each_entry_safe(sum, next, &r->kinds[KIND_UNKNOWN], node)
        set_kind(r, sum, kind_of(arg, sum->load.id));
    roster_loads_t loads = {.list = calloc(g_hash_table_size(r->sums) + 1, sizeof(*loads.list))};
    if (!loads.list)
        abort();
    add_loads(r, &loads, self, ROSTER_PLAIN, 1);
    loads.plain_n = loads.n;
    if (engines) {
        add_loads(r, &loads, self, ROSTER_PREFILL, 1);
        add_loads(r, &loads, self, ROSTER_DECODE, DECODE_RUNNING_MIN);
    }
    return loads;
}

bool roster_engine_loads_due(const roster_t *r, const char *box, tc_time_t every, tc_time_t now)
{
    const reported_t *const m = g_hash_table_lookup(r->by_name, box);
    return m && (m->engines_sent_at == 0 || now - m->engines_sent_at >= every);
}

void roster_engine_loads_sent(const roster_t *r, const char *box, tc_time_t now)
{
    reported_t *const m = g_hash_table_lookup(r->by_name, box);
    if (m)
        m->engines_sent_at = now;
}

/* ===== Members ===== */

static void member_drop(roster_t *r, reported_t *m)
{
    cds_list_del(&m->node);
    g_hash_table_remove(r->by_name, m->box.box);
    set_loads(r, m, NULL, 0);
    r->n--;
    r->is_listed = false;
    g_free(m->loads);
    g_free(m);
}

void roster_destroy(roster_t *r)
{
    reported_t *m, *next;
    cds_list_for_each_entry_safe(m, next, &r->members, node)
        member_drop(r, m);
    g_hash_table_destroy(r->by_name);
    g_hash_table_destroy(r->sums);
    list_publisher_destroy(r->list);
    g_free(r);
}

/* ===== Reports ===== */

static reported_t *member_of(roster_t *r, const char *box)
{
    reported_t *m = g_hash_table_lookup(r->by_name, box);
    if (m)
        return m;
    struct cds_list_head *before = &r->members;
    cds_list_for_each_entry(m, &r->members, node) {
        if (strcmp(m->box.box, box) > 0) {
            before = &m->node;
            break;
        }
    }
    reported_t *const fresh = g_new0(reported_t, 1);
    codec_copy_string(fresh->box.box, sizeof(fresh->box.box), box);
    g_hash_table_insert(r->by_name, fresh->box.box, fresh);
    cds_list_add_tail(&fresh->node, before);
    r->n++;
    return fresh;
}

/** Whether two records of a box are published alike. */
static bool is_same_box(const entry_box_t *a, const entry_box_t *b)
{
    return a->incarnation == b->incarnation && a->ready == b->ready && a->leaving == b->leaving &&
           strcmp(a->box, b->box) == 0 && strcmp(a->dc, b->dc) == 0 && strcmp(a->http_addr, b->http_addr) == 0 &&
           strcmp(a->peer_addr, b->peer_addr) == 0;
}

void roster_update(roster_t *r, const msg_report_t *report, tc_time_t now)
{
    reported_t *const m = member_of(r, report->self.box);
    if (m->box.incarnation > report->self.incarnation)
        return; /* a delayed report of an earlier start */
    if (!is_same_box(&m->box, &report->self))
        r->is_listed = false;
    m->box = report->self;
    m->reported_at = now;
    m->version[ROSTER_DOCUMENT] = report->version;
    m->version[ROSTER_EVACUATIONS] = report->evacuations_version;
    set_loads(r, m, report->loads, report->loads_n);
}

void roster_expire(roster_t *r, roster_silent_fn_t fn, void *arg, tc_time_t now)
{
    reported_t *m, *next;
    cds_list_for_each_entry_safe(m, next, &r->members, node) {
        if (now - m->reported_at <= ROSTER_TIMEOUT_MS)
            continue;
        if (fn && !m->box.leaving)
            fn(arg, m->version);
        member_drop(r, m);
    }
}

/* ===== Queries ===== */

bool roster_is_behind(const roster_t *r, roster_subject_t subject, uint64_t version)
{
    const reported_t *m;
    cds_list_for_each_entry(m, &r->members, node)
        if (m->version[subject] < version)
            return true;
    return false;
}

bool roster_has(const roster_t *r, const char *box)
{
    return g_hash_table_contains(r->by_name, box);
}

uint32_t roster_count(const roster_t *r)
{
    return r->n;
}

/** Minimum interval between two lists, per live box: with 1,000 boxes that start or stop, a list collects the changes
 * of 0.2 s. */
static const double LIST_MS_PER_BOX = 0.2;

list_publisher_t *roster_list(roster_t *r, tc_time_t now)
{
    if (r->is_listed || (double)(now - r->listed_at) < LIST_MS_PER_BOX * r->n)
        return r->list;
    entry_box_t *const boxes = g_new0(entry_box_t, r->n + 1);
    uint32_t n = 0;
    const reported_t *m;
    cds_list_for_each_entry(m, &r->members, node)
        boxes[n++] = m->box;
    (void)list_publisher_set(r->list, boxes, n);
    g_free(boxes);
    r->is_listed = true;
    r->listed_at = now;
    return r->list;
}

void roster_for_each(const roster_t *r, void (*fn)(void *arg, const char *peer_addr), void *arg)
{
    const reported_t *m;
    cds_list_for_each_entry(m, &r->members, node)
        fn(arg, m->box.peer_addr);
}
