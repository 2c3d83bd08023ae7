/** @file mix.h
 * What callers ask: the two users' kinds of request, in their shares.
 */
#ifndef TRACKCOVE_LOAD_MIX_H
#define TRACKCOVE_LOAD_MIX_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** One kind of request. */
typedef struct {
    const char *name;
    double share;           /**< of all requests */
    uint32_t prompt_tokens; /**< mean; single prompts vary by a quarter either way */
    uint32_t prefix_tokens; /**< of these, shared with others about the same station or gauge */
    uint32_t max_tokens;
    uint32_t priority;
    double non_repeatable; /**< part of them that may not be repeated */
    const char *service;   /**< plain service, or NULL for a completion */
} mix_kind_t;

typedef struct {
    const char *name;
    const char *model;
    uint32_t subjects; /**< stations or gauges */
    uint32_t workspaces;
    double capacity; /**< completions a second at load 1: what prefill and decode engines can do without any
                          reuse of prefixes (docs/design/standin.md) */
    const mix_kind_t *kinds;
    uint32_t n_kinds;
} mix_t;

/** One request drawn from a mix. */
typedef struct {
    const mix_kind_t *kind;
    bool non_repeatable;
    uint32_t workspace;
    char *prompt; /**< g_free */
    size_t prompt_size;
} mix_request_t;

/** @return NULL when there is no such mix */
const mix_t *mix_find(const char *name);

/** Draw a request; the same random state gives the same request. */
void mix_draw(const mix_t *mix, GRand *random, uint64_t number, mix_request_t *request);

#endif
