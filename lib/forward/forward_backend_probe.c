/* Finds out whether a back end whose answer was lost has ended, or only a connection to it. One probe serves all
 * requests that lost their answers there; those that can continue wait for its result. */

#include <string.h>
#include <unistd.h>

#include "common/counter.h"
#include "common/log.h"
#include "egress/dial.h"
#include "forward/forward_internal.h"

COUNTER_DEFINE(c_ended, "counter", "trackcove_forward_backends_ended_total",
               "Back ends found to have ended while they ran requests of this box")

/* ===== Constants ===== */

enum {
    PROBE_DELAY_MS = 5,     /* before the first probe: an ending process closes its sockets one after the other,
                                  including the listening one */
    PROBE_INTERVAL_MS = 20, /* between probes while calls of this box are in transit to the back end */
    PROBE_LIMIT_MS = 300    /* for all probes: calls to an ended back end fail by then, see CONNECT_TIMEOUT_MS */
};

/* ===== Types ===== */

typedef struct {
    uint64_t fingerprint;
    tc_time_t began;
} lost_run_t;

struct probe {
    struct cds_list_head node; /* in forwarder.probes */
    forwarder_t *owner;
    instance_t *instance; /* a reference */
    loop_timer_t timer;
    dial_t dial;
    tc_time_t lost_at;            /* time of the first lost answer */
    GArray *lost;                 /* lost_run_t: runs whose answers were lost */
    GArray *parts;                /* part_suspect_t of their prompts */
    struct cds_list_head waiters; /* look_wait_t */
};

/* ===== Results ===== */

static void probe_free(probe_t *probe)
{
    loop_disarm(&probe->timer);
    dial_cancel(&probe->dial);
    cds_list_del(&probe->node);
    instance_unref(probe->instance);
    g_array_free(probe->lost, TRUE);
    g_array_free(probe->parts, TRUE);
    g_free(probe);
}

static void log_probe(const probe_t *probe, dial_outcome_t found, bool ended)
{
    static const char *const names[] = {"open", "refused", "silent"};
    log_line_t line;
    log_begin(&line, LOG_INFO, "backend_looked");
    log_str(&line, "backend", probe->instance->listed.id);
    log_str(&line, "addr", probe->instance->listed.addr);
    log_str(&line, "found", names[found]);
    log_int(&line, "ended", ended);
    log_int(&line, "lost", probe->lost->len);
    log_int(&line, "running", probe->instance->running);
    log_end(&line);
}

static void blame_request(const probe_t *probe, const lost_run_t *run, tc_time_t now)
{
    const forwarder_t *const fw = probe->owner;
    quarantine_crash_t crash = {.request = run->fingerprint,
                                .backend = probe->instance->listed.id,
                                .at = probe->lost_at,
                                .began = MIN(run->began, probe->lost_at),
                                .lost = probe->lost->len};
    crash.is_sound = run_history_find(fw->completed, run->fingerprint, &crash.completed_at);
    (void)quarantine_add_crash(fw->quarantine, &crash, now);
}

/** Counts the end against all requests that ran there, and reports it at once. */
static void record_end(const probe_t *probe)
{
    forwarder_t *const fw = probe->owner;
    const tc_time_t now = tc_time_now();
    counter_add(&c_ended, 1);
    for (guint i = 0; i < probe->parts->len; i++)
        parts_blame(fw, &g_array_index(probe->parts, part_suspect_t, i), probe->instance->listed.id, probe->lost_at,
                    probe->lost->len);
    for (guint i = 0; i < probe->lost->len; i++)
        blame_request(probe, &g_array_index(probe->lost, lost_run_t, i), now);
    if (fw->scheduler)
        reporter_report_now(fw->scheduler);
}

/** Continues the waiting requests. Each may end itself and others. */
static void resume_waiters(probe_t *probe, bool ended)
{
    while (!cds_list_empty(&probe->waiters)) {
        probe_wait_t *const wait = cds_list_first_entry(&probe->waiters, probe_wait_t, node);
        forward_t *const f = wait->request;
        probe_leave(f);
        call_resume_probed(f, probe->instance, ended);
    }
}

static void on_probe_due(void *arg);

/** Whether to probe again: a call in transit when the back end ended counts as running until its connection fails. */
static bool is_undecided(const probe_t *probe, dial_outcome_t found, tc_time_t now)
{
    return found == DIAL_REFUSED && probe->instance->running > 0 && now - probe->lost_at < PROBE_LIMIT_MS;
}

/** A back end has ended when it refuses connections and runs no request of this box any more. A busy back end may
 * refuse a connection too, but its requests keep running. */
static void on_probed(void *arg, const dial_result_t *result)
{
    probe_t *const probe = arg;
    const tc_time_t now = tc_time_now();
    const dial_outcome_t found = result->outcome;
    if (result->fd >= 0)
        close(result->fd);
    if (result->relay)
        egress_record_closed(probe->owner->options.egress, result->relay);
    if (is_undecided(probe, found, now)) {
        loop_arm(probe->owner->loop, &probe->timer, now + PROBE_INTERVAL_MS, on_probe_due, probe);
        return;
    }
    const bool ended = found == DIAL_REFUSED && probe->instance->running == 0;
    log_probe(probe, found, ended);
    if (ended)
        record_end(probe);
    resume_waiters(probe, ended);
    probe_free(probe);
}

static void on_probe_due(void *arg)
{
    probe_t *const probe = arg;
    const forwarder_t *const fw = probe->owner;
    dial_start(&probe->dial, fw->loop, fw->options.egress, probe->instance->listed.addr, CONNECT_TIMEOUT_MS, on_probed,
               probe);
}

/* ===== Starting ===== */

static probe_t *probe_find(const forwarder_t *fw, const instance_t *instance)
{
    probe_t *probe;
    cds_list_for_each_entry(probe, &fw->probes, node)
        if (probe->instance == instance)
            return probe;
    return NULL;
}

static probe_t *probe_create(forwarder_t *fw, instance_t *instance)
{
    probe_t *const probe = g_new0(probe_t, 1);
    probe->owner = fw;
    probe->instance = instance_ref(instance);
    probe->lost_at = tc_time_now();
    probe->lost = g_array_new(FALSE, FALSE, sizeof(lost_run_t));
    probe->parts = g_array_new(FALSE, FALSE, sizeof(part_suspect_t));
    CDS_INIT_LIST_HEAD(&probe->waiters);
    cds_list_add(&probe->node, &fw->probes);
    loop_arm(fw->loop, &probe->timer, probe->lost_at + PROBE_DELAY_MS, on_probe_due, probe);
    return probe;
}

probe_t *probe_begin(const backend_call_t *call)
{
    const forward_t *const f = call->request;
    part_suspect_t suspects[PART_SUSPECTS_MAX];
    probe_t *probe = probe_find(f->owner, call->instance);
    if (!probe)
        probe = probe_create(f->owner, call->instance);
    const lost_run_t run = {.fingerprint = f->fingerprint, .began = call->began};
    g_array_append_val(probe->lost, run);
    g_array_append_vals(probe->parts, suspects, parts_list_suspects(call, suspects));
    return probe;
}

void probe_wait(forward_t *f, probe_t *probe, dialect_op_t op, const char *why)
{
    f->probe_waiter = (probe_wait_t){.request = f, .probe = probe, .op = op, .why = why};
    cds_list_add_tail(&f->probe_waiter.node, &probe->waiters);
}

void probe_leave(forward_t *f)
{
    if (!f->probe_waiter.probe)
        return;
    cds_list_del(&f->probe_waiter.node);
    f->probe_waiter.probe = NULL;
}

void probes_destroy(forwarder_t *fw)
{
    probe_t *probe, *next;
    cds_list_for_each_entry_safe(probe, next, &fw->probes, node)
        probe_free(probe);
}
