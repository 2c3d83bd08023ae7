#include "http/http.h"

#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/text.h"

/* ===== Constants ===== */

/** Time that a caller may be silent within a request before its connection is closed. */
#define REQUEST_TIMEOUT_MS "10000"
/** Time after which an idle kept-alive connection is closed, because it occupies a thread. */
#define KEEP_ALIVE_TIMEOUT_MS "3000"

struct http_server {
    struct mg_context *context;
};

static atomic_bool closing_connections;

/* ===== Server ===== */

http_server_t *http_start(const char *listen, unsigned threads, tc_err_t *err)
{
    http_server_t *const server = calloc(1, sizeof(*server));
    char count[16];
    snprintf(count, sizeof(count), "%u", threads);
    const char *options[] = {"listening_ports",
                             listen,
                             "num_threads",
                             count,
                             "request_timeout_ms",
                             REQUEST_TIMEOUT_MS,
                             "keep_alive_timeout_ms",
                             KEEP_ALIVE_TIMEOUT_MS,
                             "enable_keep_alive",
                             "yes",
                             "tcp_nodelay",
                             "1",
                             "max_request_size",
                             "16384",
                             "listen_backlog",
                             "1024",
                             NULL};
    static const struct mg_callbacks callbacks;
    mg_init_library(0);
    struct mg_error_data error = {0};
    char text[160] = "";
    error.text = text;
    error.text_buffer_size = sizeof(text);
    struct mg_init_data init = {.callbacks = &callbacks, .configuration_options = options};
    if (server)
        server->context = mg_start2(&init, &error);
    if (!server || !server->context) {
        free(server);
        tc_err_set(err, TC_E_IO, "listen for callers", listen, "%s", text);
        return NULL;
    }
    return server;
}

void http_stop(http_server_t *server)
{
    if (!server)
        return;
    mg_stop(server->context);
    free(server);
}

void http_route(http_server_t *server, const char *pattern, http_handler_t handler, void *arg)
{
    mg_set_request_handler(server->context, pattern, handler, arg);
}

void http_set_closing(bool closing)
{
    atomic_store(&closing_connections, closing);
}

/* ===== Requests ===== */

bool http_method_is(const struct mg_connection *conn, const char *method)
{
    return strcmp(mg_get_request_info(conn)->request_method, method) == 0;
}

const char *http_header(const struct mg_connection *conn, const char *name)
{
    const char *const value = mg_get_header(conn, name);
    return value ? value : "";
}

enum { BODY_CHUNK_BYTES = 16384 };

char *http_read_body(struct mg_connection *conn, size_t limit, size_t *size, tc_err_t *err)
{
    const long long content_length = mg_get_request_info(conn)->content_length;
    if (content_length > (long long)limit) {
        tc_err_set(err, TC_E_FULL, "read body", NULL, "body of %lld bytes, limit %zu", content_length, limit);
        return NULL;
    }
    size_t capacity = content_length > 0 ? (size_t)content_length + 1 : BODY_CHUNK_BYTES;
    char *body = malloc(capacity);
    *size = 0;
    while (body) {
        if (capacity - *size < 2) {
            capacity *= 2;
            char *const larger = realloc(body, capacity);
            if (!larger)
                break;
            body = larger;
        }
        const int n = mg_read(conn, body + *size, capacity - *size - 1);
        if (n <= 0)
            break;
        *size += (size_t)n;
        if (*size > limit) {
            free(body);
            tc_err_set(err, TC_E_FULL, "read body", NULL, "body over the limit of %zu bytes", limit);
            return NULL;
        }
    }
    if (!body || (content_length >= 0 && *size != (size_t)content_length)) {
        free(body);
        tc_err_set(err, TC_E_BROKEN, "read body", NULL, "%zu of %lld bytes came", *size, content_length);
        return NULL;
    }
    body[*size] = '\0';
    return body;
}

/* ===== Responses ===== */

static const char *connection_header(void)
{
    return atomic_load(&closing_connections) ? "close" : "keep-alive";
}

static void send_response(struct mg_connection *conn, int status, const char *type, const char *text,
                          unsigned retry_after_ms)
{
    char retry[96] = "";
    if (retry_after_ms)
        snprintf(retry, sizeof(retry), "Retry-After: %u\r\n", (retry_after_ms + 999) / 1000);
    mg_printf(conn, "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %zu\r\n%sConnection: %s\r\n\r\n", status,
              mg_get_response_code_text(conn, status), type, strlen(text), retry, connection_header());
    mg_write(conn, text, strlen(text));
}

int http_send_json(struct mg_connection *conn, int status, json_t *body, unsigned retry_after_ms)
{
    char *const text = text_from_json(body);
    send_response(conn, status, "application/json", text, retry_after_ms);
    free(text);
    return status;
}

int http_send_text(struct mg_connection *conn, int status, const char *type, const char *text)
{
    send_response(conn, status, type, text, 0);
    return status;
}

/* ===== Streams ===== */

void http_stream_open(http_stream_t *stream)
{
    if (stream->open)
        return;
    stream->open = true;
    const int n = mg_printf(stream->conn,
                            "HTTP/1.1 200 OK\r\nContent-Type: %s\r\nCache-Control: no-store\r\n"
                            "Transfer-Encoding: chunked\r\nConnection: %s\r\n\r\n",
                            stream->sse ? "text/event-stream" : "application/json", connection_header());
    stream->broken = stream->broken || n <= 0;
}

/** Sends a chunk with a single write. CivetWeb's mg_send_chunk() makes three, each sent as its own packet. */
static bool send_chunk(struct mg_connection *conn, const char *data, size_t size)
{
    enum { STACK_BUFFER_BYTES = 2048, FRAMING_BYTES = 32 };
    char stack_buffer[STACK_BUFFER_BYTES];
    char *const buffer = size + FRAMING_BYTES <= sizeof(stack_buffer) ? stack_buffer : malloc(size + FRAMING_BYTES);
    if (!buffer)
        return false;
    size_t used = (size_t)snprintf(buffer, FRAMING_BYTES, "%zx\r\n", size);
    memcpy(buffer + used, data, size);
    used += size;
    buffer[used++] = '\r';
    buffer[used++] = '\n';
    const bool sent = mg_write(conn, buffer, used) == (int)used;
    if (buffer != stack_buffer)
        free(buffer);
    return sent;
}

void http_stream_send(http_stream_t *stream, const char *data, size_t size)
{
    http_stream_open(stream);
    if (!stream->broken && size > 0 && !send_chunk(stream->conn, data, size))
        stream->broken = true;
}

void http_stream_probe(http_stream_t *stream)
{
    if (stream->sse)
        http_stream_send(stream, ": \n\n", 4);
    else
        http_stream_send(stream, " ", 1);
}

void http_stream_close(http_stream_t *stream)
{
    if (stream->open && !stream->broken)
        mg_send_chunk(stream->conn, "", 0);
}
