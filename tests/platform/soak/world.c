#include "platform/soak/world.h"

#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

/* ===== Notes ===== */

void world_note(world_t *w, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    g_string_append_printf(w->schedule, "%8lld ", (long long)(tc_time_now() - w->began));
    g_string_append_vprintf(w->schedule, format, args);
    g_string_append_c(w->schedule, '\n');
    va_end(args);
}

void world_broken(world_t *w, const char *promise, const char *what)
{
    world_note(w, "BROKEN %s: %s", promise, what);
    fprintf(stderr, "broken: %s: %s\n", promise, what);
    w->failed = true;
}

double world_draw(world_t *w)
{
    return g_rand_double(w->random);
}

int world_pick(world_t *w, int n)
{
    return g_rand_int_range(w->random, 0, n);
}

try_t *world_try(world_t *w, const char *id)
{
    try_t *t = g_hash_table_lookup(w->tries, id);
    if (!t) {
        t = g_new0(try_t, 1);
        g_hash_table_insert(w->tries, g_strdup(id), t);
    }
    return t;
}

/* ===== Fake workers ===== */

static char *header_of(const char *request, const char *name)
{
    char *const line = g_strdup_printf("\r\n%s: ", name);
    const char *const at = strstr(request, line);
    char *const value = at ? g_strndup(at + strlen(line), strcspn(at + strlen(line), "\r")) : g_strdup("");
    g_free(line);
    return value;
}

/** A worker begins to work on a try. */
static void note_run(world_t *w, const char *id)
{
    try_t *const t = world_try(w, id);
    t->runs++;
    if (t->once && t->runs > 1)
        world_broken(w, "a request that must run once ran twice", id);
    if (t->refused)
        world_broken(w, "a request that was refused as not run ran", id);
}

static lab_reply_t reply(lab_end_t end, const char *format, ...) __attribute__((format(printf, 2, 3)));
static lab_reply_t reply(lab_end_t end, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    char *const bytes = g_strdup_vprintf(format, args);
    va_end(args);
    return (lab_reply_t){.bytes = bytes, .end = end};
}

static lab_reply_t refuse(void)
{
    return reply(LAB_KEEP, "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
}

/** Events that the caller has not got yet; each names the try, so that nobody gets another's. */
static lab_reply_t stream(struct worker *me, const char *id, const char *request, bool breaks)
{
    enum { EVENTS = 5 };
    char *const last = header_of(request, "Last-Event-Id");
    GString *const out = g_string_new(NULL);
    g_string_printf(out,
                    "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s.%s\r\nContent-Type: text/event-stream\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n",
                    id, me->id);
    for (int i = atoi(last) + 1; i <= EVENTS; i++) {
        char *const event = g_strdup_printf("id: %d\ndata: %s\n\n", i, id);
        const size_t shown = breaks && i == EVENTS ? strlen(event) / 2 : strlen(event);
        g_string_append_printf(out, "%zx\r\n%.*s\r\n", shown, (int)shown, event);
        g_free(event);
    }
    g_string_append(out, breaks ? "" : "0\r\n\r\n");
    g_free(last);
    return (lab_reply_t){.bytes = g_string_free(out, FALSE), .end = breaks ? LAB_RESET : LAB_KEEP};
}

static lab_reply_t serve(struct worker *me, const char *id, const char *request)
{
    world_t *const w = me->world;
    const bool wrong = world_draw(w) < me->trouble;
    const int how = world_pick(w, 6);
    if (wrong && how == 0)
        return refuse();
    note_run(w, id);
    if (me->kind == 2)
        return stream(me, id, request, wrong);
    if (wrong && how == 1)
        return reply(LAB_RESET, "%s", "");
    if (wrong && how == 2)
        return reply(LAB_HANG, "%s", "");
    if (wrong && how == 3)
        return reply(LAB_CLOSE, "HTTP/1.1 200 OK\r\nServer-Seal: s\r\nContent-Length: 99\r\n\r\npart");
    if (wrong && how == 4)
        return reply(LAB_KEEP, "HTTP/1.1 500 No\r\nAttempt-Id: %s\r\nServer-Seal: s\r\nContent-Length: 2\r\n\r\nno",
                     id);
    return reply(LAB_KEEP, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s\r\nContent-Length: %zu\r\n\r\n%s", id,
                 strlen(id), id);
}

static lab_reply_t on_request(void *arg, const char *request)
{
    struct worker *const me = arg;
    if (g_str_has_prefix(request, "DELETE "))
        return reply(LAB_KEEP, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    char *const id = header_of(request, "Attempt-Id");
    char *const expected = header_of(request, "Expect-Instance");
    char *const stage = header_of(request, "Stage");
    lab_reply_t answer;
    if (strcmp(expected, me->id) != 0)
        answer = reply(LAB_KEEP, "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n");
    else if (me->kind == 1 && strcmp(stage, "prefill") == 0 && world_draw(me->world) >= me->trouble)
        answer = reply(LAB_KEEP, "HTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\n{\"prefill_handle\":\"h1\"}");
    else if (me->kind == 1)
        answer = refuse();
    else
        answer = serve(me, id, request);
    g_free(id);
    g_free(expected);
    g_free(stage);
    return answer;
}

static lab_reply_t on_list(void *arg, const char *request)
{
    world_t *const w = arg;
    (void)request;
    GString *const list = g_string_new("{\"instances\":[");
    for (int i = 0; i < WORLD_WORKERS; i++) {
        const struct worker *const k = &w->worker[i];
        static const char *const stages[] = {"", ",\"stage\":\"prefill\"", ",\"stage\":\"decode\""};
        g_string_append_printf(list,
                               "%s{\"id\":\"%s\",\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z%d\",\"slots\":8,"
                               "\"state\":\"%s\"%s}",
                               i ? "," : "", k->id, k->kind ? "lm" : "app", k->addr, i % 2,
                               k->draining ? "draining" : "ready", stages[k->kind]);
    }
    g_string_append(list, "],\"next_token\":null}");
    const lab_reply_t answer =
        reply(LAB_KEEP, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s", list->len, list->str);
    g_string_free(list, TRUE);
    return answer;
}

/* ===== Processes ===== */

void world_addr(const world_t *w, int box, int port, char to[32])
{
    g_snprintf(to, 32, "%s:%d", w->boxes[box].ip, w->port + port);
}

static void write_settings(const world_t *w, const box_t *b, const process_t *p, bool first)
{
    char *const text = g_strdup_printf(
        "{\"node_name\":\"%s\",\"ip\":\"%s\",\"internal_bind_ip\":\"127.0.2.%d\",\"zone\":\"z%d\",\"listen\":{"
        "\"front\":\"%s:%d\",\"ready\":\"%s:%d\","
        "\"control\":\"%s:%d\",\"directory\":\"%s:%d\"},\"internal_ports\":[%d,%d],\"seeds\":[\"127.0.1.10:1\","
        "\"127.0.1.11:1\",\"127.0.1.12:1\"],\"bootstrap\":%s,\"data_dir\":\"%s\",\"fault_tolerance\":{\"machines\":1},"
        "\"bounds\":{\"grace_s\":8,\"retry_budget_ratio\":0.2,\"retry_slack\":60,\"budget_window_s\":10},"
        "\"cloud\":{\"address\":\"127.0.1.2:%d\",\"rate_per_s\":50}}",
        b->ip, b->ip, 10 + (int)(b - w->boxes), (int)(b - w->boxes) % 2, b->ip, w->port + PORT_FRONT, b->ip,
        w->port + PORT_READY, b->ip, w->port + PORT_CONTROL, b->ip, w->port + PORT_DIRECTORY, w->port + PORT_INNER,
        w->port + PORT_INNER + 5, first ? "true" : "false", p == &b->control ? b->dir : "", w->port);
    g_assert_true(g_file_set_contents(p->settings, text, -1, NULL));
    g_free(text);
}

static void process_start(const world_t *w, box_t *b, process_t *p, bool first)
{
    write_settings(w, b, p, first);
    char *const path = g_build_filename(w->bin, p->program, NULL);
    p->pid = process_spawn(path, p->settings);
    p->ending = p->paused = false;
    g_free(path);
}

void process_signal(const process_t *p, int number)
{
    if (p->pid)
        kill(p->pid, number);
}

void process_restart(world_t *w, box_t *b, process_t *p, int number, tc_time_t pause)
{
    if (!p->pid || p->ending)
        return;
    world_note(w, "signal %d to %s on %s, back after %lld ms", number, p->program, b->ip, (long long)pause);
    p->ending = true;
    p->start_at = tc_time_now() + pause;
    if (p->paused)
        process_signal(p, SIGCONT);
    process_signal(p, number);
}

static void look_after(world_t *w, box_t *b, process_t *p)
{
    int status;
    if (p->pid && waitpid(p->pid, &status, WNOHANG) == p->pid) {
        if (!p->ending) {
            char *const what = g_strdup_printf("%s on %s, status %d", p->program, b->ip, status);
            world_broken(w, "no process ends by itself", what);
            g_free(what);
            p->start_at = tc_time_now();
        }
        p->pid = 0;
    }
    if (!p->pid && p->program && tc_time_now() >= p->start_at)
        process_start(w, b, p, false);
}

void world_tick(world_t *w)
{
    for (int i = 0; i < WORLD_BOXES; i++) {
        look_after(w, &w->boxes[i], &w->boxes[i].entry);
        look_after(w, &w->boxes[i], &w->boxes[i].control);
    }
}

/* ===== Life ===== */

/** Other boxes reach this box's programs through proxies: at the box's address, where the programs do not listen. */
static proxy_t *create_way(const world_t *w, int i, int port)
{
    char at[32], to[32];
    g_snprintf(at, sizeof(at), "127.0.1.%d:%d", 10 + i, w->port + PORT_INNER + port);
    g_snprintf(to, sizeof(to), "127.0.2.%d:%d", 10 + i, w->port + PORT_INNER + port);
    return proxy_start(w->loop, at, to);
}

static void create_box(world_t *w, int i)
{
    enum { CONTROL, ENTRY }; /* order of the programs' own ports */
    box_t *const b = &w->boxes[i];
    g_snprintf(b->ip, sizeof(b->ip), "127.0.1.%d", 10 + i);
    b->way_to_entry = create_way(w, i, ENTRY);
    if (i < WORLD_DISKS)
        b->way_to_control = create_way(w, i, CONTROL);
    b->entry.program = "trackcove-forwardd";
    g_snprintf(b->entry.settings, sizeof(b->entry.settings), "%s/entry-%d.json", w->root, i);
    process_start(w, b, &b->entry, true);
    if (i >= WORLD_DISKS)
        return;
    g_snprintf(b->dir, sizeof(b->dir), "%s/data-%d", w->root, i);
    g_assert_cmpint(g_mkdir(b->dir, 0700), ==, 0);
    b->control.program = "trackcove-registryd";
    g_snprintf(b->control.settings, sizeof(b->control.settings), "%s/control-%d.json", w->root, i);
    process_start(w, b, &b->control, true);
}

static void create_worker(world_t *w, int i)
{
    struct worker *const k = &w->worker[i];
    k->world = w;
    k->kind = i < 3 ? 0 : (i == 3 ? 1 : 2);
    g_snprintf(k->id, sizeof(k->id), "i-%d", i);
    char own[32];
    lab_free_addr(own);
    w->workers[i] = lab_backend_start(w->loop, own, on_request, k);
    lab_free_addr(k->addr);
    k->way = proxy_start(w->loop, k->addr, own);
}

world_t *world_create(loop_t *loop, guint32 seed, const char *bin)
{
    world_t *const w = g_new0(world_t, 1);
    w->loop = loop;
    w->bin = bin;
    w->random = g_rand_new_with_seed(seed);
    w->tries = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    w->schedule = g_string_new(NULL);
    w->began = tc_time_now();
    w->port = 20000 + (int)(getpid() % 1000) * 20;
    g_strlcpy(w->root, "/tmp/trackcove-soak-XXXXXX", sizeof(w->root));
    g_assert_nonnull(g_mkdtemp(w->root));
    char at[32];
    g_snprintf(at, sizeof(at), "127.0.1.2:%d", w->port);
    w->list = lab_backend_start(loop, at, on_list, w);
    for (int i = 0; i < WORLD_WORKERS; i++)
        create_worker(w, i);
    for (int i = 0; i < WORLD_BOXES; i++)
        create_box(w, i);
    return w;
}

static void process_end(process_t *p)
{
    if (!p->pid)
        return;
    kill(p->pid, SIGCONT);
    kill(p->pid, SIGKILL);
    waitpid(p->pid, NULL, 0);
    p->pid = 0;
}

void world_end_processes(world_t *w)
{
    for (int i = 0; i < WORLD_BOXES; i++) {
        process_end(&w->boxes[i].entry);
        process_end(&w->boxes[i].control);
    }
}

void world_destroy(world_t *w)
{
    lab_backend_stop(w->list);
    for (int i = 0; i < WORLD_WORKERS; i++) {
        proxy_stop(w->worker[i].way);
        lab_backend_stop(w->workers[i]);
    }
    for (int i = 0; i < WORLD_BOXES; i++) {
        proxy_stop(w->boxes[i].way_to_entry);
        if (w->boxes[i].way_to_control)
            proxy_stop(w->boxes[i].way_to_control);
    }
    g_hash_table_destroy(w->tries);
    g_string_free(w->schedule, TRUE);
    g_rand_free(w->random);
    g_free(w);
}
