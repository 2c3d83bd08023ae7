/* Boxes, what they report to have in flight, and how much of that has no ticket. */

#include <string.h>

#include "admission/slot_pool_internal.h"
#include "common/mutant.h"

/* ===== Boxes ===== */

static void place_free(gpointer data)
{
    slot_place_t *const place = data;
    place->backend->unticketed -= place->unticketed;
    g_free(place);
}

void slot_box_free(gpointer data)
{
    slot_box_t *const box = data;
    g_hash_table_destroy(box->places);
    g_free(box);
}

slot_box_t *slot_box_get(slot_pool_t *pool, const char *name, tc_time_t now)
{
    slot_box_t *box = g_hash_table_lookup(pool->boxes, name);
    if (box && now - box->seen < SLOT_BOX_TIMEOUT_MS)
        return box;
    if (box)
        slot_box_end(pool, box, now);
    box = g_new0(slot_box_t, 1);
    codec_copy_string(box->name, sizeof(box->name), name);
    box->seen = now;
    CDS_INIT_LIST_HEAD(&box->requests);
    box->places = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, place_free);
    g_hash_table_insert(pool->boxes, box->name, box);
    return box;
}

void slot_box_end(slot_pool_t *pool, slot_box_t *box, tc_time_t now)
{
    slot_request_t *r, *next;
    cds_list_for_each_entry_safe(r, next, &box->requests, box_node) {
        if (r->holds && MUTANT_IS(MUTANT_KEEP_TICKETS))
            return;
        if (r->holds)
            slot_end_ticket(pool, r, SLOT_END_UNKNOWN, now);
        else
            slot_refuse(pool, r, SLOT_REASON_BOX_SILENT, now);
    }
    loss_evidence_forget(pool->losses, box->name);
    g_hash_table_remove(pool->boxes, box->name);
    slot_release_unlisted(pool);
}

/* ===== Reports ===== */

slot_place_t *slot_place_get(slot_box_t *box, slot_backend_t *b)
{
    slot_place_t *place = g_hash_table_lookup(box->places, b);
    if (place)
        return place;
    place = g_new0(slot_place_t, 1);
    place->box = box;
    place->backend = b;
    CDS_INIT_LIST_HEAD(&place->requests);
    g_hash_table_insert(box->places, b, place);
    return place;
}

/** Sets the unticketed requests of a place to the count nearest to @p former that its latest report allows. */
static void place_set_unticketed(slot_place_t *place, uint32_t former)
{
    const uint32_t low = place->reported > place->most ? place->reported - place->most : 0;
    const uint32_t high = place->reported > place->certain ? place->reported - place->certain : 0;
    const uint32_t count = MUTANT_IS(MUTANT_IGNORE_UNTICKETED) ? 0 : CLAMP(former, low, high);
    place->carried = count > low ? place->carried : 0;
    place->backend->unticketed += count - place->unticketed;
    place->unticketed = count;
}

/** Updates the unticketed requests of a place by what the box reported to have there. A report is older than it seems:
 *  it may or may not include requests whose tickets are new. That gives a range. The former count is kept as far as it
 *  is within the range, so that a ticket does not count twice. A request whose end overtook the report counts as
 *  unticketed until the next one: taking recent ends off would hide requests that the box has sent by itself. */
static void place_apply_report(slot_place_t *place, tc_time_t now)
{
    place->reported_at = now;
    place->before = place->unticketed;
    place->most = place->tickets;
    place->certain = 0;
    slot_request_t *r;
    cds_list_for_each_entry(r, &place->requests, place_node) {
        r->in_most = true;
        r->in_certain = now - r->granted >= SLOT_TRANSIT_MS;
        place->certain += r->in_certain;
    }
    place_set_unticketed(place, place->carried++ < SLOT_CARRY_REPORTS ? place->unticketed : 0);
}

void slot_place_apply_end(slot_place_t *place, const slot_request_t *r, slot_end_t how, tc_time_t now)
{
    if (how == SLOT_END_DONE) {
        /* It may have ended before the report was made, which then did not include it. */
        const bool is_new = now - place->reported_at < SLOT_TRANSIT_MS;
        if (!r->in_certain || !is_new)
            return;
        place->certain--;
        place_set_unticketed(place, place->before);
        return;
    }
    /* The report did not include it, or it is not known whether it did: the safe side is that it did not. */
    place->most -= r->in_most;
    place->certain -= r->in_certain;
    place_set_unticketed(place, place->unticketed);
}

static void apply_loads(slot_pool_t *pool, slot_box_t *box, const backend_load_t *loads, uint32_t n, tc_time_t now)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, box->places);
    while (g_hash_table_iter_next(&iter, NULL, &value))
        ((slot_place_t *)value)->reported = 0;
    for (uint32_t i = 0; i < n; i++) {
        slot_backend_t *const b = g_hash_table_lookup(pool->backends_by_id, loads[i].id);
        if (b && loads[i].running > 0)
            slot_place_get(box, b)->reported = loads[i].running;
    }
    g_hash_table_iter_init(&iter, box->places);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        slot_place_t *const place = value;
        place_apply_report(place, now);
        if (place->tickets == 0 && place->unticketed == 0)
            g_hash_table_iter_remove(&iter);
    }
}

void slot_pool_set_box_loads(slot_pool_t *pool, const char *name, const backend_load_t *loads, uint32_t n,
                             tc_time_t now)
{
    slot_box_t *const box = slot_box_get(pool, name, now);
    box->seen = now;
    if (pool->listed && !box->reported) {
        box->reported = true;
        pool->reported_boxes++;
    }
    apply_loads(pool, box, loads, n, now);
    slot_release_unlisted(pool);
    slot_dispatch(pool, now);
}
