/** @file slot_pool_internal.h
 * Private types and functions of the slot pool: slot_pool.c (calls and time), slot_pool_queue.c (order of waiting
 * requests), slot_pool_admit.c (rates, and who is refused), slot_pool_backends.c (back ends and tickets),
 * slot_pool_boxes.c (boxes and unticketed requests), slot_pool_view.c (totals, view of admission), slot_pool_check.c
 * (invariants).
 */
#ifndef TRACKCOVE_ADMISSION_SLOT_POOL_INTERNAL_H
#define TRACKCOVE_ADMISSION_SLOT_POOL_INTERNAL_H

/* ===== Dependencies ===== */

#include <assert.h>
#include <glib.h>
#include <urcu/list.h>

#include "admission/fair_share.h"
#include "admission/slot_pool.h"
#include "backend/load_reading.h"
#include "backend/loss_evidence.h"
#include "backend/spoil_record.h"

#ifdef NDEBUG
#error "the invariants are asserted in every build: do not define NDEBUG"
#endif

/* ===== Constants ===== */

/** Slots of a back end that neither the list nor a reading states. */
#define SLOT_DEFAULT_SLOTS 6
/** Service time before any call was answered, ms. */
#define SLOT_SERVICE_DEFAULT_MS 100
/** Longest usual delay of a message between a box and the leader: a report may not include the request of a younger
 * ticket, and may have been made after an end that arrives within this. A round trip takes at most 3 ms; the rest is
 * for busy processes. */
#define SLOT_TRANSIT_MS 50
/** Two calls of the same box and id belong to the same request if the box received it at the same time, but for this:
 *  callers choose ids, and may use one twice. Less than the 220 ms after which a box repeats a call. */
#define SLOT_SAME_MS 200
/** The same for a repeated call: as long as a box takes a silent leader for alive, and so repeats its calls. */
#define SLOT_STALL_MS 700
/** Reports for which a count of unticketed requests that a report neither confirms nor excludes is kept. */
#define SLOT_CARRY_REPORTS 2
/** Time constant of the measured rates, ms: half the time between changes of a back end's pace would follow noise. */
#define SLOT_RATE_MS 500.0
/** Time constant of the arrivals by which late requests are judged, ms: as long as a wave of demand. They have no
 * target to miss and wait for what is left over when a burst of some seconds ends; by the arrivals of the last half
 * second nothing is ever left over. An overload that lasts longer leaves nothing by this average either, and they are
 *  refused at once. */
#define SLOT_WAVE_MS 15000.0
/** Calls in a row without an answer, those of boxes in doubt left out, after which a back end gets one request at a
 * time: one that has ended and is still listed fails at once, so it would always have free slots and attract most
 * requests. */
#define SLOT_LOST_MAX 3
/** Interval between these requests, ms. The platform's list shows the end of a back end within about a second. */
#define SLOT_PROBE_MS 200
/** Factors of the expected service time: by the first a request is expected to end when it is weighed against others
 * for a slot, by the second when it is decided whether its turn comes in time. With service times of 30 to 90 ms at a
 * load of 1.5, factors of 1 gave 58 % of the requests an answer in time and 9 % a late one, which takes the same slot;
 * these gave 65 and 1.6 %, larger ones no more, and refused more at a load below 1. */
#define SLOT_GRANT_MARGIN 1.25
#define SLOT_REACH_MARGIN 1.5
/** Part of the capacity, below which what more urgent requests leave over counts as nothing. */
#define SLOT_LEFTOVER_MIN 0.05
/** Shortest Retry-After without a schedule, ms. */
#define SLOT_RETRY_MIN_MS 200
/** Longest Retry-After without a schedule, ms. */
#define SLOT_RETRY_MAX_MS 60000
/** Advantage that a back end in the box's data centre has, as a part of the expected completion. A round trip to
 *  another data centre takes up to 2.8 ms, service times are 30 ms and more. */
#define SLOT_SAME_DC 0.05
/** Weight of a back end's used slots among ones that are equally fast, likewise. */
#define SLOT_SPREAD 0.02

#define SLOT_REASON_NOT_IN_TIME "no slot in time"
#define SLOT_REASON_YIELDED "slots are short, another workspace uses less"
#define SLOT_REASON_PATIENCE "no slot before the request's time was over"
#define SLOT_REASON_FULL "the queue is full"
#define SLOT_REASON_NO_BACKEND "no back end is left for it"
#define SLOT_REASON_BOX_SILENT "its box does not report"

/* ===== Types ===== */

/** Average number of events per ms, with exponentially decaying weights. */
typedef struct {
    double per_ms;
    tc_time_t at;
} slot_rate_t;

/** Urgency of queued requests of one class: tiers are served in this order. */
typedef enum {
    TIER_IN_TIME, /**< can meet the target, also behind those that are ahead of it */
    TIER_YIELDED, /**< could meet it, but had to yield to requests of other workspaces */
    TIER_LATE,    /**< cannot meet it */
    TIER_COUNT
} slot_tier_t;

/** How a ticket ends. */
typedef enum {
    SLOT_END_DONE,   /**< its call was sent and has ended */
    SLOT_END_UNUSED, /**< its call was never sent */
    SLOT_END_UNKNOWN /**< by time, or its box is silent or asks again */
} slot_end_t;

typedef struct slot_request slot_request_t;

/** Queued requests of one class that must not get the same back ends. */
typedef struct {
    char *tried; /* key: sorted ids, each followed by a line break */
    char **ids;  /* the same, NULL-terminated */
    guint ids_n;
    GSequence *tiers[TIER_COUNT]; /* of slot_request_t */
} slot_group_t;

/** Requests of one workspace and class in TIER_IN_TIME, by due time. */
typedef struct {
    GRefString *workspace;
    GSequence *requests;
} slot_space_t;

/** Requests of one priority and rank. */
typedef struct {
    uint32_t priority, rank;
    GHashTable *groups; /* of slot_group_t by tried */
    GHashTable *spaces; /* of slot_space_t by workspace */
    uint32_t counts[TIER_COUNT];
    slot_rate_t arrivals[TIER_LATE]; /* into the tiers before that one, also of those that were granted at once */
    slot_rate_t wave;                /* into these tiers, averaged over SLOT_WAVE_MS */
} slot_class_t;

/** A back end of the service. */
typedef struct {
    struct cds_list_head node; /* in pool->backends */
    char id[CODEC_STR_SIZE];
    GRefString *dc;
    uint32_t listed_slots;
    uint32_t connections; /* that it accepts, as the newest call states; 0: no limit */
    bool listed, draining;
    load_estimate_t estimate;
    uint32_t tickets, unticketed;
    uint32_t lost;                 /* calls in a row without an answer, see pool->losses */
    tc_time_t probe_at;            /* when it may get the next request, with SLOT_LOST_MAX of them */
    spoil_record_t spoiled;        /* while it is left, it gets a request only if there is no other back end */
    uint64_t allowed;              /* slots and extra tickets at the latest grant: only grants add tickets */
    tc_time_t refused_at;          /* for slot_depth_extra */
    struct cds_list_head requests; /* holding a ticket, in order of their grants */
} slot_backend_t;

/** A box that has reported, or has requests here. */
typedef struct {
    char name[CODEC_STR_SIZE];
    tc_time_t seen;                /* last report; before the first one, its first request */
    bool reported;                 /* since this pool was created */
    struct cds_list_head requests; /* queued or holding a ticket */
    GHashTable *places;            /* of slot_place_t by slot_backend_t */
} slot_box_t;

/** What one box has at one back end. */
typedef struct {
    slot_box_t *box;
    slot_backend_t *backend;
    struct cds_list_head requests; /* holding tickets */
    uint32_t tickets, unticketed;
    /* the latest report: requests, and how many of them may, and must, have been ones with tickets */
    uint32_t reported, most, certain;
    tc_time_t reported_at;
    uint32_t before;  /* unticketed requests before that report */
    uint32_t carried; /* reports in a row by which the unticketed ones were neither confirmed nor excluded */
} slot_place_t;

/** A request that waits, or holds a ticket. */
struct slot_request {
    char *id;
    slot_box_t *box;
    struct cds_list_head box_node; /* in box->requests */
    GRefString *workspace, *dc;
    slot_token_t token; /* of its call, while queued */
    uint64_t fingerprint;
    tc_time_t received;    /* by its box, as its first call states */
    tc_time_t arrived;     /* when it was queued */
    tc_time_t due, ends;   /* latency target, end of its patience */
    tc_time_t caller_ends; /* when its caller gives up for good */
    GSequenceIter *by_end; /* in pool->waiting or pool->holding */
    bool holds;            /* a ticket; else it is queued */
    /* while queued */
    slot_class_t *class;
    slot_group_t *group;
    slot_space_t *space; /* in TIER_IN_TIME, else NULL */
    slot_tier_t tier;
    GSequenceIter *in_tier, *in_space;
    uint64_t order; /* of arrival */
    return_kind_t kind;
    /* while it holds a ticket */
    uint64_t ticket;
    slot_place_t *place;
    bool in_most, in_certain;   /* counted in these of its place */
    tc_time_t granted, started; /* started: a slot was free for it; TC_TIME_NEVER: not yet */
    struct cds_list_head backend_node, place_node;
};

struct slot_pool {
    char service[CODEC_STR_SIZE];
    returns_t *returns; /* borrowed, or NULL */
    fair_share_t *share;
    loss_evidence_t *losses;
    tc_time_t created, now;
    bool rebuilding, suspended;
    bool listed;       /* a list of back ends was received */
    bool has_unlisted; /* some back ends are not in it, but have requests */
    uint32_t expected_boxes, reported_boxes;
    uint32_t connections; /* of each back end */
    struct cds_list_head backends;
    uint32_t usable; /* back ends that may get new requests */
    GHashTable *backends_by_id;
    GHashTable *boxes;            /* of slot_box_t by name */
    GHashTable *requests;         /* of slot_request_t by box and id, the newest of each */
    GHashTable *tickets;          /* of slot_request_t by ticket */
    GSequence *classes;           /* of slot_class_t by priority and rank */
    GSequence *waiting, *holding; /* of slot_request_t by the end of their patience */
    GQueue answers;               /* of slot_answer_t */
    uint64_t next_ticket, next_order;
    uint32_t queued;
    double service_ms;    /* moving average of all answered calls; fallback for a back end without any */
    slot_depth_t depth;   /* delays of its tickets */
    double delay_ms;      /* of it, as of the latest dispatch */
    slot_rate_t ends;     /* tickets that ended */
    slot_rate_t capacity; /* ends while requests waited; starts with the expected rate */
    bool full;            /* no slot was free after the latest dispatch */
    bool saturated;       /* requests wait and no slot is free */
    double best_ms;       /* shortest expected service time, see slot_best_ms */
    tc_time_t best_at;
    double expected_per_ms; /* ends that slots and service times allow, as of expected_at */
    double usable_slots;    /* of these, likewise */
    double backlog;         /* requests beyond the slots of their back ends, likewise */
    tc_time_t expected_at;
    tc_time_t ticked; /* last full pass of slot_pool_tick */
    uint64_t granted, refused, expired, unused;
};

/* ===== Rates (slot_pool_admit.c) ===== */

/** @param window_ms time constant, the same in all calls for one rate */
void slot_rate_add(slot_rate_t *rate, double window_ms, tc_time_t now);
double slot_rate_get(const slot_rate_t *rate, double window_ms, tc_time_t now);
/** Ends per ms that the pool can reach: expected from slots and service times, and once requests wait, as measured. */
double slot_capacity(slot_pool_t *pool, tc_time_t now);
/** Notes whether requests wait while no slot is free: only then the rate of ends shows the capacity. */
void slot_note_saturation(slot_pool_t *pool, tc_time_t now);

/* ===== Who is refused (slot_pool_admit.c) ===== */

/** Decides about a request that has just been queued and was not granted: others or it may have to yield, or it is
 *  refused. It may be freed. */
void slot_admit(slot_pool_t *pool, slot_request_t *r, tc_time_t now);
/** Moves requests that cannot meet their targets any more to the late ones, and refuses those that cannot be served.
 *  Costs what it moves and refuses. */
void slot_refresh(slot_pool_t *pool, tc_time_t now);
/** Refuses what the rate does not reach in time, from the ends of all queues, and what may use no back end any more. */
void slot_trim(slot_pool_t *pool, tc_time_t now);

/** Tells the schedule of returns how many slots come free beyond what new requests take. */
void slot_set_return_rate(slot_pool_t *pool, tc_time_t now);

/** Removes a request from the queue and answers its call with a refusal. */
void slot_refuse(slot_pool_t *pool, slot_request_t *r, const char *reason, tc_time_t now);
/** Adds an answer to the call of a request. */
slot_answer_t *slot_answer(slot_pool_t *pool, const slot_request_t *r, tc_time_t now);

/* ===== Queue (slot_pool_queue.c) ===== */

gint slot_compare_ends(gconstpointer a, gconstpointer b, gpointer unused);
gint slot_compare_classes(gconstpointer a, gconstpointer b, gpointer unused);
slot_class_t *slot_class_get(slot_pool_t *pool, uint32_t priority, uint32_t rank);
void slot_class_free(gpointer class);
/** Frees classes without requests whose rate of arrivals has decayed. */
void slot_queue_clean(slot_pool_t *pool, tc_time_t now);

/** Sets class and group of a request that is not in the queue. */
void slot_queue_assign(slot_pool_t *pool, slot_request_t *r, const msg_slot_take_t *take);
/** Queues a request with class, group and tier set. */
void slot_queue_insert(slot_pool_t *pool, slot_request_t *r);
void slot_queue_remove(slot_pool_t *pool, slot_request_t *r);
void slot_queue_move(slot_pool_t *pool, slot_request_t *r, slot_tier_t tier);
/** Whether @p r is served after @p other of the same class and tier. */
bool slot_goes_after(const slot_request_t *r, const slot_request_t *other);
/** Number of requests that are served before a queued one. */
uint32_t slot_queue_ahead(const slot_pool_t *pool, const slot_request_t *r);
/** First request in order that may get one of the back ends with room; NULL for none. */
slot_request_t *slot_queue_first(const slot_pool_t *pool, slot_backend_t *const *free_ones, guint n);
/** First request of the tiers up to @p last of a class that may get a back end and is due at @p due or later; NULL for
 *  none. */
slot_request_t *slot_queue_first_due(const slot_class_t *class, slot_tier_t last, const slot_backend_t *b,
                                     tc_time_t due);
/** Last request of a tier of a class; NULL for none. */
slot_request_t *slot_queue_last(const slot_class_t *class, slot_tier_t tier);
/** First request of a tier of a group; NULL for none. */
slot_request_t *slot_group_first(const slot_group_t *group, slot_tier_t tier);
bool slot_group_excludes(const slot_group_t *group, const slot_backend_t *b);

/* ===== Back ends and tickets (slot_pool_backends.c) ===== */

/** Slots, as far as it accepts connections for them. */
uint32_t slot_backend_slots(const slot_backend_t *b);
/** Sets the connections that each back end accepts; 0: no limit. */
void slot_pool_set_connections(slot_pool_t *pool, uint32_t connections);
/** Whether new requests may be sent there at all. */
bool slot_backend_is_usable(const slot_backend_t *b);
/** Whether its calls end without answers. */
bool slot_backend_is_failing(const slot_backend_t *b);
/** Whether it gets nothing now since it spoils its answers, and there is another one. */
bool slot_backend_is_left(const slot_pool_t *pool, const slot_backend_t *b, tc_time_t now);
/** Tickets that it may get beyond its slots, by the delay as of the latest dispatch. */
uint32_t slot_backend_extra(const slot_pool_t *pool, const slot_backend_t *b, tc_time_t now);
/** Whether one more ticket may be given out. */
bool slot_backend_has_room(const slot_pool_t *pool, const slot_backend_t *b, tc_time_t now);
/** Expected service time at the present pace, ms. */
double slot_backend_service_ms(const slot_pool_t *pool, const slot_backend_t *b, tc_time_t now);
/** Shortest expected service time of the usable back ends, ms. */
double slot_best_ms(slot_pool_t *pool, tc_time_t now);
/** Expected completion of one more request, ms from now. */
double slot_completion_ms(const slot_pool_t *pool, const slot_backend_t *b, tc_time_t now);
/** Among back ends with room, the one with the earliest expected completion; NULL if the request may get none. */
slot_backend_t *slot_choose(const slot_pool_t *pool, const slot_request_t *r, slot_backend_t *const *free_ones, guint n,
                            tc_time_t now);
/** Frees a back end that is not listed and holds nothing. */
void slot_backend_release(slot_pool_t *pool, slot_backend_t *b);
/** The same for all back ends. */
void slot_release_unlisted(slot_pool_t *pool);

/** Gives a queued request a ticket for a back end with room, and answers its call. */
void slot_grant(slot_pool_t *pool, slot_request_t *r, slot_backend_t *b, tc_time_t now);
/** Ends the ticket of a request, and frees the request. */
void slot_end_ticket(slot_pool_t *pool, slot_request_t *r, slot_end_t how, tc_time_t now);

/* ===== Boxes (slot_pool_boxes.c) ===== */

/** A box that became silent is ended, and starts anew. */
slot_box_t *slot_box_get(slot_pool_t *pool, const char *name, tc_time_t now);
void slot_box_free(gpointer box);
/** Ends everything that a silent box has, and forgets it. */
void slot_box_end(slot_pool_t *pool, slot_box_t *box, tc_time_t now);
slot_place_t *slot_place_get(slot_box_t *box, slot_backend_t *b);
/** Updates the unticketed requests of a place when a ticket ends. */
void slot_place_apply_end(slot_place_t *place, const slot_request_t *r, slot_end_t how, tc_time_t now);

/* ===== Dispatch (slot_pool.c) ===== */

/** Frees a request that is neither queued nor holds a ticket. */
void slot_request_free(slot_pool_t *pool, slot_request_t *r);
/** Withdraws the queued request that @p done names. */
void slot_withdraw(slot_pool_t *pool, const msg_slot_done_t *done, tc_time_t now);
/** Whether tickets may be given out. */
bool slot_may_grant(const slot_pool_t *pool);
/** Grants what fits. Costs what it grants, times the back ends with room. */
void slot_dispatch(slot_pool_t *pool, tc_time_t now);

#endif
