/** @file sched_internal.h
 * Declarations shared by the files of the scheduler, and private to them.
 */
#ifndef TRACKCOVE_SCHED_INTERNAL_H
#define TRACKCOVE_SCHED_INTERNAL_H

/* ===== Dependencies ===== */

#include <assert.h>
#include <glib.h>
#include <urcu/list.h>

#include "admission/fair_share.h"
#include "admission/returns.h"
#include "backend/loss_evidence.h"
#include "backend/spoil_record.h"
#include "sched/prefill_time.h"
#include "sched/sched.h"
#include "sched/sched_ranked.h"
#include "sched/wait_factor.h"

#ifdef NDEBUG
#error "the invariants are asserted in every build: do not define NDEBUG"
#endif

/* ===== Constants ===== */

enum {
    CACHE_SLOTS = 128,       /* prompt pieces remembered per engine, as an estimate of its prefix cache */
    DISPATCH_WINDOW_MS = 40, /* a prefill engine with less work than this gets more: covers the round trip of the entry
                                box's report, so that the engine does not idle */
    LONG_TRANSFER_TOKENS = 8000, /* transfers from this size on count as long, */
    LONG_TRANSFER_MS = 20,       /* unless the link carries them in less than this */
    LONG_TRANSFERS_PER_LINK = 2, /* concurrent long transfers per link */
    STALL_AVOID_MS = 2500,       /* an engine is skipped for this long after a handover to it stalled */
    OUTDATED_AVOID_MS = 2500, /* the same for an engine that does not match the configuration: the list of back ends is
                                 read once a second and lags by up to another */
    RECONCILE_MS = 3000,      /* as long as most requests run: requests that were not counted have ended by then */
    BOX_SILENT_MS = 3 * SCHED_RENEW_MS, /* an entry box silent for this long may place requests by itself */
    BOX_GONE_MS = 15000,                /* an entry box silent for this long counts as gone */
    CONTRADICTED_MS = 300,     /* an engine that has answered another box within this time has probably not ended when
                                  one box loses a call there */
    SUSPECT_DOUBLINGS_MAX = 3, /* SUSPECT_MS doubles with each failure in a row, at most this often */
    SUSPECT_MS = 1000,     /* an engine that failed a request gets none for this long, or until it answers a query */
    DOWN_AFTER_MISSES = 3, /* an engine counts as down after this many unanswered queries in a row */
    CANCEL_RETRY_MS = 300, /* delay before an unconfirmed cancel is sent again */
    ORPHAN_GRACE_MS = SCHED_LEASE_MS + SCHED_RENEW_MS, /* an id that nobody renews is cancelled after this */
    FALLBACK_LINK_RATE = 50000,                        /* tokens/s between data centres without a declared link */
    FREED_WINDOW_MS = 250,                             /* between updates of the rates at which memory comes free */
    FREED_WINDOWS = 6, /* for which it is known what an engine freed: its end shows in the list within about 1.2 s */
    TPOT_MS = 40       /* time per output token assumed in estimates; that of a batch of about twenty */
};

/* ===== Types ===== */

/** A prompt piece that is probably in an engine's prefix cache. */
typedef struct {
    uint64_t hash;
    tc_time_t used;
} cache_slot_t;

/** Prefill rate as a decaying sum over the last seconds of prefill time. */
typedef struct {
    double tokens, ms; /* tokens read, and the time this took */
} rate_sum_t;

/** Configured engines of one role and one model. */
typedef struct {
    GPtrArray *engines; /* of engine_t, borrowed, sorted by ring_position */
    guint from;         /* start of the next scan for a request without a fingerprint */
} pool_t;

/** A model that engines serve. Engines and requests are matched by this record rather than by the model's name. */
struct model {
    char name[CODEC_STR_SIZE];
    double rate;          /* prefill rate, tokens per ms */
    rate_sum_t rate_sum;  /* measurements behind rate */
    prefill_fit_t fit;    /* latency of a prompt, apart from reading */
    wait_factors_t waits; /* waits of ranked requests, beside their estimates */
    pool_t pools[2];      /* indexed by role_t */
    /* Findings of dispatch pass number pass. They hold for the whole pass, since no engine is freed during one. */
    uint64_t pass;
    bool no_prefill;                /* no prefill engine takes more work */
    uint32_t no_decode_from;        /* no decode engine has room for this many pieces or more */
    uint32_t no_local_prefill_from; /* the same, for decode engines that would read the prompt themselves */
    tc_time_t ranked_until;         /* it is ranked until then */
    keep_t keep;
};

/** Resources of an engine that requests and cancels use. */
typedef struct {
    uint32_t pieces, batch, prefills, local_prefills, suspects, suspects_twice;
} engine_counts_t;

/** The fields that a choice reads come first: it scans all engines, and a cache line holds 64 bytes. */
struct engine {
    model_t *model;
    uint32_t dc; /* index in sched_t.dcs */
    role_t role;
    bool configured; /* is in the current configuration */
    bool leaving_config, leaving_platform;
    bool leaving_self; /* does not serve its configured role, model and version, or says that it is leaving */
    bool down;
    uint32_t pieces, max_batch;
    uint32_t reserved;       /* pieces of placed and cancelling requests */
    uint32_t unknown_pieces; /* pieces of ids that no request accounts for: unavailable */
    uint32_t hidden_pieces;  /* pieces that must be in use, since the engine refused a request although it had room by
                                the count */
    tc_time_t hidden_at;     /* time of that refusal */
    uint32_t batch;          /* requests placed for decode */
    uint32_t local_prefills; /* of these, requests whose prompt this decode engine still has to read itself */
    uint32_t suspects;       /* requests that it runs or prefills and under which a back end has ended */
    uint32_t suspects_twice; /* of these, requests under which two back ends have ended */
    uint32_t grants_left;    /* SCHED_NO_LIMIT: any number */
    uint64_t kept_pass;      /* pass of dispatch in which a request keeps it; 0: none yet */
    uint32_t grants_made;    /* under the current limit */
    tc_time_t suspect_until;
    tc_time_t stalled_until;  /* a handover to it stalled: it gets no more before this time, whatever its state says */
    tc_time_t outdated_until; /* it does not match the configuration, or no longer exists */
    const struct owner *answered; /* box that it answered last, or NULL */
    tc_time_t answered_at;        /* when it did */
    tc_time_t answered_before;    /* when it last answered another one */
    double slowness;              /* share by which its work takes longer than usual, as it stated; 0: not known */
    tc_time_t slow_until;         /* slowness counts before then */
    /* Prefill work that was assigned and is not reported done. */
    double backlog_ms;
    tc_time_t backlog_at;
    uint32_t prefills;
    double pending_ms;         /* part of it that depends on the tokens of the unfinished prompts */
    const void *alone;         /* the request whose prompt it has read alone so far; only compared, may be gone */
    prefill_samples_t samples; /* last prompts that it read alone */
    double rate;               /* prefill rate, tokens per ms */
    rate_sum_t rate_sum;       /* measurements behind rate; until there are some, the model's rate applies */
    tc_time_t last_prefill_at; /* when the last prompt was reported done; 0: none yet */
    uint32_t misses;
    uint32_t failures; /* failed requests in a row */
    spoil_record_t spoiled;
    uint64_t incarnation;
    tc_time_t seen;         /* when it last answered a query */
    uint64_t ring_position; /* of its name */
    char name[CODEC_STR_SIZE];
    char version[CODEC_STR_SIZE];
    engine_counts_t counted; /* recomputed by sched_check */
    cache_slot_t cache[CACHE_SLOTS];
    double freed[FREED_WINDOWS]; /* pieces freed there, in the present window and those before it */
    bool was_usable;             /* at the end of the last window */
};

typedef struct {
    char name[CODEC_STR_SIZE];
    char a[CODEC_STR_SIZE], b[CODEC_STR_SIZE];
    double rate;        /* tokens per ms */
    double outstanding; /* tokens of transfers that were granted and are not done */
    uint32_t long_transfers;
} link_t;

/** The best engines of one data centre for one request. */
typedef struct {
    engine_t *prefill, *decode; /* or NULL */
    double prefill_ms;          /* time for the prompt alone */
    double prefill_cost;        /* time for the prompt including the engine's backlog */
} dc_best_t;

#define DC_UNKNOWN UINT32_MAX

typedef enum { REQ_QUEUED, REQ_PLACED, REQ_REPLANNING, REQ_FINISHED } req_state_t;

/** An engine that accepts no calls of an entry box. */
typedef struct {
    const engine_t *engine;
    tc_time_t until;
} closed_engine_t;

/** An entry box as the owner of placed requests. */
typedef struct owner {
    char name[CODEC_STR_SIZE];
    uint32_t count;          /* placed requests */
    uint64_t digest;         /* XOR of sched_digest over them */
    tc_time_t lease_until;   /* until then all its requests are renewed */
    tc_time_t renewed_at;    /* last renewal of any kind */
    bool reported;           /* has renewed since this scheduler started or resumed */
    closed_engine_t *closed; /* engines that accept no calls of it; NULL for none */
    uint32_t closed_n;
    uint32_t counted;  /* recomputed by sched_check */
    uint64_t digested; /* recomputed by sched_check */
} owner_t;

struct request {
    struct cds_list_head node; /* in queue, placed, or finished */
    char id[CODEC_STR_SIZE];
    owner_t *owner;
    uint32_t dc;               /* of its box, as an index in sched_t.dcs; DC_UNKNOWN when no engine is there */
    uint32_t predicted_cached; /* prompt tokens expected in the prefill engine's cache */
    char workspace[CODEC_STR_SIZE];
    char model_name[CODEC_STR_SIZE];
    model_t *model; /* NULL while no engine serves it */
    req_state_t state;
    phase_t phase;
    uint32_t attempt;
    uint32_t prompt_tokens, max_tokens, pieces, priority, rank; /* rank as in msg_place_t; 0 unless ranked */
    return_kind_t kind, returned;    /* how it returned; its order among requests of equal rank and lateness */
    tc_time_t first_arrived, target; /* of its first attempt, unless kind is RETURN_NEW; when that was to be answered */
    tc_time_t patience_until;        /* when its caller gives up */
    tc_time_t caller_until;          /* when its caller gives up for good */
    double read_ms, expected_ms;     /* time to its first token on an idle engine; wait before that that was expected
                                        on its admission, 0 unless ranked */
    uint64_t *chain;
    uint32_t n_chain;
    uint32_t replanned; /* attempt that the last replan replaced; 0: none */
    tc_time_t due, lease_until, phase_at, queued_at, granted_at;
    sched_token_t token;
    uint64_t content;      /* hash of the content: a repeated id must have the same */
    uint64_t fingerprint;  /* the same for every attempt at the same request; 0: unknown */
    uint32_t ends;         /* number of back ends that ended under it; while placed, as counted at its engine */
    uint32_t prefill_ends; /* value of ends counted in the prefill engine's suspects */
    char avoid[CODEC_STR_SIZE];
    char version[CODEC_STR_SIZE]; /* that its decode engine must have; "": any */
    engine_t *prefill, *decode;
    const engine_t *spoiled_by; /* the one of these that spoiled its answer last, or NULL */
    double work_ms;             /* prefill work it adds, on the engine that has most of its prompt cached */
    double pending_ms;          /* its part of prefill->pending_ms */
    link_t *link;
    double link_tokens; /* counted in link->outstanding */
    bool waiting;       /* token has not been answered */
    bool local_prefill; /* counted in decode->local_prefills */
    bool prefilling;    /* counted in prefill->prefills */
    bool long_transfer; /* counted in link->long_transfers */
    bool ranked;        /* as in msg_place_t */
    bool late;          /* it can no longer meet its target */
    bool kept;          /* it has kept an engine while it waited */
    bool yields;        /* chosen to be refused, within one admission */
};

/** An attempt to be cancelled at an engine. Its pieces stay reserved until the engine confirms. */
typedef struct {
    struct cds_list_head node;
    engine_t *engine;
    char engine_id[CODEC_STR_SIZE + 16];
    uint32_t pieces; /* 0 on a prefill engine */
    bool asked;      /* a cancel is in flight */
    tc_time_t next_try;
} cancelling_t;

/** An id reported by an engine that no request accounts for. */
typedef struct {
    struct cds_list_head node;
    engine_t *engine;
    char engine_id[CODEC_STR_SIZE + 16];
    uint32_t pieces;
    tc_time_t first_seen;
    bool seen_now;
} orphan_t;

typedef struct {
    struct cds_list_head node;
    sched_action_t action;
} queued_action_t;

struct sched {
    char cell[CODEC_STR_SIZE];
    uint64_t epoch;
    uint32_t share_count;
    uint32_t piece_tokens;            /* tokens per piece of memory */
    tc_time_t local_prefill_after_ms; /* 0: decode engines read no prompts */
    tc_time_t admit_from;
    tc_time_t reconcile_until; /* until then engines may run requests that are not counted here */
    tc_time_t rebuild_from;
    uint32_t expected, reports; /* live entry boxes, and how many of them have renewed */
    bool rebuilding;            /* started with requests of a former scheduler still running */
    bool adopt_unknown;         /* as in sched_options_t */
    bool suspended;             /* nothing is granted */
    targets_cfg_t targets;
    GHashTable *requests; /* id -> request_t, owned by the lists */
    GHashTable *engines;  /* name -> engine_t, owned by engine_list */
    GPtrArray *engine_list;
    GPtrArray *by_ring;      /* the same engines, sorted by ring_position */
    tc_time_t next_count_at; /* when engines are counted and invariants checked next */
    GPtrArray *links;        /* link_t, owned */
    GPtrArray *dcs;          /* names of data centres, owned */
    dc_best_t *best;         /* scratch space of a choice, dcs->len entries */
    link_t **link_of;        /* matrix of dcs->len by dcs->len: the link between two data centres, or NULL */
    GHashTable *models;      /* name -> model_t, owned */
    uint64_t pass;           /* number of the last dispatch pass */
    uint32_t kept;           /* engines kept in it */
    GHashTable *owners;      /* box -> owner_t, owned */
    loss_evidence_t *losses; /* of calls to engines, by box */
    GHashTable *weights;     /* workspace -> weight */
    fair_share_t *share; /* use of workspaces in pieces: all queued requests, and placed ones with a decode engine */
    struct cds_list_head queue, placed, finished, cancelling, orphans, actions;
    uint32_t n_queue, n_placed, n_cancelling;
    uint32_t next_attempt;  /* attempts are numbered across all requests of this epoch */
    double free_rate;       /* decode pieces freed per ms, moving average */
    double request_held_ms; /* time from a grant to the end of its request, moving average */
    double freed_pieces;    /* since freed_at */
    double left_rate;       /* pieces freed per ms less those granted to requests that are not late, moving average */
    double in_time_pieces;  /* since freed_at */
    returns_t *returns;     /* borrowed, or NULL */
    tc_time_t freed_at;
    tc_time_t load_updated_at; /* when the load averages were last updated */
    double granted_prefill_ms; /* prefill time of the requests granted since load_updated_at */
    sched_stats_t stats;
};

/* ===== Engines (sched_engine.c) ===== */

engine_t *engine_find(const sched_t *s, const char *name);
bool engine_usable(const engine_t *e, tc_time_t now);
/** Whether the engine is usable, its grant limit leaves room, and it is not left for its answers. */
bool engine_grantable(const engine_t *e, tc_time_t now);
/** Counts a grant against the engine's limit. */
void engine_count_grant(engine_t *e);
/** Unavailable pieces of the engine: reserved, unknown, or shown to be in use by a refusal. */
uint32_t engine_taken(const sched_t *s, const engine_t *e, tc_time_t now);
/** Records that the engine refused a granted request for lack of room: it runs something that is not counted here.
 *  Call while the request is still counted. */
void engine_mark_full(engine_t *e, tc_time_t now);
/** Records the pace that the engine stated, percent. */
void engine_set_pace(engine_t *e, uint32_t pace, tc_time_t now);
/** Forgets a pace that is too old. */
void engine_expire_pace(engine_t *e, tc_time_t now);
/** Largest batch of the engine that this scheduler may fill. */
uint32_t engine_batch_limit(const sched_t *s, const engine_t *e);
/** Prefill work that was assigned to the engine and is not done, in ms. */
double engine_backlog(const engine_t *e, tc_time_t now);
/** Time the engine needs to prefill the prompt, in ms, including its fixed latency. */
double engine_prefill_ms(const engine_t *e, const request_t *r);
/** Number of whole pieces at the start of the prompt that the engine probably has cached. */
uint32_t engine_cached_pieces(const engine_t *e, const uint64_t *chain, uint32_t n);
void engine_cache_add(engine_t *e, const uint64_t *chain, uint32_t n, tc_time_t now);
/** Learns from a finished prompt. @param alone the engine has read no other since the grant */
void engine_update_rate(engine_t *e, const msg_progress_t *progress, bool alone, tc_time_t now);
/** Sets the initial prefill rate of a model, in tokens per ms, unless it has been set before. */
void model_init_rate(model_t *m, double guess);
link_t *link_between(const sched_t *s, const char *a, const char *b);
/** The link between two data centres, by their indexes in sched_t.dcs; NULL for none. */
link_t *link_of(const sched_t *s, uint32_t a, uint32_t b);
/** Index of a data centre in sched_t.dcs; adds it when it is new. */
uint32_t dc_get_or_add(sched_t *s, const char *name);
/** Index of a data centre in sched_t.dcs, or DC_UNKNOWN. */
uint32_t dc_find(const sched_t *s, const char *name);
/** Rebuilds sched_t.link_of after data centres or links have changed. */
void links_rebuild_index(sched_t *s);
/** Record of a model, or NULL when no engine ever served it. */
model_t *model_find(const sched_t *s, const char *name);
/** Whether a transfer of @p tokens occupies the link for so long that the number of such transfers is limited. */
bool link_is_long(const link_t *link, double tokens);
/** Time that a transfer of @p tokens would take if it were granted now, in ms. */
double link_transfer_ms(const sched_t *s, const link_t *link, double tokens);

/* ===== Reservations (sched_reserve.c) ===== */

typedef struct choice choice_t;
/** Counts a request at its decode engine; uncount_decode reverses it. */
void count_decode(request_t *r);
void uncount_decode(request_t *r);
void reserve(sched_t *s, request_t *r, const choice_t *choice, tc_time_t now);
void end_prefill_work(request_t *r, tc_time_t now);
void end_transfer(request_t *r);
void end_local_prefill(request_t *r);
/** Frees the pieces; the engine has released them by itself. */
void release_decode(sched_t *s, request_t *r, tc_time_t now);
/** Cancels the attempt at its decode engine; the pieces are freed once the engine confirms. */
void cancel_decode(sched_t *s, request_t *r, tc_time_t now);
void cancel_prefill(sched_t *s, request_t *r, tc_time_t now);
void add_cancelling(sched_t *s, engine_t *e, const char *engine_id, uint32_t pieces, tc_time_t now);
void remove_cancelling(sched_t *s, cancelling_t *c);
void send_cancels(sched_t *s, tc_time_t now);

/* ===== Requests (sched_request.c) ===== */

/** Answers the request's waiting call; the caller fills in the result. */
sched_answer_t *answer_call(sched_t *s, request_t *r);
/** Refuses a call that is not, or no longer, the call of a request. */
sched_answer_t *refuse_call(sched_t *s, const char *id, sched_token_t token, const char *reason, double retry_ms);
request_t *request_create(sched_t *s, const char *id);
void request_free(sched_t *s, request_t *r);
void queue_insert(sched_t *s, request_t *r);
void queue_remove(sched_t *s, request_t *r);
void placed_add(sched_t *s, request_t *r);
/** Record of an entry box; created on first use. */
owner_t *owner_get(sched_t *s, const char *box);
void owner_free(void *owner);
/** Whether an engine accepts no calls of the box. */
bool owner_is_closed(const owner_t *owner, const engine_t *e, tc_time_t now);
/** Assigns the request to an entry box and an attempt number. */
void set_owner(sched_t *s, request_t *r, const char *box, uint32_t attempt);
sched_answer_t *refuse_queued(sched_t *s, request_t *r, const char *reason, double retry_ms);
/** Ends a request that completed: its engines hold nothing more. */
void finish_request(sched_t *s, request_t *r, tc_time_t now);
/** Takes a placed request off its engines. @param engines_may_hold the engines may hold something of it and are told
 *  to cancel */
void withdraw(sched_t *s, request_t *r, bool engines_may_hold, tc_time_t now);

/* ===== Placing and leases (sched_place.c, sched_lease.c) ===== */

/** Decides who is refused since a request has been queued: it, others, or nobody (sched_admit.c). */
void admit(sched_t *s, request_t *r, tc_time_t now);
/** Grants what can be granted, in the order of request_compare. */
void dispatch(sched_t *s, tc_time_t now);
/** Ends the rebuild if every live entry box has reported and every engine has been seen. */
void end_rebuild_early(sched_t *s, tc_time_t now);
/** Withdraws requests whose leases have expired, and drops old finished ones. */
void expire_leases(sched_t *s, tc_time_t now);

/* ===== Actions ===== */

sched_action_t *add_action(sched_t *s, sched_action_kind_t kind);

#endif
