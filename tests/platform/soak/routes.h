/** @file routes.h
 * The soak's routes: one for each kind of request, and some that no request uses.
 */
#ifndef TRACKCOVE_TESTS_SOAK_ROUTES_H
#define TRACKCOVE_TESTS_SOAK_ROUTES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Kinds of requests, each with a route of its own. Streams of the last two may be resumed at another engine. The route
 * of KIND_RESUMABLE sets gap_aim_ms, so that a stall is soon detected; that of KIND_PATIENT does not. */
typedef enum { KIND_SAFE, KIND_ONCE, KIND_STREAM, KIND_RESUMABLE, KIND_PATIENT, KINDS } kind_t;

/** Time limit of the requests of all kinds, at least. */
enum { ROUTES_TIMEOUT_MS = 3000 };

/** First part of the path of each kind's requests. */
extern const char *const kind_paths[KINDS];

bool kind_is_stream(kind_t kind);
bool kind_is_resumable(kind_t kind);

/** The operator's configuration document with this version. Free with g_free(). */
char *routes_text(uint64_t version);

#endif
