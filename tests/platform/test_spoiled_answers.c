/* Back ends that write what is no answer, with real control boxes, entry boxes and back ends over loopback.
 *
 * Guards against back ends that are chosen on and on while they spoil each answer: with one prefill engine, one decode
 * engine and one plain server doing so, 313 such answers were taken in 12 s, each of which cost its caller the answer
 * or a further arrival. */

#include "harness/parts.h"
#include "platform/entries_lab.h"

enum {
    BOXES_N = 3,
    STAGE_SERVERS = 3, /* of each stage */
    SERVERS = 3 * STAGE_SERVERS,
    BURST_INTERVAL_MS = 60,
    BURST = 12,              /* requests at once, so that each back end of a stage is needed */
    LIST_INTERVAL_MS = 1000, /* control boxes read the platform's list once a second */
    SOUND_MS = 15,           /* that a sound answer takes */
    PLAIN_SLOTS = 1,         /* so few that each plain server is needed */
    BEFORE_MS = 500,
    SPOIL_MS = 4000,
    HALF_MS = 8000, /* of a back end that spoils each second answer */
    RETURNED = 20   /* good answers by which a back end counts as taken back */
};

/* The bound for one spoiling back end: it is left after as many spoiled answers as it takes to judge it, with those
 * that are in flight by then, and then gets one trial per back-off period, wherever that is kept. */
enum {
    JUDGED_BY = 2,
    IN_FLIGHT = 2, /* at one box: its part of a burst, if all of one kind went to one back end */
    PERIODS = 4,   /* of 300, 600, 1,200 and 2,400 ms begin within SPOIL_MS */
    BOUND = BOXES_N * (JUDGED_BY + IN_FLIGHT + PERIODS),
    BOUND_LEADER = JUDGED_BY + BOXES_N * IN_FLIGHT + PERIODS, /* where the leader keeps the period for all boxes */
    /* One that spoils each second answer may be taken back by chance, and is then judged anew; its periods go on
     * doubling: six of them begin within HALF_MS. */
    HALF_PERIODS = 6,
    BOUND_HALF = BOXES_N * HALF_PERIODS * JUDGED_BY,
    BOUND_LEADER_HALF = HALF_PERIODS * (JUDGED_BY + IN_FLIGHT)
};

typedef enum { SPOIL_NOT, SPOIL_JUNK, SPOIL_UNPROVEN, SPOIL_UNUSABLE, SPOIL_CHUNKS } spoil_t;

typedef struct {
    lab_backend_t *server;
    spoil_t spoils;
    unsigned one_in; /* spoils one of so many answers */
    unsigned spoiled, good;
    unsigned by_box[BOXES_N];
    unsigned again;   /* spoiled answers to a request that had one there before */
    GHashTable *seen; /* attempts with spoiled answers */
    struct world *world;
} server_t;

typedef struct world {
    entries_lab_t lab;
    server_t servers[SERVERS];
    bool slots; /* the leader gives out those of plain servers */
    bool is_loaded;
    unsigned next;
    GArray *boxes; /* int: the box of each request */
} world_t;

/* ===== Back ends ===== */

static lab_reply_t reply_well(const char *request, const char *id)
{
    static const char stream[] = "id: 1\ndata: a\n\n", handle[] = "{\"prefill_handle\":\"h\"}";
    lab_reply_t reply = {.end = LAB_KEEP, .pieces = g_array_new(FALSE, FALSE, sizeof(lab_piece_t))};
    if (strstr(request, "Stage: prefill"))
        reply.bytes = g_strdup_printf("HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s", strlen(handle), handle);
    else
        reply.bytes =
            g_strdup_printf("HTTP/1.1 200 OK\r\nServer-Seal: s1\r\nAttempt-Id: %s\r\nContent-Type: %s\r\n"
                            "Content-Length: %zu\r\n\r\n%s",
                            id, strstr(request, "/lm/") ? "text/event-stream" : "text/plain", strlen(stream), stream);
    const lab_piece_t pieces[] = {{.size = 1}, {.size = strlen(reply.bytes) - 1, .wait = SOUND_MS}};
    g_array_append_vals(reply.pieces, pieces, G_N_ELEMENTS(pieces));
    return reply;
}

static lab_reply_t reply_badly(spoil_t how, const char *id)
{
    lab_reply_t reply = {.end = LAB_CLOSE};
    switch (how) {
    case SPOIL_JUNK: reply.bytes = g_strdup("\x16\x03 this is no answer\r\n\r\n"); break;
    case SPOIL_UNPROVEN: reply.bytes = g_strdup("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); break;
    case SPOIL_UNUSABLE: reply.bytes = g_strdup("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n{\"a\": 1}"); break;
    case SPOIL_CHUNKS:
        reply.bytes = g_strdup_printf("HTTP/1.1 200 OK\r\nServer-Seal: s1\r\nAttempt-Id: %s\r\nContent-Type: "
                                      "text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nno length\r\n",
                                      id);
        break;
    case SPOIL_NOT:
    default: g_assert_not_reached();
    }
    return reply;
}

static void count_spoiled(server_t *s, const char *id)
{
    const unsigned number = (unsigned)strtoul(id, NULL, 16);
    s->spoiled++;
    s->by_box[g_array_index(s->world->boxes, int, number - 1)]++;
    s->again += !g_hash_table_add(s->seen, g_strdup(id));
}

static lab_reply_t serve(void *arg, const char *request)
{
    static const char id_name[] = "Attempt-Id: ";
    server_t *const s = arg;
    lab_reply_t reply;
    if (is_own_request(request, &reply))
        return reply;
    const char *const at = strstr(request, id_name) + strlen(id_name);
    char *const id = g_strndup(at, strcspn(at, "\r"));
    const bool bad = s->spoils != SPOIL_NOT && (s->spoiled + s->good) % s->one_in == 0;
    reply = bad ? reply_badly(s->spoils, id) : reply_well(request, id);
    if (bad)
        count_spoiled(s, id);
    else
        s->good++;
    g_free(id);
    return reply;
}

static void start_servers(world_t *w)
{
    static const char *const stages[] = {"prefill", "decode", ""};
    w->lab.backends_n = SERVERS;
    for (int i = 0; i < SERVERS; i++) {
        w->servers[i].world = w;
        w->servers[i].one_in = 1;
        w->servers[i].seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        w->servers[i].server = start_server(&w->lab, i, stages[i / STAGE_SERVERS], "a",
                                            i < 2 * STAGE_SERVERS ? 64 : PLAIN_SLOTS, serve, &w->servers[i]);
    }
}

/* ===== Callers ===== */

/** Sends a request to a box, in turn a stream and a plain one. No two are alike. */
static void send_request(world_t *w)
{
    const int box = g_rand_int_range(w->lab.random, 0, BOXES_N);
    char body[16];
    g_array_append_val(w->boxes, box);
    g_snprintf(body, sizeof(body), "%08x", w->lab.requested);
    (void)send_to_entry(&w->lab, &w->lab.entries[box], w->next++ % 2 ? "/lm/x" : "/safe/x",
                        "Deadline-Ms: 3000\r\nToken-Count: 400,50\r\n", body);
}

static void send_burst(void *arg)
{
    world_t *const w = arg;
    for (int i = 0; w->is_loaded && i < BURST; i++)
        send_request(w);
}

static void run_load(world_t *w, tc_time_t span)
{
    w->is_loaded = true;
    lab_run_for(w->lab.f.loop, span);
    w->is_loaded = false;
}

static bool has_returned(void *arg)
{
    return ((const server_t *)arg)->good >= RETURNED;
}

/* ===== Life ===== */

static const char config[] =
    "{\"version\":3,\"routes\":[{\"host\":\"h\",\"path_prefix\":\"/safe/\",\"kind\":\"safe\",\"timeout_ms\":3000,"
    "\"max_attempts\":2,\"service\":\"app\"},{\"host\":\"h\",\"path_prefix\":\"/lm/\",\"kind\":\"stream\","
    "\"timeout_ms\":3000,\"target_latency_ms\":900,\"max_attempts\":2,\"resumable\":true,\"service\":\"lm\"}],"
    "\"services\":[{\"name\":\"app\"},{\"name\":\"lm\",\"engine\":{\"slots\":64,\"kv_tokens\":90000,"
    "\"handle_ttl_s\":5}}]}";

static bool has_leader_contact(void *arg)
{
    const world_t *const w = arg;
    for (int i = 0; i < BOXES_N; i++)
        if (reporter_leader_contact_time(w->lab.entries[i].reporter) == 0 ||
            !reporter_leader_grants_slots(w->lab.entries[i].reporter))
            return false;
    return true;
}

static void read_list(void *arg)
{
    const world_t *const w = arg;
    for (int i = 0; i < SEEDS; i++)
        replica_set_backends(w->lab.f.replica[i], w->lab.list, w->lab.backends_n, tc_time_now());
}

/** @param data whether the leader gives out the slots of the plain servers */
static void set_up_spoiled(world_t *w, gconstpointer data)
{
    w->boxes = g_array_new(FALSE, FALSE, sizeof(int));
    w->slots = data != NULL;
    set_up_entries(&w->lab, config);
    start_servers(w);
    start_controls(&w->lab);
    const leader_sched_service_t service = {.service = "lm", .slots = 64, .memory_tokens = 90000, .link_tokens_s = 1e6};
    for (int i = 0; i < SEEDS; i++)
        replica_set_services(w->lab.f.replica[i], &service, 1);
    read_list(w);
    start_entries(&w->lab, BOXES_N, (reporter_events_t){0});
    for (int i = 0; w->slots && i < BOXES_N; i++)
        fleet_set_shared(w->lab.entries[i].fleet, "app");
    lab_run_until(w->lab.f.loop, has_leader_contact, w);
    set_box_count(&w->lab);
    loop_add_tick(w->lab.f.loop, BURST_INTERVAL_MS, send_burst, w);
    loop_add_tick(w->lab.f.loop, LIST_INTERVAL_MS, read_list, w);
}

static void tear_down_spoiled(world_t *w, gconstpointer data)
{
    loop_remove_ticks(w->lab.f.loop, w);
    tear_down_entries(&w->lab);
    for (int i = 0; i < SERVERS; i++) {
        lab_backend_stop(w->servers[i].server);
        g_hash_table_destroy(w->servers[i].seen);
    }
    g_array_free(w->boxes, TRUE);
    tear_down(&w->lab.f, data);
}

/* ===== Tests ===== */

static void expect_left(const server_t *s, unsigned bound)
{
    g_test_message("%u spoiled answers taken, by box %u, %u and %u; %u to a request that had one there before",
                   s->spoiled, s->by_box[0], s->by_box[1], s->by_box[2], s->again);
    g_assert_cmpuint(s->spoiled, >, 0);
    g_assert_cmpuint(s->spoiled, <=, bound);
}

/** @param slots whether the leader gives out the slots of plain servers */
static unsigned bound_of(const server_t *s, int server, bool slots)
{
    const bool leader = slots || server < 2 * STAGE_SERVERS;
    if (s->one_in == 1)
        return leader ? BOUND_LEADER : BOUND;
    return leader ? BOUND_LEADER_HALF : BOUND_HALF;
}

/** One back end spoils its answers for a while; it is left, and taken back when it answers well. */
static void run_spoiling(world_t *w, int server, spoil_t how)
{
    server_t *const s = &w->servers[server];
    run_load(w, BEFORE_MS);
    s->spoils = how;
    run_load(w, s->one_in == 1 ? SPOIL_MS : HALF_MS);
    s->spoils = SPOIL_NOT;
    expect_left(s, bound_of(s, server, w->slots));
    s->good = 0;
    w->is_loaded = true;
    lab_run_until(w->lab.f.loop, has_returned, s);
    w->is_loaded = false;
}

/** The same with one in two answers. */
static void run_half_spoiling(world_t *w, int server, spoil_t how)
{
    w->servers[server].one_in = 2;
    run_spoiling(w, server, how);
}

static void test_prefill_half(world_t *w, gconstpointer data)
{
    (void)data;
    run_half_spoiling(w, 0, SPOIL_JUNK);
}

static void test_decode_half(world_t *w, gconstpointer data)
{
    (void)data;
    run_half_spoiling(w, STAGE_SERVERS, SPOIL_CHUNKS);
}

static void test_plain_half(world_t *w, gconstpointer data)
{
    (void)data;
    run_half_spoiling(w, 2 * STAGE_SERVERS, SPOIL_JUNK);
}

static void test_prefill_junk(world_t *w, gconstpointer data)
{
    (void)data;
    run_spoiling(w, 0, SPOIL_JUNK);
}

static void test_prefill_unusable(world_t *w, gconstpointer data)
{
    (void)data;
    run_spoiling(w, 0, SPOIL_UNUSABLE);
}

static void test_decode_junk(world_t *w, gconstpointer data)
{
    (void)data;
    run_spoiling(w, STAGE_SERVERS, SPOIL_JUNK);
}

static void test_decode_chunks(world_t *w, gconstpointer data)
{
    (void)data;
    run_spoiling(w, STAGE_SERVERS, SPOIL_CHUNKS);
}

static void test_plain_junk(world_t *w, gconstpointer data)
{
    (void)data;
    run_spoiling(w, 2 * STAGE_SERVERS, SPOIL_JUNK);
}

static void test_plain_unproven(world_t *w, gconstpointer data)
{
    (void)data;
    run_spoiling(w, 2 * STAGE_SERVERS, SPOIL_UNPROVEN);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
#define ADD(name, fn, slots)                                                                                           \
    if (part_has_next_path())                                                                                          \
    g_test_add("/spoiled-answers/" name, world_t, GINT_TO_POINTER(slots), set_up_spoiled, fn, tear_down_spoiled)
    ADD("prefill-junk", test_prefill_junk, 0);
    ADD("prefill-unusable", test_prefill_unusable, 0);
    ADD("decode-junk", test_decode_junk, 0);
    ADD("decode-chunks", test_decode_chunks, 0);
    ADD("prefill-half", test_prefill_half, 0);
    ADD("decode-half", test_decode_half, 0);
    ADD("plain-half", test_plain_half, 0);
    ADD("slots-half", test_plain_half, 1);
    ADD("plain-junk", test_plain_junk, 0);
    ADD("plain-unproven", test_plain_unproven, 0);
    ADD("slots-junk", test_plain_junk, 1);
    ADD("slots-unproven", test_plain_unproven, 1);
    return g_test_run();
}
