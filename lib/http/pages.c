#include "http/pages.h"

#include <stdlib.h>

#include "common/counter.h"

enum { METRICS_MAX_BYTES = 65536 };

static int get_health(struct mg_connection *conn, void *arg)
{
    (void)arg;
    return http_send_text(conn, 200, "text/plain", "ok\n");
}

static int get_metrics(struct mg_connection *conn, void *arg)
{
    (void)arg;
    char *const text = malloc(METRICS_MAX_BYTES);
    if (!text)
        abort();
    text[counter_print(text, METRICS_MAX_BYTES - 1)] = '\0';
    const int status = http_send_text(conn, 200, "text/plain; version=0.0.4", text);
    free(text);
    return status;
}

void pages_route(http_server_t *server)
{
    http_route(server, "/healthz", get_health, NULL);
    http_route(server, "/metrics", get_metrics, NULL);
}
