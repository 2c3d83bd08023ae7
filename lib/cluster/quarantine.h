/** @file quarantine.h
 * Quarantine of requests that crash back ends. A request that crashes every back end that runs it is identified by its
 * third crash and is not sent to any back end after that. Until then it is placed apart from other suspects, so that
 * requests that only ran beside it are not blamed.
 *
 * When a back end crashes, the crash counts against every request that it was running. A run that completes clears its
 * request. When many back ends crash within a short time, the cause is one of their own (a power supply, a switch), and
 * the crashes count against no request. Many callers may send the same request, which then runs at several back ends
 * at once. If it is known to be sound, because a run completed within QUARANTINE_SOUND_MS before, crashes of runs that
 * overlap in time count once: these back ends may have a common cause, whereas a request that is the cause crashes the
 * back end of each run that begins after a crash. A request with QUARANTINE_CRASH_LIMIT crashes is held (quarantined)
 * for QUARANTINE_HOLD_MS; after that one more run may clear it. Before that the leader grants it a few trial runs: a
 * request that was held by mistake completes then and is released.
 *
 * A table of the second kind does the same for parts of prompts, by a key in place of the request's: one part may crash
 * every back end that begins to write on it, in requests of which no two are alike. A request that comes again counts
 * once against its parts, since it may be the cause itself. Of a crash only one part is the
 * cause, so a held part explains its crashes: they count against no other part, and against no request.
 *
 * Entry boxes detect crashes and report them to the leader, which adds them up, decides, and informs all boxes. A box
 * without a leader decides by its own data. Both use one of these tables. Which requests are held is passed on by every
 * process that knows it.
 *
 * No I/O, no clock.
 */
#ifndef TRACKCOVE_CLUSTER_QUARANTINE_H
#define TRACKCOVE_CLUSTER_QUARANTINE_H

/* ===== Dependencies ===== */

#include <stdbool.h>
#include <stdint.h>

#include "common/time.h"
#include "gen/schema.h"

/* ===== Constants ===== */

enum {
    /** Crashes after which a request is held. One may be chance, and so may two on a day on which back ends crash for
     *  other reasons; waiting for more than three would cost another back end and all requests that it runs. */
    QUARANTINE_CRASH_LIMIT = 3,
    /** Crashes that are at most this far apart are taken to have one cause: boxes detect such crashes within some ms of
     *  each other. */
    QUARANTINE_CORRELATION_MS = 50,
    /** Number of back ends that must crash within QUARANTINE_CORRELATION_MS for their requests not to be the cause:
     *  as many as a data centre has. Several bad requests that arrive together crash two or three; with 3 here one of
     *  them was sent on after its third crash. The price is more innocent requests held: with waves in which a fifth of
     *  5 to 20 engines crashes every 3 s, 106 of 64,005 are held, and 20 with 3 here. */
    QUARANTINE_CORRELATED_MIN = 6,
    /** Delay after which a crash is judged finally: by then all boxes have reported the crashes that came with it. */
    QUARANTINE_SETTLE_MS = 150,
    /** The same for a part of a prompt: by then all boxes have been told of it, and those that know it to be sound have
     *  cleared it. */
    QUARANTINE_PART_SETTLE_MS = 400,
    /** Time for which a request is held, from its newest crash. A request that keeps crashing back ends costs one back
     *  end in this time; one that is held by mistake gets its next run after it. */
    QUARANTINE_HOLD_MS = 10 * 60 * 1000,
    /** Trial runs of a held request, for all boxes together. Each may cost a back end; after three crashes as many more
     * are borne at most, and runs that were under way as it came to be held are among them. */
    QUARANTINE_TRIALS_MAX = 2,
    /** Time from the crash that had it held to its first trial run; to each further one QUARANTINE_TRIAL_FACTOR times
     * as long. */
    QUARANTINE_TRIAL_MS = 30 * 1000,
    QUARANTINE_TRIAL_FACTOR = 4,
    /** Time that a trial run is given. Until then no other one is granted, and callers are told to wait for its
       outcome. */
    QUARANTINE_TRIAL_RUN_MS = 3000,
    /** Time for which a completed run shows that the request was sound. */
    QUARANTINE_SOUND_MS = 10 * 60 * 1000,
    /** Time for which crashes are remembered. */
    QUARANTINE_RETENTION_MS = 60 * 60 * 1000,
    /** Requests in a table, some 250 bytes each. The one without a change for the longest time is evicted first. */
    QUARANTINE_REQUESTS_MAX = 1024,
    /** Suspects in the list for boxes, held ones first, then the newest: 3 KB in an answer. */
    QUARANTINE_SUSPECTS_MAX = 128
};

/* ===== Types ===== */

typedef struct quarantine quarantine_t;

/** A back end that crashed while it ran a request. */
typedef struct {
    uint64_t request;       /**< fingerprint of the request, or key of a part */
    uint64_t by;            /**< of a part: fingerprint of the request that had it; else 0 */
    const char *backend;    /**< id, borrowed */
    tc_time_t at;           /**< when it crashed */
    tc_time_t began;        /**< when the run began, the earliest of several; not later than at */
    unsigned lost;          /**< runs of any request that the box lost there, 0 when not known */
    bool is_sound;          /**< a run of the request, or one that began to write on the part, went well before */
    tc_time_t completed_at; /**< when the last such run did, if is_sound */
} quarantine_crash_t;

/* ===== Life ===== */

/** A table of requests. */
quarantine_t *quarantine_create(void);
/** A table of parts of prompts. @param requests table of requests, borrowed, whose crashes a held part explains; NULL
 *  for none */
quarantine_t *quarantine_create_parts(quarantine_t *requests);
void quarantine_destroy(quarantine_t *quarantine);

/* ===== Updates ===== */

/** Counts a crash, which is not later than @p now. Of a crash that is known, only what is new about it is taken over.
 *  @return whether it was not known and may count */
bool quarantine_add_crash(quarantine_t *q, const quarantine_crash_t *crash, tc_time_t now);
/** A run of the request completed at @p at, or began to write on the part: earlier crashes no longer count. No effect
 * on a held request; a part that is held is released when @p at is later than its newest crash. */
void quarantine_clear(quarantine_t *q, uint64_t request, tc_time_t at);
/** Another process has held the request since @p since: holds it here as well. */
void quarantine_hold(quarantine_t *q, uint64_t request, tc_time_t since, tc_time_t now);
/** The same with the number of its trial runs. */
void quarantine_apply_held(quarantine_t *q, const request_age_t *held, tc_time_t now);

/* ===== Trial runs ===== */

/** Grants a trial run, at the leader. @param after set to the time until the next one may be granted, ms;
 *  TC_TIME_NEVER: there is none before the hold ends @return whether it was granted */
bool quarantine_take_trial(quarantine_t *q, uint64_t request, tc_time_t now, tc_time_t *after);
/** @return time until a box may ask the leader for a trial run of a held request, 0: now; TC_TIME_NEVER: not before the
 *  hold ends */
tc_time_t quarantine_trial_wait_ms(quarantine_t *q, uint64_t request, tc_time_t now);
/** The leader has denied a box a trial run: it does not ask again for that time. */
void quarantine_delay_trial(quarantine_t *q, uint64_t request, tc_time_t wait, tc_time_t now);
/** A trial run completed at @p at, later than the newest crash: the request is released, here and by reports elsewhere.
 * No effect on one that is not held. */
void quarantine_release(quarantine_t *q, uint64_t request, tc_time_t at);

/* ===== Queries ===== */

/** Whether nothing is suspected or held, by this table or by the leader's list. */
bool quarantine_is_empty(const quarantine_t *q);
/** @return number of crashes that count against the request, at most QUARANTINE_CRASH_LIMIT, which means held */
unsigned quarantine_crash_count(quarantine_t *q, uint64_t request, tc_time_t now);
/** @return time for which the request is still held, at least 1 ms; 0 when it is not held */
tc_time_t quarantine_remaining_ms(quarantine_t *q, uint64_t request, tc_time_t now);
/** @return a number that grows whenever a request becomes held */
uint64_t quarantine_version(const quarantine_t *q);
/** @return the held requests, free with free(); their number in @p n */
request_age_t *quarantine_list_held(quarantine_t *q, uint32_t *n, tc_time_t now);

/** Judges crashes that have settled and drops old entries. Call regularly. */
void quarantine_tick(quarantine_t *q, tc_time_t now);

/* ===== From box to leader ===== */

/** Fills in the changes that the leader has not confirmed, as far as one message goes. Free with codec_free. */
void quarantine_fill_report(quarantine_t *q, quarantine_news_t *news, tc_time_t now);
/** The leader of @p term has answered the report with the changes that were filled in last. When it is another term
 * than before, that leader has to be sent everything again. @return whether there are more changes to send */
bool quarantine_confirm_report(quarantine_t *q, uint64_t term);
/** Applies changes from another process. @param on_crash called for each crash that was not known, may be NULL */
void quarantine_apply_changes(quarantine_t *q, const quarantine_news_t *news, tc_time_t now,
                              void (*on_crash)(void *arg, const char *backend, tc_time_t at), void *arg);

/* ===== From leader to the other control boxes ===== */

/** @return sequence number of the newest change; each change increases it */
uint64_t quarantine_seq(const quarantine_t *q);
/** Fills in the changes after sequence number @p after, 0 for all, as far as one message goes. Free with codec_free.
 *  @return sequence number of the last change filled in: pass it as @p after for the next message */
uint64_t quarantine_fill_changes(const quarantine_t *q, uint64_t after, quarantine_news_t *news, tc_time_t now);

/* ===== From leader to box ===== */

/** @return the list of suspects for boxes, borrowed until the next call. @param hash of the list, never 0 */
const suspect_request_t *quarantine_suspects(quarantine_t *q, uint32_t *n, uint64_t *hash, tc_time_t now);
/** Replaces the list of suspects by the one from a leader. Requests that are held stay held if they are not in it. */
void quarantine_apply_suspects(quarantine_t *q, const suspect_request_t *list, uint32_t n, uint64_t hash,
                               tc_time_t now);
/** @return hash of the list applied last, 0 before the first */
uint64_t quarantine_suspects_hash(const quarantine_t *q);

#endif
