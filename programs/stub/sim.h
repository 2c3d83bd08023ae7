/** @file sim.h
 * Stand-in model engines: time passes, memory fills, batches step, caches move.
 *
 * The parameters follow the users' brief and are fixed here, before any policy
 * is compared. sim_advance does all the work under one lock; handlers wait on a
 * request's condition.
 */
#ifndef TRACKCOVE_STUB_SIM_H
#define TRACKCOVE_STUB_SIM_H

/* ===== Dependencies ===== */

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <urcu/list.h>

#include "common/time.h"
#include "gen/schema.h"

/* ===== Constants: the engines' nature ===== */

enum {
    SIM_PIECE_TOKENS = 2000,
    SIM_PREFILL_BASE_MS = 20,        /* fixed cost of a prefill */
    SIM_HOLD_MS = 900,               /* a prefill result that does not move is lost after this: "under a second" */
    SIM_STEP_BASE_US = 18000,        /* decode step of an empty batch */
    SIM_STEP_PER_REQUEST_US = 1200,  /* and for each request in it: 42 ms at twenty */
    SIM_CACHE_PIECES = 64,           /* prompt prefix cache of an engine, in pieces */
    SIM_QUEUE_REQUESTS_MAX = 64,     /* waiting requests before an engine answers 429 */
    SIM_STREAM_RETENTION_MS = 30000, /* a finished stream can be fetched again for this long */
    SIM_CACHE_EVENTS_MAX = 512,      /* cache events kept */
    SIM_LOAD_SAMPLES = 64,           /* snapshots of load kept, one every SIM_LOAD_INTERVAL_MS */
    SIM_LOAD_INTERVAL_MS = 50,
    SIM_MODEL_WEIGHTS_MB = 16000,    /* weights of a model */
    SIM_WEIGHT_STORE_MB_PER_S = 8000 /* the weight store's rate, shared by all loads */
};

/* ===== Types ===== */

typedef enum {
    SIM_QUEUED,   /* waits for its turn (prefill) or for memory (decode) */
    SIM_PREFILL,  /* being computed */
    SIM_HELD,     /* prefill result waits to be fetched */
    SIM_TRANSFER, /* decode: KV cache on its way here */
    SIM_DECODE,   /* in the batch */
    SIM_DONE,
    SIM_CANCELLED,
    SIM_LOST /* its KV cache is gone, or the engine died */
} sim_state_t;

typedef struct sim_engine sim_engine_t;

/** Something that happened in a prefix cache. */
typedef struct {
    uint64_t seq, hash;
    bool stored; /* else removed */
    tc_time_t at;
} sim_event_t;

typedef struct sim_request {
    struct cds_list_head node; /* in its engine's list */
    char id[128];
    sim_engine_t *engine;
    sim_state_t state;
    bool decode;
    uint32_t priority;
    uint64_t arrival;
    uint64_t hash;
    uint32_t prompt_tokens, max_tokens, length, generated;
    uint32_t cached, computed, pieces;
    bool in_memory;
    uint64_t chain[64];
    uint32_t n_chain;
    double done_at; /* prefill: when it is computed, ms */
    double hold_until;
    struct sim_request *source; /* decode: the prefill result, referenced */
    bool transferring;          /* prefill result: a transfer has begun */
    bool transferred;           /* prefill result: arrived at a decode engine */
    double transfer_tokens_left;
    double transfer_start_at; /* not before, ms */
    double finished_at;
    int refs;
    pthread_cond_t changed;
} sim_request_t;

typedef struct {
    tc_time_t at;
    uint32_t queue, batch, pieces_free;
} sim_load_t;

/** Where the writing of a stream stops, on command. */
typedef enum {
    SIM_STOP_NONE,
    SIM_STOP_HALT, /* nothing more comes, the connection stays open */
    SIM_STOP_BREAK /* the connection ends */
} sim_stop_t;

/** How an engine writes its streams. */
typedef struct {
    uint32_t write_bytes;           /* bytes in one write; 0: whole events */
    uint32_t event_tokens_max;      /* most tokens in one event; 0: one */
    uint32_t diverge_from;          /* from this place on its tokens are others than those of its peers; 0: nowhere */
    sim_stop_t stop;                /* for one event: the next one that ends at stop_place or behind it */
    uint32_t stop_place, stop_byte; /* bytes of that event which are still written */
    uint32_t resume_count;          /* how often halted streams were told to go on */
} sim_stream_faults_t;

struct sim_engine {
    engine_cfg_t cfg;
    uint64_t incarnation;
    bool dead, leaving, leaving_listed;
    double refuse_until, stall_until, delay_ms, loading_until;
    double list_update_at; /* when the platform's list learns of leaving */
    struct cds_list_head requests;
    uint32_t pieces_used;
    sim_request_t *running; /* prefill */
    double step_end;        /* decode */
    uint64_t cache[SIM_CACHE_PIECES];
    double cache_used_at[SIM_CACHE_PIECES];
    sim_event_t events[SIM_CACHE_EVENTS_MAX];
    uint64_t n_events;
    sim_load_t loads[SIM_LOAD_SAMPLES];
    uint32_t n_loads;
    uint64_t order_term, order_index;
    uint32_t started; /* requests taken */
    uint32_t orders_applied, orders_rejected, orders_applied_stale;
    sim_stream_faults_t stream_faults;
    uint32_t stopped; /* streams that were stopped within an event */
};

/** Counts over the whole run. */
typedef struct {
    uint64_t prefilled, wasted, wasted_hold, wasted_cancel, wasted_dead, decoded, held_pieces;
} sim_counts_t;

typedef struct {
    pthread_mutex_t lock;
    config_t config;
    sim_engine_t *engines;
    uint32_t n_engines;
    uint64_t arrivals;
    sim_counts_t counts;
    GHashTable *runs;    /* base id -> number of times work began */
    GHashTable *answers; /* base id -> number of times tokens or a service's work began */
    uint32_t load_lag_ms, list_lag_ms;
    double next_load_at, store_free_at;
} sim_t;

/* ===== Public functions ===== */

sim_t *sim_create(const config_t *config, uint32_t load_lag_ms, uint32_t list_lag_ms);

/** Let time pass up to @p now (ms). Takes the lock. */
void sim_advance(sim_t *sim, double now);

sim_engine_t *sim_find_engine(const sim_t *sim, const char *name);

/** With the lock held: a new request on an engine; returned with one reference. NULL: the queue is full. */
sim_request_t *sim_submit(sim_t *sim, sim_engine_t *engine, const char *id, bool decode, const char *prompt,
                          size_t prompt_size, const char *salt, uint32_t max_tokens, uint32_t priority);

/** With the lock held: a request by id on an engine, referenced, or NULL. */
sim_request_t *sim_lookup(sim_engine_t *engine, const char *id);

/** With the lock held: begin to fetch @p source to decode request @p r when memory allows. */
void sim_set_source(sim_request_t *r, sim_request_t *source);

void sim_unref(sim_request_t *r);

/** With the lock held: stop a request and free what it holds. */
void sim_cancel(sim_t *sim, sim_request_t *r, double now);

/** With the lock held: the engine forgets everything. */
void sim_kill(sim_t *sim, sim_engine_t *engine, double now);

/** With the lock held: count work begun for an id ("ID.ATTEMPT"). */
void sim_count_run(GHashTable *table, const char *id);

/** With the lock held: cache events after @p since as the engine publishes them, late and with gaps: events younger
 * than the load reports' lag are not out yet, and @p loss in a hundred never come. @return how many were filled in */
uint32_t sim_cache_events(const sim_t *sim, const sim_engine_t *engine, uint64_t since, uint32_t loss,
                          sim_event_t *events, uint32_t room, double now);

/** With the lock held: what the engine reports, late. */
sim_load_t sim_load_report(const sim_t *sim, const sim_engine_t *engine, double now);

#endif
