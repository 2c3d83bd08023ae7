/* Answers that several runs bring, by lot: back ends divide their answers into events, chunks and writes as they like
 * and stop, close, reset or begin anew wherever they like. What a caller gets is compared with what runs made: whole
 * events, each of them one run's, every token once and in order, to the last one when the answer ends well.
 *
 * One thing is left out, since ids don't tell it: a run that begins anew in spite of the event that it was asked to go
 * on behind, and whose first event reaches beyond that one. */

#include "platform/forward_lab.h"

/* ===== Constants ===== */

enum {
    SEEDS = 200,
    SEEDS_AT_ONCE = 20,       /* share one entry and its connections; each has requests of its own */
    REQUESTS_MIN = 3,         /* of a seed, */
    REQUESTS_MAX = 5,         /* at most */
    TOKENS_MAX = 30,          /* of an answer */
    EVENT_TOKENS_MAX = 6,     /* of an event */
    HUGE = 1500000,           /* bytes of the largest events */
    PIECES_MAX = 10,          /* parts in which an answer is sent, */
    BYTEWISE_MAX = 400,       /* unless it is as small as this: then it may be sent byte by byte */
    PIECE_WAIT_MS = 2,        /* before a part, at most */
    HURRY_MS = 100,           /* for an answer that may stand still for good */
    LEAVE_BYTES = 100,        /* after which a caller leaves */
    WHOLE_MIN = SEEDS,        /* answers of all seeds that end well, and */
    TAKEN_UP_MIN = SEEDS / 5, /* that several runs brought: else nothing was tested */
};

/* ===== Types ===== */

/** An event that a run made whole. */
typedef struct {
    unsigned run, number; /* of the run's events, from 0 */
    unsigned from, to;    /* tokens; 0: none */
    char *bytes;
} made_t;

/** How a run ends. */
typedef enum {
    END_CHUNKED,      /* whole, in chunks */
    END_LENGTH,       /* whole, of a length that is told */
    END_OF_CHANNEL,   /* whole, with the connection */
    TORN_SILENT,      /* stops within an event; the connection stays open */
    TORN_RESET,       /* the same; reset */
    TORN_CLOSED,      /* the same; closed in order, without the last chunk */
    TORN_LAST_CHUNK,  /* the same, with the last chunk */
    TORN_OF_CHANNEL,  /* the same, closed in order, without a length */
    TORN_SHORT,       /* the same, closed before the length that was told */
    TORN_RESET_WHERE, /* reset anywhere, without a length */
    ENDS
} run_end_t;

/** One request, and what its runs did. */
typedef struct {
    char id[24];
    uint32_t seed;
    const char *path;
    unsigned backends; /* that may run it */
    bool hurried;      /* its time is short */
    bool leaves;       /* its caller, within the answer */
    unsigned after;    /* token that the caller has */
    unsigned tokens;
    unsigned calls, ran; /* at back ends; that may have run it */
    GArray *made;        /* made_t */
    GString *story;      /* what its runs did, for whoever reads of a failure */
    lab_call_t *call;
} request_t;

typedef struct {
    fixture_t *f;
    GPtrArray *requests; /* request_t */
    unsigned whole, taken_up;
} world_t;

/** What a run is about to send. */
typedef struct {
    request_t *request;
    GRand *lot;
    unsigned run;
    GString *body;
    GArray *ends; /* size_t: where its events end */
    run_end_t end;
    size_t cut; /* bytes of the body that are sent */
} run_t;

/* ===== Lots ===== */

/** From 0 to @p n - 1. */
static unsigned draw(GRand *lot, unsigned n)
{
    return (unsigned)g_rand_int_range(lot, 0, (gint32)n);
}

static bool one_in(GRand *lot, unsigned n)
{
    return draw(lot, n) == 0;
}

/** Bytes that fill an event up: most are small, some large, a few very large. */
static size_t draw_filler(GRand *lot)
{
    if (one_in(lot, 600))
        return draw(lot, HUGE);
    if (one_in(lot, 25))
        return draw(lot, 40000);
    return draw(lot, 60);
}

/* ===== Events ===== */

static void made_clear(void *made)
{
    g_free(((made_t *)made)->bytes);
}

/** Add an event to the run; it counts as made when it is sent whole. */
static void add_event(run_t *r, unsigned from, unsigned to, const char *line_end)
{
    const size_t begin = r->body->len;
    if (to > 0 && one_in(r->lot, 8))
        g_string_append_printf(r->body, "versions: 3%s", line_end);
    if (to > 0 && one_in(r->lot, 8))
        g_string_append_printf(r->body, ": within%s", line_end);
    if (to > 0)
        g_string_append_printf(r->body, one_in(r->lot, 4) ? "id:%u%s" : "id: %u%s", to, line_end);
    const char *const field = to > 0 || one_in(r->lot, 2) ? "data" : "";
    g_string_append_printf(r->body, "%s: run %u event %u tokens %u to %u ", field, r->run, r->ends->len, from, to);
    const size_t filler = draw_filler(r->lot);
    for (size_t i = 0; i < filler; i++)
        g_string_append_c(r->body, (char)('a' + (r->run + i + i / 97) % 26));
    g_string_append(r->body, line_end);
    if (one_in(r->lot, 6))
        g_string_append_printf(r->body, "data: more%s", line_end);
    g_string_append(r->body, line_end);
    const size_t end = r->body->len;
    const made_t made = {.run = r->run,
                         .number = r->ends->len,
                         .from = from,
                         .to = to,
                         .bytes = g_strndup(r->body->str + begin, end - begin)};
    g_array_append_val(r->ends, end);
    g_array_append_val(r->request->made, made);
}

/** All events from a token on. @param over the run begins anew, and @p after is what it was asked to go on behind */
static void write_events(run_t *r, unsigned after, bool over)
{
    const bool crlf = one_in(r->lot, 2), mixed = one_in(r->lot, 6);
    unsigned from = over ? 1 : after + 1;
    while (from <= r->request->tokens) {
        const char *const line_end = (mixed ? one_in(r->lot, 2) : crlf) ? "\r\n" : "\n";
        if (one_in(r->lot, 6)) {
            add_event(r, 0, 0, line_end);
            continue;
        }
        const unsigned most = over && from <= after ? after : r->request->tokens;
        const unsigned wanted = from + draw(r->lot, EVENT_TOKENS_MAX);
        const unsigned to = MIN(most, wanted);
        add_event(r, from, to, line_end);
        from = to + 1;
    }
    if (one_in(r->lot, 8))
        add_event(r, 0, 0, "\n");
}

/* ===== Runs ===== */

/** Runs that stand still are for requests that are taken up elsewhere then, or are over soon. */
static run_end_t draw_end(GRand *lot, const request_t *request)
{
    const bool may_stop = request->hurried || request->ran < request->backends;
    const run_end_t end = one_in(lot, 3) ? (run_end_t)draw(lot, TORN_SILENT) : (run_end_t)draw(lot, ENDS);
    return end == TORN_SILENT && !may_stop ? TORN_RESET : end;
}

/** Where the run stops: within an event where its end alone would not tell that something is missing. */
static size_t draw_cut(const run_t *r)
{
    if (r->end < TORN_SILENT)
        return r->body->len;
    if (r->end == TORN_RESET_WHERE)
        return draw(r->lot, (unsigned)r->body->len + 1);
    const unsigned event = draw(r->lot, r->ends->len);
    const size_t begin = event > 0 ? g_array_index(r->ends, size_t, event - 1) : 0;
    const size_t size = g_array_index(r->ends, size_t, event) - begin;
    return begin + 1 + draw(r->lot, (unsigned)size - 1);
}

/** Events that are not sent whole were not made. */
static void drop_unmade(const run_t *r)
{
    guint whole = 0;
    while (whole < r->ends->len && g_array_index(r->ends, size_t, whole) <= r->cut)
        whole++;
    GArray *const made = r->request->made;
    g_array_set_size(made, made->len - (r->ends->len - whole));
}

static bool is_chunked(const run_t *r)
{
    switch (r->end) {
    case END_CHUNKED:
    case TORN_SILENT:
    case TORN_RESET:
    case TORN_CLOSED:
    case TORN_LAST_CHUNK: return true;
    case END_LENGTH:
    case END_OF_CHANNEL:
    case TORN_OF_CHANNEL:
    case TORN_SHORT:
    case TORN_RESET_WHERE:
    case ENDS: break;
    }
    return false;
}

static void write_chunks(const run_t *r, GString *to)
{
    size_t at = 0;
    while (at < r->cut) {
        const size_t left = r->cut - at;
        const size_t size = one_in(r->lot, 3) ? left : 1 + draw(r->lot, (unsigned)left);
        /* A chunk may break off as well, when no other is to follow. */
        const size_t told = size == left && r->end != END_CHUNKED && r->end != TORN_LAST_CHUNK && one_in(r->lot, 2)
                                ? size + 1 + draw(r->lot, 50)
                                : size;
        g_string_append_printf(to, "%zx\r\n", told);
        g_string_append_len(to, r->body->str + at, (gssize)size);
        if (told == size)
            g_string_append(to, "\r\n");
        at += size;
    }
    if (r->end == END_CHUNKED || r->end == TORN_LAST_CHUNK)
        g_string_append(to, "0\r\n\r\n");
}

#define OF_ANOTHER                                                                                                     \
    "HTTP/1.1 200 OK\r\nServer-Seal: s0\r\nAttempt-Id: other\r\nContent-Length: 18\r\n\r\nid: 1\ndata: other\n\n"

/** @param genuine whether the answer carries its proof of origin */
static GString *write_answer(const run_t *r, bool genuine)
{
    GString *const to = g_string_new(NULL);
    if (one_in(r->lot, 20))
        g_string_append(to, OF_ANOTHER);
    if (one_in(r->lot, 20))
        g_string_append(to, "HTTP/1.1 103 Early\r\nServer-Seal: s0\r\n\r\n");
    g_string_append_printf(to, "HTTP/1.1 200 OK\r\n%sAttempt-Id: %s\r\nContent-Type: text/event-stream\r\n",
                           genuine ? "Server-Seal: s1\r\n" : "", r->request->id);
    if (is_chunked(r)) {
        g_string_append(to, "Transfer-Encoding: chunked\r\n\r\n");
        write_chunks(r, to);
    } else {
        if (r->end == END_LENGTH || r->end == TORN_SHORT)
            g_string_append_printf(to, "Content-Length: %zu\r\n", r->body->len);
        g_string_append(to, "\r\n");
        g_string_append_len(to, r->body->str, (gssize)r->cut);
    }
    if ((r->end == END_CHUNKED || r->end == END_LENGTH) && one_in(r->lot, 10))
        g_string_append(to, OF_ANOTHER);
    return to;
}

/** Divide an answer into parts that are sent one by one. */
static GArray *draw_pieces(GRand *lot, size_t size)
{
    GArray *const pieces = g_array_new(FALSE, FALSE, sizeof(lab_piece_t));
    const bool bytewise = size <= BYTEWISE_MAX && one_in(lot, 4);
    const unsigned n = bytewise ? (unsigned)size : draw(lot, PIECES_MAX);
    for (unsigned i = 0; i < n && size > 0; i++) {
        const lab_piece_t piece = {.size = bytewise ? 1 : 1 + draw(lot, (unsigned)size),
                                   .wait = bytewise ? 0 : draw(lot, PIECE_WAIT_MS + 1)};
        g_array_append_val(pieces, piece);
        size -= piece.size;
    }
    return pieces;
}

static lab_end_t connection_end(run_end_t end)
{
    switch (end) {
    case END_CHUNKED:
    case END_LENGTH: return LAB_KEEP;
    case END_OF_CHANNEL:
    case TORN_CLOSED:
    case TORN_OF_CHANNEL:
    case TORN_SHORT: return LAB_CLOSE;
    case TORN_SILENT: return LAB_HANG;
    case TORN_RESET:
    case TORN_RESET_WHERE: return LAB_RESET;
    case TORN_LAST_CHUNK: return LAB_KEEP;
    case ENDS: break;
    }
    g_assert_not_reached();
}

/** A run that sends events. @param genuine whether they count */
static lab_reply_t run_request(request_t *q, GRand *lot, unsigned after, bool genuine)
{
    run_t r = {.request = q,
               .lot = lot,
               .run = q->calls,
               .body = g_string_new(NULL),
               .ends = g_array_new(FALSE, FALSE, sizeof(size_t))};
    const bool over = after > 0 && one_in(lot, 10);
    write_events(&r, after, over);
    r.end = r.ends->len > 0 ? draw_end(lot, q) : END_CHUNKED; /* behind the last token there is nothing to tear */
    if (!genuine && r.end == TORN_SILENT)
        r.end = TORN_RESET; /* such an answer is waited for until the request's time is over */
    r.cut = draw_cut(&r);
    if (genuine)
        drop_unmade(&r);
    else
        g_array_set_size(q->made, q->made->len - r.ends->len);
    g_string_append_printf(q->story, "run %u: behind %u%s%s, end %d, %zu of %zu bytes\n", r.run, after,
                           over ? ", begins anew" : "", genuine ? "" : ", no proof", r.end, r.cut, r.body->len);
    GString *const bytes = write_answer(&r, genuine);
    const lab_reply_t reply = {
        .end = connection_end(r.end), .pieces = draw_pieces(lot, bytes->len), .bytes = g_string_free(bytes, FALSE)};
    g_string_free(r.body, TRUE);
    g_array_free(r.ends, TRUE);
    return reply;
}

static lab_reply_t say_nothing_ran(const request_t *q)
{
    char *const bytes =
        g_strdup_printf("HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nAttempt-Id: %s\r\nContent-Length: 0\r\n\r\n", q->id);
    return (lab_reply_t){.bytes = bytes, .end = LAB_KEEP};
}

static lab_reply_t say_failed(const request_t *q)
{
    char *const bytes =
        g_strdup_printf("HTTP/1.1 500 No\r\nServer-Seal: s1\r\nAttempt-Id: %s\r\nContent-Length: 2\r\n\r\nno", q->id);
    return (lab_reply_t){.bytes = bytes, .end = LAB_KEEP};
}

static lab_reply_t serve(request_t *q, unsigned after)
{
    GRand *const lot = g_rand_new_with_seed(q->seed + 7919 * ++q->calls);
    lab_reply_t reply;
    const unsigned kind = draw(lot, 30);
    if (kind < 3) {
        g_string_append_printf(q->story, "run %u: turned away\n", q->calls);
        reply = say_nothing_ran(q);
    } else {
        q->ran++;
        if (kind == 3) {
            g_string_append_printf(q->story, "run %u: reset\n", q->calls);
            reply = (lab_reply_t){.end = LAB_RESET};
        } else if (kind == 4) {
            g_string_append_printf(q->story, "run %u: failed\n", q->calls);
            reply = say_failed(q);
        } else {
            reply = run_request(q, lot, after, kind != 5);
        }
    }
    g_rand_free(lot);
    return reply;
}

/** What a header line says, as a number; 0 without it. */
static unsigned header_number(const char *request, const char *name)
{
    const char *const at = strstr(request, name);
    return at ? (unsigned)strtoul(at + strlen(name), NULL, 10) : 0;
}

static request_t *find_request(const world_t *w, const char *text)
{
    for (guint i = 0; i < w->requests->len; i++) {
        request_t *const q = g_ptr_array_index(w->requests, i);
        char *const line = g_strdup_printf("\r\nAttempt-Id: %s\r\n", q->id);
        const bool found = strstr(text, line) != NULL;
        g_free(line);
        if (found)
            return q;
    }
    g_assert_not_reached();
}

static lab_reply_t answer_by_lot(void *arg, const char *text)
{
    const world_t *const w = arg;
    if (strstr(text, "\r\nStage: prefill\r\n") || g_str_has_prefix(text, "DELETE "))
        return reply_json("{\"prefill_handle\":\"handle1\"}");
    return serve(find_request(w, text), header_number(text, "\r\nLast-Event-Id: "));
}

/* ===== Requests ===== */

static void request_free(void *request)
{
    request_t *const q = request;
    lab_call_free(q->call);
    g_array_free(q->made, TRUE);
    g_string_free(q->story, TRUE);
    g_free(q);
}

/** @param seed of its own */
static void request_begin(world_t *w, unsigned of_seed, unsigned number)
{
    enum { PATHS = 4 };
    static const struct {
        const char *path;
        unsigned backends;
    } kinds[PATHS] = {{"/many/x", 4}, {"/many/x", 4}, {"/soon/x", 2}, {"/lm/x", 1}};
    request_t *const q = g_new0(request_t, 1);
    q->seed = of_seed * 100 + number;
    GRand *const lot = g_rand_new_with_seed(q->seed);
    const unsigned kind = draw(lot, PATHS);
    g_snprintf(q->id, sizeof(q->id), "seed%u-%u", of_seed, number);
    q->path = kinds[kind].path;
    q->backends = kinds[kind].backends;
    q->tokens = 1 + draw(lot, TOKENS_MAX);
    q->after = q->backends > 1 && one_in(lot, 4) ? draw(lot, q->tokens) : 0;
    q->hurried = one_in(lot, 15);
    q->leaves = one_in(lot, 20);
    q->made = g_array_new(FALSE, FALSE, sizeof(made_t));
    g_array_set_clear_func(q->made, made_clear);
    q->story = g_string_new(NULL);
    g_ptr_array_add(w->requests, q);
    char resume[48] = "";
    if (q->after > 0)
        g_snprintf(resume, sizeof(resume), "Last-Event-Id: %u\r\n", q->after);
    char *const text = g_strdup_printf("POST %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n"
                                       "Token-Count: 100,50\r\n%sContent-Length: 4\r\n\r\nbody",
                                       q->path, q->id, q->hurried ? HURRY_MS : 8000, resume);
    q->call =
        one_in(lot, 2) ? lab_call_kept(w->f->callers, w->f->addr, text) : lab_call(w->f->callers, w->f->addr, text);
    g_free(text);
    g_rand_free(lot);
}

/** All answers are over; callers that leave do so. */
static bool are_done(void *arg)
{
    const world_t *const w = arg;
    bool done = true;
    for (guint i = 0; i < w->requests->len; i++) {
        request_t *const q = g_ptr_array_index(w->requests, i);
        lab_call_t *const c = q->call;
        if (q->leaves && !c->done && c->body->len > LEAVE_BYTES) {
            web_call_cancel(c->call);
            c->done = true;
            c->how = WEB_END_CUT;
        }
        done &= c->done;
    }
    return done && forwarder_in_flight(w->f->forwarder) == 0;
}

/* ===== What callers got ===== */

static void fail_of(const request_t *q, const char *why, const char *rest)
{
    g_error("%s %s%s, %u tokens behind %u: %s; status %d, end %d, at byte %zu: \"%.300s\"\n%s", q->id, q->path,
            q->leaves ? ", leaves" : "", q->tokens, q->after, why, q->call->status, q->call->how,
            (size_t)(rest - q->call->body->str), rest, q->story->str);
}

/** The event that the rest of an answer begins with: the next one of the run that brought the last, or the first one of
 *  a later run. @return its place among those that were made, made->len when there is none */
static guint find_event(const request_t *q, guint from, const char *rest)
{
    for (guint i = from; i < q->made->len; i++) {
        const made_t *const made = &g_array_index(q->made, made_t, i);
        if ((i == from || made->number == 0) && g_str_has_prefix(rest, made->bytes))
            return i;
    }
    return q->made->len;
}

/** Whether the rest is the beginning of such an event: all that a caller has got of it when it leaves. */
static bool is_begun(const request_t *q, guint from, const char *rest)
{
    for (guint i = from; i < q->made->len; i++) {
        const made_t *const made = &g_array_index(q->made, made_t, i);
        if ((i == from || made->number == 0) && g_str_has_prefix(made->bytes, rest))
            return true;
    }
    return false;
}

/** Whether the last run made an event that is not among the first @p passed on of all. */
static bool has_more(const request_t *q, guint passed)
{
    return passed < q->made->len && g_array_index(q->made, made_t, q->made->len - 1).run == q->calls;
}

/** Promise: what a caller gets is whole events of one run each, every token once and in order, and all of them when the
 *  answer ends well. @return runs that brought it */
static unsigned check_events(const request_t *q)
{
    const char *rest = q->call->body->str;
    unsigned last = q->after, run = 0, runs = 0;
    guint next = 0;
    while (*rest) {
        const guint at = find_event(q, next, rest);
        if (at == q->made->len && q->leaves && is_begun(q, next, rest))
            break;
        if (at == q->made->len)
            fail_of(q, "no run made this event", rest);
        const made_t *const made = &g_array_index(q->made, made_t, at);
        if (made->to > 0 && made->from != last + 1)
            fail_of(q, "tokens are lost or repeated", rest);
        last = made->to > 0 ? made->to : last;
        runs += made->run != run;
        run = made->run;
        rest += strlen(made->bytes);
        next = at + 1;
    }
    if (q->call->how == WEB_END_WHOLE && (last != q->tokens || has_more(q, next)))
        fail_of(q, "ended well before its end", rest);
    return runs;
}

static void check_request(world_t *w, const request_t *q)
{
    const lab_call_t *const c = q->call;
    if (q->backends == 1 && q->ran > 1)
        fail_of(q, "ran twice", c->body->str);
    if (c->status != 200) {
        const bool refused = c->how == WEB_END_WHOLE && c->status >= 500;
        if (!refused || strcmp(c->body->str, c->status == 500 ? "no" : "") != 0)
            fail_of(q, "neither an answer nor a refusal", c->body->str);
        return;
    }
    w->taken_up += check_events(q) > 1;
    w->whole += c->how == WEB_END_WHOLE;
}

/* ===== The test ===== */

static unsigned seeds(void)
{
    const char *const text = g_getenv("STREAM_SEEDS");
    return text ? (unsigned)strtoul(text, NULL, 10) : SEEDS;
}

static void run_seeds(world_t *w, unsigned first, unsigned last)
{
    w->requests = g_ptr_array_new_with_free_func(request_free);
    for (unsigned seed = first; seed <= last; seed++) {
        GRand *const lot = g_rand_new_with_seed(seed);
        const unsigned n = REQUESTS_MIN + draw(lot, REQUESTS_MAX - REQUESTS_MIN + 1);
        for (unsigned i = 0; i < n; i++)
            request_begin(w, seed, i);
        g_rand_free(lot);
    }
    lab_run_until(w->f->loop, are_done, w);
    for (guint i = 0; i < w->requests->len; i++)
        check_request(w, g_ptr_array_index(w->requests, i));
    g_ptr_array_free(w->requests, TRUE);
}

static void test_by_lot(fixture_t *f, gconstpointer data)
{
    (void)data;
    world_t w = {.f = f};
    start_scripted(f,
                   (backend_plan_t[]){{"lm", "prefill", "", false, false},
                                      {"lm", "decode", "", false, false},
                                      {"lm", "decode", "", false, false},
                                      {"lm", "decode", "", false, false},
                                      {"lm", "decode", "", false, false},
                                      {"lm", "decode", "", false, false}},
                   6, answer_by_lot, &w);
    web_client_keep(f->client, 8);
    web_client_keep(f->callers, 8);
    const unsigned n = seeds();
    for (unsigned first = 1; first <= n; first += SEEDS_AT_ONCE)
        run_seeds(&w, first, MIN(n, first + SEEDS_AT_ONCE - 1));
    g_test_message("%u seeds: %u answers ended well, %u were brought by several runs", n, w.whole, w.taken_up);
    if (n < SEEDS)
        return;
    g_assert_cmpuint(w.whole, >=, WHOLE_MIN);
    g_assert_cmpuint(w.taken_up, >=, TAKEN_UP_MIN);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add("/stream-random/by-lot", fixture_t, NULL, set_up, test_by_lot, tear_down);
    return g_test_run();
}
