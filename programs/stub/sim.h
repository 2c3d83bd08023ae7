/** @file sim.h
 * Simulated model engines: prefill, decode batches, KV cache memory, transfers and prefix caches over time.
 *
 * The parameters follow the users' requirements and are the same for all
 * policies that are compared. sim_advance does all the work under one lock;
 * handlers wait on a request's condition.
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

/* ===== Constants: engine parameters ===== */

enum {
    SIM_PIECE_TOKENS = 2000,
    SIM_PREFILL_BASE_MS = 20,       /* fixed part of a prefill's duration */
    SIM_HOLD_MS = 900,              /* an unfetched prefill result is lost after this; the users say "under a second" */
    SIM_STEP_BASE_US = 18000,       /* decode step of an empty batch */
    SIM_STEP_PER_REQUEST_US = 1200, /* added per request in the batch: 42 ms in all at twenty */
    SIM_CACHE_PIECES = 64,          /* prompt prefix cache of an engine, in pieces */
    SIM_QUEUE_REQUESTS_MAX = 64,    /* waiting requests from which on an engine answers 429 */
    SIM_STREAM_RETENTION_MS = 30000, /* a finished stream can be resumed for this long */
    SIM_CACHE_EVENTS_MAX = 512,      /* cache events kept per engine */
    SIM_LOAD_SAMPLES = 64,           /* load samples kept per engine, one every SIM_LOAD_INTERVAL_MS */
    SIM_LOAD_INTERVAL_MS = 50,
    SIM_STALL_MS = 20,               /* a pass of the clock later than this costs each engine a decode step */
    SIM_LATE_MS = 100,               /* a handler this late has stalled: an entry waits 350 ms for a first token */
    SIM_MODEL_WEIGHTS_MB = 16000,    /* weights of a model */
    SIM_WEIGHT_STORE_MB_PER_S = 8000 /* throughput of the weight store, which loads one model at a time */
};

/* ===== Types ===== */

typedef enum {
    SIM_QUEUED,   /* waits for the engine (prefill) or for memory (decode) */
    SIM_PREFILL,  /* being computed */
    SIM_HELD,     /* the prefill result waits to be fetched */
    SIM_TRANSFER, /* decode: the KV cache is being fetched */
    SIM_DECODE,   /* in the batch */
    SIM_DONE,
    SIM_CANCELLED,
    SIM_LOST /* its KV cache was dropped, or the engine died */
} sim_state_t;

typedef struct sim_engine sim_engine_t;

/** A change of a prefix cache. */
typedef struct {
    uint64_t seq, hash;
    bool stored; /* false: removed */
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
    double done_at; /* prefill: end of the computation, ms */
    double hold_until;
    struct sim_request *source; /* decode: the prefill result, with a reference */
    bool transferring;          /* prefill result: a transfer has started */
    bool transferred;           /* prefill result: arrived at a decode engine */
    double transfer_tokens_left;
    double transfer_start_at; /* ms */
    double finished_at;
    uint32_t awaited;    /* number of tokens for which a handler waits; 0: none waits */
    double unread_since; /* when the result that a handler waits for was made, ms; 0: none */
    int refs;
    pthread_cond_t changed;
} sim_request_t;

typedef struct {
    tc_time_t at;
    uint32_t queue, batch, pieces_free;
} sim_load_t;

/** Injected interruption of a stream. */
typedef enum {
    SIM_STOP_NONE,
    SIM_STOP_HALT, /* writing pauses, the connection stays open */
    SIM_STOP_BREAK /* the connection is closed */
} sim_stop_t;

/** How an engine writes its streams; zero: without faults. */
typedef struct {
    uint32_t write_bytes;      /* size of one write; 0: whole events */
    uint32_t event_tokens_max; /* 0: one */
    uint32_t diverge_from;     /* token position from which on the tokens differ from those of other engines; 0: none */
    sim_stop_t stop;           /* applies once, to the next event that ends at stop_place or later */
    uint32_t stop_place, stop_byte; /* stop_byte: bytes of that event that are written before the stop */
    uint32_t resume_count;          /* how often halted streams were resumed */
} sim_stream_faults_t;

struct sim_engine {
    engine_cfg_t cfg;
    uint64_t incarnation;
    bool dead, leaving, leaving_listed;
    double refuse_until, stall_until, delay_ms, loading_until;
    double list_update_at; /* when the platform's list shows a change of leaving, ms */
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
    uint32_t started; /* accepted requests */
    uint32_t orders_applied, orders_rejected, orders_applied_stale;
    sim_stream_faults_t stream_faults;
    uint32_t stopped; /* streams that SIM_STOP_HALT or SIM_STOP_BREAK interrupted */
};

/** Totals since the start; prefilled, wasted and decoded in tokens. */
typedef struct {
    uint64_t prefilled, wasted, wasted_hold, wasted_cancel, wasted_dead, decoded, held_pieces;
    /** Time in which the stub's clock (SIM_STALL_MS) or one of its handlers (SIM_LATE_MS) was late, ms. */
    double stalled_ms;
} sim_counts_t;

typedef struct {
    pthread_mutex_t lock;
    config_t config;
    sim_engine_t *engines;
    uint32_t n_engines;
    uint64_t arrivals;
    sim_counts_t counts;
    GHashTable *runs;    /* id without attempt -> number of prefills or service calls started */
    GHashTable *answers; /* id without attempt -> number of decodes or service calls started */
    uint32_t load_lag_ms, list_lag_ms;
    double next_load_at, store_free_at;
    double stalled_until; /* end of the last stall that was counted, ms */
} sim_t;

/* ===== Public functions ===== */

sim_t *sim_create(const config_t *config, uint32_t load_lag_ms, uint32_t list_lag_ms);

/** A handler takes the results of a request. Any time since the one it waited for was made is the machine's delay. Lock
 *  held. */
void sim_take_results(sim_t *sim, sim_request_t *r, double now);

/** Advances the simulation to @p now (ms). Takes the lock. */
void sim_advance(sim_t *sim, double now);

sim_engine_t *sim_find_engine(const sim_t *sim, const char *name);

/** Queues a request on an engine. Lock held. @return the request with a reference, or NULL if the queue is full */
sim_request_t *sim_submit(sim_t *sim, sim_engine_t *engine, const char *id, bool decode, const char *prompt,
                          size_t prompt_size, const char *salt, uint32_t max_tokens, uint32_t priority);

/** Finds a request by id on an engine. Lock held. @return the request with a reference, or NULL */
sim_request_t *sim_lookup(sim_engine_t *engine, const char *id);

/** Sets the prefill result that decode request @p r fetches once it has memory. Lock held. */
void sim_set_source(sim_request_t *r, sim_request_t *source);

void sim_unref(sim_request_t *r);

/** Cancels a request and frees its memory. Lock held. */
void sim_cancel(sim_t *sim, sim_request_t *r, double now);

/** Drops all requests and the prefix cache of an engine. Lock held. */
void sim_kill(sim_t *sim, sim_engine_t *engine, double now);

/** Counts an execution of @p id, of the form "ID.ATTEMPT", under ID. Lock held. */
void sim_count_run(GHashTable *table, const char *id);

/** Copies the cache events after sequence number @p since that the engine has published: events younger than the lag of
 * load reports are withheld, and @p loss per cent are lost. Lock held. @return number of events, at most @p room */
uint32_t sim_cache_events(const sim_t *sim, const sim_engine_t *engine, uint64_t since, uint32_t loss,
                          sim_event_t *events, uint32_t room, double now);

/** The newest load sample that is at least the reporting lag old. Lock held. */
sim_load_t sim_load_report(const sim_t *sim, const sim_engine_t *engine, double now);

#endif
