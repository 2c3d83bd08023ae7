/** @file sched_fixture.h
 * Small sets of engines for scheduler tests.
 */
#ifndef TRACKCOVE_TESTS_SCHED_FIXTURE_H
#define TRACKCOVE_TESTS_SCHED_FIXTURE_H

#include <glib.h>
#include <string.h>

#include "sched/sched.h"

/** Fills in engines e0, e1 and so on of cell "c" and model "m". @param prefills number of prefill engines, from the
 *  first on @param like template for the other fields */
static inline void sched_fixture_fill_engines(engine_cfg_t *engines, int n, int prefills, const engine_cfg_t *like)
{
    for (int i = 0; i < n; i++) {
        engine_cfg_t *const e = &engines[i];
        *e = *like;
        g_snprintf(e->name, sizeof(e->name), "e%d", i);
        codec_copy_string(e->cell, sizeof(e->cell), "c");
        codec_copy_string(e->model, sizeof(e->model), "m");
        e->role = i < prefills ? ROLE_PREFILL : ROLE_DECODE;
    }
}

#endif
