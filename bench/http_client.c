/** @file http_client.c
 * Costs of reading a token stream: CivetWeb's client with 1-byte reads, the same with 64-byte reads, and our client
 * over libcurl. The server runs in this process and sends a token of about 110 bytes every 2 ms; figures are per token.
 */

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "backend/http_client.h"
#include "backend/sse.h"
#include "http/http.h"

enum { TOKENS = 400, TOKEN_INTERVAL_US = 2000, PORT = 16901 };

static double sent_at_us[TOKENS + 1];

static double now_us(clockid_t clock)
{
    struct timespec ts;
    clock_gettime(clock, &ts);
    return (double)ts.tv_sec * 1e6 + (double)ts.tv_nsec / 1e3;
}

static int serve(struct mg_connection *conn, void *arg)
{
    (void)arg;
    http_stream_t stream = {.conn = conn, .sse = true};
    for (int i = 1; i <= TOKENS; i++) {
        char event[160];
        const int n = snprintf(event, sizeof(event),
                               "id: %d\ndata: {\"choices\":[{\"index\":0,\"text\":\" "
                               "token%06d\",\"finish_reason\":null}],\"pad\":\"0123456789012345\"}\n\n",
                               i, i);
        sent_at_us[i] = now_us(CLOCK_MONOTONIC);
        http_stream_send(&stream, event, (size_t)n);
        g_usleep(TOKEN_INTERVAL_US);
    }
    http_stream_close(&stream);
    return 200;
}

typedef struct {
    int n_events;
    double max_delay_us;
} reader_t;

static bool on_event(void *arg, const sse_event_t *event)
{
    reader_t *const r = arg;
    r->n_events++;
    const double delay_us = now_us(CLOCK_MONOTONIC) - sent_at_us[atoi(event->id)];
    r->max_delay_us = delay_us > r->max_delay_us ? delay_us : r->max_delay_us;
    return true;
}

static bool on_data(void *arg, const char *data, size_t size)
{
    return sse_feed(arg, data, size);
}

static void read_curl(sse_t *sse)
{
    char url[64];
    snprintf(url, sizeof(url), "http://127.0.0.1:%d/stream", PORT);
    const http_call_t call = {
        .url = url, .method = "GET", .timeout = 60000, .peer = "bench", .step = "read", .on_data = on_data, .arg = sse};
    http_result_t result;
    tc_err_t err;
    (void)http_call(&call, &result, &err);
    free(result.body);
}

static void read_civetweb(sse_t *sse, size_t piece)
{
    char error[128], buffer[4096];
    struct mg_connection *const conn = mg_download("127.0.0.1", PORT, 0, error, sizeof(error),
                                                   "GET /stream HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    for (int n = conn ? mg_read(conn, buffer, piece) : 0; n > 0; n = mg_read(conn, buffer, piece))
        if (!sse_feed(sse, buffer, (size_t)n))
            break;
    if (conn)
        mg_close_connection(conn);
}

static void measure(const char *name, int way)
{
    reader_t reader = {0};
    sse_t sse;
    sse_init(&sse, on_event, &reader);
    const double begin = now_us(CLOCK_THREAD_CPUTIME_ID);
    if (way == 0)
        read_curl(&sse);
    else
        read_civetweb(&sse, way == 1 ? 1 : 64);
    printf("%-28s %6.1f us of processor time per token, maximum delay %7.1f ms, %d tokens\n", name,
           (now_us(CLOCK_THREAD_CPUTIME_ID) - begin) / TOKENS, reader.max_delay_us / 1000, reader.n_events);
    sse_free(&sse);
}

int main(void)
{
    tc_err_t err;
    http_client_init("bench");
    char listen[32];
    snprintf(listen, sizeof(listen), "127.0.0.1:%d", PORT);
    http_server_t *const server = http_start(listen, 8, &err);
    if (!server)
        return 1;
    http_route(server, "/stream", serve, NULL);
    for (int round = 0; round < 3; round++) {
        measure("civetweb, 1-byte reads", 1);
        measure("civetweb, 64-byte reads", 64);
        measure("libcurl (our client)", 0);
    }
    http_stop(server);
    return 0;
}
