#include "forward/discover.h"

#include <string.h>

#include "common/counter.h"
#include "common/log.h"
#include "forward/dialect.h"

COUNTER_DEFINE(c_calls, "counter", "trackcove_discover_calls_total", "Calls to the platform's list of back ends")
COUNTER_DEFINE(c_failed, "counter", "trackcove_discover_failed_total", "Readings of that list that failed")

enum { CONNECT_MS = 400, PAGE_MS = 1000, PAGES_MAX = 64 };

struct discover {
    loop_t *loop;
    web_client_t *client;
    char addr[CODEC_STR_SIZE];
    discover_fn_t fn;
    void *arg;
    web_call_t *call; /* the page under way */
    loop_timer_t limit;
    GArray *list; /* backend_t, of the pages read so far */
    GByteArray *body;
    int status;
    unsigned pages;
    tc_time_t started;
    bool failing;
};

static void ask_page(discover_t *d, const char *page);

static void fail(discover_t *d, const tc_err_t *err)
{
    counter_add(&c_failed, 1);
    if (!d->failing)
        log_failure(LOG_WARN, "discovery_lost", err);
    d->failing = true;
}

static void page_read(discover_t *d)
{
    tc_err_t err = {0};
    char *next = NULL;
    if (d->status != 200) {
        tc_err_set(&err, TC_E_REFUSED, "read list of back ends", d->addr, "status %d", d->status);
        fail(d, &err);
        return;
    }
    if (dialect_read_list((const char *)d->body->data, d->body->len, d->list, &next, &err) < 0) {
        fail(d, &err);
        return;
    }
    if (next && d->pages < PAGES_MAX) {
        ask_page(d, next);
        g_free(next);
        return;
    }
    g_free(next);
    if (d->failing) {
        log_line_t line;
        log_begin(&line, LOG_INFO, "discovery_regained");
        log_int(&line, "backends", d->list->len);
        log_end(&line);
    }
    d->failing = false;
    d->fn(d->arg, (const backend_t *)(const void *)d->list->data, d->list->len, d->started);
}

static web_verdict_t on_head(void *arg, const web_head_t *head)
{
    ((discover_t *)arg)->status = head->status;
    return WEB_TAKE;
}

static void on_data(void *arg, const char *data, size_t size)
{
    g_byte_array_append(((discover_t *)arg)->body, (const guint8 *)data, (guint)size);
}

static void on_end(void *arg, web_end_t how)
{
    discover_t *const d = arg;
    d->call = NULL;
    loop_disarm(&d->limit);
    if (how == WEB_END_WHOLE) {
        page_read(d);
        return;
    }
    tc_err_t err = {0};
    tc_err_set(&err, TC_E_UNREACHABLE, "read list of back ends", d->addr, "no whole answer");
    fail(d, &err);
}

static void on_limit(void *arg)
{
    discover_t *const d = arg;
    web_call_cancel(d->call);
    d->call = NULL;
    tc_err_t err = {0};
    tc_err_set(&err, TC_E_TIMEOUT, "read list of back ends", d->addr, "no answer in %d ms", PAGE_MS);
    fail(d, &err);
}

static void ask_page(discover_t *d, const char *page)
{
    counter_add(&c_calls, 1);
    d->pages++;
    g_byte_array_set_size(d->body, 0);
    const web_sink_t sink = {.on_head = on_head, .on_data = on_data, .on_end = on_end, .arg = d};
    d->call = web_call(d->client, d->addr, dialect_write_list(d->addr, page), true, CONNECT_MS, &sink);
    loop_arm(d->loop, &d->limit, tc_time_now() + PAGE_MS, on_limit, d);
}

void discover_read(discover_t *d)
{
    if (d->call)
        return;
    g_array_set_size(d->list, 0);
    d->pages = 0;
    d->started = tc_time_now();
    ask_page(d, "");
}

tc_time_t discover_asked(const discover_t *d)
{
    return d->started;
}

discover_t *discover_create(loop_t *loop, web_client_t *client, const char *addr, discover_fn_t fn, void *arg)
{
    discover_t *const d = g_new0(discover_t, 1);
    d->loop = loop;
    d->client = client;
    codec_copy_string(d->addr, sizeof(d->addr), addr);
    d->fn = fn;
    d->arg = arg;
    d->list = g_array_new(FALSE, TRUE, sizeof(backend_t));
    d->body = g_byte_array_new();
    return d;
}

void discover_destroy(discover_t *d)
{
    if (d->call)
        web_call_cancel(d->call);
    loop_disarm(&d->limit);
    g_array_free(d->list, TRUE);
    g_byte_array_free(d->body, TRUE);
    g_free(d);
}
