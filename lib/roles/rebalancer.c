#include "roles/rebalancer.h"

#include <string.h>
#include <urcu/list.h>

#include "common/counter.h"
#include "common/log.h"
#include "forward/dialect.h"
#include "web/web_fetch.h"

COUNTER_DEFINE(c_orders, "counter", "trackcove_roles_orders_total", "Orders to engines to change their role")
COUNTER_DEFINE(c_refused, "counter", "trackcove_roles_refused_total", "Such orders that engines refused")
COUNTER_DEFINE(c_unknown, "counter", "trackcove_roles_unknown_total", "Such orders without an answer")
COUNTER_DEFINE(c_moving, "gauge", "trackcove_roles_moving", "Engines that are changing their role")

/* ===== Constants ===== */

enum {
    CONNECT_TIMEOUT_MS = 250, /* a reachable engine takes a few ms */
    ORDER_TIMEOUT_MS = 1000,  /* for one answer of an engine; after this an order can no longer arrive */
    SUSTAIN_MS = 700,         /* a target must be stable for this long; load is already a moving average over 2 s */
    MOVE_TIMEOUT_MS = 20000,  /* an order that has not shown in the list by then had no effect: engines drain for a few
                                 seconds, take some more to change, and may carry an order out up to 12 s late */
    STALL_MS = 500,           /* if this box has not run rebalancer_tick for longer than this, its term may be over */
    COOLDOWN_MS = 3000,       /* an engine that refused an order gets none for this long */
    ENGINES_PER_MOVE = 10     /* at most one in this many engines, plus one, changes at a time */
};

/** HTTP statuses of engines' answers. */
enum { STATUS_OK = 200, STATUS_ACCEPTED = 202, STATUS_FENCED = 412 };

/** Values of backend_t.stage. */
static const char PREFILL[] = "prefill";
static const char DECODE[] = "decode";

/* ===== Types ===== */

typedef enum {
    MOVE_QUERYING, /* the engine's report has been requested */
    MOVE_ORDERING, /* the order has been sent */
    MOVE_ORDERED,  /* accepted, or possibly accepted: the list will show it */
    MOVE_COOLDOWN  /* refused: no new order for a while */
} move_state_t;

/** One engine that is changing its role, or was asked to. */
typedef struct {
    struct cds_list_head node;
    backend_t engine;
    char target_stage[CODEC_STR_SIZE]; /* stage that the engine is to have */
    move_state_t state;
    tc_time_t until; /* the move is dropped then, whatever its state */
} move_t;

struct rebalancer {
    loop_t *loop;
    web_client_t *client;
    call_gate_t *gate;
    char box[CODEC_STR_SIZE];
    tc_time_t order_delay_ms; /* see rebalancer_create */
    uint64_t term;            /* leadership term, 0 for none */
    tc_time_t term_since;
    tc_time_t ticked_at;        /* last rebalancer_tick */
    bool fenced;                /* an engine has seen a higher fence: no more orders in this term */
    uint32_t target;            /* last target passed to is_sustained */
    tc_time_t target_since;     /* time of its last change */
    struct cds_list_head moves; /* all move_t */
    web_fetch_t ask;
    move_t *calling; /* move whose call is in flight, or NULL */
};

/* ===== Log ===== */

static void log_move(const rebalancer_t *r, const move_t *move, const char *what, int status)
{
    log_line_t line;
    log_begin(&line, LOG_INFO, "role_move");
    log_str(&line, "what", what);
    log_str(&line, "backend", move->engine.id);
    log_str(&line, "addr", move->engine.addr);
    log_str(&line, "to", move->target_stage);
    log_int(&line, "term", (int64_t)r->term);
    if (status)
        log_int(&line, "status", status);
    log_end(&line);
}

static void log_target(const role_pools_t *b, uint32_t target)
{
    log_line_t line;
    log_begin(&line, LOG_INFO, "role_wish");
    log_int(&line, "prefills", b->prefills);
    log_int(&line, "decodes", b->decodes);
    log_int(&line, "prefill_work_pct", (int64_t)(100 * b->load.prefill));
    log_int(&line, "settled_work_pct", (int64_t)(100 * b->load.prefill_slow));
    log_int(&line, "decode_work_pct", (int64_t)(100 * b->load.decode));
    log_int(&line, "wanted", target);
    log_end(&line);
}

/* ===== Moves ===== */

static move_t *find_move(const rebalancer_t *r, const char *id)
{
    move_t *move;
    cds_list_for_each_entry(move, &r->moves, node)
        if (strcmp(move->engine.id, id) == 0)
            return move;
    return NULL;
}

static void end_move(rebalancer_t *r, move_t *move)
{
    if (r->calling == move) {
        web_fetch_cancel(&r->ask);
        r->calling = NULL;
    }
    cds_list_del(&move->node);
    g_free(move);
}

static void end_moves(rebalancer_t *r)
{
    move_t *move, *next;
    cds_list_for_each_entry_safe(move, next, &r->moves, node)
        end_move(r, move);
}

/** Excludes the engine from orders for COOLDOWN_MS. */
static void cool_down(const rebalancer_t *r, move_t *move)
{
    move->state = MOVE_COOLDOWN;
    move->until = r->ticked_at + COOLDOWN_MS;
}

static bool is_moving(const move_t *move)
{
    return move->state != MOVE_COOLDOWN;
}

uint32_t rebalancer_list_moving(const rebalancer_t *r, leaving_cfg_t *list, uint32_t room)
{
    uint32_t n = 0;
    const move_t *move;
    memset(list, 0, room * sizeof(*list)); /* lists are compared bytewise */
    cds_list_for_each_entry(move, &r->moves, node) {
        if (!is_moving(move) || n == room)
            continue;
        codec_copy_string(list[n++].name, sizeof(list->name), move->engine.id);
    }
    return n;
}

static uint32_t count_moving(const rebalancer_t *r)
{
    uint32_t n = 0;
    const move_t *move;
    cds_list_for_each_entry(move, &r->moves, node)
        n += is_moving(move);
    return n;
}

/* ===== Completion of moves ===== */

static const backend_t *find_listed(const rebalancer_input_t *input, const char *id)
{
    for (uint32_t i = 0; i < input->backends_n; i++)
        if (strcmp(input->backends[i].id, id) == 0)
            return &input->backends[i];
    return NULL;
}

/** Ends the moves that are over: the engine has its target stage, has disappeared, or did not change in time. */
static void end_finished_moves(rebalancer_t *r, const rebalancer_input_t *input, tc_time_t now)
{
    move_t *move, *next;
    cds_list_for_each_entry_safe(move, next, &r->moves, node) {
        const backend_t *const engine = find_listed(input, move->engine.id);
        if (move == r->calling)
            continue; /* wait for its answer */
        if (engine && strcmp(engine->stage, move->target_stage) == 0) {
            log_move(r, move, "done", 0);
            end_move(r, move);
        } else if (!engine || now >= move->until) {
            if (is_moving(move))
                log_move(r, move, engine ? "given up" : "gone", 0);
            end_move(r, move);
        }
    }
}

/* ===== Calls to an engine ===== */

static void on_head(void *arg, const web_head_t *head)
{
    const rebalancer_t *const r = arg;
    const availability_notice_t notice = dialect_read_notice(head);
    call_gate_update(r->gate, r->calling->engine.id, &notice, tc_time_now());
}

static void call_engine(rebalancer_t *r, move_t *move, GByteArray *request, web_fetch_fn_t fn)
{
    const web_fetch_options_t where = {.loop = r->loop,
                                       .client = r->client,
                                       .addr = move->engine.addr,
                                       .accepts_head = dialect_is_query_answer,
                                       .on_head = on_head,
                                       .connect_ms = CONNECT_TIMEOUT_MS,
                                       .limit_ms = ORDER_TIMEOUT_MS,
                                       .body_bytes = DIALECT_REPORT_MAX_BYTES};
    r->calling = move;
    web_fetch(&r->ask, &where, request, fn, r);
}

/** Handles the engine's answer to an order. */
static void on_ordered(void *arg, web_fetch_result_t how)
{
    rebalancer_t *const r = arg;
    move_t *const move = r->calling;
    r->calling = NULL;
    if (how != WEB_FETCH_OK) {
        counter_add(&c_unknown, 1);
        move->state = MOVE_ORDERED; /* it may have been accepted, or be carried out later */
        log_move(r, move, "no answer", 0);
        return;
    }
    if (r->ask.status == STATUS_OK || r->ask.status == STATUS_ACCEPTED) {
        move->state = MOVE_ORDERED;
        log_move(r, move, "taken", r->ask.status);
        return;
    }
    counter_add(&c_refused, 1);
    r->fenced = r->fenced || r->ask.status == STATUS_FENCED;
    log_move(r, move, "refused", r->ask.status);
    cool_down(r, move);
}

static void send_order(rebalancer_t *r, move_t *move, uint64_t taken)
{
    const dialect_order_t order = {
        .instance = move->engine.id, .stage = move->target_stage, .holder = r->box, .fence = r->term, .taken = taken};
    counter_add(&c_orders, 1);
    move->state = MOVE_ORDERING;
    log_move(r, move, "ordered", 0);
    call_engine(r, move, dialect_write_order(move->engine.addr, &order), on_ordered);
}

/** Whether the engine accepts new work of this box, which an order is. */
static bool accepts_orders(const rebalancer_t *r, const char *engine)
{
    return call_gate_accepts(r->gate, engine, CALL_NEW_WORK, tc_time_now());
}

/** Sends the order if the engine's report allows it; the order refers to this report. */
static void on_engine_report(void *arg, web_fetch_result_t how)
{
    rebalancer_t *const r = arg;
    move_t *const move = r->calling;
    dialect_engine_t engine;
    r->calling = NULL;
    const bool known = how == WEB_FETCH_OK && r->ask.status == STATUS_OK &&
                       dialect_read_engine((const char *)r->ask.body->data, r->ask.body->len, &engine);
    if (tc_time_now() - r->ticked_at > STALL_MS) {
        log_move(r, move, "this box stood still", 0);
        cool_down(r, move);
        return;
    }
    if (!known || engine.busy || strcmp(engine.stage, move->target_stage) == 0) {
        log_move(r, move, known ? "busy or right already" : "does not tell what it is", r->ask.status);
        cool_down(r, move);
        return;
    }
    if (!accepts_orders(r, move->engine.id)) {
        log_move(r, move, "leaves, or asked for no calls", 0);
        cool_down(r, move);
        return;
    }
    send_order(r, move, engine.orders);
}

/* ===== Decisions ===== */

static bool is_eligible(const backend_t *b, const rebalancer_input_t *input)
{
    const bool evacuated = input->evacuations && evacuations_has(input->evacuations, b->dc);
    return strcmp(b->service, input->service) == 0 && !b->draining && !evacuated && b->stage[0];
}

/** The stage that an engine has or is changing to. */
static const char *stage_of(const rebalancer_t *r, const backend_t *b)
{
    const move_t *const move = find_move(r, b->id);
    return move && is_moving(move) ? move->target_stage : b->stage;
}

static void count_pools(const rebalancer_t *r, const rebalancer_input_t *input, role_pools_t *b)
{
    *b = (role_pools_t){.load = input->load};
    for (uint32_t i = 0; i < input->backends_n; i++) {
        const backend_t *const engine = &input->backends[i];
        if (!is_eligible(engine, input))
            continue;
        if (strcmp(stage_of(r, engine), PREFILL) == 0)
            b->prefills++;
        else
            b->decodes++;
    }
}

/** Number of engines of a stage in a data centre. */
static uint32_t count_in_dc(const rebalancer_t *r, const rebalancer_input_t *input, const char *dc, const char *stage)
{
    uint32_t n = 0;
    for (uint32_t i = 0; i < input->backends_n; i++) {
        const backend_t *const b = &input->backends[i];
        n += is_eligible(b, input) && strcmp(b->dc, dc) == 0 && strcmp(stage_of(r, b), stage) == 0;
    }
    return n;
}

/** Chooses an engine of stage @p from in the data centre that has most of them. */
static const backend_t *choose_engine(const rebalancer_t *r, const rebalancer_input_t *input, const char *from)
{
    const backend_t *best = NULL;
    uint32_t most = 0;
    for (uint32_t i = 0; i < input->backends_n; i++) {
        const backend_t *const b = &input->backends[i];
        if (!is_eligible(b, input) || strcmp(b->stage, from) != 0 || find_move(r, b->id) || !accepts_orders(r, b->id))
            continue;
        const uint32_t n = count_in_dc(r, input, b->dc, from);
        if (n <= most)
            continue;
        most = n;
        best = b;
    }
    return best;
}

/** Starts a move by requesting the engine's report. */
static void begin_move(rebalancer_t *r, const backend_t *engine, const char *to, tc_time_t now)
{
    move_t *const move = g_new0(move_t, 1);
    move->engine = *engine;
    codec_copy_string(move->target_stage, sizeof(move->target_stage), to);
    move->until = now + MOVE_TIMEOUT_MS;
    cds_list_add_tail(&move->node, &r->moves);
    log_move(r, move, "look", 0);
    call_engine(r, move, dialect_write_engine_query(engine->addr), on_engine_report);
}

/** Whether the target has been the same for SUSTAIN_MS. @param changed it differs from the present number */
static bool is_sustained(rebalancer_t *r, uint32_t target, bool changed, tc_time_t now)
{
    if (target != r->target || !changed) {
        r->target = target;
        r->target_since = now;
    }
    return changed && now - r->target_since >= SUSTAIN_MS;
}

static void decide(rebalancer_t *r, const rebalancer_input_t *input, tc_time_t now)
{
    role_pools_t pools;
    count_pools(r, input, &pools);
    const uint32_t target = balance_target_prefills(&pools);
    const bool fewer = target < pools.prefills;
    /* Any target below the present number counts as the same one, so that it stays sustained while engines change
     * one after the other. */
    if (!is_sustained(r, fewer ? 0 : target, target != pools.prefills, now))
        return;
    const uint32_t room = (pools.prefills + pools.decodes) / ENGINES_PER_MOVE;
    if (count_moving(r) > room)
        return; /* the share plus one, so that small services change too */
    const backend_t *const engine = choose_engine(r, input, fewer ? PREFILL : DECODE);
    if (!engine)
        return;
    log_target(&pools, target);
    begin_move(r, engine, fewer ? DECODE : PREFILL, now);
}

/* ===== Lifecycle ===== */

static void update_term(rebalancer_t *r, uint64_t term, tc_time_t now)
{
    if (term == r->term)
        return;
    end_moves(r); /* accepted orders show in the list; the next leader decides about the others */
    r->term = term;
    r->term_since = now;
    r->target_since = now;
    r->fenced = false;
}

void rebalancer_tick(rebalancer_t *r, const rebalancer_input_t *input, tc_time_t now)
{
    r->ticked_at = now;
    update_term(r, input->term, now);
    counter_set(&c_moving, count_moving(r));
    if (r->term == 0)
        return;
    end_finished_moves(r, input, now);
    /* An older leader's order may be in flight until its lease and ORDER_TIMEOUT_MS have passed. */
    const bool may_order = now - r->term_since >= r->order_delay_ms + ORDER_TIMEOUT_MS;
    if (may_order && !r->fenced && !r->calling && input->service[0])
        decide(r, input, now);
}

rebalancer_t *rebalancer_create(loop_t *loop, web_client_t *client, call_gate_t *gate, const char *box,
                                tc_time_t order_delay_ms)
{
    rebalancer_t *const r = g_new0(rebalancer_t, 1);
    r->loop = loop;
    r->client = client;
    r->gate = gate;
    r->order_delay_ms = order_delay_ms;
    codec_copy_string(r->box, sizeof(r->box), box);
    CDS_INIT_LIST_HEAD(&r->moves);
    r->ask.body = g_byte_array_new();
    return r;
}

void rebalancer_destroy(rebalancer_t *r)
{
    end_moves(r);
    web_fetch_cancel(&r->ask);
    g_byte_array_free(r->ask.body, TRUE);
    g_free(r);
}
