/** @file plain.h
 * The soak's plain workers: each processes a few requests at once, states its load and its pace, and is slow for a
 * while now and then, since it shares its machine with other programs. With this the boxes ask the leader for slots.
 */
#ifndef TRACKCOVE_TESTS_SOAK_PLAIN_H
#define TRACKCOVE_TESTS_SOAK_PLAIN_H

#include "platform/soak/world.h"

/** Header line for the worker's answers, or "". Free with g_free(). */
char *plain_header(struct worker *worker);
/** Delays the worker's answer by the time that the request takes, and counts the requests that it has while control is
 * in touch. */
void plain_answered(struct worker *worker, lab_reply_t *answer);
/** Checks that no worker had more requests while control was in touch than its slots, the extra ones that the leader
 *  allowed when it granted slots there, by its log, and two that boxes sent by their own choice.
 *  @param since wall clock, ms: start of the leader's lines that count */
void plain_check(world_t *world, int64_t since);
/** Whether the log of a control program tells of a lease that lapsed. @param since wall clock, ms */
bool plain_has_lapsed(const world_t *world, int64_t since);
/** Drops the requests of a worker that has crashed. */
void plain_restart(struct worker *worker);

#endif
