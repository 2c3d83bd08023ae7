#include "forward/discover.h"

#include <string.h>

#include "common/counter.h"
#include "common/json_salvage.h"
#include "common/log.h"
#include "forward/dialect.h"
#include "forward/paged_read.h"
#include "web/web_fetch.h"

COUNTER_DEFINE(c_calls, "counter", "trackcove_discover_calls_total", "Calls to the platform's list of back ends")
COUNTER_DEFINE(c_refused, "counter", "trackcove_discover_refused_total",
               "Of these, those that the platform refused, since there were too many")
COUNTER_DEFINE(c_unreadable, "counter", "trackcove_discover_unreadable_total",
               "Entries of that list that cannot be read and are left out")
COUNTER_DEFINE(c_failed, "counter", "trackcove_discover_failed_total", "Readings of that list that failed")

enum { CONNECT_TIMEOUT_MS = 400, PAGE_TIMEOUT_MS = 1000, PAGE_MAX_BYTES = 4 * 1024 * 1024 };
enum { ENTRIES_LOGGED = 16 }; /* unreadable entries of one read */
enum { STATUS_OK = 200, STATUS_TOO_MANY_REQUESTS = 429 };

struct discover {
    loop_t *loop;
    web_client_t *client;
    char addr[CODEC_STR_SIZE];
    discover_fn_t fn;
    void *arg;
    paged_read_t *read;
    web_fetch_t ask;   /* the page request in progress */
    loop_timer_t wait; /* until the next page may be requested */
    GArray *page;      /* backend_t, entries of the last page */
    GArray *left_out;  /* json_left_out_t, entries of the last page that cannot be read */
    GHashTable *seen;  /* set of json_left_out_t.hash of this read, ENTRIES_LOGGED at most */
    GHashTable *known; /* the same of the read before: each is logged once */
    bool failing;      /* the last read failed */
};

/* ===== Results ===== */

/** Logs only the first of several failures in a row, whatever their cause. */
static void report_failure(discover_t *d, tc_err_t *err)
{
    counter_add(&c_failed, 1);
    codec_copy_string(err->peer, sizeof(err->peer), d->addr);
    if (!d->failing)
        log_failure(LOG_WARN, "discovery_lost", err);
    d->failing = true;
}

static void report_list(discover_t *d)
{
    const GArray *const list = paged_read_list(d->read);
    if (d->failing) {
        log_line_t line;
        log_begin(&line, LOG_INFO, "discovery_regained");
        log_int(&line, "backends", list->len);
        log_end(&line);
    }
    d->failing = false;
    d->fn(d->arg, (const backend_t *)(const void *)list->data, list->len, paged_read_started_at(d->read));
}

/* ===== Pages ===== */

static void request_next_page(discover_t *d);

static void handle_outcome(discover_t *d, paged_read_outcome_t outcome, tc_err_t *err)
{
    switch (outcome) {
    case PAGED_READ_MORE: request_next_page(d); break;
    case PAGED_READ_COMPLETE: report_list(d); break;
    case PAGED_READ_FAILED: report_failure(d, err); break;
    }
}

/** Ends the read for lack of a usable answer. */
static void abort_read(discover_t *d, tc_err_t *err)
{
    paged_read_end(d->read);
    report_failure(d, err);
}

static void log_left_out(const json_left_out_t *left)
{
    log_line_t line;
    log_begin(&line, LOG_WARN, "entry_unreadable");
    log_str(&line, "id", left->id);
    log_hash(&line, "hash", left->hash);
    log_int(&line, "bytes", (int64_t)left->size);
    log_str(&line, "why", left->why);
    log_end(&line);
}

/** Logs entries that the read before did not have, at most ENTRIES_LOGGED of a read. */
static void note_left_out(discover_t *d)
{
    for (guint i = 0; i < d->left_out->len; i++) {
        const json_left_out_t *const left = &g_array_index(d->left_out, json_left_out_t, i);
        counter_add(&c_unreadable, 1);
        if (g_hash_table_size(d->seen) >= ENTRIES_LOGGED)
            continue;
        g_hash_table_add(d->seen, g_memdup2(&left->hash, sizeof(left->hash)));
        if (!g_hash_table_contains(d->known, &left->hash))
            log_left_out(left);
    }
}

static void handle_page(discover_t *d)
{
    tc_err_t err = {0};
    dialect_page_t page = {.list = d->page, .left_out = d->left_out};
    g_array_set_size(d->page, 0);
    g_array_set_size(d->left_out, 0);
    if (dialect_read_list((const char *)d->ask.body->data, d->ask.body->len, &page, &err) < 0) {
        abort_read(d, &err);
        return;
    }
    note_left_out(d);
    const paged_read_outcome_t outcome = paged_read_page(d->read, d->page, page.next, &err);
    g_free(page.next);
    handle_outcome(d, outcome, &err);
}

static void handle_answer(discover_t *d)
{
    tc_err_t err = {0};
    if (d->ask.status == STATUS_TOO_MANY_REQUESTS) {
        counter_add(&c_refused, 1);
        handle_outcome(d, paged_read_refused(d->read, tc_time_now(), &err), &err);
    } else if (d->ask.status == STATUS_OK) {
        handle_page(d);
    } else {
        tc_err_set(&err, TC_E_REFUSED, "read list of back ends", d->addr, "status %d", d->ask.status);
        abort_read(d, &err);
    }
}

static void on_page(void *arg, web_fetch_result_t how)
{
    discover_t *const d = arg;
    tc_err_t err = {0};
    switch (how) {
    case WEB_FETCH_OK: handle_answer(d); return;
    case WEB_FETCH_TIMEOUT:
        tc_err_set(&err, TC_E_TIMEOUT, "read list of back ends", d->addr, "no answer in %d ms", PAGE_TIMEOUT_MS);
        break;
    case WEB_FETCH_FAILED:
        tc_err_set(&err, TC_E_UNREACHABLE, "read list of back ends", d->addr,
                   "connection closed before the answer was complete");
        break;
    }
    abort_read(d, &err);
}

static void request_page(discover_t *d)
{
    counter_add(&c_calls, 1);
    const web_fetch_options_t where = {.loop = d->loop,
                                       .client = d->client,
                                       .addr = d->addr,
                                       .connect_ms = CONNECT_TIMEOUT_MS,
                                       .limit_ms = PAGE_TIMEOUT_MS,
                                       .body_bytes = PAGE_MAX_BYTES};
    web_fetch(&d->ask, &where, dialect_write_list(d->addr, paged_read_token(d->read)), on_page, d);
}

static void on_wait_over(void *arg)
{
    request_next_page(arg);
}

/** Requests the next page now, or when the rate allows it. */
static void request_next_page(discover_t *d)
{
    tc_time_t until = 0;
    switch (paged_read_next(d->read, tc_time_now(), &until)) {
    case PAGED_READ_REQUEST: request_page(d); break;
    case PAGED_READ_WAIT: loop_arm(d->loop, &d->wait, until, on_wait_over, d); break;
    case PAGED_READ_PENDING:
    case PAGED_READ_IDLE: break;
    }
}

/* ===== Public functions ===== */

void discover_start(discover_t *d)
{
    if (d->ask.call || d->wait.armed)
        return;
    GHashTable *const before = d->known;
    d->known = d->seen;
    d->seen = before;
    g_hash_table_remove_all(d->seen);
    paged_read_begin(d->read, tc_time_now());
    request_next_page(d);
}

void discover_stop(discover_t *d)
{
    web_fetch_cancel(&d->ask);
    loop_disarm(&d->wait);
    paged_read_end(d->read);
}

void discover_set_readers(discover_t *d, unsigned readers)
{
    paged_read_set_readers(d->read, readers);
}

void discover_set_table(discover_t *d, route_table_t *table)
{
    paged_read_set_table(d->read, table);
}

tc_time_t discover_last_started(const discover_t *d)
{
    return paged_read_started_at(d->read);
}

tc_time_t discover_interval(const discover_t *d)
{
    return paged_read_interval(d->read);
}

unsigned discover_calls(const discover_t *d)
{
    return paged_read_calls(d->read);
}

discover_t *discover_create(loop_t *loop, web_client_t *client, const discover_platform_t *platform, discover_fn_t fn,
                            void *arg)
{
    discover_t *const d = g_new0(discover_t, 1);
    d->loop = loop;
    d->client = client;
    codec_copy_string(d->addr, sizeof(d->addr), platform->addr);
    d->fn = fn;
    d->arg = arg;
    d->read = paged_read_create(platform->rate);
    d->page = g_array_new(FALSE, TRUE, sizeof(backend_t));
    d->left_out = g_array_new(FALSE, FALSE, sizeof(json_left_out_t));
    d->known = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    d->seen = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    d->ask.body = g_byte_array_new();
    return d;
}

void discover_destroy(discover_t *d)
{
    discover_stop(d);
    paged_read_destroy(d->read);
    g_array_free(d->page, TRUE);
    g_array_free(d->left_out, TRUE);
    g_hash_table_destroy(d->known);
    g_hash_table_destroy(d->seen);
    g_byte_array_free(d->ask.body, TRUE);
    g_free(d);
}
