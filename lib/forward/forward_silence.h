/** @file forward_silence.h
 * Runs of streams that are silent. Part of the forwarding module, as forward_internal.h, which includes it.
 *
 * The engine of a silent run may be sound and go on soon, so the run stays open until another one has begun. The
 * request then has two calls: the silent one, kept here, and the one in forward.call, which prepares or begins the
 * other run. It goes on with the silent run when that brings an event before the request was sent to another decode
 * engine, or when what was to replace it fails for whatever reason.
 */
#ifndef TRACKCOVE_FORWARD_FORWARD_SILENCE_H
#define TRACKCOVE_FORWARD_FORWARD_SILENCE_H

/* ===== Dependencies ===== */

#include "web/web_client.h"

/* ===== Types ===== */

typedef struct forward forward_t;
typedef struct backend_call backend_call_t;

/* ===== Functions ===== */

/** Arms the silence timeout of the run in progress, if another one may follow it. Call when it begins and with each of
 *  its events. */
void silence_watch(forward_t *f);

/** Whether the call is the kept silent run of its request. */
bool silence_keeps(const backend_call_t *call);
/** Bytes of the kept run. May free the request. */
void silence_on_data(backend_call_t *call, const char *data, size_t size);
/** The kept run has ended. May free the request. */
void silence_on_end(backend_call_t *call, web_result_t how);

/** The kept run has exceeded a limit, which its call names: ends it. */
void silence_give_up(backend_call_t *call);

/** The request is sent to another engine, which is to begin a run. */
void silence_on_sent(forward_t *f);
/** The other engine has begun: it sent the head of its answer. */
void silence_on_begun(forward_t *f);
/** The call in progress ends. */
void silence_on_call_end(const backend_call_t *call);
/** The run in progress has brought an event: the kept one is no longer needed. */
void silence_on_replaced(forward_t *f);

/** Goes on with the kept run instead of failing. May free the request. @param why what was to replace it failed
 *  @return false, with nothing done, when there is none */
bool silence_resume(forward_t *f, const char *why);
/** The same, only if the kept run has brought an event meanwhile. */
bool silence_resume_if_heard(forward_t *f, const char *why);
/** Ends the kept run, if any: the request ends. */
void silence_end(forward_t *f, const char *why);
/** Excludes the engine of the kept run from the calls that are to replace it. */
void silence_exclude(forward_t *f);

#endif
