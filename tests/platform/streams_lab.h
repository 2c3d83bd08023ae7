/** @file streams_lab.h
 * Fixture of test_stream_versions.c and test_part_quarantine.c: control boxes, entry boxes, decode engines of two
 * software versions that crash and return, also under a part of a prompt, and callers who take broken streams up again
 * at other boxes, all real and over loopback. Each event tells the version of the engine that wrote it.
 */
#ifndef TRACKCOVE_TESTS_STREAMS_LAB_H
#define TRACKCOVE_TESTS_STREAMS_LAB_H

#include "platform/entries_lab.h"

enum {
    STREAM_BOXES = 3,
    ENGINES = 9,    /* the first reads prompts, the others are decode engines */
    EVENTS = 12,    /* of a stream */
    EVENT_MS = 25,  /* between two of them */
    TICK_MS = 5,    /* of callers and engines */
    BEGIN_MS = 15,  /* between two new streams */
    CRASH_MS = 120, /* between two crashes */
    RETURN_MS = 250,
    ATTEMPTS_MAX = 8,
    STREAM_MS = 2500,       /* time in which a caller takes its stream up again */
    FATAL_RETURN_MS = 3000, /* of an engine that crashed under the part */
    FATAL_MS = 70,          /* between two new requests with it */
    CONTACT_MS = 3000,      /* the users' bound on what all boxes know */
    SHARED_PARTS = 20,      /* second parts of prompts; the first one is the same in all */
    LIST_MS = 60            /* between two readings of the platform's list, which shows the state at the one before */
};

typedef struct streams_world streams_world_t;

typedef struct {
    streams_world_t *world;
    lab_backend_t *server;
    const char *version;
    tc_time_t return_at; /* 0: it runs */
    unsigned life;
} engine_server_t;

/** A stream, over all attempts of its caller. */
typedef struct {
    lab_call_t *call;      /* NULL: none in flight */
    char first[16];        /* attempt that brought its first event; "" before that */
    char id[16];           /* of the call */
    const char *wrote;     /* version of its first event; NULL before that */
    unsigned last, before; /* newest event, and the newest before the call */
    unsigned attempts, box;
    unsigned part; /* number of its second part */
    bool is_fatal; /* that is the part that crashes engines */
    bool mixed, breaks, taken_up, went_on, over;
    bool began_at_first; /* its first attempt brought events */
    tc_time_t begun, next_at;
} caller_stream_t;

struct streams_world {
    entries_lab_t lab;
    engine_server_t engines[ENGINES];
    backend_t shown[ENGINES]; /* what the platform's list shows */
    GPtrArray *streams;       /* caller_stream_t */
    bool is_loaded, crashes, sends_fatal;
    unsigned crashed;
    unsigned fatal_crashes, fatal_late; /* crashes under the part; arrivals of it CONTACT_MS after the fifth */
    tc_time_t fifth_at;                 /* when the fifth crash came; 0: not yet */
    tc_time_t fatal_at, begin_at, crash_at, list_at;
};

/* ===== Engines ===== */

static char *copy_header(const char *request, const char *name)
{
    const char *const at = strstr(request, name);
    return at ? g_strndup(at + strlen(name), strcspn(at + strlen(name), "\r")) : g_strdup("");
}

/** The events after @p after, each in a piece of its own. */
static lab_reply_t reply_events(const engine_server_t *e, const char *id, unsigned after)
{
    GString *const out = g_string_new(NULL);
    g_string_printf(out,
                    "HTTP/1.1 200 OK\r\nServer-Seal: s1\r\nAttempt-Id: %s\r\nContent-Type: text/event-stream\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n",
                    id);
    lab_reply_t reply = {.end = LAB_KEEP, .pieces = g_array_new(FALSE, FALSE, sizeof(lab_piece_t))};
    lab_piece_t piece = {.size = out->len};
    g_array_append_val(reply.pieces, piece);
    for (unsigned i = after + 1; i <= EVENTS; i++) {
        const gsize before = out->len;
        char *const event = g_strdup_printf("id: %u\ndata: %s\n\n", i, e->version);
        g_string_append_printf(out, "%zx\r\n%s\r\n", strlen(event), event);
        piece = (lab_piece_t){.size = out->len - before, .wait = EVENT_MS};
        g_array_append_val(reply.pieces, piece);
        g_free(event);
    }
    g_string_append(out, "0\r\n\r\n");
    reply.bytes = g_string_free(out, FALSE);
    return reply;
}

/** Notes that a request with the fatal part has arrived, and crashes the engine if it is to write.
 *  @return whether it crashes */
static bool take_fatal(engine_server_t *e, bool writes)
{
    streams_world_t *const w = e->world;
    const tc_time_t now = tc_time_now();
    w->fatal_late += w->fifth_at > 0 && now > w->fifth_at + CONTACT_MS;
    if (!writes || e->return_at > 0)
        return writes;
    lab_backend_crash(e->server);
    e->return_at = now + FATAL_RETURN_MS;
    if (++w->fatal_crashes == 5)
        w->fifth_at = now;
    return true;
}

static lab_reply_t answer_request(void *arg, const char *request)
{
    static const char handle[] = "{\"prefill_handle\":\"h\"}";
    engine_server_t *const e = arg;
    const backend_t *const self = &e->world->lab.list[e - e->world->engines];
    lab_reply_t reply;
    if (is_own_request(request, &reply))
        return reply;
    char *const instance = copy_header(request, "Expect-Instance: ");
    char *const id = copy_header(request, "Attempt-Id: ");
    char *const last = copy_header(request, "Last-Event-Id: ");
    if (strcmp(instance, self->id) != 0)
        reply.bytes = g_strdup("HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n");
    else if (strstr(request, ",fa7a1:") && take_fatal(e, !strstr(request, "Stage: prefill")))
        reply.end = LAB_HANG;
    else if (strstr(request, "Stage: prefill"))
        reply.bytes = g_strdup_printf("HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s", strlen(handle), handle);
    else
        reply = reply_events(e, id, (unsigned)atoi(last));
    g_free(instance);
    g_free(id);
    g_free(last);
    return reply;
}

static void name_life(engine_server_t *e)
{
    backend_t *const listed = &e->world->lab.list[e - e->world->engines];
    g_snprintf(listed->id, sizeof(listed->id), "i-%d-%u", (int)(e - e->world->engines), ++e->life);
    codec_copy_string(listed->version, sizeof(listed->version), e->version);
}

static void start_engines(streams_world_t *w)
{
    w->lab.backends_n = ENGINES;
    for (int i = 0; i < ENGINES; i++) {
        engine_server_t *const e = &w->engines[i];
        e->world = w;
        e->version = i % 2 ? "v1" : "v2";
        e->server = start_server(&w->lab, i, i == 0 ? "prefill" : "decode", "a", 64, answer_request, e);
        name_life(e);
    }
}

/** Has one decode engine crash. */
static void crash_one(streams_world_t *w)
{
    engine_server_t *const e = &w->engines[g_rand_int_range(w->lab.random, 1, ENGINES)];
    if (e->return_at > 0 || w->lab.list[e - w->engines].draining)
        return;
    lab_backend_crash(e->server);
    e->return_at = tc_time_now() + RETURN_MS;
    w->crashed++;
}

/** A crashed engine returns at its address with another id, in one of six cases as one of the other version. */
static void return_engines(streams_world_t *w, tc_time_t now)
{
    for (int i = 1; i < ENGINES; i++) {
        engine_server_t *const e = &w->engines[i];
        if (e->return_at == 0 || now < e->return_at)
            continue;
        e->return_at = 0;
        if (g_rand_int_range(w->lab.random, 0, 6) == 0)
            e->version = e->version[1] == '1' ? "v2" : "v1";
        lab_backend_restart(e->server);
        name_life(e);
    }
}

/** Control boxes read a list that trails reality, as the platform's does. */
static void read_platform(streams_world_t *w)
{
    for (int i = 0; i < SEEDS; i++)
        if (w->lab.f.replica[i])
            replica_set_backends(w->lab.f.replica[i], w->shown, ENGINES, tc_time_now());
    memcpy(w->shown, w->lab.list, sizeof(w->shown));
}

/** All engines of a version leave, and are replaced by those of the other. */
static __attribute__((unused)) void drain_version(streams_world_t *w, const char *version)
{
    for (int i = 1; i < ENGINES; i++)
        w->lab.list[i].draining = strcmp(w->engines[i].version, version) == 0;
}

/* ===== Callers ===== */

static void send_attempt(streams_world_t *w, caller_stream_t *s)
{
    s->box = s->attempts++ == 0 ? (unsigned)g_rand_int_range(w->lab.random, 0, STREAM_BOXES) : s->box + 1;
    char more[256], part[16], resumes[64] = "";
    g_snprintf(part, sizeof(part), s->is_fatal ? "fa7a1" : "b%x", s->part);
    if (s->wrote)
        g_snprintf(resumes, sizeof(resumes), "Last-Event-Id: %u\r\nResumes: %s\r\n", s->last, s->first);
    g_snprintf(more, sizeof(more), "Deadline-Ms: 3000\r\nToken-Count: 100,50\r\nPrompt-Prefix: a1:10,%s:20,%p:90\r\n%s",
               part, (void *)s, resumes);
    s->before = s->last;
    s->call = send_to_entry(&w->lab, &w->lab.entries[s->box % STREAM_BOXES], "/lm/x", more, "body");
    g_snprintf(s->id, sizeof(s->id), "%08x", w->lab.requested);
}

/** Reads the whole events of the call's answer. */
static void read_events(caller_stream_t *s)
{
    const char *const end = g_strrstr(s->call->body->str, "\n\n");
    for (const char *at = s->call->body->str; end && (at = strstr(at, "id: ")) && at < end; at++) {
        const unsigned id = (unsigned)atoi(at + strlen("id: "));
        const char *const version = strstr(at, "data: v1") && strstr(at, "data: v1") < strstr(at, "\n\n") ? "v1" : "v2";
        if (id <= s->last)
            continue;
        if (!s->wrote)
            g_strlcpy(s->first, s->id, sizeof(s->first));
        s->began_at_first = s->began_at_first || (!s->wrote && s->attempts == 1);
        s->wrote = s->wrote ? s->wrote : version;
        s->mixed = s->mixed || strcmp(s->wrote, version) != 0;
        s->last = id;
    }
    s->went_on = s->went_on || (s->taken_up && s->last > s->before);
}

static void drive_stream(streams_world_t *w, caller_stream_t *s, tc_time_t now)
{
    if (!s->call) {
        if (now >= s->next_at)
            send_attempt(w, s);
        return;
    }
    read_events(s);
    if (s->breaks && s->last >= EVENTS / 3 && !s->call->done) { /* its connection breaks */
        s->breaks = false;
        web_call_cancel(s->call->call);
        s->call->done = true;
    }
    if (!s->call->done)
        return;
    s->call = NULL;
    s->next_at = now + 10;
    s->over = s->last == EVENTS || s->attempts == ATTEMPTS_MAX || now - s->begun > STREAM_MS;
    s->taken_up = s->taken_up || (!s->over && s->last > 0);
}

static void begin_stream(streams_world_t *w, bool is_fatal, tc_time_t now)
{
    caller_stream_t *const s = g_new0(caller_stream_t, 1);
    s->begun = now;
    s->is_fatal = is_fatal;
    s->part = (unsigned)g_rand_int_range(w->lab.random, 0, SHARED_PARTS);
    s->breaks = g_rand_int_range(w->lab.random, 0, 3) == 0;
    g_ptr_array_add(w->streams, s);
}

static void drive(void *arg)
{
    streams_world_t *const w = arg;
    const tc_time_t now = tc_time_now();
    if (w->is_loaded && now >= w->begin_at) {
        w->begin_at = now + BEGIN_MS;
        begin_stream(w, false, now);
    }
    if (w->sends_fatal && now >= w->fatal_at) {
        w->fatal_at = now + FATAL_MS;
        begin_stream(w, true, now);
    }
    if (w->crashes && now >= w->crash_at) {
        w->crash_at = now + CRASH_MS;
        crash_one(w);
    }
    return_engines(w, now);
    if (now >= w->list_at) {
        w->list_at = now + LIST_MS;
        read_platform(w);
    }
    for (guint i = 0; i < w->streams->len; i++) {
        caller_stream_t *const s = g_ptr_array_index(w->streams, i);
        if (!s->over)
            drive_stream(w, s, now);
    }
}

static bool all_over(void *arg)
{
    const streams_world_t *const w = arg;
    for (guint i = 0; i < w->streams->len; i++)
        if (!((const caller_stream_t *)g_ptr_array_index(w->streams, i))->over)
            return false;
    return true;
}

static void run_streams(streams_world_t *w, tc_time_t span)
{
    w->is_loaded = true;
    lab_run_for(w->lab.f.loop, span);
    w->is_loaded = false;
}

static void await_streams(streams_world_t *w)
{
    lab_run_until(w->lab.f.loop, all_over, w);
}

/* ===== Life ===== */

static const char config[] =
    "{\"version\":3,\"routes\":[{\"host\":\"h\",\"path_prefix\":\"/lm/\",\"kind\":\"stream\",\"timeout_ms\":3000,"
    "\"target_latency_ms\":900,\"max_attempts\":3,\"resumable\":true,\"gap_aim_ms\":100,\"service\":\"lm\"}],"
    "\"services\":[{\"name\":\"lm\",\"engine\":{\"slots\":64,\"kv_tokens\":90000,\"handle_ttl_s\":5}}]}";

static void set_backends(void *arg, const backend_t *list, uint32_t n)
{
    fleet_set_list(((entry_t *)arg)->fleet, list, n, tc_time_now());
}

static bool boxes_know_leader(void *arg)
{
    const streams_world_t *const w = arg;
    for (int i = 0; i < STREAM_BOXES; i++)
        if (reporter_leader_contact_time(w->lab.entries[i].reporter) == 0)
            return false;
    return true;
}

static void set_up_streams(streams_world_t *w, gconstpointer data)
{
    (void)data;
    w->streams = g_ptr_array_new_with_free_func(g_free);
    set_up_entries(&w->lab, config);
    g_rand_set_seed(w->lab.random, (guint32)g_test_rand_int());
    start_engines(w);
    memcpy(w->shown, w->lab.list, sizeof(w->shown));
    start_controls(&w->lab);
    const leader_sched_service_t service = {.service = "lm", .slots = 64, .memory_tokens = 90000, .link_tokens_s = 1e6};
    for (int i = 0; i < SEEDS; i++)
        replica_set_services(w->lab.f.replica[i], &service, 1);
    read_platform(w);
    start_entries(&w->lab, STREAM_BOXES, (reporter_events_t){.on_backends = set_backends});
    lab_run_until(w->lab.f.loop, boxes_know_leader, w);
    set_box_count(&w->lab);
    loop_add_tick(w->lab.f.loop, TICK_MS, drive, w);
}

static void tear_down_streams(streams_world_t *w, gconstpointer data)
{
    loop_remove_ticks(w->lab.f.loop, w);
    tear_down_entries(&w->lab);
    for (int i = 0; i < ENGINES; i++)
        lab_backend_stop(w->engines[i].server);
    g_ptr_array_free(w->streams, TRUE);
    tear_down(&w->lab.f, data);
}

#endif
