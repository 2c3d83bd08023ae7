/* Randomized answers that are delivered by several runs: back ends divide their answers into events, chunks and writes
 * at random, and stall, close, reset or start over at any byte. Checks that a caller gets complete events, each from
 * one run, and every token once and in order, up to the last one when the answer ends well.
 *
 * One case is excluded, since ids do not reveal it: a run that starts over instead of continuing after the requested
 * event, and whose first event ends beyond that event. */

#include "platform/forward_lab.h"

/* ===== Constants ===== */

enum {
    SEEDS = 200,
    SEEDS_PER_BATCH = 20,        /* seeds that run concurrently and share one entry box and its connections */
    REQUESTS_MIN = 3,            /* per seed */
    REQUESTS_MAX = 5,            /* per seed */
    TOKENS_MAX = 30,             /* per answer */
    EVENT_TOKENS_MAX = 6,        /* per event */
    EVENT_PADDING_MAX = 1500000, /* size limit of the largest events, in bytes */
    PIECES_MAX = 10,             /* writes per answer */
    BYTEWISE_MAX = 400,          /* answers up to this size may be sent byte by byte */
    PIECE_WAIT_MS = 2,           /* longest delay before a write */
    SHORT_DEADLINE_MS = 100,     /* deadline of a request whose answer may stall for ever */
    LEAVE_BYTES = 100,           /* bytes of the answer after which a caller leaves */
    WHOLE_MIN = SEEDS,           /* least number of answers that end well, over all seeds */
    RESUMED_MIN = SEEDS / 5,     /* least number delivered by several runs, so that the test covers them */
};

/* ===== Types ===== */

/** An event that a run has sent completely. */
typedef struct {
    unsigned run, number; /* index among the run's events */
    unsigned from, to;    /* first and last token; 0: none */
    char *bytes;
} sent_event_t;

/** How a run ends. */
typedef enum {
    END_CHUNKED,          /* complete, chunked */
    END_LENGTH,           /* complete, with Content-Length */
    END_CLOSED,           /* complete, ended by closing the connection */
    CUT_SILENT,           /* stops within an event; the connection stays open */
    CUT_RESET,            /* stops within an event; reset */
    CUT_CLOSED_CHUNKED,   /* stops within an event; closed without the last chunk */
    CUT_LAST_CHUNK,       /* stops within an event; ended by the last chunk */
    CUT_CLOSED_NO_LENGTH, /* stops within an event; closed, without a length */
    CUT_SHORT,            /* stops within an event; closed before Content-Length */
    CUT_RESET_ANYWHERE,   /* reset at any byte, without a length */
    ENDS
} run_end_t;

/** One request and its runs. */
typedef struct {
    char id[24];
    uint32_t seed;
    const char *path;
    unsigned backends;       /* most back ends that may run it */
    bool has_short_deadline; /* its deadline is SHORT_DEADLINE_MS */
    bool leaves;             /* its caller leaves within the answer */
    unsigned after;          /* last token that the caller has already */
    unsigned tokens;
    unsigned calls, ran; /* calls to back ends; those that may have run it */
    GArray *made;        /* sent_event_t */
    GString *run_log;    /* log of its runs, for failure messages */
    lab_call_t *call;
} request_t;

typedef struct {
    fixture_t *f;
    GPtrArray *requests; /* request_t */
    unsigned whole, resumed;
} batch_t;

/** Answer of a run. */
typedef struct {
    request_t *request;
    GRand *random;
    unsigned run;
    GString *body;
    GArray *ends; /* size_t: end offsets of its events */
    run_end_t end;
    size_t cut; /* number of body bytes that are sent */
} run_t;

/* ===== Random choices ===== */

/** @return a random number from 0 to @p n - 1 */
static unsigned draw(GRand *random, unsigned n)
{
    return (unsigned)g_rand_int_range(random, 0, (gint32)n);
}

/** Whether an event of probability 1/@p n occurs. */
static bool one_in(GRand *random, unsigned n)
{
    return draw(random, n) == 0;
}

/** Number of padding bytes of an event: mostly small, sometimes large, rarely very large. */
static size_t draw_filler(GRand *random)
{
    if (one_in(random, 600))
        return draw(random, EVENT_PADDING_MAX);
    if (one_in(random, 25))
        return draw(random, 40000);
    return draw(random, 60);
}

/* ===== Events ===== */

static void made_clear(void *made)
{
    g_free(((sent_event_t *)made)->bytes);
}

/** Adds an event to the run; drop_unmade removes it if it is not sent completely. */
static void add_event(run_t *r, unsigned from, unsigned to, const char *line_end)
{
    const size_t begin = r->body->len;
    if (to > 0 && one_in(r->random, 8))
        g_string_append_printf(r->body, "versions: 3%s", line_end);
    if (to > 0 && one_in(r->random, 8))
        g_string_append_printf(r->body, ": within%s", line_end);
    if (to > 0)
        g_string_append_printf(r->body, one_in(r->random, 4) ? "id:%u%s" : "id: %u%s", to, line_end);
    const char *const field = to > 0 || one_in(r->random, 2) ? "data" : "";
    g_string_append_printf(r->body, "%s: run %u event %u tokens %u to %u ", field, r->run, r->ends->len, from, to);
    const size_t filler = draw_filler(r->random);
    for (size_t i = 0; i < filler; i++)
        g_string_append_c(r->body, (char)('a' + (r->run + i + i / 97) % 26));
    g_string_append(r->body, line_end);
    if (one_in(r->random, 6))
        g_string_append_printf(r->body, "data: more%s", line_end);
    g_string_append(r->body, line_end);
    const size_t end = r->body->len;
    const sent_event_t made = {.run = r->run,
                               .number = r->ends->len,
                               .from = from,
                               .to = to,
                               .bytes = g_strndup(r->body->str + begin, end - begin)};
    g_array_append_val(r->ends, end);
    g_array_append_val(r->request->made, made);
}

/** Writes all events after the token @p after. @param over the run starts over instead */
static void write_events(run_t *r, unsigned after, bool over)
{
    const bool crlf = one_in(r->random, 2), mixed = one_in(r->random, 6);
    unsigned from = over ? 1 : after + 1;
    while (from <= r->request->tokens) {
        const char *const line_end = (mixed ? one_in(r->random, 2) : crlf) ? "\r\n" : "\n";
        if (one_in(r->random, 6)) {
            add_event(r, 0, 0, line_end);
            continue;
        }
        const unsigned most = over && from <= after ? after : r->request->tokens;
        const unsigned wanted = from + draw(r->random, EVENT_TOKENS_MAX);
        const unsigned to = MIN(most, wanted);
        add_event(r, from, to, line_end);
        from = to + 1;
    }
    if (one_in(r->random, 8))
        add_event(r, 0, 0, "\n");
}

/* ===== Runs ===== */

/** Chooses how a run ends. Only requests that can resume elsewhere or end soon may stall. */
static run_end_t draw_end(GRand *random, const request_t *request)
{
    const bool may_stop = request->has_short_deadline || request->ran < request->backends;
    const run_end_t end = one_in(random, 3) ? (run_end_t)draw(random, CUT_SILENT) : (run_end_t)draw(random, ENDS);
    return end == CUT_SILENT && !may_stop ? CUT_RESET : end;
}

/** Chooses the byte where the run stops: within an event if the end of the answer does not reveal that bytes are
 *  missing. */
static size_t draw_cut(const run_t *r)
{
    if (r->end < CUT_SILENT)
        return r->body->len;
    if (r->end == CUT_RESET_ANYWHERE)
        return draw(r->random, (unsigned)r->body->len + 1);
    const unsigned event = draw(r->random, r->ends->len);
    const size_t begin = event > 0 ? g_array_index(r->ends, size_t, event - 1) : 0;
    const size_t size = g_array_index(r->ends, size_t, event) - begin;
    return begin + 1 + draw(r->random, (unsigned)size - 1);
}

/** Removes events that are not sent completely. */
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
    case CUT_SILENT:
    case CUT_RESET:
    case CUT_CLOSED_CHUNKED:
    case CUT_LAST_CHUNK: return true;
    case END_LENGTH:
    case END_CLOSED:
    case CUT_CLOSED_NO_LENGTH:
    case CUT_SHORT:
    case CUT_RESET_ANYWHERE:
    case ENDS: break;
    }
    return false;
}

static void write_chunks(const run_t *r, GString *to)
{
    size_t at = 0;
    while (at < r->cut) {
        const size_t left = r->cut - at;
        const size_t size = one_in(r->random, 3) ? left : 1 + draw(r->random, (unsigned)left);
        /* The last chunk may be truncated too. */
        const size_t announced =
            size == left && r->end != END_CHUNKED && r->end != CUT_LAST_CHUNK && one_in(r->random, 2)
                ? size + 1 + draw(r->random, 50)
                : size;
        g_string_append_printf(to, "%zx\r\n", announced);
        g_string_append_len(to, r->body->str + at, (gssize)size);
        if (announced == size)
            g_string_append(to, "\r\n");
        at += size;
    }
    if (r->end == END_CHUNKED || r->end == CUT_LAST_CHUNK)
        g_string_append(to, "0\r\n\r\n");
}

#define STRAY_ANSWER                                                                                                   \
    "HTTP/1.1 200 OK\r\nServer-Seal: s0\r\nAttempt-Id: other\r\nContent-Length: 18\r\n\r\nid: 1\ndata: other\n\n"

/** @param authentic whether the answer carries its proof of origin */
static GString *write_answer(const run_t *r, bool authentic)
{
    GString *const to = g_string_new(NULL);
    if (one_in(r->random, 20))
        g_string_append(to, STRAY_ANSWER);
    if (one_in(r->random, 20))
        g_string_append(to, "HTTP/1.1 103 Early\r\nServer-Seal: s0\r\n\r\n");
    g_string_append_printf(to, "HTTP/1.1 200 OK\r\n%sAttempt-Id: %s\r\nContent-Type: text/event-stream\r\n",
                           authentic ? "Server-Seal: s1\r\n" : "", r->request->id);
    if (is_chunked(r)) {
        g_string_append(to, "Transfer-Encoding: chunked\r\n\r\n");
        write_chunks(r, to);
    } else {
        if (r->end == END_LENGTH || r->end == CUT_SHORT)
            g_string_append_printf(to, "Content-Length: %zu\r\n", r->body->len);
        g_string_append(to, "\r\n");
        g_string_append_len(to, r->body->str, (gssize)r->cut);
    }
    if ((r->end == END_CHUNKED || r->end == END_LENGTH) && one_in(r->random, 10))
        g_string_append(to, STRAY_ANSWER);
    return to;
}

/** Divides an answer into writes. */
static GArray *draw_pieces(GRand *random, size_t size)
{
    GArray *const pieces = g_array_new(FALSE, FALSE, sizeof(lab_piece_t));
    const bool bytewise = size <= BYTEWISE_MAX && one_in(random, 4);
    const unsigned n = bytewise ? (unsigned)size : draw(random, PIECES_MAX);
    for (unsigned i = 0; i < n && size > 0; i++) {
        const lab_piece_t piece = {.size = bytewise ? 1 : 1 + draw(random, (unsigned)size),
                                   .wait = bytewise ? 0 : draw(random, PIECE_WAIT_MS + 1)};
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
    case END_CLOSED:
    case CUT_CLOSED_CHUNKED:
    case CUT_CLOSED_NO_LENGTH:
    case CUT_SHORT: return LAB_CLOSE;
    case CUT_SILENT: return LAB_HANG;
    case CUT_RESET:
    case CUT_RESET_ANYWHERE: return LAB_RESET;
    case CUT_LAST_CHUNK: return LAB_KEEP;
    case ENDS: break;
    }
    g_assert_not_reached();
}

/** Answers with a run that sends events. @param authentic whether the answer carries its proof of origin */
static lab_reply_t run_request(request_t *q, GRand *random, unsigned after, bool authentic)
{
    run_t r = {.request = q,
               .random = random,
               .run = q->calls,
               .body = g_string_new(NULL),
               .ends = g_array_new(FALSE, FALSE, sizeof(size_t))};
    const bool over = after > 0 && one_in(random, 10);
    write_events(&r, after, over);
    r.end = r.ends->len > 0 ? draw_end(random, q) : END_CHUNKED; /* after the last token there is no event to cut */
    if (!authentic && r.end == CUT_SILENT)
        r.end = CUT_RESET; /* such an answer is awaited until the deadline of the request */
    r.cut = draw_cut(&r);
    if (authentic)
        drop_unmade(&r);
    else
        g_array_set_size(q->made, q->made->len - r.ends->len);
    g_string_append_printf(q->run_log, "run %u: after token %u%s%s, end %d, %zu of %zu bytes\n", r.run, after,
                           over ? ", starts over" : "", authentic ? "" : ", no proof", r.end, r.cut, r.body->len);
    GString *const bytes = write_answer(&r, authentic);
    const lab_reply_t reply = {
        .end = connection_end(r.end), .pieces = draw_pieces(random, bytes->len), .bytes = g_string_free(bytes, FALSE)};
    g_string_free(r.body, TRUE);
    g_array_free(r.ends, TRUE);
    return reply;
}

static lab_reply_t reply_not_run(const request_t *q)
{
    char *const bytes =
        g_strdup_printf("HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nAttempt-Id: %s\r\nContent-Length: 0\r\n\r\n", q->id);
    return (lab_reply_t){.bytes = bytes, .end = LAB_KEEP};
}

static lab_reply_t reply_failed(const request_t *q)
{
    char *const bytes =
        g_strdup_printf("HTTP/1.1 500 No\r\nServer-Seal: s1\r\nAttempt-Id: %s\r\nContent-Length: 2\r\n\r\nno", q->id);
    return (lab_reply_t){.bytes = bytes, .end = LAB_KEEP};
}

static lab_reply_t serve(request_t *q, unsigned after)
{
    GRand *const random = g_rand_new_with_seed(q->seed + 7919 * ++q->calls);
    lab_reply_t reply;
    const unsigned kind = draw(random, 30);
    if (kind < 3) {
        g_string_append_printf(q->run_log, "run %u: refused\n", q->calls);
        reply = reply_not_run(q);
    } else {
        q->ran++;
        if (kind == 3) {
            g_string_append_printf(q->run_log, "run %u: reset\n", q->calls);
            reply = (lab_reply_t){.end = LAB_RESET};
        } else if (kind == 4) {
            g_string_append_printf(q->run_log, "run %u: failed\n", q->calls);
            reply = reply_failed(q);
        } else {
            reply = run_request(q, random, after, kind != 5);
        }
    }
    g_rand_free(random);
    return reply;
}

/** Value of a numeric header; 0 without it. */
static unsigned header_number(const char *request, const char *name)
{
    const char *const at = strstr(request, name);
    return at ? (unsigned)strtoul(at + strlen(name), NULL, 10) : 0;
}

static request_t *find_request(const batch_t *w, const char *text)
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

static lab_reply_t answer_at_random(void *arg, const char *text)
{
    const batch_t *const w = arg;
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
    g_string_free(q->run_log, TRUE);
    g_free(q);
}

/** Begins a request with random properties. */
static void request_begin(batch_t *w, unsigned of_seed, unsigned number)
{
    enum { PATHS = 4 };
    static const struct {
        const char *path;
        unsigned backends;
    } kinds[PATHS] = {{"/many/x", 4}, {"/many/x", 4}, {"/soon/x", 2}, {"/lm/x", 1}};
    request_t *const q = g_new0(request_t, 1);
    q->seed = of_seed * 100 + number;
    GRand *const random = g_rand_new_with_seed(q->seed);
    const unsigned kind = draw(random, PATHS);
    g_snprintf(q->id, sizeof(q->id), "seed%u-%u", of_seed, number);
    q->path = kinds[kind].path;
    q->backends = kinds[kind].backends;
    q->tokens = 1 + draw(random, TOKENS_MAX);
    q->after = q->backends > 1 && one_in(random, 4) ? draw(random, q->tokens) : 0;
    q->has_short_deadline = one_in(random, 15);
    q->leaves = one_in(random, 20);
    q->made = g_array_new(FALSE, FALSE, sizeof(sent_event_t));
    g_array_set_clear_func(q->made, made_clear);
    q->run_log = g_string_new(NULL);
    g_ptr_array_add(w->requests, q);
    char resume[48] = "";
    if (q->after > 0)
        g_snprintf(resume, sizeof(resume), "Last-Event-Id: %u\r\n", q->after);
    char *const text = g_strdup_printf("POST %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n"
                                       "Token-Count: 100,50\r\n%sContent-Length: 4\r\n\r\nbody",
                                       q->path, q->id, q->has_short_deadline ? SHORT_DEADLINE_MS : 8000, resume);
    q->call =
        one_in(random, 2) ? lab_call_reuse(w->f->callers, w->f->addr, text) : lab_call(w->f->callers, w->f->addr, text);
    g_free(text);
    g_rand_free(random);
}

/** Whether all answers have ended. Cancels the calls of callers that leave. */
static bool are_done(void *arg)
{
    const batch_t *const w = arg;
    bool done = true;
    for (guint i = 0; i < w->requests->len; i++) {
        request_t *const q = g_ptr_array_index(w->requests, i);
        lab_call_t *const c = q->call;
        if (q->leaves && !c->done && c->body->len > LEAVE_BYTES) {
            web_call_cancel(c->call);
            c->done = true;
            c->how = WEB_RESULT_TRUNCATED;
        }
        done &= c->done;
    }
    return done && forwarder_in_flight(w->f->forwarder) == 0;
}

/* ===== Checks ===== */

static void fail_of(const request_t *q, const char *why, const char *rest)
{
    g_error("%s %s%s, %u tokens after token %u: %s; status %d, end %d, at byte %zu: \"%.300s\"\n%s", q->id, q->path,
            q->leaves ? ", leaves" : "", q->tokens, q->after, why, q->call->status, q->call->how,
            (size_t)(rest - q->call->body->str), rest, q->run_log->str);
}

/** Finds the event at the start of @p rest: the next event of the same run, or the first event of a later run.
 *  @return its index in made; made->len when there is none */
static guint find_event(const request_t *q, guint from, const char *rest)
{
    for (guint i = from; i < q->made->len; i++) {
        const sent_event_t *const made = &g_array_index(q->made, sent_event_t, i);
        if ((i == from || made->number == 0) && g_str_has_prefix(rest, made->bytes))
            return i;
    }
    return q->made->len;
}

/** Whether @p rest is a prefix of such an event, which a leaving caller may have received. */
static bool is_begun(const request_t *q, guint from, const char *rest)
{
    for (guint i = from; i < q->made->len; i++) {
        const sent_event_t *const made = &g_array_index(q->made, sent_event_t, i);
        if ((i == from || made->number == 0) && g_str_has_prefix(made->bytes, rest))
            return true;
    }
    return false;
}

/** Whether the last run sent an event beyond the first @p passed events. */
static bool has_more(const request_t *q, guint passed)
{
    return passed < q->made->len && g_array_index(q->made, sent_event_t, q->made->len - 1).run == q->calls;
}

/** Guarantee: a caller gets complete events, each from one run, every token once and in order, and all tokens when the
 *  answer ends well. @return number of runs that delivered it */
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
            fail_of(q, "no run sent this event", rest);
        const sent_event_t *const made = &g_array_index(q->made, sent_event_t, at);
        if (made->to > 0 && made->from != last + 1)
            fail_of(q, "tokens are lost or repeated", rest);
        last = made->to > 0 ? made->to : last;
        runs += made->run != run;
        run = made->run;
        rest += strlen(made->bytes);
        next = at + 1;
    }
    if (q->call->how == WEB_RESULT_COMPLETE && (last != q->tokens || has_more(q, next)))
        fail_of(q, "ended well before its end", rest);
    return runs;
}

static void check_request(batch_t *w, const request_t *q)
{
    const lab_call_t *const c = q->call;
    if (q->backends == 1 && q->ran > 1)
        fail_of(q, "ran twice", c->body->str);
    if (c->status != 200) {
        const bool refused = c->how == WEB_RESULT_COMPLETE && c->status >= 500;
        if (!refused || strcmp(c->body->str, c->status == 500 ? "no" : "") != 0)
            fail_of(q, "neither an answer nor a refusal", c->body->str);
        return;
    }
    w->resumed += check_events(q) > 1;
    w->whole += c->how == WEB_RESULT_COMPLETE;
}

/* ===== The test ===== */

static unsigned seeds(void)
{
    const char *const text = g_getenv("STREAM_SEEDS");
    return text ? (unsigned)strtoul(text, NULL, 10) : SEEDS;
}

static void run_seeds(batch_t *w, unsigned first, unsigned last)
{
    w->requests = g_ptr_array_new_with_free_func(request_free);
    for (unsigned seed = first; seed <= last; seed++) {
        GRand *const random = g_rand_new_with_seed(seed);
        const unsigned n = REQUESTS_MIN + draw(random, REQUESTS_MAX - REQUESTS_MIN + 1);
        for (unsigned i = 0; i < n; i++)
            request_begin(w, seed, i);
        g_rand_free(random);
    }
    lab_run_until(w->f->loop, are_done, w);
    for (guint i = 0; i < w->requests->len; i++)
        check_request(w, g_ptr_array_index(w->requests, i));
    g_ptr_array_free(w->requests, TRUE);
}

static void test_random_runs(fixture_t *f, gconstpointer data)
{
    (void)data;
    batch_t w = {.f = f};
    start_scripted(f,
                   (backend_plan_t[]){{"lm", "prefill", "", false, false},
                                      {"lm", "decode", "", false, false},
                                      {"lm", "decode", "", false, false},
                                      {"lm", "decode", "", false, false},
                                      {"lm", "decode", "", false, false},
                                      {"lm", "decode", "", false, false}},
                   6, answer_at_random, &w);
    web_client_set_idle_max(f->client, 8);
    web_client_set_idle_max(f->callers, 8);
    const unsigned n = seeds();
    for (unsigned first = 1; first <= n; first += SEEDS_PER_BATCH)
        run_seeds(&w, first, MIN(n, first + SEEDS_PER_BATCH - 1));
    g_test_message("%u seeds: %u answers ended well, %u were delivered by several runs", n, w.whole, w.resumed);
    if (n < SEEDS)
        return;
    g_assert_cmpuint(w.whole, >=, WHOLE_MIN);
    g_assert_cmpuint(w.resumed, >=, RESUMED_MIN);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add("/stream-random/random-runs", fixture_t, NULL, set_up, test_random_runs, tear_down);
    return g_test_run();
}
