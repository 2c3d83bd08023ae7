#include "forward/discover.h"

#include <string.h>

#include "common/counter.h"
#include "common/log.h"
#include "forward/dialect.h"
#include "forward/paged_read.h"
#include "web/web_ask.h"

COUNTER_DEFINE(c_calls, "counter", "trackcove_discover_calls_total", "Calls to the platform's list of back ends")
COUNTER_DEFINE(c_refused, "counter", "trackcove_discover_refused_total",
               "Of these, those that the platform refused, since there were too many")
COUNTER_DEFINE(c_failed, "counter", "trackcove_discover_failed_total", "Readings of that list that failed")

enum { CONNECT_MS = 400, PAGE_MS = 1000, PAGE_BYTES_MAX = 4 * 1024 * 1024 };
enum { STATUS_OK = 200, STATUS_TOO_MANY = 429 };

struct discover {
    loop_t *loop;
    web_client_t *client;
    char addr[CODEC_STR_SIZE];
    discover_fn_t fn;
    void *arg;
    paged_read_t *read;
    web_ask_t ask;     /* for the page under way */
    loop_timer_t wait; /* for the next one */
    GArray *page;      /* backend_t, of an answer */
    bool failing;
};

/* ===== Ends of readings ===== */

/** One line for as long as it fails, whatever for. */
static void note_failed(discover_t *d, tc_err_t *err)
{
    counter_add(&c_failed, 1);
    codec_copy_string(err->peer, sizeof(err->peer), d->addr);
    if (!d->failing)
        log_failure(LOG_WARN, "discovery_lost", err);
    d->failing = true;
}

static void note_whole(discover_t *d)
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

static void go_on(discover_t *d);

static void settle(discover_t *d, paged_read_outcome_t outcome, tc_err_t *err)
{
    switch (outcome) {
    case PAGED_READ_MORE: go_on(d); break;
    case PAGED_READ_COMPLETE: note_whole(d); break;
    case PAGED_READ_FAILED: note_failed(d, err); break;
    }
}

/** No answer, or none that can be read. */
static void fail(discover_t *d, tc_err_t *err)
{
    paged_read_end(d->read);
    note_failed(d, err);
}

static void take_page(discover_t *d)
{
    tc_err_t err = {0};
    char *next = NULL;
    g_array_set_size(d->page, 0);
    if (dialect_read_list((const char *)d->ask.body->data, d->ask.body->len, d->page, &next, &err) < 0) {
        fail(d, &err);
        return;
    }
    const paged_read_outcome_t outcome = paged_read_page(d->read, d->page, next, &err);
    g_free(next);
    settle(d, outcome, &err);
}

static void take_answer(discover_t *d)
{
    tc_err_t err = {0};
    if (d->ask.status == STATUS_TOO_MANY) {
        counter_add(&c_refused, 1);
        settle(d, paged_read_refused(d->read, tc_time_now(), &err), &err);
    } else if (d->ask.status == STATUS_OK) {
        take_page(d);
    } else {
        tc_err_set(&err, TC_E_REFUSED, "read list of back ends", d->addr, "status %d", d->ask.status);
        fail(d, &err);
    }
}

static void on_page(void *arg, web_ask_end_t how)
{
    discover_t *const d = arg;
    tc_err_t err = {0};
    switch (how) {
    case WEB_ASK_WHOLE: take_answer(d); return;
    case WEB_ASK_LATE:
        tc_err_set(&err, TC_E_TIMEOUT, "read list of back ends", d->addr, "no answer in %d ms", PAGE_MS);
        break;
    case WEB_ASK_BROKEN:
        tc_err_set(&err, TC_E_UNREACHABLE, "read list of back ends", d->addr, "no whole answer");
        break;
    }
    fail(d, &err);
}

static void ask_page(discover_t *d)
{
    counter_add(&c_calls, 1);
    const web_ask_where_t where = {.loop = d->loop,
                                   .client = d->client,
                                   .addr = d->addr,
                                   .connect_ms = CONNECT_MS,
                                   .limit_ms = PAGE_MS,
                                   .body_bytes = PAGE_BYTES_MAX};
    web_ask(&d->ask, &where, dialect_write_list(d->addr, paged_read_token(d->read)), on_page, d);
}

static void on_wait_over(void *arg)
{
    go_on(arg);
}

/** Take the reader's next step. */
static void go_on(discover_t *d)
{
    tc_time_t until = 0;
    switch (paged_read_next(d->read, tc_time_now(), &until)) {
    case PAGED_READ_REQUEST: ask_page(d); break;
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
    paged_read_begin(d->read, tc_time_now());
    go_on(d);
}

void discover_stop(discover_t *d)
{
    web_ask_cancel(&d->ask);
    loop_disarm(&d->wait);
    paged_read_end(d->read);
}

void discover_set_readers(discover_t *d, unsigned readers)
{
    paged_read_set_readers(d->read, readers);
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
    d->ask.body = g_byte_array_new();
    return d;
}

void discover_destroy(discover_t *d)
{
    discover_stop(d);
    paged_read_destroy(d->read);
    g_array_free(d->page, TRUE);
    g_byte_array_free(d->ask.body, TRUE);
    g_free(d);
}
