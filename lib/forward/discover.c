#include "forward/discover.h"

#include <string.h>

#include "common/counter.h"
#include "common/log.h"
#include "forward/dialect.h"
#include "web/web_ask.h"

COUNTER_DEFINE(c_calls, "counter", "trackcove_discover_calls_total", "Calls to the platform's list of back ends")
COUNTER_DEFINE(c_failed, "counter", "trackcove_discover_failed_total", "Readings of that list that failed")

enum { CONNECT_MS = 400, PAGE_MS = 1000, PAGES_MAX = 64 };

struct discover {
    loop_t *loop;
    web_client_t *client;
    char addr[CODEC_STR_SIZE];
    discover_fn_t fn;
    void *arg;
    web_ask_t ask; /* for the page under way */
    GArray *list;  /* backend_t, of the pages read so far */
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

/** The reading goes on, unless it has no end: a part of the list would have the rest look gone. */
static void go_on(discover_t *d, const char *page)
{
    if (d->pages < PAGES_MAX) {
        ask_page(d, page);
        return;
    }
    tc_err_t err = {0};
    tc_err_set(&err, TC_E_INVALID, "read list of back ends", d->addr, "more than %d pages", PAGES_MAX);
    fail(d, &err);
}

/** A back end that moved from page to page between two calls is told once, as the later one told of it. */
static void drop_repeated(GArray *list)
{
    GHashTable *const places = g_hash_table_new(g_str_hash, g_str_equal); /* id, in the list -> place */
    backend_t *const told = (backend_t *)(void *)list->data;
    guint kept = 0;
    for (guint i = 0; i < list->len; i++) {
        gpointer place;
        if (g_hash_table_lookup_extended(places, told[i].id, NULL, &place)) {
            told[GPOINTER_TO_UINT(place)] = told[i];
            continue;
        }
        told[kept] = told[i];
        g_hash_table_insert(places, told[kept].id, GUINT_TO_POINTER(kept));
        kept++;
    }
    g_hash_table_destroy(places);
    g_array_set_size(list, kept);
}

static void page_read(discover_t *d)
{
    tc_err_t err = {0};
    char *next = NULL;
    if (d->ask.status != 200) {
        tc_err_set(&err, TC_E_REFUSED, "read list of back ends", d->addr, "status %d", d->ask.status);
        fail(d, &err);
        return;
    }
    if (dialect_read_list((const char *)d->ask.body->data, d->ask.body->len, d->list, &next, &err) < 0) {
        fail(d, &err);
        return;
    }
    if (next) {
        go_on(d, next);
        g_free(next);
        return;
    }
    drop_repeated(d->list);
    if (d->failing) {
        log_line_t line;
        log_begin(&line, LOG_INFO, "discovery_regained");
        log_int(&line, "backends", d->list->len);
        log_end(&line);
    }
    d->failing = false;
    d->fn(d->arg, (const backend_t *)(const void *)d->list->data, d->list->len, d->started);
}

static void on_page(void *arg, web_ask_end_t how)
{
    discover_t *const d = arg;
    if (how == WEB_ASK_WHOLE) {
        page_read(d);
        return;
    }
    tc_err_t err = {0};
    if (how == WEB_ASK_LATE)
        tc_err_set(&err, TC_E_TIMEOUT, "read list of back ends", d->addr, "no answer in %d ms", PAGE_MS);
    else
        tc_err_set(&err, TC_E_UNREACHABLE, "read list of back ends", d->addr, "no whole answer");
    fail(d, &err);
}

static void ask_page(discover_t *d, const char *page)
{
    counter_add(&c_calls, 1);
    d->pages++;
    const web_ask_where_t where = {
        .loop = d->loop, .client = d->client, .addr = d->addr, .connect_ms = CONNECT_MS, .limit_ms = PAGE_MS};
    web_ask(&d->ask, &where, dialect_write_list(d->addr, page), on_page, d);
}

void discover_read(discover_t *d)
{
    if (d->ask.call)
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
    d->ask.body = g_byte_array_new();
    return d;
}

void discover_destroy(discover_t *d)
{
    web_ask_cancel(&d->ask);
    g_array_free(d->list, TRUE);
    g_byte_array_free(d->ask.body, TRUE);
    g_free(d);
}
