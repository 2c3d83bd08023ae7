#include "control/planner.h"

#include <glib.h>
#include <string.h>

/* ===== Types ===== */

/** Reports older than this are ignored. */
enum { REPORT_FRESH_MS = 2000 };

typedef struct {
    cell_load_t load;
    tc_time_t updated_at;
    tc_time_t prefill_hot_since, decode_hot_since; /* TC_TIME_NEVER when the condition does not hold */
    tc_time_t moved_at;
} cell_t;

struct planner {
    GHashTable *cells; /* name -> cell_t */
    GHashTable *moved; /* engine -> tc_time_t of its last move */
    tc_time_t reset_at;
};

/* ===== Load reports ===== */

static cell_t *cell_get(planner_t *p, const char *name)
{
    cell_t *cell = g_hash_table_lookup(p->cells, name);
    if (cell)
        return cell;
    cell = g_new0(cell_t, 1);
    codec_copy_string(cell->load.cell, sizeof(cell->load.cell), name);
    cell->prefill_hot_since = cell->decode_hot_since = TC_TIME_NEVER;
    cell->moved_at = p->reset_at;
    g_hash_table_insert(p->cells, cell->load.cell, cell);
    return cell;
}

static void update_since(tc_time_t *since, bool holds, tc_time_t now)
{
    if (!holds)
        *since = TC_TIME_NEVER;
    else if (*since == TC_TIME_NEVER)
        *since = now;
}

void planner_update_load(planner_t *p, const cell_load_t *load, const planner_cfg_t *cfg, tc_time_t now)
{
    cell_t *const cell = cell_get(p, load->cell);
    if (load->epoch < cell->load.epoch)
        return;
    cell->load = *load;
    cell->updated_at = now;
    update_since(&cell->prefill_hot_since, load->prefill_busy >= cfg->hot && load->decode_busy <= cfg->cold, now);
    update_since(&cell->decode_hot_since, load->decode_busy >= cfg->hot && load->prefill_busy <= cfg->cold, now);
}

/* ===== Decisions ===== */

static uint32_t count_role(const config_t *config, const char *cell, const char *model, role_t role)
{
    uint32_t n = 0;
    for (uint32_t i = 0; i < config->engines_n; i++) {
        const engine_cfg_t *const e = &config->engines[i];
        n += e->role == role && strcmp(e->cell, cell) == 0 && strcmp(e->model, model) == 0;
    }
    return n;
}

static bool is_leaving(const config_t *config, const char *name)
{
    for (uint32_t i = 0; i < config->leaving_n; i++)
        if (strcmp(config->leaving[i].name, name) == 0)
            return true;
    return false;
}

/** Choose an engine of role @p from that may change its role and is not the last one for its model in the cell. */
static const engine_cfg_t *choose_engine(const planner_t *p, const config_t *config, const char *cell, role_t from,
                                         tc_time_t now)
{
    for (uint32_t i = config->engines_n; i > 0; i--) {
        const engine_cfg_t *const e = &config->engines[i - 1];
        if (e->role != from || strcmp(e->cell, cell) != 0 || strcmp(e->roles_allowed, "both") != 0)
            continue;
        const tc_time_t *const moved = g_hash_table_lookup(p->moved, e->name);
        const bool stays = moved && now - *moved < config->planner.min_stay_ms;
        if (stays || is_leaving(config, e->name) || count_role(config, cell, e->model, from) < 2)
            continue;
        return e;
    }
    return NULL;
}

static bool decide_cell(planner_t *p, cell_t *cell, const config_t *config, planner_move_t *move, tc_time_t now)
{
    const planner_cfg_t *const cfg = &config->planner;
    const bool fresh = now - cell->updated_at < REPORT_FRESH_MS;
    const bool prefill = cell->prefill_hot_since != TC_TIME_NEVER && now - cell->prefill_hot_since >= cfg->sustain_ms;
    const bool decode = cell->decode_hot_since != TC_TIME_NEVER && now - cell->decode_hot_since >= cfg->sustain_ms;
    if (!fresh || (!prefill && !decode) || now - cell->moved_at < cfg->min_stay_ms)
        return false;
    const role_t from = prefill ? ROLE_DECODE : ROLE_PREFILL;
    const engine_cfg_t *const engine = choose_engine(p, config, cell->load.cell, from, now);
    if (!engine)
        return false;
    *move = (planner_move_t){.to = prefill ? ROLE_PREFILL : ROLE_DECODE,
                             .prefill_busy = cell->load.prefill_busy,
                             .decode_busy = cell->load.decode_busy,
                             .prefills = count_role(config, cell->load.cell, engine->model, ROLE_PREFILL),
                             .decodes = count_role(config, cell->load.cell, engine->model, ROLE_DECODE)};
    codec_copy_string(move->cell, sizeof(move->cell), cell->load.cell);
    codec_copy_string(move->engine, sizeof(move->engine), engine->name);
    cell->moved_at = now;
    cell->prefill_hot_since = cell->decode_hot_since = TC_TIME_NEVER;
    g_hash_table_replace(p->moved, g_strdup(engine->name), g_memdup2(&now, sizeof(now)));
    return true;
}

bool planner_decide(planner_t *p, const config_t *config, planner_move_t *move, tc_time_t now)
{
    if (!config->planner.enabled)
        return false;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, p->cells);
    while (g_hash_table_iter_next(&iter, NULL, &value))
        if (decide_cell(p, value, config, move, now))
            return true;
    return false;
}

/* ===== Creation and destruction ===== */

planner_t *planner_create(void)
{
    planner_t *const p = g_new0(planner_t, 1);
    p->cells = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    p->moved = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return p;
}

void planner_reset(planner_t *p, tc_time_t now)
{
    g_hash_table_remove_all(p->cells);
    g_hash_table_remove_all(p->moved);
    p->reset_at = now;
}

void planner_destroy(planner_t *p)
{
    g_hash_table_destroy(p->cells);
    g_hash_table_destroy(p->moved);
    g_free(p);
}
