#include "backend/http_client.h"

#include <curl/curl.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/list.h>

#include "common/codec.h"
#include "common/figure.h"
#include "common/text.h"

/* ===== Pool ===== */

enum { CONNECT_TIMEOUT_MS = 500, BODY_MAX_BYTES = 16 * 1024 * 1024, REDIRECTS_MAX = 3 };

/** Handles of a transfer; the multi handle keeps the connection between transfers. */
typedef struct {
    struct cds_list_head node;
    CURLM *multi;
    CURL *easy;
} handle_t;

static pthread_mutex_t pool_lock = PTHREAD_MUTEX_INITIALIZER;
static CDS_LIST_HEAD(pool);
static char dc_header[CODEC_STR_SIZE + 32];

void http_client_init(const char *dc)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    snprintf(dc_header, sizeof(dc_header), "X-Trackcove-Dc: %s", dc);
}

static handle_t *handle_acquire(void)
{
    handle_t *handle = NULL;
    pthread_mutex_lock(&pool_lock);
    if (!cds_list_empty(&pool)) {
        handle = cds_list_first_entry(&pool, handle_t, node);
        cds_list_del(&handle->node);
    }
    pthread_mutex_unlock(&pool_lock);
    if (handle)
        return handle;
    handle = calloc(1, sizeof(*handle));
    if (!handle)
        abort();
    handle->multi = curl_multi_init();
    handle->easy = curl_easy_init();
    if (!handle->multi || !handle->easy)
        abort(); /* out of memory */
    return handle;
}

static void handle_release(handle_t *handle)
{
    curl_easy_reset(handle->easy);
    pthread_mutex_lock(&pool_lock);
    cds_list_add(&handle->node, &pool);
    pthread_mutex_unlock(&pool_lock);
}

void http_client_cleanup(void)
{
    handle_t *handle, *next;
    cds_list_for_each_entry_safe(handle, next, &pool, node) {
        curl_easy_cleanup(handle->easy);
        curl_multi_cleanup(handle->multi);
        free(handle);
    }
    CDS_INIT_LIST_HEAD(&pool);
    curl_global_cleanup();
}

/* ===== One call ===== */

typedef struct {
    const http_call_t *call;
    http_result_t *result;
    CURL *easy;
    bool cancelled;
} running_t;

static bool collect(http_result_t *result, const char *data, size_t size)
{
    char *const larger =
        result->body_size + size <= BODY_MAX_BYTES ? realloc(result->body, result->body_size + size + 1) : NULL;
    if (!larger)
        return false;
    memcpy(larger + result->body_size, data, size);
    result->body = larger;
    result->body_size += size;
    larger[result->body_size] = '\0';
    return true;
}

static size_t on_write(char *data, size_t unit, size_t count, void *arg)
{
    running_t *const running = arg;
    const size_t size = unit * count;
    long status = 0;
    curl_easy_getinfo(running->easy, CURLINFO_RESPONSE_CODE, &status);
    const bool stream = running->call->on_data && status < 400;
    const bool proceed =
        stream ? running->call->on_data(running->call->arg, data, size) : collect(running->result, data, size);
    running->cancelled = running->cancelled || !proceed;
    return proceed ? size : 0;
}

static struct curl_slist *set_options(running_t *running)
{
    const http_call_t *const call = running->call;
    CURL *const easy = running->easy;
    struct curl_slist *headers = curl_slist_append(NULL, dc_header);
    headers = curl_slist_append(headers, "Expect:"); /* no wait for "100 Continue" */
    headers = curl_slist_append(headers, "Content-Type: application/json");
    for (const char *const *h = call->headers; h && *h; h++)
        headers = curl_slist_append(headers, *h);
    curl_easy_setopt(easy, CURLOPT_URL, call->url);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call->method);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
    if (call->body) {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call->body);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, (long)call->body_size);
    } else if (strcmp(call->method, "POST") == 0) {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, "");
    }
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_write);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, running);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)call->timeout);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, call->no_resend ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, call->follow ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_MAXREDIRS, (long)REDIRECTS_MAX);
    return headers;
}

/** Runs the transfer until it ends or is cancelled. */
static CURLcode run(running_t *running, CURLM *multi)
{
    const http_call_t *const call = running->call;
    int active = 1;
    while (active) {
        if (curl_multi_perform(multi, &active) != CURLM_OK)
            return CURLE_FAILED_INIT;
        if (!active)
            break;
        if (call->on_idle && !call->on_idle(call->arg)) {
            running->cancelled = true;
            return CURLE_ABORTED_BY_CALLBACK;
        }
        curl_multi_poll(multi, NULL, 0, HTTP_CLIENT_IDLE_MS, NULL);
    }
    int left;
    const CURLMsg *const message = curl_multi_info_read(multi, &left);
    return message ? message->data.result : CURLE_FAILED_INIT;
}

/** Part of the body of a refusal that goes into the error. */
enum { DETAIL_MAX_BYTES = 150 };

static int classify_result(const running_t *running, CURLcode code, tc_err_t *err)
{
    const http_call_t *const call = running->call;
    http_result_t *const result = running->result;
    const char *const body = result->body ? result->body : "";
    if (running->cancelled)
        return tc_err_set(err, TC_E_CANCELLED, call->step, call->peer, "given up");
    if (code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST || (code != CURLE_OK && !result->sent))
        return tc_err_set(err, TC_E_UNREACHABLE, call->step, call->peer, "%s", curl_easy_strerror(code));
    if (code == CURLE_OPERATION_TIMEDOUT)
        return tc_err_set(err, TC_E_TIMEOUT, call->step, call->peer, "no answer within %lld ms",
                          (long long)call->timeout);
    if (code != CURLE_OK)
        return tc_err_set(err, TC_E_BROKEN, call->step, call->peer, "%s", curl_easy_strerror(code));
    if (result->status >= 400)
        return tc_err_set(err, TC_E_REFUSED, call->step, call->peer, "status %d: %.*s", result->status,
                          (int)text_cut(body, strnlen(body, DETAIL_MAX_BYTES)), body);
    return TC_OK;
}

static tc_time_t retry_after(CURL *easy, long status)
{
    enum { TOO_MANY = 429, UNAVAILABLE = 503 };
    curl_off_t seconds = 0;
    if (status != TOO_MANY && status != UNAVAILABLE)
        return 0;
    curl_easy_getinfo(easy, CURLINFO_RETRY_AFTER, &seconds);
    const tc_time_t most = FIGURE_SPAN_MAX_MS / 1000;
    return seconds > 0 ? (seconds < most ? (tc_time_t)seconds : most) * 1000 : 0;
}

int http_call(const http_call_t *call, http_result_t *result, tc_err_t *err)
{
    memset(result, 0, sizeof(*result));
    handle_t *const handle = handle_acquire();
    running_t running = {.call = call, .result = result, .easy = handle->easy};
    struct curl_slist *const headers = set_options(&running);
    curl_multi_add_handle(handle->multi, handle->easy);
    const CURLcode code = run(&running, handle->multi);
    long status = 0, request_size = 0;
    curl_easy_getinfo(handle->easy, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_getinfo(handle->easy, CURLINFO_REQUEST_SIZE, &request_size);
    result->status = (int)status;
    result->retry_after = retry_after(handle->easy, status);
    result->sent = request_size > 0;
    const int rc = classify_result(&running, code, err);
    curl_multi_remove_handle(handle->multi, handle->easy);
    curl_slist_free_all(headers);
    handle_release(handle);
    return rc;
}
