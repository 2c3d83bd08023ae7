#include "platform/soak/routes.h"

/* ===== Kinds ===== */

const char *const kind_paths[KINDS] = {"safe", "once", "stream", "resumable", "patient"};

bool kind_is_stream(kind_t kind)
{
    return kind >= KIND_STREAM;
}

bool kind_is_resumable(kind_t kind)
{
    return kind == KIND_RESUMABLE || kind == KIND_PATIENT;
}

/* ===== The configuration ===== */

enum { IDLE_ROUTES = 2000 };

/** Longest expected gap in a stream. A stream counts as stalled after four of them; engines pause for less than one. */
#define GAP_AIM "\"gap_aim_ms\":40,"

/** Adds routes that no request uses: 2,000 in every third version, so that configurations grow and shrink. */
static void add_idle_routes(GString *text, uint64_t version)
{
    const int routes = version % 3 == 0 ? IDLE_ROUTES : 0;
    for (int i = 0; i < routes; i++)
        g_string_append_printf(
            text, "{\"host\":\"idle\",\"path_prefix\":\"/%08x/%d/\",\"timeout_ms\":900,\"service\":\"app\"},",
            (unsigned)i * 2654435761u, i);
}

/** Adds the route of a kind. Its time limit and the weights of plain services change with the version. */
static void add_route(GString *text, kind_t kind, uint64_t version)
{
    enum { TIMEOUTS = 4, TIMEOUT_STEP_MS = 100, WEIGHTS = 9 };
    static const char *const kinds[KINDS] = {"safe", "unsafe", "stream", "stream", "stream"};
    static const int runs[KINDS] = {2, 1, 2, 3, 3};
    g_string_append_printf(
        text,
        "{\"host\":\"h\",\"path_prefix\":\"/%s/\",\"kind\":\"%s\",\"timeout_ms\":%d,"
        "\"max_attempts\":%d,\"resumable\":%s,%s",
        kind_paths[kind], kinds[kind], ROUTES_TIMEOUT_MS + TIMEOUT_STEP_MS * (int)(version % TIMEOUTS), runs[kind],
        kind_is_resumable(kind) ? "true" : "false", kind == KIND_STREAM || kind == KIND_RESUMABLE ? GAP_AIM : "");
    if (kind_is_stream(kind))
        g_string_append(text, "\"service\":\"lm\"},");
    else
        g_string_append_printf(text,
                               "\"traffic_split\":[{\"service\":\"app\",\"weight\":%d},{\"service\":\"none\","
                               "\"weight\":0}]},",
                               1 + (int)(version % WEIGHTS));
}

char *routes_text(uint64_t version)
{
    GString *const text = g_string_new(NULL);
    g_string_printf(text, "{\"version\":%" G_GUINT64_FORMAT ",\"routes\":[", version);
    for (int i = 0; i < KINDS; i++)
        add_route(text, (kind_t)i, version);
    add_idle_routes(text, version);
    const int idle_ms = 2000 + 1000 * (int)(version % 5);
    g_string_append_printf(text,
                           "{\"host\":\"h\",\"path_prefix\":\"/v%" G_GUINT64_FORMAT
                           "/\",\"kind\":\"safe\",\"timeout_ms\":900,\"service\":\"app\"}],\"services\":[{\"name\":"
                           "\"app\"},{\"name\":\"none\"},{\"name\":\"lm\",\"engine\":{\"slots\":24,\"kv_tokens\":90000,"
                           "\"handle_ttl_s\":0.5,"
                           "\"kv_bytes\":1000,\"link_mbps\":1000}}],\"limits\":{\"idle_timeout_ms\":%d}}",
                           version, idle_ms);
    return g_string_free(text, FALSE);
}
