/** @file forward_internal.h
 * Declarations shared by the files of the forwarding module. No other module includes it.
 *
 *   forward.c         life cycle of a request and the choice of its next step
 *   forward_end.c     ends of requests
 *   forward_caller.c  identity of the caller
 *   forward_cap.c     usage caps of workspaces
 *   forward_early.c   requests that arrive before the box has a configuration and back ends
 *   forward_place.c   placement by the scheduler
 *   forward_hold.c    memory reservations at engines
 *   forward_locate.c  search for the engine that caches the prompt of a resumed stream
 *   forward_retry.c   retry budget
 *   forward_call.c    calls to back ends
 *   forward_buffer.c  limits on what calls read and buffer
 *   forward_stop.c    requests that a stopping box still accepts
 *   forward_log.c     log lines
 *   forward_stream.c  stream events on their way to the caller
 *   forward_query.c   queries to the leader and to engines
 *   forward_backend_probe.c  liveness probes of back ends whose answer was lost
 *   forward_slot.c    slots of plain back ends, granted by the leader
 *   forward_limit.c   rate limits of back ends, shared by all boxes
 *   forward_version.c  software version that a stream is bound to; declared in forward_version.h
 *   forward_parts.c   parts of prompts that crash back ends; declared in forward_parts.h
 *   forward_silence.c  silent runs of streams; declared in forward_silence.h
 *   forward_notice.c  availability notices and stated loads in answers of back ends
 */
#ifndef TRACKCOVE_FORWARD_FORWARD_INTERNAL_H
#define TRACKCOVE_FORWARD_FORWARD_INTERNAL_H

/* ===== Dependencies ===== */

#include <urcu/list.h>

#include "cluster/limit_table.h"
#include "cluster/stream_versions.h"
#include "common/box_count.h"
#include "forward/dialect.h"
#include "forward/forward.h"
#include "forward/forward_parts.h"
#include "forward/forward_silence.h"
#include "forward/forward_version.h"
#include "forward/reasons.h"
#include "forward/run_history.h"
#include "forward/service_time.h"
#include "web/web_fetch.h"

/* ===== Constants ===== */

enum {
    /* A reachable back end accepts within a few ms; one that is down or cut off never answers. */
    CONNECT_TIMEOUT_MS = 250,
    /* The final answer is sent this long before the request's deadline. */
    ANSWER_MARGIN_MS = 30,

    /* Retry-After of a refusal. */
    RETRY_AFTER_MS = 1000,
    /* Retry-After when only this box refuses: another box may take the request at once. */
    RETRY_ELSEWHERE_MS = 5,
    /* Retry-After when the engines are full. */
    RETRY_FULL_MS = 2500,
    /* Jitter added to RETRY_FULL_MS, so that callers refused at the same moment do not return at the same moment. */
    RETRY_FULL_JITTER_MS = 1800,

    /* Timeout of one scheduler answer, including its queueing there. After it the box checks whether the leader is
       alive. */
    PLACE_TIMEOUT_MS = 220,
    /* Interval between tries while no decode engine has room. */
    PLACE_RETRY_MS = 90,

    /* How long the cache contents that an engine reported are reused. Callers of a failed box reconnect all at once, so
       one answer serves many of them; engines evict prompts only after some seconds. */
    LOCATE_FRESH_MS = 1500,
    /* Most cache queries in flight per box. Each takes a connection; a box has a few thousand, most of them for its
       callers. */
    LOCATE_QUERIES_MAX = 256,
    /* In a pool of more than LOCATE_POOL_FACTOR * LOCATE_QUERIES_MAX engines, querying LOCATE_QUERIES_MAX of them is
       not worth its cost; only LOCATE_NEAREST_MAX are queried. */
    LOCATE_POOL_FACTOR = 4,
    /* The engine that ran a request is the first free one in its data centre behind the request's position; with five
       data centres it is further behind in 1 of 1,000 cases. */
    LOCATE_NEAREST_MAX = 32,
    /* A reachable engine answers in a few ms, busy or not. */
    LOCATE_TIMEOUT_MS = 150,

    /* Requests wait for a configuration only in this time after the start of the box; later they are refused. */
    EARLY_PHASE_MS = 1000,
    /* How long they wait. When hundreds of boxes start together with the control boxes, they know the back ends after
       320 ms; a few boxes after 100 ms. Half of a stream's usual latency target is left then. */
    EARLY_WAIT_MS = 450,

    /* Engines asked for a memory reservation per request. */
    HOLD_TRIES_MAX = 4,
    /* Lifetime of a reservation. Reading a prompt takes a few hundred ms. */
    HOLD_MS = 1200,
    /* Part of HOLD_MS kept for sending the request to the engine, which takes a few ms. */
    HOLD_TRANSIT_MS = 20,
    /* A reachable engine answers in a few ms. */
    HOLD_TIMEOUT_MS = 300,

    /* Answers to cleanup calls are not read; an engine soon drops by itself what it keeps. */
    CLEANUP_TIMEOUT_MS = 2000,
    CLEANUP_MAX_BYTES = 64 * 1024,

    /* Body of an answer that is not streamed: as much as may wait for a caller that reads slowly. */
    ANSWER_MAX_BYTES = 8 * 1024 * 1024,
    /* The same of answers that are not forwarded: prefill results and refusals. */
    RESULT_MAX_BYTES = 256 * 1024,

    /* Same as SCHED_RENEW_MS. */
    RENEW_MS = 300,
    /* Delay of the renewal after a local placement, so that one renewal covers the rest of the burst. */
    RENEW_SOON_MS = 30,
    /* A prefill engine that has not answered by then is considered down. */
    PREFILL_TIMEOUT_MS = 1500
};

/** Share of a route's latency target, counted from the arrival of a request, after which it is refused for lack of
 *  room. A later placement misses the target anyway, since reading and transferring the prompt takes the rest. Measured
 *  for a target of 900 ms: docs/design/results-platform.md */
static const double PLACE_WAIT_TARGETS = 2.0 / 3;
/** Silence, in gap targets of the route, after which a resumable stream moves to another back end. Short stalls end
 *  sooner, and callers wait for twice as long. */
static const int SILENCE_GAP_TARGETS = 4;

/* ===== Types ===== */

typedef struct forward forward_t;

/** One run of a stream: the part of the answer that one call to one back end delivers. It is owned by the call and ends
 *  with it in every case, so that bytes of an unfinished event of one run never precede those of the next run. */
typedef struct {
    GByteArray *partial; /* bytes of an incomplete event */
    size_t searched;     /* prefix of partial known to contain no end of an event, in bytes */
    char *after;         /* id of the event that the run continues after; "" for a run from the beginning */
    char *first;         /* id of the first complete event, or NULL */
    char *last;          /* id of the last complete event, or NULL */
    unsigned events;     /* complete events */
    unsigned answers;    /* of these, events with data, which are not only comments */
    uint64_t bytes;      /* of the complete events */
} stream_run_t;

/** One call to one back end. */
struct backend_call {
    forward_t *request;
    dialect_op_t op;
    instance_t *instance;
    uint64_t tokens; /* counted at the instance */
    web_call_t *http;
    bool head_seen;
    slot_outcome_t outcome; /* so far, for the slot that the call uses */
    bool given_up;          /* by this box; a repeated call to the same back end would end the same way */
    bool is_counted;        /* its arrival is recorded in the retry budget */
    bool spoiled;           /* its answer was */
    unsigned ends;          /* crash count of the request before this call, as passed to instance_begin */
    int status;
    dialect_reply_t reply;
    GString *head;
    GByteArray *body;
    buffer_share_t buffer; /* counts body, or the incomplete event of a streamed answer */
    const char *excess;    /* limit that the answer exceeded, or NULL */
    stream_run_t run;      /* of a streamed answer */
    tc_time_t began;
};

/** A query to the leader of the control boxes. */
typedef struct leader_query leader_query_t;

/** Receives the leader's answer. @p message is of @p type when @p rc is TC_OK, otherwise there is none. Borrowed for
 * the duration of the call. */
typedef void (*leader_answer_fn_t)(forward_t *f, int rc, uint32_t type, const void *message);

/** A query to an engine. It is the argument of its callback, which may free it. */
typedef struct engine_query {
    forward_t *request;
    instance_t *instance; /* a reference */
    web_fetch_t ask;      /* holds status and body of the answer */
    struct engine_query *next;
} engine_query_t;

/** Timeouts of an engine query. */
typedef struct {
    tc_time_t connect_ms; /* until connected */
    tc_time_t answer_ms;  /* until the answer is complete */
} engine_query_limits_t;

/** A liveness probe of a back end whose answer was lost. */
typedef struct probe probe_t;

/** A request that waits for the result of a probe. */
typedef struct {
    struct cds_list_head node;
    forward_t *request;
    probe_t *probe;  /* NULL: the request does not wait */
    dialect_op_t op; /* of the lost call */
    const char *why; /* the call was lost */
} probe_wait_t;

/** A request's placement by the scheduler. */
typedef struct {
    leader_query_t *query; /* in flight, or NULL */
    bool asked;            /* the scheduler was asked, or there is none */
    bool prefill_granted;  /* the leader counted a call to its chosen prefill engine that has not been made yet */
    bool decode_granted;   /* same for the decode engine */
    bool local_prefill;    /* the decode engine of this placement reads the prompt itself, see place_is_local_prefill */
    unsigned queries;      /* placement queries sent so far */
    uint32_t attempt;      /* number by which the scheduler counts the placement; 0: it counts none */
    char prefill[CODEC_STR_SIZE];
    char decode[CODEC_STR_SIZE];
    char local_decode[CODEC_STR_SIZE]; /* decode engine that this box chose for the attempt, or "" */
    tc_time_t prefill_began;
} placement_t;

/** A query for a slot of a plain back end. It outlives its request, so that an answer that comes too late is given
 * back.
 */
typedef struct slot_query slot_query_t;

/** A request's slot at a plain back end, granted by the leader for one call. */
typedef struct {
    slot_query_t *query;  /* in flight, or NULL */
    bool asked;           /* a query was sent: the leader has counted the request for the retry budget */
    bool alone;           /* this box chooses the back end of the next call by itself */
    instance_t *instance; /* granted: a reference; NULL: no slot */
    uint64_t ticket;
    char returned[CODEC_STR_SIZE]; /* back end whose slot was given back since the last call, or "" */
} slot_t;

/** A memory reservation at a decode engine. */
typedef struct {
    engine_query_t *query; /* in flight, or NULL */
    instance_t *instance;  /* NULL: no reservation */
    char *name;
    tc_time_t until; /* a request sent by then still finds the reservation */
    unsigned tries;
} hold_t;

/** Outcome of a call as the retry budget counts it. */
typedef enum {
    ARRIVAL_NONE,    /* it did not reach the back end */
    ARRIVAL_REFUSED, /* the back end refused it */
    ARRIVAL_TAKEN    /* the back end processed it, or may have */
} arrival_t;

/** A request's share of the retry budget. Every arrival after the first is paid for before it is sent. */
typedef struct {
    leader_query_t *query; /* in flight after this box's share of the budget was used up, or NULL */
    void (*on_granted)(forward_t *f);
    void (*on_denied)(forward_t *f);
    unsigned counted; /* arrivals so far, except the first prefill that an engine took */
    unsigned paid;    /* further arrivals that the budget allowed */
    bool prefilled;   /* an engine took a prefill, so the next prefill counts */
    const char *why;  /* the answer was lost, a constant; for a request that waits for the budget of its next run */
} retry_t;

/** A request that waits for permission to call a rate-limited back end. */
typedef struct {
    leader_query_t *query; /* in flight, or NULL */
    instance_t *instance;  /* a reference; NULL: the request does not wait */
    dialect_op_t op;
} limit_wait_t;

/** A trial run of a request that is held, or of which a part is. */
typedef struct {
    leader_query_t *query; /* in flight, or NULL */
    uint64_t key;          /* what it is for: fingerprint, or key of the part */
    bool is_part;
    bool is_granted;
} trial_t;

/** Search for an engine that caches the prompt of a resumed stream. */
typedef struct {
    engine_query_t *queries; /* answered ones included */
    unsigned pending;        /* queries without an answer */
    bool asked;
    instance_t *instance; /* engine that caches the largest part, or NULL */
    unsigned tokens;      /* cached there */
} locate_t;

/** A prefill result that waits for a decode engine. */
typedef struct {
    instance_t *instance; /* engine that stores it; NULL: no result */
    char *name;
    tc_time_t until;
} handle_t;

/** A silent run that is kept, see forward_silence.h. */
typedef struct {
    backend_call_t *call;  /* NULL: none */
    slot_t slot;           /* of that call */
    bool counted_backend;  /* its back end is counted in forward.backends */
    bool has_event;        /* it brought an event after the request was sent to another engine */
    loop_timer_t limit;    /* for the time in which two engines work on the request */
    tc_time_t both_since;  /* since when they do; 0: they do not */
    tc_time_t both_before; /* for how long they did with engines called before, ms */
} silent_run_t;

/** One request of a caller. */
struct forward {
    struct cds_list_head node;
    forwarder_t *owner;
    web_exchange_t *exchange;
    web_request_t request;
    dialect_request_t facts;
    uint64_t fingerprint;

    /* Configuration of the request. */
    route_table_t *table;         /* a reference, which keeps the next four fields valid */
    const workspace_t *workspace; /* of the caller, or NULL */
    const route_t *route;
    const char *service;
    const route_service_t *settings;
    bool split;         /* prefill and decode on different engines */
    bool cap_granted;   /* the usage cap of the workspace was checked and allowed the request */
    uint32_t priority;  /* 0 is the most urgent */
    uint32_t rank;      /* as in msg_place_t */
    tc_time_t deadline; /* for sending the final answer */
    loop_timer_t limit; /* fires at the deadline */

    /* Operations in progress and resources held. */
    backend_call_t *call;    /* in flight, or NULL */
    silent_run_t silent;     /* a run that stays open until another one has begun */
    loop_timer_t call_timer; /* timeout of the call; between calls, the delay until the next try */
    bool repeats_engine;     /* the call goes to an engine that may have run the request before */
    handle_t handle;
    placement_t placement;
    hold_t hold;
    locate_t locate;
    retry_t retry;
    trial_t trial;
    slot_t slot;
    limit_wait_t limit_wait;
    probe_wait_t probe_waiter;
    stream_binding_t binding;

    /* History. */
    GPtrArray *tried;                   /* instance_t that failed this request */
    GPtrArray *tried_prefill;           /* same for prefill */
    char failed_decode[CODEC_STR_SIZE]; /* decode engine that failed to take the request last, or "" */
    trouble_t trouble;                  /* why it failed */
    bool same_engine_tried;             /* an engine whose answer was lost was called once more */
    unsigned arrivals;                  /* calls sent to back ends, except prefills */
    unsigned runs;                      /* times that a back end may have run the request */
    tc_time_t told_ms;                  /* Retry-After of its refusal; 0: none */
    unsigned backends;                  /* distinct back ends that may have run it */

    /* Answer. */
    bool begun;             /* the head was sent */
    char *last_event;       /* id of the newest event forwarded, or already at the caller; "" for none */
    bool has_unnamed_event; /* an event without an id followed last_event, so no run can continue the stream */
    unsigned stream_runs;   /* runs of the stream */
    unsigned silences;      /* of these, runs that were suspected since they were silent */
    unsigned events;        /* forwarded */
    uint64_t bytes;         /* of the forwarded events */
    uint64_t digest;        /* of the forwarded events, in order */
    tc_time_t first_at;     /* time of the first event; 0: none */
    tc_time_t event_at;     /* time of the last event */
    tc_time_t pause;        /* longest gap between two events, ms */
};

struct forwarder {
    loop_t *loop;
    fleet_t *fleet;
    web_client_t *client;
    forwarder_options_t options;
    route_table_t *table;
    reporter_t *scheduler; /* NULL: place locally */
    loop_timer_t renewal;
    bool renews_soon;           /* the next renewal is early and lists local placements */
    bool has_counted;           /* the scheduler counts requests of this box */
    GHashTable *budgets;        /* as retry_budgets_create */
    box_count_t sharers;        /* number of boxes */
    tc_time_t stop_begin_until; /* no request begins from then on; 0: the box is not stopping */
    tc_time_t stop_deadline;    /* all requests are over by then */
    GHashTable *service_times;  /* service -> service_time_t */
    unsigned in_flight;         /* requests */
    unsigned locate_queries;    /* of forward_locate.c in flight */
    GRand *random;
    struct cds_list_head requests;
    struct cds_list_head early;    /* requests that wait for a configuration and back ends */
    struct cds_list_head probes;   /* of forward_backend_probe.c */
    struct cds_list_head cleanups; /* of forward_query.c */
    quarantine_t *quarantine;
    quarantine_t *parts;        /* the same for parts of prompts */
    run_history_t *completed;   /* runs of requests that completed, by fingerprint */
    run_history_t *part_begins; /* runs that began to write, by key of a part */
    stream_versions_t *streams; /* streams of this box */
    bool knows_left_versions;   /* a leader has told which versions left lately */
    cap_shares_t *caps;
    cap_shares_t *limits;         /* rate limits that back ends announced */
    cap_shares_t *cold;           /* rate limits of cold back ends */
    limit_table_t *leader_limits; /* list of limits from the leader */
    uint64_t limits_hash;         /* of leader_limits */
    tc_time_t created;
    tc_time_t seen_at;  /* last turn of the loop, as far as it was noted */
    tc_time_t woken_at; /* end of the last time for which the loop stood still; 0: never */
};

/* ===== forward.c ===== */

/** Chooses the next step: a prefill, an engine, a back end or a refusal. */
void forward_continue(forward_t *f);
/** Schedules another try of all engines after PLACE_RETRY_MS, unless that is at or after @p until.
 *  @return whether it is scheduled */
bool forward_retry_soon(forward_t *f, tc_time_t until);
/** Begins a request with the current configuration and back ends. */
void forward_route(forwarder_t *fw, web_exchange_t *exchange, const web_request_t *request);

/** Sends the request to a back end, if that still accepts work. @param instance a reference, taken over */
void forward_send(forward_t *f, dialect_op_t op, instance_t *instance);
/** Chooses a suitable back end. @return a reference, or NULL */
instance_t *forward_choose(forward_t *f, stage_t stage);
/** Requirements of the request on a back end. */
fleet_query_t forward_fleet_query(const forward_t *f, stage_t stage);
/** Whether there is a suitable back end. */
bool forward_has_any(forward_t *f, stage_t stage);
/** Whether there is a suitable back end without a rate limit. */
bool forward_has_unlimited(forward_t *f, stage_t stage);

/** Whether another attempt of the request can be told from another request: all GETs of one target look alike. */
bool forward_is_recognisable(const forward_t *f);

/** Number of boxes that share the limits and budgets. */
unsigned forward_boxes(const forwarder_t *fw);

/* ===== forward_buffer.c ===== */

/** Begins to count what the call buffers. */
void buffer_begin(backend_call_t *call);
/** Limits the body of an answer that is not streamed; to be called with its head. */
void buffer_limit_answer(backend_call_t *call);
/** Counts @p size bytes that are about to be appended. @return false: the limit of all answers is reached, and this
 * call is the one to be ended */
bool buffer_reserve(backend_call_t *call, size_t size);
/** Counts the incomplete event that is left once complete ones were forwarded, and frees what it does not need.
 *  @param forwarded bytes that were */
void buffer_settle(backend_call_t *call, size_t forwarded);
/** Records that the answer exceeded a limit, before the call ends: it is not repeated at the same back end. */
void buffer_exceeded(void *arg, const char *kind, uint64_t bytes);
/** If the answer of a decode engine exceeded a limit, has the scheduler told when the request continues. */
void buffer_blame(const backend_call_t *call);

/* ===== forward_call.c: ends ===== */

/** Cancels the call from this side: its answer is lost. @param why for the log */
void call_give_up(backend_call_t *call, const char *why);

/* ===== forward_end.c ===== */

/** Status of a request that no back end has begun and none will. */
enum { STATUS_NOT_RUN = 503 };
/** No Retry-After is sent. */
enum { NO_RETRY_AFTER = -1 };

/** The caller has left: drops the call in flight and frees the request. */
void forward_abandon(forward_t *f);
/** Sends an answer without a body. @param after Retry-After in ms, or NO_RETRY_AFTER */
void forward_answer_empty(web_exchange_t *exchange, int status, tc_time_t after);
/** Answers the request with a failure, or breaks off an answer that has begun, and frees it. @param why for the log
 *  @param retry_after ms, sent if no back end can have begun the request */
void forward_fail_after(forward_t *f, const char *why, tc_time_t retry_after);
/** As forward_fail_after, with the usual Retry-After. */
void forward_fail(forward_t *f, const char *why);
/** As forward_fail, when the engines have no room. Retry-After is set to when a burst is likely over. */
void forward_fail_full(forward_t *f, const char *why);
/** As forward_fail_full, when the leader told when the caller may return. @param after Retry-After, ms; the caller
 *  follows it up to a third of the time that it has left, so it is limited to that */
void forward_fail_until(forward_t *f, const char *why, tc_time_t after);
/** Time that the caller has left, over all its attempts, ms. */
tc_time_t forward_caller_patience(const forward_t *f);
/** As forward_fail, when back ends ended while running the request. Retry-After is set to the end of its quarantine. */
void forward_fail_quarantined(forward_t *f);
/* ===== forward_trial.c ===== */

/** Whether the leader may grant the held request a trial run now. */
bool trial_is_due(const forward_t *f);
/** @return time until it may, ms; TC_TIME_NEVER when that is not to be expected */
tc_time_t trial_wait_ms(const forward_t *f);
/** Asks the leader for a trial run, and continues the request with it, or fails it. */
void trial_request(forward_t *f);
/** A run of the request went well: what the trial was for is released. */
void trial_complete(const forward_t *f);
void trial_cancel(forward_t *f);

/** Number of back ends that ended while running the request, as quarantine_crash_count. */
unsigned forward_crash_count(const forward_t *f);
/** Ends a completely answered request and frees it. */
void forward_finish(forward_t *f, int status, const char *why);
/** Refuses a request that no back end has begun, and frees it. @param after Retry-After in ms, 0 for none */
void forward_refuse(forward_t *f, int status, const char *why, tc_time_t after);

/* ===== forward_caller.c ===== */

/** Identity of a caller. */
typedef struct {
    const workspace_t *workspace; /* NULL: none */
    const char *why;              /* reason of the refusal, a constant; NULL: not refused */
} caller_t;

/** Identifies the caller of a request by the keys of @p table. */
caller_t caller_identify(const route_table_t *table, const route_t *route, const dialect_request_t *facts);
/** Whether the current configuration still allows the request; it may have changed while the request waited. */
bool caller_is_allowed(const forward_t *f);
/** Status of a refusal for something that is missing in the configuration. @param final status when the configuration
 *  is known to be current */
int caller_status(const forwarder_t *fw, int final);

/* ===== forward_cap.c ===== */

/** Cost of the request in units of its workspace's usage cap; 0 without a cap. */
double cap_units(const forward_t *f);
/** Charges the request to its workspace's usage cap, once, before its first call.
 *  @return false, with the request refused and freed, when it is over the cap */
bool cap_check(forward_t *f);
/** Whether the request may wait for a slot: its workspace is not known to be over its usage cap. Nothing is charged.
 *  @return false, with the request refused and freed, otherwise */
bool cap_allows_waiting(forward_t *f);
/** Records that the leader allowed the request. */
void cap_record_granted(forward_t *f);
/** Refuses a request that the leader did not allow, and frees it. @param after when the leader would allow it, ms */
void cap_refuse(forward_t *f, tc_time_t after);

/* ===== forward_log.c ===== */

/** Logs the begin of a request: its properties and its route's bounds. */
void forward_log_routed(const forward_t *f);
/** Logs a decision and the age of its inputs. @param instance concerned, or NULL */
void forward_log(const forward_t *f, const char *event, const char *why, int status, const instance_t *instance);
/** Logs that the run in progress is suspected since it is silent, and what is there to replace it. */
void forward_log_silence(forward_t *f);
/** Logs the end of a stream run: where it had to continue, what it delivered, and the bytes that were dropped. */
void forward_log_run(const backend_call_t *call, const char *why);
/** Logs the end of a request and how its caller was served. */
void forward_log_end(const forward_t *f, const char *event, const char *why, int status);

/* ===== forward_stop.c ===== */

/** Records the service time of an answered request. */
void stop_record(const forward_t *f);
/** Whether a request that begins now is expected to end before the box does; true when the box is not stopping. */
bool stop_allows(const forward_t *f);

/* ===== forward_query.c ===== */

/** Queries the leader on behalf of a request; the forwarder must have a scheduler. @p slot, a field of the request,
 *  holds the query until @p fn runs, after the return, or the query is dropped.
 *  @return false, with nothing done, when no leader is known */
bool leader_query(forward_t *f, leader_query_t **slot, uint32_t type, const void *message, tc_time_t limit,
                  leader_answer_fn_t fn);
/** Drops a query; its answer is ignored. Does nothing when none is in flight. */
void leader_query_drop(leader_query_t **slot);

/** Queries an engine. @p instance (a reference) and @p request are taken over. @param fn runs once, after the return
 *  @return for engine_query_free, at any time */
engine_query_t *engine_query(forward_t *f, instance_t *instance, GByteArray *request,
                             const engine_query_limits_t *limits, web_fetch_fn_t fn);
/** Frees a query, in flight or answered. */
void engine_query_free(engine_query_t *query);

/** Sends a call that releases something at a back end; its answer is ignored. Not sent to a back end that accepts no
 *  calls at all. @param request taken over */
void cleanup_call(forwarder_t *fw, instance_t *instance, GByteArray *request);
/** Frees the cleanup calls in flight: after the client is destroyed, before the forwarder is. */
void cleanups_destroy(forwarder_t *fw);

/* ===== forward_spoiled.c ===== */

/** In what way an answer was spoiled: its bytes came, but are no answer. */
typedef enum {
    SPOILED_HTTP,     /* no valid HTTP */
    SPOILED_UNPROVEN, /* without proof of its origin */
    SPOILED_PREFILL,  /* a success of a prefill engine without a result */
    SPOILED_EVENT,    /* an event of a stream beyond its limit */
    SPOILED_LIMIT     /* beyond another limit in bytes */
} spoiled_kind_t;

/** The back end has spoiled the answer to the call: logs and counts it, and records it against the back end. The call
 *  counts as given up from then on: a repeated one would end the same way. Call before the call is ended. */
void spoiled_record(backend_call_t *call, spoiled_kind_t kind);
/** The back end has answered the call well. */
void spoiled_record_good(const backend_call_t *call);

/* ===== forward_backend_probe.c ===== */

/** Probes a back end whose connection broke while it may have run the request, to find out whether it has ended. */
probe_t *probe_begin(const backend_call_t *call);
/** Makes the request wait for the result of a probe; call_resume_probed follows. @param op of the lost call
 *  @param why it was lost, a constant */
void probe_wait(forward_t *f, probe_t *probe, dialect_op_t op, const char *why);
/** Makes the request wait no longer. */
void probe_leave(forward_t *f);
/** Ends all probes, before the forwarder is destroyed. */
void probes_destroy(forwarder_t *fw);

/* ===== forward_notice.c ===== */

/** Applies the availability notice and the stated load in the head of an answer to its back end. */
void notice_apply(forwarder_t *fw, instance_t *instance, const web_head_t *head);

/* ===== forward_slot.c ===== */

/** Whether the leader grants the slots of the request's service: it is a plain one whose list names slots, and either
 *  some service of engines is ranked or a back end of this service has stated a pace. */
bool slot_is_active(const forward_t *f);
/** Asks the leader for a slot, unless the request has one that can be used, or this box chooses by itself. An unusable
 *  slot is given back. @return false when the request
 *  goes on at once; otherwise forward_continue or forward_fail follows */
bool slot_request(forward_t *f);
/** Chooses the back end of the next call after slot_request: that of the slot, else by this box itself. @return a
 *  reference, or NULL */
instance_t *slot_pick_backend(forward_t *f);
/** The call has ended: gives its slot back to the leader, with its outcome. */
void slot_end_call(const backend_call_t *call);
/** Withdraws the query and gives back an unused slot of a request that ends. */
void slot_cancel(forward_t *f);

/* ===== forward_limit.c ===== */

/** Updates the back end's rate limit from the head of an answer, which may also show that there is none any more. */
void limit_update(const backend_call_t *call);
/** Fills in the part of a report that concerns rate limits. */
void limit_fill_report(forwarder_t *fw, msg_report_t *report);
/** Applies the leader's list of limits to the back ends, some of which may have been listed since it came. */
void limit_apply_leader_list(forwarder_t *fw);
/** Sends the request, now or when the leader allows it. When the back end's limit is reached, forward_continue follows
 *  instead. @param instance a reference, taken over */
void limit_send(forward_t *f, dialect_op_t op, instance_t *instance);
/** Drops the query for permission. */
void limit_cancel(forward_t *f);

/* ===== forward_early.c ===== */

/** Queues a request until the box has a configuration and back ends, for EARLY_WAIT_MS at most; then forward_route
 *  begins it. @return false, with nothing done, when the box has both or runs for longer than EARLY_PHASE_MS */
bool early_queue(forwarder_t *fw, web_exchange_t *exchange, const web_request_t *request);

/* ===== forward_retry.c ===== */

/** Credits the budget for a new request. */
void retry_earn(forward_t *f);
/** Takes one more arrival from this box's share of the budget. @return whether it was available */
bool retry_spend(forward_t *f);
/** Records the outcome of a call. */
void retry_record_arrival(forward_t *f, dialect_op_t op, arrival_t how);
/** Whether the next call must still be paid for. A prefill is useless without the decode that follows, so both are paid
 *  in advance: a broken stream whose prompt is read again elsewhere counts as two arrivals. */
bool retry_is_unpaid(const forward_t *f, dialect_op_t op);
/** Requests one more arrival from this box's share of the budget, then from the leader's. Runs @p on_granted or
 *  @p on_denied, at once or later. */
void retry_request(forward_t *f, retry_purpose_t purpose, void (*on_granted)(forward_t *f),
                   void (*on_denied)(forward_t *f));
/** As retry_request, for a request that may have run. For services of engines only this box's share is used. */
void retry_request_rerun(forward_t *f, void (*on_granted)(forward_t *f), void (*on_denied)(forward_t *f));
/** As retry_request; a denied request fails and is freed. */
void retry_or_fail(forward_t *f, retry_purpose_t purpose, void (*on_granted)(forward_t *f));
/** Drops the query to the leader; its answer is ignored. */
void retry_cancel(forward_t *f);

/* ===== forward_hold.c ===== */

/** Requests a memory reservation at a decode engine. @return false when no engine is left to ask; otherwise
 *  forward_continue follows */
bool hold_request(forward_t *f);
/** Schedules another round of reservation requests after no engine had room. @return false when it would be too late */
bool hold_request_later(forward_t *f);
/** Forgets a reservation that was used. */
void hold_clear(forward_t *f);
/** Drops a reservation that can no longer be used: it has expired, or its engine is leaving. */
void hold_drop_unusable(forward_t *f);
/** Releases an unused reservation at its engine. */
void hold_release(forward_t *f);

/* ===== forward_locate.c ===== */

/** Queries the engines for the cached prompt of a resumed stream. @return false when there is nothing to query;
 *  otherwise forward_continue follows */
bool locate_begin(forward_t *f);
/** Assumes that the prompt is cached at the engine that delivered the answer so far. */
void locate_set(forward_t *f, instance_t *instance);
/** Drops the queries in flight and the engine found. */
void locate_cancel(forward_t *f);

/* ===== forward_place.c ===== */

/** Output tokens for which memory is reserved. */
uint32_t place_output_tokens(const dialect_request_t *facts);
/** Whether the decode engine was not chosen by the scheduler. */
bool place_is_local(const forward_t *f);

/** Whether the leader answered recently. Then a query without an answer waits there. */
bool place_is_leader_alive(const forwarder_t *fw);
/** Time until which waiting for room is useful. */
tc_time_t place_wait_until(const forward_t *f);
/** Time until which the caller waits for the first event: its time limit, or the longest gap that it bears. */
tc_time_t place_patience_end(const forward_t *f);

/** Requests a placement from the scheduler. @return false when the box has to place locally; otherwise forward_continue
 *  or forward_fail follows */
bool place_request(forward_t *f);
/** Requests another decode engine after @p bad did not take the request. @return as place_request */
bool place_replan(forward_t *f, const char *bad, trouble_t trouble);
/** The engine that the scheduler chose. @return a reference; NULL when it chose none, or none that can be used */
instance_t *place_chosen_engine(const forward_t *f, stage_t stage);
/** Whether the engine that the scheduler chose reads the prompt itself. This holds for no other engine: the scheduler
 *  lets an engine read one prompt at a time, since reading slows down its streams. */
bool place_is_local_prefill(const forward_t *f);
/** Uses the grant for one call that the leader counted with its placement. @return whether there was one for this
 *  engine and operation */
bool place_use_grant(forward_t *f, dialect_op_t op, const instance_t *instance);
/** Records the decode engine of the request. When the scheduler did not choose it, the next renewal reports it, and the
 *  scheduler counts the request there. */
void place_record_decode(forward_t *f, const instance_t *decode);
/** Reports the progress of the request to the scheduler. @param bad instance that failed, or NULL */
void place_report(forward_t *f, phase_t phase, const instance_t *bad);
/** Reports to the scheduler that an engine has spoiled an answer. */
void place_report_spoiled(forward_t *f, const instance_t *bad);
/** Frees what the scheduler reserved for a request that ends. */
void place_finish(forward_t *f);
/** The request goes on at an engine that it was about to leave: drops the query in flight, and has the scheduler count
 *  it there. */
void place_return(forward_t *f, const instance_t *decode);
/** Starts the periodic renewal of placements. */
void place_start_renewal(forwarder_t *fw);

/* ===== forward_returns.c ===== */

/** Refuses a request as the leader did. Where the leader schedules returns, its caller is told when to return. */
void returns_fail(forward_t *f, const msg_placed_t *placed);
/** Until when a request waits while the leader keeps it queued. A leader that schedules returns refuses at once what it
 *  cannot serve, and lets late requests wait for what others leave over; otherwise as place_wait_until. */
tc_time_t returns_wait_until(const forward_t *f);

/* ===== forward_call.c ===== */

/** Sends the request to @p instance, whose reference is taken over. */
void call_begin(forward_t *f, dialect_op_t op, instance_t *instance);
/** Continues a request that waited for the probe of a back end. @param ended result of the probe */
void call_resume_probed(forward_t *f, instance_t *instance, bool ended);
/** Cancels the call in flight, if any. @param why for the log */
void call_cancel(forward_t *f, const char *why);
/** Cancels the call in flight, if any: the caller has left, which says nothing about the back end. */
void call_abandon(forward_t *f);
/** Delivers the answer of a request that has one and waits for the budget of a second run. @return false, with nothing
 *  done, when there is none; otherwise the request is freed */
bool call_deliver_held(forward_t *f);
/** Releases an unused prefill result at the engine that stores it. */
void handle_release(forward_t *f);

/* ===== forward_stream.c ===== */

/** Result of feeding bytes to a run. */
typedef enum {
    STREAM_OK,       /* complete events were forwarded, the rest is kept */
    STREAM_REPEATED, /* the run does not continue after the requested event */
    STREAM_TOO_LARGE /* an incomplete event exceeds the buffer limit */
} stream_result_t;

/** Begins a run that continues after the last event of its request. */
void stream_begin(backend_call_t *call);
/** Whether the answer is forwarded event by event. */
bool stream_has_begun(const backend_call_t *call);
/** Appends bytes of a run and forwards the complete events. */
stream_result_t stream_feed(backend_call_t *call, const char *data, size_t size);
/** Result of bytes of a run whose events are held back. */
typedef enum {
    STREAM_HELD_NOTHING,  /* no complete event with data */
    STREAM_HELD_EVENT,    /* a complete event with data is held */
    STREAM_HELD_TOO_LARGE /* an incomplete event exceeds the buffer limit */
} stream_held_t;

/** Appends bytes of a run without forwarding its events, which the next stream_feed does. Comments are dropped. */
stream_held_t stream_hold(backend_call_t *call, const char *data, size_t size);
/** Whether what is held ends with a complete event, or is nothing. */
bool stream_holds_whole(const backend_call_t *call);
/** Whether an incomplete event is buffered that does not begin as a comment. */
bool stream_is_receiving(const backend_call_t *call);
/** Whether no incomplete event is buffered. */
bool stream_at_boundary(const backend_call_t *call);
/** Ends a run, complete or not, and drops the incomplete event. @param why for the log */
void stream_end(backend_call_t *call, const char *why);

#endif
