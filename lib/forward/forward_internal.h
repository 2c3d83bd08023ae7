/** @file forward_internal.h
 * Shared by the files of this module; nobody else includes it:
 *
 *   forward.c         a request's life and decisions
 *   forward_caller.c  whose request it is
 *   forward_cap.c     how much its workspace may ask
 *   forward_early.c   requests that come before the box knows where to send them
 *   forward_place.c   the scheduler's part in the decisions
 *   forward_hold.c    memory set aside at engines
 *   forward_locate.c  engines that keep the prompt of a stream that is taken up again
 *   forward_retry.c   the retry budget
 *   forward_step.c    calls to back ends
 *   forward_stop.c    what a box that is to end still begins
 *   forward_log.c     lines of the log
 *   forward_stream.c  events on their way to the caller
 *   forward_ask.c     questions to the leader and to engines, for the others
 *   forward_look.c    whether a back end whose answer was lost has ended
 *   forward_limit.c   limits of back ends for all boxes together
 *   forward_notice.c  what back ends say of themselves in their answers
 */
#ifndef TRACKCOVE_FORWARD_FORWARD_INTERNAL_H
#define TRACKCOVE_FORWARD_FORWARD_INTERNAL_H

/* ===== Dependencies ===== */

#include <urcu/list.h>

#include "cluster/limit_table.h"
#include "common/sharers.h"
#include "forward/dialect.h"
#include "forward/forward.h"
#include "forward/reasons.h"
#include "forward/service_time.h"
#include "web/web_ask.h"
#include "web/web_probe.h"

/* ===== Constants ===== */

enum {
    CONNECT_TIMEOUT_MS = 250, /* a back end in reach takes a few ms; a dark one never answers */
    ANSWER_MARGIN_MS = 30,    /* the final answer leaves this long before the request's time is over */
    RETRY_AFTER_MS = 1000,    /* when a refused caller may come back */
    RETRY_ELSEWHERE_MS = 5,   /* the same when this box alone refuses: another one may take it now */
    RETRY_FULL_MS = 2500,     /* the same when engines are full, */
    RETRY_FULL_JITTER_MS =
        1800,               /* and up to so much more: who is refused in one moment must not return in one moment */
    PLACE_TIMEOUT_MS = 220, /* for one answer of the scheduler, queueing there included; then the box looks whether the
                           leader is still there */
    PLACE_RETRY_MS = 90,    /* between tries while no decode engine has room */
    LOCATE_FRESH_MS = 1500, /* callers of a box that died come at once: what an engine told one of them holds for the
                               others. Prompts give way to newer ones only after some seconds */
    LOCATE_QUERIES_MAX = 256, /* questions of a box under way, each over a connection: a box has a few thousand, and
                          most are its callers' */
    LOCATE_POOL_FACTOR = 4,   /* in a pool of so many times as many it is not worth it to ask as many, */
    LOCATE_NEAREST_MAX = 32,  /* but only these. The engine that ran a request is the first in its
                             data centre that was free behind the request's place: of five, further behind in 1 of
                             1,000 cases */
    LOCATE_TIMEOUT_MS = 150,  /* an engine in reach answers in a few ms, busy or not */
    EARLY_PHASE_MS = 1000,    /* a box that has run for longer without learning where to send requests refuses them */
    EARLY_WAIT_MS = 450,  /* they wait so long: hundreds of boxes that are all started at once, control among them, know
                             the back ends after 320 ms, a few after 100; half of a stream's usual aim is left then */
    HOLD_TRIES_MAX = 4,   /* engines asked to set memory aside for one request */
    HOLD_MS = 1200,       /* how long it is set aside: a prompt is read in a few hundred ms */
    HOLD_TRANSIT_MS = 20, /* of that, for the request's way to the engine: a few ms */
    HOLD_TIMEOUT_MS = 300,    /* an engine in reach answers in a few ms */
    RENEW_MS = 300,           /* as SCHED_RENEW_MS */
    RENEW_SOON_MS = 30,       /* after this box placed something by itself: with it, what follows in the same burst */
    PREFILL_TIMEOUT_MS = 1500 /* a prefill engine that has not answered by then is taken for dark */
};

/** Of a route's aim: from a request's arrival until it is refused for want of room. What is granted later is late
 * anyway: a prompt is read and moved in the rest. Measured for an aim of 900 ms: docs/design/results-platform.md */
static const double PLACE_WAIT_TARGETS = 2.0 / 3;
/** Silence after which a stream that may be taken up elsewhere is, in pauses that its route allows: what stalls for a
 *  moment comes back sooner, and callers wait for twice as long. */
static const int SILENCE_GAP_TARGETS = 4;

/* ===== Types ===== */

typedef struct forward forward_t;

/** One run of a stream: the part of an answer that one call to one back end brings. It is part of the call, so that
 *  nothing of it outlives the call however that ends: bytes of an unfinished event of one run must never stand before
 *  those of the next. */
typedef struct {
    GByteArray *partial; /* bytes of an event that is not whole yet */
    size_t searched;     /* of these, without the end of an event */
    char *after;         /* event that it was to go on behind, "" when it was to begin */
    char *first;         /* id of the first event that it brought whole, or NULL */
    char *last;          /* the same of the last one */
    unsigned events;     /* that it brought whole */
    uint64_t bytes;      /* of these */
} stream_run_t;

/** One call to one back end. */
typedef struct {
    forward_t *request;
    dialect_op_t op;
    instance_t *instance;
    uint64_t tokens; /* counted at the instance */
    web_call_t *http;
    bool head_seen;
    bool given_up; /* by this box: asked again, the back end would do the same */
    unsigned ends; /* back ends that ended under the request before, as instance_begin was told */
    int status;
    dialect_reply_t reply;
    GString *head;
    GByteArray *body;
    stream_run_t run; /* of a streamed answer */
    tc_time_t began;
} backend_call_t;

/** A question to the leader of the control boxes. */
typedef struct leader_query leader_query_t;

/** Its answer: @p message is of @p type when @p rc is TC_OK, else nothing; borrowed for the call. */
typedef void (*leader_answer_fn_t)(forward_t *f, int rc, uint32_t type, const void *message);

/** A question to an engine. Its callback gets it as the argument and may free it. */
typedef struct engine_query {
    forward_t *request;
    instance_t *instance; /* a reference */
    web_ask_t ask;        /* its status and body are the answer's */
    struct engine_query *next;
} engine_query_t;

/** How long an engine may take. */
typedef struct {
    tc_time_t connect_ms; /* to the connection */
    tc_time_t answer_ms;  /* to the whole answer */
} engine_query_limits_t;

/** A look at a back end whose answer was lost. */
typedef struct probe probe_t;

/** A request that waits for what a look finds. */
typedef struct {
    struct cds_list_head node;
    forward_t *request;
    probe_t *probe;  /* NULL: it does not wait */
    dialect_op_t op; /* of the call that was lost, */
    const char *why; /* and why it was */
} probe_wait_t;

/** A request's placement by the scheduler. */
typedef struct {
    leader_query_t *query; /* the question under way, or NULL */
    bool asked;            /* the scheduler was asked, or there was none to ask */
    bool prefill_granted;  /* the leader has counted a call to the prefill engine that it chose, and none was made; */
    bool decode_granted;   /* the same of the decode engine */
    bool local_prefill;   /* the decode engine of this placement is to read the prompt itself: see place_is_solo */
    unsigned queries;      /* that were put to it */
    uint32_t attempt;      /* what the scheduler counts it as, 0 for nothing */
    char prefill[CODEC_STR_SIZE];
    char decode[CODEC_STR_SIZE];
    char local_decode[CODEC_STR_SIZE]; /* decode engine that this box chose by itself for the attempt, or "" */
    tc_time_t prefill_began;
} placement_t;

/** Memory set aside at a decode engine. */
typedef struct {
    engine_query_t *query; /* the question under way, or NULL */
    instance_t *instance;  /* NULL: there is none */
    char *name;
    tc_time_t until; /* a request that leaves by then finds it there */
    unsigned tries;
} hold_t;

/** What came of a call, as far as the retry budget goes. */
typedef enum {
    ARRIVAL_NONE,    /* it did not arrive */
    ARRIVAL_REFUSED, /* the back end turned it away */
    ARRIVAL_TAKEN    /* the back end worked on it, or may have */
} arrival_t;

/** A request's part in the retry budget: every arrival beyond the first is paid for before it is sent. */
typedef struct {
    leader_query_t *query; /* the question under way, when this box's part of the budget is used up, or NULL */
    void (*on_granted)(forward_t *f); /* what follows when it is granted, */
    void (*on_denied)(forward_t *f);  /* and when it is not */
    unsigned counted;                 /* arrivals so far, without the first prefill that an engine took up */
    unsigned paid;                    /* further arrivals that the budget allowed it */
    bool prefilled;                   /* a prefill was taken up: the next one counts */
} retry_t;

/** A request that waits to be allowed at a back end with a limit. */
typedef struct {
    leader_query_t *query; /* the question under way, or NULL */
    instance_t *instance;  /* a reference, or NULL: it does not wait */
    dialect_op_t op;
} limit_wait_t;

/** The search for an engine that keeps the prompt of a stream that is taken up again. */
typedef struct {
    engine_query_t *queries; /* all questions, answered ones too */
    unsigned pending;        /* without an answer */
    bool asked;
    instance_t *instance; /* keeps most of it, or NULL */
    unsigned tokens;      /* that it keeps */
} locate_t;

/** A prefill result that waits for a decode engine. */
typedef struct {
    instance_t *instance; /* NULL: there is none */
    char *name;
    tc_time_t until;
} handle_t;

/** One request of a caller. */
struct forward {
    struct cds_list_head node;
    forwarder_t *owner;
    web_exchange_t *exchange;
    web_request_t request;
    dialect_request_t facts;
    uint64_t fingerprint;

    /* What the configuration says of it. */
    route_table_t *table;         /* a reference, which the next four stand in */
    const workspace_t *workspace; /* whose it is, or NULL: of none */
    const route_t *route;
    const char *service;
    const route_service_t *settings;
    bool split;         /* prefill and decode on different engines */
    uint32_t priority;  /* 0 is the most urgent */
    tc_time_t deadline; /* the final answer has left by then */
    loop_timer_t limit; /* of the request */
    bool cap_granted;   /* its workspace's usage cap has been asked, and allowed it */

    /* What is under way for it, and what is kept for it. */
    backend_call_t *call;    /* the call under way, or NULL */
    loop_timer_t call_timer; /* of the call under way; between calls, until the next try */
    bool repeats_engine;     /* the call under way is to an engine that may have run the request before */
    handle_t handle;
    placement_t placement;
    hold_t hold;
    locate_t locate;
    retry_t retry;
    limit_wait_t limit_wait;
    probe_wait_t probe_waiter;

    /* What has happened to it. */
    GPtrArray *tried;                   /* instance_t that failed this request */
    GPtrArray *tried_prefill;           /* the same for prefill */
    char failed_decode[CODEC_STR_SIZE]; /* decode engine that did not take it last, or "" */
    trouble_t trouble;                  /* why */
    bool same_engine_tried;             /* an engine whose answer was lost was asked once more */
    unsigned arrivals;                  /* sent to a back end, prefills beside */
    unsigned runs;                      /* times that a back end may have run it */
    unsigned backends;                  /* that may have: one that was asked twice counts once */

    /* Its answer. */
    bool begun;             /* the answer's head has left */
    char *last_event;       /* id of the newest event passed on, or of the one that the caller has; "" for none */
    bool has_unnamed_event; /* an event without an id was passed on behind that one: no run can go on there */
    unsigned stream_runs;   /* that brought it */
    unsigned events;        /* passed on */
    uint64_t bytes;         /* of these */
    uint64_t digest;        /* of these, one after the other */
    tc_time_t first_at;     /* the first of them was; 0: none */
    tc_time_t event_at;     /* the last one */
    tc_time_t pause;        /* longest time between two of them */
};

struct forwarder {
    loop_t *loop;
    fleet_t *fleet;
    web_client_t *client;
    forwarder_options_t options;
    route_table_t *table;
    reporter_t *scheduler; /* NULL: place alone */
    loop_timer_t renewal;
    bool renews_soon;           /* the renewal that is due lists what this box placed by itself */
    bool has_counted;           /* the scheduler counts something as ours */
    GHashTable *budgets;        /* as retry_budgets_create */
    sharers_t sharers;          /* how many boxes there are */
    tc_time_t stop_begin_until; /* the box stops: nothing is begun from then on; 0: it does not stop */
    tc_time_t stop_deadline;    /* and all is over by then */
    GHashTable *service_times;  /* service -> service_time_t */
    unsigned busy;
    unsigned locate_queries; /* questions of forward_locate.c under way */
    GRand *random;
    struct cds_list_head requests;
    struct cds_list_head early;    /* requests that wait until the box knows where to send them */
    struct cds_list_head probes;   /* of forward_look.c */
    struct cds_list_head cleanups; /* of forward_ask.c */
    quarantine_t *quarantine;
    cap_shares_t *caps;
    cap_shares_t *limits;       /* that back ends name */
    cap_shares_t *cold;         /* of cold back ends */
    limit_table_t *leader_limits; /* that the leader told, */
    uint64_t limits_hash;         /* of that list */
    tc_time_t created;
};

/* ===== forward.c ===== */

/** Choose what comes next: a prefill, an engine, a back end, or the refusal. */
void forward_continue(forward_t *f);
/** Try again in a moment, all engines anew, unless that is at or after @p until. @return whether it will be */
bool forward_retry_soon(forward_t *f, tc_time_t until);
/** The final answer in place of a back end's; ends the request, which is freed. @param why for the log */
void forward_fail(forward_t *f, const char *why);
/** The same for want of room at the engines: refused callers are told to come back when a burst is likely over. */
void forward_fail_full(forward_t *f, const char *why);
/** The same since back ends ended under the request: its caller is told until when it is sent to none. */
void forward_fail_quarantined(forward_t *f);
/** How many back ends have ended under the request: as quarantine_crash_count. */
unsigned forward_backend_ends(const forward_t *f);
/** The answer is complete: ends the request, which is freed. */
void forward_finish(forward_t *f, int status, const char *why);

/** Begin a request, by the configuration and the back ends that are known now. */
void forward_route(forwarder_t *fw, web_exchange_t *exchange, const web_request_t *request);

/** Send the request to a back end, if that still takes work. @param instance a reference, taken over */
void forward_send(forward_t *f, dialect_op_t op, instance_t *instance);
/** One of the back ends that fit, as a reference, or NULL. */
instance_t *forward_choose(forward_t *f, stage_t stage);
/** Whether there is one. */
bool forward_has_any(forward_t *f, stage_t stage);
/** Whether there is one that names no limit. */
bool forward_has_unlimited(forward_t *f, stage_t stage);

/** How many boxes share what all of them together may do. */
unsigned forward_boxes(const forwarder_t *fw);

/** Refuse the request, which no back end has begun: the answer says so. @param after when its caller may come back, 0:
 *  never */
void forward_refuse(forward_t *f, int status, const char *why, tc_time_t after);

/* ===== forward_caller.c ===== */

/** What is known of who asks. */
typedef struct {
    const workspace_t *workspace; /* or NULL: of none */
    const char *why;              /* it is refused, a constant; NULL: it is not */
} caller_t;

/** Whose request it is, by a table. */
caller_t caller_identify(const route_table_t *table, const route_t *route, const dialect_request_t *facts);
/** Whether the configuration in force still allows the request, which may have waited while that changed. */
bool caller_is_allowed(const forward_t *f);
/** Status of a refusal for something that the configuration does not know. @param final what it is when that is sure */
int caller_status(const forwarder_t *fw, int final);

/* ===== forward_cap.c ===== */

/** Units of the request by its workspace's usage cap; 0: it has none. */
double cap_units(const forward_t *f);
/** Whether the request is within its workspace's usage cap; asked once, before its first call. If not, it has been
 *  refused, and freed. */
bool cap_check(forward_t *f);
/** The leader let the request in. */
void cap_record_granted(forward_t *f);
/** The leader did not: refuse the request, which is freed. @param after when it would */
void cap_refuse(forward_t *f, tc_time_t after);

/* ===== forward_log.c ===== */

/** The line that begins a request: what is known of it, and what its route allows. */
void forward_log_routed(const forward_t *f);
/** One line on a decision, with the age of what it rests on. @param instance the one it concerns, or NULL */
void forward_log(const forward_t *f, const char *event, const char *why, int status, const instance_t *instance);
/** The line that ends a run of a stream: what it was to bring, what it brought, and what was left of it. */
void forward_log_run(const backend_call_t *call, const char *why);
/** The line that ends a request: how its caller was served. */
void forward_log_end(const forward_t *f, const char *event, const char *why, int status);

/* ===== forward_stop.c ===== */

/** A request was answered: remember how long that took. */
void stop_record(const forward_t *f);
/** Whether a request that begins now is expected to be over before the box ends; true unless it is to end. */
bool stop_allows(const forward_t *f);

/* ===== forward_ask.c ===== */

/** Ask the leader on behalf of a request that has a scheduler. The question stands in @p slot, a field of the request,
 *  until @p fn runs, later, or it is dropped. @return false, with nothing done, when no leader is known */
bool leader_query(forward_t *f, leader_query_t **slot, uint32_t type, const void *message, tc_time_t limit,
                  leader_answer_fn_t fn);
/** Nobody waits for the answer any more. Nothing to do when no question is under way. */
void leader_query_drop(leader_query_t **slot);

/** Ask an engine. @param instance a reference, taken over @param request taken over @param fn runs once, later
 *  @return for engine_ask_free, at any time */
engine_query_t *engine_query(forward_t *f, instance_t *instance, GByteArray *request,
                             const engine_query_limits_t *limits, web_ask_fn_t fn);
/** Drop the question, under way or answered. */
void engine_query_free(engine_query_t *ask);

/** Make a call about what a back end has already, whose answer changes nothing, unless it wants no calls at all.
 *  @param request taken over */
void cleanup_call(forwarder_t *fw, instance_t *instance, GByteArray *request);
/** Forget those under way: when the client is destroyed, before the forwarder is. */
void cleanups_destroy(forwarder_t *fw);

/* ===== forward_look.c ===== */

/** A back end's connection broke while it may have run the request: see whether it has ended. */
probe_t *probe_begin(forward_t *f, instance_t *instance);
/** Have the request wait for what is found: step_looked follows. @param ask of the call that was lost @param why it
 * was, a constant */
void probe_wait(forward_t *f, probe_t *probe, dialect_op_t op, const char *why);
/** It waits no more. */
void probe_leave(forward_t *f);
/** End all looks: before the forwarder is destroyed. */
void probes_destroy(forwarder_t *fw);

/* ===== forward_notice.c ===== */

/** Take what the head of an answer says of its back end. */
void notice_apply(forwarder_t *fw, instance_t *instance, const web_head_t *head);

/* ===== forward_limit.c ===== */

/** Take the limit that the head of an answer names, or that it names none any more. */
void limit_update(const backend_call_t *call);
/** What leaders are to know of limits. */
void limit_fill_report(forwarder_t *fw, msg_report_t *report);
/** Take what the leader told: back ends may have been listed since. */
void limit_apply_leader_list(forwarder_t *fw);
/** Send the request, now or when it is allowed, unless the back end's limit is reached: then forward_go_on follows.
 *  @param instance a reference, taken over */
void limit_send(forward_t *f, dialect_op_t op, instance_t *instance);
/** Nobody waits for an answer any more. */
void limit_cancel(forward_t *f);

/* ===== forward_early.c ===== */

/** Have a request wait until the box knows where to send it; then, or when it has waited for long enough, it is begun
 *  by forward_route. @return false, with nothing done, when it need not wait, or is not to: the box has run for long */
bool early_queue(forwarder_t *fw, web_exchange_t *exchange, const web_request_t *request);

/* ===== forward_retry.c ===== */

/** A request came in, by which the budget grows. */
void retry_earn(forward_t *f);
/** Whether one more arrival at a back end is allowed by this box's part of the budget; takes it. */
bool retry_spend(forward_t *f);
/** A call has ended. */
void retry_record_arrival(forward_t *f, dialect_op_t op, arrival_t how);
/** Whether more must be paid before the call that is next is sent. A prefill is of no use without the decode behind it,
 *  so both are paid: a stream that broke off and is read anew elsewhere arrives twice. */
bool retry_is_unpaid(const forward_t *f, dialect_op_t op);
/** Run @p then, at once or later, when one more arrival is allowed by this box's part or the leader's; else @p denied.
 */
void retry_request(forward_t *f, void (*on_granted)(forward_t *f), void (*on_denied)(forward_t *f));
/** The same; else the request fails and is freed. */
void retry_or_fail(forward_t *f, void (*on_granted)(forward_t *f));
/** Nobody waits for it any more: an answer of the leader finds nobody. */
void retry_cancel(forward_t *f);

/* ===== forward_hold.c ===== */

/** Ask a decode engine to set memory aside. @return false when none is left to ask; else forward_go_on follows */
bool hold_request(forward_t *f);
/** No engine had room: ask them again in a moment. @return false when that is of no use any more */
bool hold_request_later(forward_t *f);
/** It was used. */
void hold_clear(forward_t *f);
/** Drop it when no request can use it any more: it has lapsed, or its engine leaves. */
void hold_drop_unusable(forward_t *f);
/** Nobody will use it: the engine is told. */
void hold_release(forward_t *f);

/* ===== forward_locate.c ===== */

/** A stream is taken up again: ask the engines whether one keeps its prompt. @return false when there is nothing to
 *  ask; else forward_go_on follows */
bool locate_begin(forward_t *f);
/** The engine that carried the answer so far is taken for the one that keeps the prompt. */
void locate_set(forward_t *f, instance_t *instance);
/** Drop the questions under way, and what was found. */
void locate_cancel(forward_t *f);

/* ===== forward_place.c ===== */

/** Tokens of output that memory is reserved for. */
uint32_t place_output_tokens(const dialect_request_t *facts);
/** Whether no scheduler chose the decode engine. */
bool place_is_local(const forward_t *f);

/** Until when it is of use to wait for room. */
tc_time_t place_wait_until(const forward_t *f);
/** Ask the scheduler. @return false when the box has to place by itself; else forward_go_on or forward_fail follows */
bool place_request(forward_t *f);
/** The decode engine did not take the request: ask for another. @return as place_ask */
bool place_replan(forward_t *f, const char *bad, trouble_t trouble);
/** The instance that the scheduler chose, as a reference, or NULL when it chose none that is known here. */
instance_t *place_chosen_engine(const forward_t *f, stage_t stage);
/** Whether the engine that the scheduler chose is to read the prompt itself. It is not said of another one: the
 *  scheduler has an engine read one prompt at a time, since that slows its streams. */
bool place_is_solo(const forward_t *f);
/** Whether the leader counted this call to the engine with its placement; it does so for one call. */
bool place_use_grant(forward_t *f, dialect_op_t op, const instance_t *instance);
/** The request goes to a decode engine: when the scheduler did not choose it, it is told which and counts it there. */
void place_record_decode(forward_t *f, const instance_t *decode);
/** Tell the scheduler how far the request is. @param bad instance that failed, or NULL */
void place_report(forward_t *f, phase_t phase, const instance_t *bad);
/** The request ends: whatever is reserved for it is free. */
void place_finish(forward_t *f);
/** Begin renewing. */
void place_start_renewal(forwarder_t *fw);

/* ===== forward_step.c ===== */

/** Send the request to @p instance, whose reference is taken over. */
void call_begin(forward_t *f, dialect_op_t op, instance_t *instance);
/** A back end whose answer was lost was looked at: go on with the request that waited for that. */
void call_resume_probed(forward_t *f, instance_t *instance, bool ended);
/** Drop the call under way, if there is one. @param why for the log */
void call_cancel(forward_t *f, const char *why);
/** Tell the engine that holds a prefill result that nobody will take it. */
void handle_release(forward_t *f);

/* ===== forward_stream.c ===== */

/** What came of bytes that a run brought. */
typedef enum {
    STREAM_OK,       /* whole events were passed on, the rest is kept */
    STREAM_REPEATED, /* the run does not go on behind the event that it was asked to go on behind */
    STREAM_TOO_LARGE /* an event is larger than what is kept of one */
} stream_verdict_t;

/** Begin a run that goes on behind the last event of its request. */
void stream_begin(backend_call_t *call);
/** Whether the answer goes to the caller event by event. */
bool stream_has_begun(const backend_call_t *call);
/** Take bytes that a run brought and pass on the events that are whole. */
stream_verdict_t stream_feed(backend_call_t *call, const char *data, size_t size);
/** Whether nothing of an event is left over. */
bool stream_at_boundary(const backend_call_t *call);
/** The run is over, whole or not: what is left of an event is dropped. @param why for the log */
void stream_end(backend_call_t *call, const char *why);

#endif
