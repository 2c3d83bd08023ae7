#include "control/members.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "common/err.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

/* ===== Types ===== */

/** A box's room is published again when it changed by more than 1/ROOM_CHANGE_DIVISOR of the published value. */
enum { ROOM_CHANGE_DIVISOR = 2 };
/** Minimum interval between publications of a box's room: with hundreds of boxes these are most of the updates that
 *  each box receives. */
enum { ROOM_PUBLISH_INTERVAL_MS = 5000 };

typedef struct {
    member_t self;
    uint64_t version;
    bool released;
    bool live;
    tc_time_t heartbeat_at;
    uint32_t room_published;
    tc_time_t room_published_at;
    uint64_t changed_version; /* version of the list at the last change of this box */
} box_t;

struct members {
    GHashTable *boxes; /* name -> box_t */
    uint64_t version;
    uint64_t first_version; /* first one of this term; lower ones are of other leaders */
    tc_time_t term_started_at;
};

/* ===== Creation and destruction ===== */

members_t *members_create(void)
{
    members_t *const m = g_new0(members_t, 1);
    m->boxes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    m->version = 1;
    return m;
}

void members_destroy(members_t *m)
{
    g_hash_table_destroy(m->boxes);
    g_free(m);
}

void members_start_term(members_t *m, tc_time_t now)
{
    g_hash_table_remove_all(m->boxes);
    m->term_started_at = now;
    /* Versions of different leaders must differ, or a box would keep the list of the former leader. */
    m->version = (m->version / 1000000 + 1) * 1000000 + (uint64_t)(now % 1000000);
    m->first_version = m->version;
}

/* ===== Heartbeats ===== */

static bool same_registration(const member_t *a, const member_t *b)
{
    return a->incarnation == b->incarnation && a->draining == b->draining && strcmp(a->http_addr, b->http_addr) == 0 &&
           strcmp(a->peer_addr, b->peer_addr) == 0 && strcmp(a->dc, b->dc) == 0;
}

static bool room_needs_publish(const box_t *b, uint32_t room, tc_time_t now)
{
    const uint32_t change = room > b->room_published ? room - b->room_published : b->room_published - room;
    return now - b->room_published_at >= ROOM_PUBLISH_INTERVAL_MS && change * ROOM_CHANGE_DIVISOR > b->room_published;
}

int members_on_heartbeat(members_t *m, const msg_beat_t *beat, tc_time_t now)
{
    box_t *b = g_hash_table_lookup(m->boxes, beat->self.box);
    if (b && beat->self.incarnation < b->self.incarnation)
        return TC_E_FENCED; /* from a former incarnation of the box */
    if (!b) {
        b = g_new0(box_t, 1);
        codec_copy_string(b->self.box, sizeof(b->self.box), beat->self.box);
        g_hash_table_insert(m->boxes, b->self.box, b);
    }
    const bool publish =
        !b->live || !same_registration(&b->self, &beat->self) || room_needs_publish(b, beat->self.room, now);
    b->self = beat->self;
    b->version = beat->version;
    b->released = beat->released;
    b->heartbeat_at = now;
    b->live = true;
    if (publish) {
        b->changed_version = ++m->version;
        b->room_published = b->self.room;
        b->room_published_at = now;
    }
    return TC_OK;
}

void members_tick(members_t *m, tc_time_t now)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, m->boxes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        box_t *const b = value;
        if (b->live && now - b->heartbeat_at >= MEMBERS_HEARTBEAT_TIMEOUT_MS) {
            b->live = false;
            b->changed_version = ++m->version;
        }
        if (now - b->heartbeat_at >= MEMBERS_RETENTION_MS)
            g_hash_table_iter_remove(&iter);
    }
}

/* ===== Queries ===== */

uint64_t members_version(const members_t *m)
{
    return m->version;
}

uint32_t members_list_changes(const members_t *m, uint64_t since, member_t **list, bool *all)
{
    *all = since < m->first_version || since > m->version;
    *list = calloc(g_hash_table_size(m->boxes) + 1, sizeof(**list));
    if (!*list)
        abort();
    uint32_t n = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, m->boxes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const box_t *const b = value;
        if (*all ? !b->live : b->changed_version <= since)
            continue;
        (*list)[n] = b->self;
        (*list)[n++].gone = !b->live;
    }
    return n;
}

bool members_in_force(const members_t *m, uint64_t version, tc_time_t lease_ms, char laggard[CODEC_STR_SIZE],
                      tc_time_t now)
{
    laggard[0] = '\0';
    if (now < m->term_started_at + lease_ms) {
        codec_copy_string(laggard, CODEC_STR_SIZE, "(leases given by the former leader)");
        return false;
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, m->boxes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const box_t *const b = value;
        if (b->version >= version || now >= b->heartbeat_at + lease_ms)
            continue;
        codec_copy_string(laggard, CODEC_STR_SIZE, b->self.box);
        return false;
    }
    return true;
}

bool members_holder_gone(const members_t *m, const char *box, uint64_t incarnation, tc_time_t now)
{
    const tc_time_t lease = MEMBERS_CELL_LEASE_MS + MEMBERS_CELL_LEASE_MARGIN_MS;
    const box_t *const b = g_hash_table_lookup(m->boxes, box);
    if (!b)
        return now >= m->term_started_at + lease;
    return b->released || b->self.incarnation != incarnation || now >= b->heartbeat_at + lease;
}

const member_t *members_choose_holder(const members_t *m, const char *cell,
                                      uint32_t (*held)(void *arg, const char *box), void *arg, tc_time_t now)
{
    (void)now;
    const member_t *best = NULL;
    uint32_t best_held = 0;
    uint64_t best_rank = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, m->boxes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const box_t *const b = value;
        if (!b->live || b->released || b->self.draining)
            continue;
        const uint32_t count = held(arg, b->self.box);
        const uint64_t rank = XXH3_64bits_withSeed(b->self.box, strlen(b->self.box), XXH3_64bits(cell, strlen(cell)));
        if (best && (count > best_held || (count == best_held && rank <= best_rank)))
            continue;
        best = &b->self;
        best_held = count;
        best_rank = rank;
    }
    return best;
}

uint32_t members_list(const members_t *m, members_view_t *views, uint32_t room, tc_time_t now)
{
    uint32_t n = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, m->boxes);
    while (n < room && g_hash_table_iter_next(&iter, NULL, &value)) {
        const box_t *const b = value;
        views[n++] = (members_view_t){
            .self = b->self, .version = b->version, .silent_ms = now - b->heartbeat_at, .live = b->live};
    }
    return n;
}
