#include "platform/soak/endless.h"

/** What a worker repeats. */
typedef enum { ENDLESS_NOT, ENDLESS_BODY, ENDLESS_CHUNKS, ENDLESS_EVENT, ENDLESS_HEAD, ENDLESS_KINDS } endless_t;

enum { PART_BYTES = 8192 };

/** One in this many workers of the services, but never the prefill engine. */
enum { WORKER_EACH = 3 };

void endless_begin(world_t *w)
{
    for (int i = 0; i < WORLD_WORKERS; i++) {
        struct worker *const k = &w->worker[i];
        k->endless = i % WORKER_EACH == 0 && i != WORLD_PREFILL ? 1 + (unsigned)world_pick(w, ENDLESS_KINDS - 1) : 0;
        if (k->endless)
            world_log(w, "worker %s writes without end, kind %u", k->id, k->endless);
    }
}

void endless_end(world_t *w)
{
    for (int i = 0; i < WORLD_WORKERS; i++)
        w->worker[i].endless = ENDLESS_NOT;
}

/** Ends of the head of an answer of each kind. */
static const char *const heads[ENDLESS_KINDS] = {
    [ENDLESS_NOT] = "",
    [ENDLESS_BODY] = "\r\n",
    [ENDLESS_CHUNKS] = "Transfer-Encoding: chunked\r\n\r\n",
    [ENDLESS_EVENT] = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n6\r\ndata: \r\n",
    [ENDLESS_HEAD] = ""};

lab_reply_t endless_answer(const struct worker *k, const char *id)
{
    if (k->endless == ENDLESS_NOT)
        return (lab_reply_t){.end = LAB_KEEP};
    GString *const out = g_string_new(NULL);
    g_string_printf(out, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s\r\n%s", id, heads[k->endless]);
    char *const filler = g_strnfill(PART_BYTES, 'x');
    const size_t before = out->len;
    switch ((endless_t)k->endless) {
    case ENDLESS_HEAD: g_string_append_printf(out, "More: %.60s\r\n", filler); break;
    case ENDLESS_CHUNKS:
    case ENDLESS_EVENT: g_string_append_printf(out, "%x\r\n%s\r\n", PART_BYTES, filler); break;
    case ENDLESS_BODY: g_string_append(out, filler); break;
    case ENDLESS_NOT:
    case ENDLESS_KINDS: g_assert_not_reached();
    }
    g_free(filler);
    const size_t repeat = out->len - before;
    return (lab_reply_t){.bytes = g_string_free(out, FALSE), .end = LAB_CLOSE, .endless = repeat};
}
