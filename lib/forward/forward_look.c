/* Whether a back end whose answer was lost has ended, or only a connection to it: it is looked at once for all requests
 * that lost their answers there, and those that can go on wait for what is found. */

#include <string.h>

#include "common/counter.h"
#include "common/log.h"
#include "forward/forward_internal.h"

COUNTER_DEFINE(c_ended, "counter", "trackcove_forward_backends_ended_total",
               "Back ends found to have ended while they ran requests of this box")

/* ===== Constants ===== */

enum {
    LOOK_AFTER_MS = 5,  /* before a look: a process that ends closes its sockets one after the other, the one it listens
                           at among them */
    LOOK_AGAIN_MS = 20, /* between looks while calls of this box are on their way there */
    LOOK_MOST_MS = 300  /* in all: calls that find nobody fail by then, see CONNECT_MS */
};

/* ===== Types ===== */

struct look {
    struct cds_list_head node; /* among the forwarder's */
    forwarder_t *owner;
    instance_t *instance; /* a reference */
    loop_timer_t start;
    web_probe_t probe;
    tc_time_t lost_at;            /* the first answer was */
    GArray *lost;                 /* uint64_t: fingerprints of the requests whose answers were */
    struct cds_list_head waiters; /* look_wait_t */
};

/* ===== Ends of looks ===== */

static void look_free(look_t *look)
{
    loop_disarm(&look->start);
    web_probe_cancel(&look->probe);
    cds_list_del(&look->node);
    instance_unref(look->instance);
    g_array_free(look->lost, TRUE);
    g_free(look);
}

static void log_look(const look_t *look, web_probe_end_t found, bool ended)
{
    static const char *const names[] = {"open", "refused", "silent"};
    log_line_t line;
    log_begin(&line, LOG_INFO, "backend_looked");
    log_str(&line, "backend", look->instance->listed.id);
    log_str(&line, "addr", look->instance->listed.addr);
    log_str(&line, "found", names[found]);
    log_int(&line, "ended", ended);
    log_int(&line, "lost", look->lost->len);
    log_int(&line, "running", look->instance->running);
    log_end(&line);
}

/** The end counts against all that ran there, and others are to know. */
static void note_end(const look_t *look)
{
    forwarder_t *const fw = look->owner;
    const tc_time_t now = tc_time_now();
    counter_add(&c_ended, 1);
    for (guint i = 0; i < look->lost->len; i++)
        (void)quarantine_add_crash(fw->quarantine, g_array_index(look->lost, uint64_t, i), look->instance->listed.id,
                                   look->lost_at, now);
    if (fw->scheduler)
        reporter_report_now(fw->scheduler);
}

/** Those that waited go on. What they do may end them, and others. */
static void go_on(look_t *look, bool ended)
{
    while (!cds_list_empty(&look->waiters)) {
        look_wait_t *const wait = cds_list_first_entry(&look->waiters, look_wait_t, node);
        forward_t *const f = wait->request;
        look_leave(f);
        step_looked(f, look->instance, ended);
    }
}

static void on_start(void *arg);

/** Whether to look once more: a call that was on its way there when the back end ended counts as running until it has
 *  found nobody. */
static bool is_undecided(const look_t *look, web_probe_end_t found, tc_time_t now)
{
    return found == WEB_PROBE_REFUSED && look->instance->running > 0 && now - look->lost_at < LOOK_MOST_MS;
}

/** Nobody listens there, and nothing of this box runs there any more: it has ended. A busy back end may refuse a
 *  connection as well, but goes on with what it runs. */
static void on_looked(void *arg, web_probe_end_t found)
{
    look_t *const look = arg;
    const tc_time_t now = tc_time_now();
    if (is_undecided(look, found, now)) {
        loop_arm(look->owner->loop, &look->start, now + LOOK_AGAIN_MS, on_start, look);
        return;
    }
    const bool ended = found == WEB_PROBE_REFUSED && look->instance->running == 0;
    log_look(look, found, ended);
    if (ended)
        note_end(look);
    go_on(look, ended);
    look_free(look);
}

static void on_start(void *arg)
{
    look_t *const look = arg;
    web_probe(&look->probe, look->owner->loop, look->instance->listed.addr, CONNECT_MS, on_looked, look);
}

/* ===== Begin ===== */

static look_t *look_find(const forwarder_t *fw, const instance_t *instance)
{
    look_t *look;
    cds_list_for_each_entry(look, &fw->looks, node)
        if (look->instance == instance)
            return look;
    return NULL;
}

static look_t *look_create(forwarder_t *fw, instance_t *instance)
{
    look_t *const look = g_new0(look_t, 1);
    look->owner = fw;
    look->instance = instance_ref(instance);
    look->lost_at = tc_time_now();
    look->lost = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    CDS_INIT_LIST_HEAD(&look->waiters);
    cds_list_add(&look->node, &fw->looks);
    loop_arm(fw->loop, &look->start, look->lost_at + LOOK_AFTER_MS, on_start, look);
    return look;
}

look_t *look_begin(forward_t *f, instance_t *instance)
{
    look_t *look = look_find(f->owner, instance);
    if (!look)
        look = look_create(f->owner, instance);
    g_array_append_val(look->lost, f->fingerprint);
    return look;
}

void look_wait(forward_t *f, look_t *look, dialect_op_t op, const char *why)
{
    f->looks_at = (look_wait_t){.request = f, .at = look, .op = op, .why = why};
    cds_list_add_tail(&f->looks_at.node, &look->waiters);
}

void look_leave(forward_t *f)
{
    if (!f->looks_at.at)
        return;
    cds_list_del(&f->looks_at.node);
    f->looks_at.at = NULL;
}

void looks_end(forwarder_t *fw)
{
    look_t *look, *next;
    cds_list_for_each_entry_safe(look, next, &fw->looks, node)
        look_free(look);
}
