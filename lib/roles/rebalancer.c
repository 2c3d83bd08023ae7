#include "roles/rebalancer.h"

#include <string.h>
#include <urcu/list.h>

#include "common/counter.h"
#include "common/log.h"
#include "forward/dialect.h"
#include "web/web_ask.h"

COUNTER_DEFINE(c_orders, "counter", "trackcove_roles_orders_total", "Orders to engines to change their role")
COUNTER_DEFINE(c_refused, "counter", "trackcove_roles_refused_total", "Such orders that engines refused")
COUNTER_DEFINE(c_unknown, "counter", "trackcove_roles_unknown_total", "Such orders without an answer")
COUNTER_DEFINE(c_moving, "gauge", "trackcove_roles_moving", "Engines that are changing their role")

/* ===== Constants ===== */

enum {
    CONNECT_MS = 250,  /* an engine in reach takes a few ms */
    ORDER_MS = 1000,   /* for one answer of an engine; with this past, an order arrives no more */
    SUSTAIN_MS = 700,  /* a wish must last: work is a moving average over 2 s */
    FORGET_MS = 20000, /* an order whose effect the list does not show by then had none: engines drain what they run, a
                          few seconds, change in some more, and may carry an order out up to 12 s late */
    STALE_MS = 500,    /* this box stood still for longer than that since its last look: its term may be over */
    PAUSE_MS = 3000,   /* an engine that refused an order is left alone for so long */
    MOVING_SHARE = 10  /* one in so many engines may change at a time, and one always */
};

/** Of engines' answers. */
enum { STATUS_OK = 200, STATUS_TAKEN = 202, STATUS_FENCED = 412 };

/** Stages, as backend_t names them. */
static const char PREFILL[] = "prefill";
static const char DECODE[] = "decode";

/* ===== Types ===== */

typedef enum {
    MOVE_LOOKING,  /* the engine is asked what it is */
    MOVE_ORDERING, /* the order is on its way */
    MOVE_ORDERED,  /* taken, or perhaps taken: the list will show it */
    MOVE_PAUSED    /* refused: not again for a while */
} move_state_t;

/** One engine that changes its role, or was to. */
typedef struct {
    struct cds_list_head node;
    backend_t engine;
    char to[CODEC_STR_SIZE]; /* stage that it is to have */
    move_state_t state;
    tc_time_t until; /* the move is forgotten then, whatever came of it */
} move_t;

struct rebalancer {
    loop_t *loop;
    web_client_t *client;
    call_gate_t *gate;
    char box[CODEC_STR_SIZE];
    tc_time_t turn; /* as rebalancer_create says */
    uint64_t term;  /* of the leadership, 0 for none */
    tc_time_t term_since;
    tc_time_t ticked_at;        /* time of the last look */
    bool fenced;                /* somebody with a higher fence orders: no more in this term */
    uint32_t wanted;            /* what is_sustained was told last */
    tc_time_t wanted_since;     /* without a change */
    struct cds_list_head moves; /* all move_t */
    web_ask_t ask;
    move_t *asked; /* the move that the call under way is for, or NULL */
};

/* ===== Log ===== */

static void log_move(const rebalancer_t *m, const move_t *move, const char *what, int status)
{
    log_line_t line;
    log_begin(&line, LOG_INFO, "role_move");
    log_str(&line, "what", what);
    log_str(&line, "backend", move->engine.id);
    log_str(&line, "addr", move->engine.addr);
    log_str(&line, "to", move->to);
    log_int(&line, "term", (int64_t)m->term);
    if (status)
        log_int(&line, "status", status);
    log_end(&line);
}

static void log_wish(const role_pools_t *b, uint32_t wanted)
{
    log_line_t line;
    log_begin(&line, LOG_INFO, "role_wish");
    log_int(&line, "prefills", b->prefills);
    log_int(&line, "decodes", b->decodes);
    log_int(&line, "prefill_work_pct", (int64_t)(100 * b->load.prefill));
    log_int(&line, "settled_work_pct", (int64_t)(100 * b->load.prefill_slow));
    log_int(&line, "decode_work_pct", (int64_t)(100 * b->load.decode));
    log_int(&line, "wanted", wanted);
    log_end(&line);
}

/* ===== Moves ===== */

static move_t *find_move(const rebalancer_t *m, const char *id)
{
    move_t *move;
    cds_list_for_each_entry(move, &m->moves, node)
        if (strcmp(move->engine.id, id) == 0)
            return move;
    return NULL;
}

static void end_move(rebalancer_t *m, move_t *move)
{
    if (m->asked == move) {
        web_ask_cancel(&m->ask);
        m->asked = NULL;
    }
    cds_list_del(&move->node);
    g_free(move);
}

static void end_moves(rebalancer_t *m)
{
    move_t *move, *next;
    cds_list_for_each_entry_safe(move, next, &m->moves, node)
        end_move(m, move);
}

/** Leave the engine alone for a while. */
static void pause_move(const rebalancer_t *m, move_t *move)
{
    move->state = MOVE_PAUSED;
    move->until = m->ticked_at + PAUSE_MS;
}

static bool is_moving(const move_t *move)
{
    return move->state != MOVE_PAUSED;
}

uint32_t rebalancer_list_moving(const rebalancer_t *m, leaving_cfg_t *list, uint32_t room)
{
    uint32_t n = 0;
    const move_t *move;
    memset(list, 0, room * sizeof(*list)); /* lists are compared by their bytes */
    cds_list_for_each_entry(move, &m->moves, node) {
        if (!is_moving(move) || n == room)
            continue;
        codec_copy_string(list[n++].name, sizeof(list->name), move->engine.id);
    }
    return n;
}

static uint32_t count_moving(const rebalancer_t *m)
{
    uint32_t n = 0;
    const move_t *move;
    cds_list_for_each_entry(move, &m->moves, node)
        n += is_moving(move);
    return n;
}

/* ===== Moves and the list ===== */

static const backend_t *find_listed(const rebalancer_input_t *view, const char *id)
{
    for (uint32_t i = 0; i < view->backends_n; i++)
        if (strcmp(view->backends[i].id, id) == 0)
            return &view->backends[i];
    return NULL;
}

/** End the moves that are over: the engine is what it was to become, is gone, or was ordered long ago. */
static void sweep_moves(rebalancer_t *m, const rebalancer_input_t *view, tc_time_t now)
{
    move_t *move, *next;
    cds_list_for_each_entry_safe(move, next, &m->moves, node) {
        const backend_t *const engine = find_listed(view, move->engine.id);
        if (move == m->asked)
            continue; /* its answer comes first */
        if (engine && strcmp(engine->stage, move->to) == 0) {
            log_move(m, move, "done", 0);
            end_move(m, move);
        } else if (!engine || now >= move->until) {
            if (is_moving(move))
                log_move(m, move, engine ? "given up" : "gone", 0);
            end_move(m, move);
        }
    }
}

/* ===== Calls to an engine ===== */

static void on_head(void *arg, const web_head_t *head)
{
    const rebalancer_t *const m = arg;
    const availability_notice_t notice = dialect_read_notice(head);
    call_gate_update(m->gate, m->asked->engine.id, &notice, tc_time_now());
}

static void call_engine(rebalancer_t *m, move_t *move, GByteArray *request, web_ask_fn_t fn)
{
    const web_ask_where_t where = {.loop = m->loop,
                                   .client = m->client,
                                   .addr = move->engine.addr,
                                   .is_ours = dialect_is_query_answer,
                                   .on_head = on_head,
                                   .connect_ms = CONNECT_MS,
                                   .limit_ms = ORDER_MS};
    m->asked = move;
    web_ask(&m->ask, &where, request, fn, m);
}

/** The engine's answer to the order. */
static void on_ordered(void *arg, web_ask_end_t how)
{
    rebalancer_t *const m = arg;
    move_t *const move = m->asked;
    m->asked = NULL;
    if (how != WEB_ASK_WHOLE) {
        counter_add(&c_unknown, 1);
        move->state = MOVE_ORDERED; /* it may have been taken, or be carried out later */
        log_move(m, move, "no answer", 0);
        return;
    }
    if (m->ask.status == STATUS_OK || m->ask.status == STATUS_TAKEN) {
        move->state = MOVE_ORDERED;
        log_move(m, move, "taken", m->ask.status);
        return;
    }
    counter_add(&c_refused, 1);
    m->fenced = m->fenced || m->ask.status == STATUS_FENCED;
    log_move(m, move, "refused", m->ask.status);
    pause_move(m, move);
}

static void send_order(rebalancer_t *m, move_t *move, uint64_t taken)
{
    const dialect_order_t order = {
        .instance = move->engine.id, .stage = move->to, .holder = m->box, .fence = m->term, .taken = taken};
    counter_add(&c_orders, 1);
    move->state = MOVE_ORDERING;
    log_move(m, move, "ordered", 0);
    call_engine(m, move, dialect_write_order(move->engine.addr, &order), on_ordered);
}

/** Whether the engine takes new work of this box: an order is some. */
static bool takes_orders(const rebalancer_t *m, const char *engine)
{
    return call_gate_accepts(m->gate, engine, CALL_NEW_WORK, tc_time_now());
}

/** What the engine says it is: the order rests on it. */
static void on_looked(void *arg, web_ask_end_t how)
{
    rebalancer_t *const m = arg;
    move_t *const move = m->asked;
    dialect_engine_t engine;
    m->asked = NULL;
    const bool known = how == WEB_ASK_WHOLE && m->ask.status == STATUS_OK &&
                       dialect_read_engine((const char *)m->ask.body->data, m->ask.body->len, &engine);
    if (tc_time_now() - m->ticked_at > STALE_MS) {
        log_move(m, move, "this box stood still", 0);
        pause_move(m, move);
        return;
    }
    if (!known || engine.busy || strcmp(engine.stage, move->to) == 0) {
        log_move(m, move, known ? "busy or right already" : "does not tell what it is", m->ask.status);
        pause_move(m, move);
        return;
    }
    if (!takes_orders(m, move->engine.id)) {
        log_move(m, move, "leaves, or asked for no calls", 0);
        pause_move(m, move);
        return;
    }
    send_order(m, move, engine.orders);
}

/* ===== Deciding ===== */

static bool takes_part(const backend_t *b, const rebalancer_input_t *view)
{
    const bool evacuated = view->evacuations && evacuations_has(view->evacuations, b->dc);
    return strcmp(b->service, view->service) == 0 && !b->draining && !evacuated && b->stage[0];
}

/** The stage that an engine has, or goes to. */
static const char *stage_of(const rebalancer_t *m, const backend_t *b)
{
    const move_t *const move = find_move(m, b->id);
    return move && is_moving(move) ? move->to : b->stage;
}

static void count_pools(const rebalancer_t *m, const rebalancer_input_t *view, role_pools_t *b)
{
    *b = (role_pools_t){.load = view->load};
    for (uint32_t i = 0; i < view->backends_n; i++) {
        const backend_t *const engine = &view->backends[i];
        if (!takes_part(engine, view))
            continue;
        if (strcmp(stage_of(m, engine), PREFILL) == 0)
            b->prefills++;
        else
            b->decodes++;
    }
}

/** How many engines of a role a data centre has. */
static uint32_t count_in_dc(const rebalancer_t *m, const rebalancer_input_t *view, const char *dc, const char *stage)
{
    uint32_t n = 0;
    for (uint32_t i = 0; i < view->backends_n; i++) {
        const backend_t *const b = &view->backends[i];
        n += takes_part(b, view) && strcmp(b->dc, dc) == 0 && strcmp(stage_of(m, b), stage) == 0;
    }
    return n;
}

/** An engine of the role, from the data centre that has most of them. */
static const backend_t *choose_engine(const rebalancer_t *m, const rebalancer_input_t *view, const char *from)
{
    const backend_t *best = NULL;
    uint32_t most = 0;
    for (uint32_t i = 0; i < view->backends_n; i++) {
        const backend_t *const b = &view->backends[i];
        if (!takes_part(b, view) || strcmp(b->stage, from) != 0 || find_move(m, b->id) || !takes_orders(m, b->id))
            continue;
        const uint32_t n = count_in_dc(m, view, b->dc, from);
        if (n <= most)
            continue;
        most = n;
        best = b;
    }
    return best;
}

/** Begin a move: look at the engine first. */
static void begin_move(rebalancer_t *m, const backend_t *engine, const char *to, tc_time_t now)
{
    move_t *const move = g_new0(move_t, 1);
    move->engine = *engine;
    codec_copy_string(move->to, sizeof(move->to), to);
    move->until = now + FORGET_MS;
    cds_list_add_tail(&move->node, &m->moves);
    log_move(m, move, "look", 0);
    call_engine(m, move, dialect_write_engine_query(engine->addr), on_looked);
}

/** Whether the same has been wanted for long enough. @param other it is not what there is: a wish at all */
static bool is_sustained(rebalancer_t *m, uint32_t wanted, bool other, tc_time_t now)
{
    if (wanted != m->wanted || !other) {
        m->wanted = wanted;
        m->wanted_since = now;
    }
    return other && now - m->wanted_since >= SUSTAIN_MS;
}

static void decide(rebalancer_t *m, const rebalancer_input_t *view, tc_time_t now)
{
    role_pools_t pools;
    count_pools(m, view, &pools);
    const uint32_t wanted = balance_target_prefills(&pools);
    const bool fewer = wanted < pools.prefills;
    /* A wish for fewer is one wish, whatever the number: it lasts while one engine after the other goes. */
    if (!is_sustained(m, fewer ? 0 : wanted, wanted != pools.prefills, now))
        return;
    const uint32_t room = (pools.prefills + pools.decodes) / MOVING_SHARE;
    if (count_moving(m) > room)
        return; /* one more than the share, so that small services change too */
    const backend_t *const engine = choose_engine(m, view, fewer ? PREFILL : DECODE);
    if (!engine)
        return;
    log_wish(&pools, wanted);
    begin_move(m, engine, fewer ? DECODE : PREFILL, now);
}

/* ===== Life ===== */

static void take_term(rebalancer_t *m, uint64_t term, tc_time_t now)
{
    if (term == m->term)
        return;
    end_moves(m); /* what was ordered shows in the list; what was not is for the next leader */
    m->term = term;
    m->term_since = now;
    m->wanted_since = now;
    m->fenced = false;
}

void rebalancer_tick(rebalancer_t *m, const rebalancer_input_t *view, tc_time_t now)
{
    m->ticked_at = now;
    take_term(m, view->term, now);
    counter_set(&c_moving, count_moving(m));
    if (m->term == 0)
        return;
    sweep_moves(m, view, now);
    /* An older leader's order may be under way until its lease and the time of an order are over. */
    const bool our_turn = now - m->term_since >= m->turn + ORDER_MS;
    if (our_turn && !m->fenced && !m->asked && view->service[0])
        decide(m, view, now);
}

rebalancer_t *rebalancer_create(loop_t *loop, web_client_t *client, call_gate_t *gate, const char *box, tc_time_t turn)
{
    rebalancer_t *const m = g_new0(rebalancer_t, 1);
    m->loop = loop;
    m->client = client;
    m->gate = gate;
    m->turn = turn;
    codec_copy_string(m->box, sizeof(m->box), box);
    CDS_INIT_LIST_HEAD(&m->moves);
    m->ask.body = g_byte_array_new();
    return m;
}

void rebalancer_destroy(rebalancer_t *m)
{
    end_moves(m);
    g_byte_array_free(m->ask.body, TRUE);
    g_free(m);
}
