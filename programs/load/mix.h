/** @file mix.h
 * Request mixes: the kinds of request of the two users, with their shares.
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
    uint32_t prompt_tokens; /**< mean; the unshared part varies by 25 per cent either way */
    uint32_t prefix_tokens; /**< of these, the prefix shared by requests of a workspace about the same subject */
    uint32_t max_tokens;
    uint32_t priority;
    double non_repeatable; /**< share of them that may not be executed twice */
    const char *service;   /**< name of the plain service; NULL: a completion */
} mix_kind_t;

typedef struct {
    const char *name;
    const char *model;
    uint32_t subjects; /**< stations or gauges */
    uint32_t workspaces;
    double capacity; /**< completions per second at load 1: the capacity of the prefill and decode engines without
                          prefix reuse (docs/design/standin.md) */
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

/** @return the mix, or NULL if there is none of that name */
const mix_t *mix_find(const char *name);

/** Draws a request; the same random state and @p number give the same request. */
void mix_draw(const mix_t *mix, GRand *random, uint64_t number, mix_request_t *request);

#endif
