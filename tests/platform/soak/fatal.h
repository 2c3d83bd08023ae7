/** @file fatal.h
 * The soak's requests that end every worker that begins to run them, and what workers see beyond the first arrival of a
 * request: both are checked against what the boxes promise of them.
 */
#ifndef TRACKCOVE_TESTS_SOAK_FATAL_H
#define TRACKCOVE_TESTS_SOAK_FATAL_H

#include "platform/soak/world.h"

/** Callers of fatal requests, who come again and again at any box. */
typedef struct fatal_callers fatal_callers_t;

fatal_callers_t *fatal_create(world_t *world, web_client_t *client);
void fatal_destroy(fatal_callers_t *callers);
/** Send what is due, and take what came. */
void fatal_drive(fatal_callers_t *callers);
/** From now on no box is harmed. */
void fatal_end_faults(fatal_callers_t *callers);
/** Whether it has been calm for long enough to judge. */
bool fatal_is_checked(const fatal_callers_t *callers);
/** How many workers ended in all, and after the third of each request. */
void fatal_count(const fatal_callers_t *callers, unsigned *ended, unsigned *late);

/** The fatal request with that body, or NULL. */
struct fatal *fatal_find(world_t *world, const char *body);
/** It reached a worker. */
void fatal_arrived(struct fatal *fatal);
/** A worker begins to run it, and ends. */
void fatal_started(struct fatal *fatal);

/** A caller sends a request for the service, "app" or "lm". */
void arrivals_request(world_t *world, bool lm);
/** A request reached a worker. @param prefilled it read the prompt, and no more */
void arrivals_record(world_t *world, bool lm, const char *id, bool prefilled);
/** No window of ten seconds holds more extras than its requests, or those of a window before, allow. */
void arrivals_check(world_t *world);

#endif
