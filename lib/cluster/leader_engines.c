#include "cluster/leader_engines.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "common/feature.h"

/* ===== Constants ===== */

/** Initial estimate of an engine's prefill rate, a little below its specification; learnt from then on. */
enum { PREFILL_TOKENS_S = 50000 };
/** Factor on the rate of links between data centres. Transfers of KV cache to another data centre take twice as long
 * and are billed double. The factor overstates that cost, so that of two equal engines the near one is chosen. */
static const double REMOTE_LINK_FACTOR = 0.1;
/** Part of an engine's memory that may be reserved. Reservations use the mean size of requests, so a fully reserved
 *  engine holds at times more, at times less than that; at times more it would reject a request that has a
 *  reservation. */
static const double MEMORY_SHARE = 0.94;

/* ===== Configuration ===== */

static const leader_sched_service_t *find_service(const leader_engines_source_t *from, const char *name)
{
    for (uint32_t i = 0; i < from->services_n; i++)
        if (strcmp(from->services[i].service, name) == 0)
            return &from->services[i];
    return NULL;
}

static bool is_engine(const leader_engines_source_t *from, const backend_t *b)
{
    return b->stage[0] && find_service(from, b->service);
}

static void fill_engine(const leader_engines_source_t *from, const backend_t *b, engine_cfg_t *e)
{
    const leader_sched_service_t *const s = find_service(from, b->service);
    codec_copy_string(e->name, sizeof(e->name), b->id);
    codec_copy_string(e->dc, sizeof(e->dc), b->dc);
    codec_copy_string(e->cell, sizeof(e->cell), LEADER_ENGINES_CELL);
    codec_copy_string(e->model, sizeof(e->model), b->service);
    codec_copy_string(e->version, sizeof(e->version), b->version);
    e->role = strcmp(b->stage, "prefill") == 0 ? ROLE_PREFILL : ROLE_DECODE;
    e->pieces = (uint32_t)(MEMORY_SHARE * s->memory_tokens / SCHED_SMALL_PIECE_TOKENS);
    e->max_batch = b->slots ? b->slots : s->slots;
    e->prefill_rate = PREFILL_TOKENS_S;
}

/** Fills in a link for each pair of data centres and one inside each. */
static void fill_links(const leader_engines_source_t *from, config_t *config)
{
    GHashTable *const dcs = g_hash_table_new(g_str_hash, g_str_equal);
    for (uint32_t i = 0; i < from->backends_n; i++)
        g_hash_table_add(dcs, (char *)(uintptr_t)from->backends[i].dc);
    guint n;
    const char **const names = (const char **)g_hash_table_get_keys_as_array(dcs, &n);
    config->links = calloc((size_t)n * n + 1, sizeof(*config->links));
    if (!config->links)
        abort();
    const double rate = from->services_n > 0 ? from->services[0].link_tokens_s : 0;
    for (guint i = 0; i < n && rate > 0; i++) {
        for (guint k = i; k < n; k++) {
            link_cfg_t *const link = &config->links[config->links_n++];
            codec_copy_string(link->a, sizeof(link->a), names[i]);
            codec_copy_string(link->b, sizeof(link->b), names[k]);
            link->rate =
                (uint32_t)(rate * (i == k || !feature_is_enabled(FEATURE_DC_AFFINITY) ? 1 : REMOTE_LINK_FACTOR));
        }
    }
    g_free(names);
    g_hash_table_destroy(dcs);
}

void leader_engines_configure(sched_t *sched, const leader_engines_source_t *from, tc_time_t now)
{
    config_t config = {.targets = {.max_queue = 512}};
    config.engines = calloc(from->backends_n + 1, sizeof(*config.engines));
    config.leaving = calloc(from->backends_n + 1, sizeof(*config.leaving));
    if (!config.engines || !config.leaving)
        abort();
    for (uint32_t i = 0; i < from->backends_n; i++) {
        const backend_t *const b = &from->backends[i];
        if (!is_engine(from, b))
            continue;
        fill_engine(from, b, &config.engines[config.engines_n++]);
        if (b->draining || evacuations_has(from->evacuations, b->dc))
            codec_copy_string(config.leaving[config.leaving_n++].name, CODEC_STR_SIZE, b->id);
    }
    fill_links(from, &config);
    sched_configure(sched, &config, now);
    /* The list and the reports about requests are the only sources on an engine's state. */
    sched_on_engine_list(sched, now);
    free(config.engines);
    free(config.leaving);
    free(config.links);
}
