/* Whether a back end whose answer was lost has ended, or only a connection to it: it is looked at once for all requests
 * that lost their answers there. */

#include <string.h>

#include "common/counter.h"
#include "common/log.h"
#include "forward/forward_internal.h"

COUNTER_DEFINE(c_ended, "counter", "trackcove_forward_backends_ended_total",
               "Back ends found to have ended while they ran requests of this box")

/* ===== Types ===== */

/** One look at one back end. */
typedef struct {
    struct cds_list_head node;
    forwarder_t *owner;
    instance_t *instance; /* a reference */
    web_probe_t probe;
    GArray *lost; /* uint64_t: fingerprints of the requests whose answers were lost there */
} look_t;

/* ===== Looks ===== */

static void look_free(look_t *look)
{
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

/** Nobody listens there, and nothing of this box runs there any more: it has ended. A busy back end may refuse a
 *  connection as well, but goes on with what it runs. */
static void on_looked(void *arg, web_probe_end_t found)
{
    look_t *const look = arg;
    const bool ended = found == WEB_PROBE_REFUSED && look->instance->running == 0;
    if (ended)
        counter_add(&c_ended, 1);
    log_look(look, found, ended);
    look_free(look);
}

static look_t *look_find(const forwarder_t *fw, const instance_t *instance)
{
    look_t *look;
    cds_list_for_each_entry(look, &fw->looks, node)
        if (look->instance == instance)
            return look;
    return NULL;
}

void look_begin(forward_t *f, instance_t *instance)
{
    forwarder_t *const fw = f->owner;
    look_t *look = look_find(fw, instance);
    if (!look) {
        look = g_new0(look_t, 1);
        look->owner = fw;
        look->instance = instance_ref(instance);
        look->lost = g_array_new(FALSE, FALSE, sizeof(uint64_t));
        cds_list_add(&look->node, &fw->looks);
        web_probe(&look->probe, fw->loop, instance->listed.addr, CONNECT_MS, on_looked, look);
    }
    g_array_append_val(look->lost, f->fingerprint);
}

void looks_end(forwarder_t *fw)
{
    look_t *look, *next;
    cds_list_for_each_entry_safe(look, next, &fw->looks, node)
        look_free(look);
}
