/** @file sched_internal.h
 * Shared by the files of the scheduler core; nobody else includes it.
 */
#ifndef TRACKCOVE_SCHED_INTERNAL_H
#define TRACKCOVE_SCHED_INTERNAL_H

/* ===== Dependencies ===== */

#include <assert.h>
#include <glib.h>
#include <urcu/list.h>

#include "sched/sched.h"

#ifdef NDEBUG
#error "the invariants are asserted in every build: do not define NDEBUG"
#endif

/* ===== Constants ===== */

enum {
    CACHE_SLOTS = 128,           /* prompt pieces remembered an engine: what it may still have cached */
    PREFILL_BASE_MS = 20,        /* fixed part of a prefill, first guess */
    DISPATCH_WINDOW_MS = 40,     /* a prefill engine with less work than this is given more: covers the round
                                    trip of the entry's report, so that the engine does not stand idle */
    LONG_TRANSFER_TOKENS = 8000, /* from here on a transfer counts as long */
    LONG_TRANSFER_MS = 20,       /* but not where the link carries it in less than this */
    LONG_TRANSFERS_PER_LINK = 2, /* long transfers under way on one link */
    STALL_AVOID_MS = 2500,       /* an engine to which a handover stalled is passed over for this long */
    OUTDATED_AVOID_MS = 2500, /* an engine that is not what it is taken for: until the configuration tells what it is.
                                 The list of back ends is read once a second and lags by up to another */
    RECONCILE_MS = 3000,      /* as long as most requests are held: what was not counted has ended by then */
    BOX_SILENT_MS = 3 * SCHED_RENEW_MS, /* an entry box that has not renewed for so long may place by itself, */
    BOX_GONE_MS = 15000,                /* and after so long is taken for gone */
    SUSPECT_DOUBLINGS_MAX = 3,          /* the time below doubles with each failure in a row, so often at most */
    SUSPECT_MS = 1000,     /* an engine that failed a request gets none for this long, or until it answers */
    DOWN_AFTER_MISSES = 3, /* state pages missed in a row before an engine counts as down */
    CANCEL_RETRY_MS = 300, /* pause between cancels that were not confirmed */
    ORPHAN_GRACE_MS = SCHED_LEASE_MS + SCHED_RENEW_MS, /* an id nobody renews is cancelled after this */
    FALLBACK_LINK_RATE = 50000,                        /* tokens/s on a path no link is declared for */
    TPOT_MS = 40 /* time between tokens that estimates count with: a batch of some twenty */
};

/* ===== Types ===== */

/** A prompt piece an engine probably has in its prefix cache. */
typedef struct {
    uint64_t hash;
    tc_time_t used;
} cache_slot_t;

/** How fast prompts are read: a sum over the last few seconds of reading. */
typedef struct {
    double tokens, ms; /* that were read, and the time it took */
} rate_sum_t;

/** Engines of one role in the configuration, of one model. */
typedef struct {
    GPtrArray *engines; /* of engine_t, borrowed, by their places in the ring */
    guint from;         /* where the next choice begins to look, for a request without a fingerprint */
} pool_t;

/** A model that engines serve. Engines and requests of one model are matched by this record, not by its name. */
typedef struct {
    char name[CODEC_STR_SIZE];
    double rate;         /* tokens per ms that its prefill engines read, */
    rate_sum_t rate_sum; /* as measured */
    pool_t pools[2];     /* by role */
    /* What dispatch has found out in the pass of this number: nothing frees engines in the middle of a pass. */
    uint64_t pass;
    bool no_prefill;                /* no prefill engine takes more work */
    uint32_t no_decode_from;        /* no decode engine has room for so many pieces, or more */
    uint32_t no_local_prefill_from; /* the same of decode engines that would read the prompt */
} model_t;

/** What requests and cancels hold of an engine. */
typedef struct {
    uint32_t pieces, batch, prefills, local_prefills, suspects, suspects_twice;
} engine_counts_t;

/** What a choice looks at comes first: it looks at all engines, and a cache line holds 64 bytes. */
typedef struct {
    model_t *model;
    uint32_t dc; /* place in sched_t.dcs */
    role_t role;
    bool configured; /* still in the configuration */
    bool leaving_config, leaving_platform;
    bool leaving_self; /* does not serve its configured role, model and version, or says that it leaves */
    bool down;
    uint32_t pieces, max_batch;
    uint32_t reserved;       /* pieces of placed and cancelling requests */
    uint32_t unknown_pieces; /* pieces of ids that no request accounts for: not given to anybody */
    uint32_t hidden_pieces;  /* pieces that are taken though nothing here accounts for them, as a refusal has shown, */
    tc_time_t hidden_at;     /* then */
    uint32_t batch;          /* requests placed for decode */
    uint32_t local_prefills; /* of these, whose prompt this decode engine reads itself and has not finished */
    uint32_t suspects;       /* requests that it runs or reads the prompt of, under which a back end has ended, */
    uint32_t suspects_twice; /* and of these, under which two have */
    uint32_t grants_left;    /* SCHED_NO_LIMIT: any number */
    uint32_t grants_made;    /* of a number that was set */
    tc_time_t suspect_until;
    tc_time_t stalled_until;  /* a handover to it stalled: no more of them, whatever its state page says */
    tc_time_t outdated_until; /* it is not what the configuration says, or no longer there */
    /* prefill: work given and not reported done */
    double backlog_ms;
    tc_time_t backlog_at;
    uint32_t prefills;
    double pending_ms;         /* of it, by the tokens of each prompt that is not reported done */
    double rate;               /* tokens per ms, */
    rate_sum_t rate_sum;       /* as measured; before that, as the model's other engines */
    tc_time_t last_prefill_at; /* the last prompt was reported done, 0: none was */
    uint32_t misses;
    uint32_t failures; /* of requests there, one after the other */
    uint64_t incarnation;
    tc_time_t seen;         /* last answer of its state page */
    uint64_t ring_position; /* place of its name */
    char name[CODEC_STR_SIZE];
    char version[CODEC_STR_SIZE];
    engine_counts_t counted; /* sched_check's own count */
    cache_slot_t cache[CACHE_SLOTS];
} engine_t;

typedef struct {
    char name[CODEC_STR_SIZE];
    char a[CODEC_STR_SIZE], b[CODEC_STR_SIZE];
    double rate;        /* tokens per ms */
    double outstanding; /* tokens of transfers granted and not done */
    uint32_t long_transfers;
} link_t;

/** The engines of one data centre that are best for one request. */
typedef struct {
    engine_t *prefill, *decode; /* or NULL */
    double prefill_ms;          /* that the prompt takes there, alone */
    double prefill_cost;        /* with the work before it */
} dc_best_t;

#define DC_UNKNOWN UINT32_MAX

typedef enum { REQ_QUEUED, REQ_PLACED, REQ_REPLANNING, REQ_FINISHED } req_state_t;

/** An engine that wants no calls of an entry box. */
typedef struct {
    const engine_t *engine;
    tc_time_t until;
} closed_engine_t;

/** An entry box, as the owner of placed requests. */
typedef struct {
    char name[CODEC_STR_SIZE];
    uint32_t count;          /* placed requests */
    uint64_t digest;         /* XOR of sched_digest over them */
    tc_time_t lease_until;   /* all of them are renewed until then */
    tc_time_t renewed_at;    /* last renewal of any kind */
    bool reported;           /* it renewed since this scheduler began, or was resumed */
    closed_engine_t *closed; /* engines that want no calls of it; NULL for none */
    uint32_t closed_n;
    uint32_t counted;  /* sched_check's own count, */
    uint64_t digested; /* and digest */
} owner_t;

typedef struct {
    struct cds_list_head node; /* in queue, placed, or finished */
    char id[CODEC_STR_SIZE];
    owner_t *owner;
    uint32_t dc; /* of its box, in sched_t.dcs; DC_UNKNOWN: it has no engines */
    char workspace[CODEC_STR_SIZE];
    char model_name[CODEC_STR_SIZE];
    model_t *model; /* NULL while no engine serves it */
    req_state_t state;
    phase_t phase;
    uint32_t attempt;
    uint32_t prompt_tokens, max_tokens, pieces, priority;
    uint64_t *chain;
    uint32_t n_chain;
    tc_time_t due, lease_until, phase_at, queued_at, granted_at;
    sched_token_t token;
    uint64_t content;     /* what is asked: an id that comes again must ask the same */
    uint64_t fingerprint; /* the same for every try at the same, 0: not known */
    uint32_t ends;        /* back ends that ended under it; while it is placed, as its engine counts it */
    char avoid[CODEC_STR_SIZE];
    engine_t *prefill, *decode;
    double work_ms;            /* prefill work it brings, by the engine that has most of it cached */
    uint32_t predicted_cached; /* prompt tokens taken for cached on the prefill engine */
    double pending_ms;         /* its part of prefill->pending_ms */
    link_t *link;
    double link_tokens;    /* counted in link->outstanding */
    bool long_transfer;    /* counted in link->long_transfers */
    bool waiting;          /* token has not been answered */
    bool local_prefill;    /* counted in decode->local_prefills */
    bool prefilling;       /* counted in prefill->prefills, */
    uint32_t prefill_ends; /* and with so many ends in its suspects and twice */
} request_t;

/** An attempt that must go from an engine: its pieces stay reserved until the engine says so. */
typedef struct {
    struct cds_list_head node;
    engine_t *engine;
    char engine_id[CODEC_STR_SIZE + 16];
    uint32_t pieces; /* 0 on a prefill engine */
    bool asked;      /* a cancel is under way */
    tc_time_t next_try;
} cancelling_t;

/** An id seen on an engine that no request accounts for. */
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
    uint32_t piece_tokens;            /* memory is counted in pieces of this size */
    tc_time_t local_prefill_after_ms; /* 0: decode engines read no prompts */
    tc_time_t admit_from;
    tc_time_t reconcile_until; /* engines may run what is not counted here */
    tc_time_t rebuild_from;
    uint32_t expected, reports; /* live entry boxes, and how many of them have renewed */
    bool rebuilding;            /* began with the requests of a scheduler before it */
    bool adopt_unknown;         /* as in sched_options_t */
    bool suspended;             /* nothing is granted now */
    targets_cfg_t targets;
    GHashTable *requests; /* id -> request_t, owned by the lists */
    GHashTable *engines;  /* name -> engine_t, owned */
    GPtrArray *engine_list;
    GPtrArray *by_ring;      /* the same, by their places in the ring */
    tc_time_t next_count_at; /* when engines are counted next */
    GPtrArray *links;        /* link_t, owned */
    GPtrArray *dcs;          /* names of data centres, owned */
    dc_best_t *best;         /* dcs->len: room for a choice to work in */
    link_t **link_of;        /* dcs->len by dcs->len: the link between two of them, or NULL */
    GHashTable *models;      /* name -> model_t, owned */
    uint64_t pass;           /* number of the last dispatch */
    GHashTable *owners;      /* box -> owner_t, owned */
    GHashTable *weights;     /* workspace -> weight */
    struct cds_list_head queue, placed, finished, cancelling, orphans, actions;
    uint32_t n_queue, n_placed, n_cancelling;
    uint32_t next_attempt;  /* attempts are numbered across all requests of this epoch */
    double free_rate;       /* decode pieces freed per ms, moving average */
    double request_held_ms; /* from a grant to the end of its request, moving average */
    double freed_pieces;    /* since freed_at */
    tc_time_t freed_at;
    tc_time_t load_updated_at; /* when the busy averages were updated last */
    double granted_prefill_ms; /* prompt work handed out since, in ms of a prefill engine */
    sched_stats_t stats;
};

/* ===== Engines (sched_engine.c) ===== */

engine_t *engine_find(const sched_t *s, const char *name);
bool engine_usable(const engine_t *e, tc_time_t now);
/** The same, and it may be granted now. */
bool engine_grantable(const engine_t *e, tc_time_t now);
/** A grant is made on it. */
void engine_count_grant(engine_t *e);
/** Pieces of the engine that nobody can have: reserved, foreign, or shown by a refusal to be taken. */
uint32_t engine_taken(const sched_t *s, const engine_t *e, tc_time_t now);
/** The engine had no room for a request that was granted: something is taken there that is not counted here. Call while
 *  the request is still counted. */
void engine_mark_full(engine_t *e, tc_time_t now);
/** Prefill work given to the engine and not done yet, in ms. */
double engine_backlog(const engine_t *e, tc_time_t now);
/** Time the engine would need for the prompt, in ms. */
double engine_prefill_ms(const engine_t *e, const request_t *r);
/** Whole pieces at the start of the prompt that the engine probably has cached. */
uint32_t engine_cached_pieces(const engine_t *e, const uint64_t *chain, uint32_t n);
void engine_cache_add(engine_t *e, const uint64_t *chain, uint32_t n, tc_time_t now);
void engine_update_rate(engine_t *e, const msg_progress_t *progress, tc_time_t now);
/** Begin with a guess of how fast a model is read, unless it has been measured. */
void model_init_rate(model_t *m, double guess);
link_t *link_between(const sched_t *s, const char *a, const char *b);
/** The same by places in sched_t.dcs. */
link_t *link_of(const sched_t *s, uint32_t a, uint32_t b);
/** Place of a data centre in sched_t.dcs; it is added when it is new. */
uint32_t dc_get_or_add(sched_t *s, const char *name);
/** The same, or DC_UNKNOWN. */
uint32_t dc_find(const sched_t *s, const char *name);
/** Make sched_t.link_of follow data centres and links. */
void links_rebuild_index(sched_t *s);
/** The record of a model, or NULL when no engine ever served it. */
model_t *model_find(const sched_t *s, const char *name);
/** Whether a transfer of @p tokens takes the link for so long that others have to be kept from it. */
bool link_is_long(const link_t *link, double tokens);
/** Time a transfer of @p tokens granted now would take, in ms. */
double link_transfer_ms(const sched_t *s, const link_t *link, double tokens);

/* ===== Choice (sched_choose.c) ===== */

typedef struct {
    engine_t *prefill, *decode;
    link_t *link;
    double prefill_ms;          /* alone, without the backlog */
    double total_ms;            /* until the first token */
    double cost;                /* by which it was chosen: total_ms, and what it costs the requests that run there */
    uint32_t prefills, decodes; /* engines that could have been taken */
    const char *reason;         /* why there is none */
} choice_t;

/** Best pair for a queued request, or for a replan the best decode engine (r->prefill is kept). Looks at each engine
 *  once: the cost of a pair is that of its prefill engine, that of its decode engine, and that of the link between
 *  their data centres, so the best engines of each data centre are all that need be paired. */
choice_t choose_pair(sched_t *s, const request_t *r, bool keep_prefill, tc_time_t now);
/** Best decode engine that would read the prompt itself, if a request may do without a prefill engine by now. */
choice_t choose_local_prefill(sched_t *s, const request_t *r, tc_time_t now);
/** choose_pair, then choose_local_prefill, for a queued request; without a look where an earlier request of this pass
 * has shown that there is nothing. Call between two calls of begin_pass. */
choice_t choose_queued(sched_t *s, const request_t *r, tc_time_t now);
void begin_pass(sched_t *s);
/** Estimated ms until a request with this due time could start, judged by the queue ahead of it. */
double estimate_wait(sched_t *s, request_t *r, tc_time_t now);

/* ===== Reservations (sched_reserve.c) ===== */

/** Count a request at its decode engine, or no more. */
void count_decode(request_t *r);
void uncount_decode(request_t *r);
void reserve(sched_t *s, request_t *r, const choice_t *choice, tc_time_t now);
void end_prefill_work(request_t *r, tc_time_t now);
void end_transfer(request_t *r);
void end_local_prefill(request_t *r);
/** Give the pieces back; the engine has let go of them by itself. */
void release_decode(sched_t *s, request_t *r, tc_time_t now);
/** Give the pieces back only once the engine confirms a cancel. */
void cancel_decode(sched_t *s, request_t *r, tc_time_t now);
void cancel_prefill(sched_t *s, request_t *r, tc_time_t now);
void add_cancelling(sched_t *s, engine_t *e, const char *engine_id, uint32_t pieces, tc_time_t now);
void remove_cancelling(sched_t *s, cancelling_t *c);
void send_cancels(sched_t *s, tc_time_t now);

/* ===== Requests (sched_request.c) ===== */

/** Answer the request's waiting call; the caller fills in the result. */
msg_placed_t *answer_call(sched_t *s, request_t *r);
/** Answer a call that is not, or no longer, a request's own. */
sched_answer_t *refuse_call(sched_t *s, const char *id, sched_token_t token, const char *reason, double retry_ms);
request_t *request_create(sched_t *s, const char *id);
void request_free(sched_t *s, request_t *r);
void queue_insert(sched_t *s, request_t *r);
void queue_remove(sched_t *s, request_t *r);
void placed_add(sched_t *s, request_t *r);
/** The record of an entry box, made when first needed. */
owner_t *owner_get(sched_t *s, const char *box);
void owner_free(void *owner);
/** Whether an engine wants no calls of the box. */
bool owner_is_closed(const owner_t *owner, const engine_t *e, tc_time_t now);
/** Hand the request to another entry box, or to the same under another attempt. */
void set_owner(sched_t *s, request_t *r, const char *box, uint32_t attempt);
void refuse_queued(sched_t *s, request_t *r, const char *reason, double retry_ms);
/** The request ended by itself: its engines hold nothing more. */
void finish_request(sched_t *s, request_t *r, tc_time_t now);
/** Take a placed request off its engines; they are told to cancel if they may hold something. */
void withdraw(sched_t *s, request_t *r, bool engines_may_hold, tc_time_t now);

/* ===== Placing and leases (sched_place.c, sched_lease.c) ===== */

/** Grant what can be granted, in order of priority and due time. */
void dispatch(sched_t *s, tc_time_t now);
/** Stop rebuilding if every live entry box has reported and every engine was scanned at. */
void end_rebuild_early(sched_t *s, tc_time_t now);
/** Withdraw what nobody renewed in time. */
void expire_leases(sched_t *s, tc_time_t now);

/* ===== Actions ===== */

sched_action_t *add_action(sched_t *s, sched_action_kind_t kind);

#endif
