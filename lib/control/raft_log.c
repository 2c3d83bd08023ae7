/* The in-memory log, and copies of its records. */

#include <stdlib.h>
#include <string.h>

#include "control/raft_internal.h"

/* ===== Copies ===== */

void entry_copy(log_entry_t *to, const log_entry_t *from)
{
    *to = *from;
    to->data = NULL;
    codec_set_text(&to->data, &to->data_n, from->data ? from->data : "", from->data_n);
}

void members_copy(raft_members_t *to, const raft_members_t *from)
{
    raft_member_t *const list = calloc(from->list_n + 1, sizeof(*list));
    if (!list)
        abort();
    if (from->list_n)
        memcpy(list, from->list, from->list_n * sizeof(*list));
    codec_free(&raft_members_desc, to);
    to->list = list;
    to->list_n = from->list_n;
}

void image_copy(raft_image_t *to, const raft_image_t *from)
{
    raft_image_t copy = {.last_index = from->last_index, .last_term = from->last_term};
    members_copy(&copy.members, &from->members);
    codec_set_text(&copy.state, &copy.state_n, from->state ? from->state : "", from->state_n);
    codec_free(&raft_image_desc, to);
    *to = copy;
}

/* ===== The log ===== */

uint64_t log_last_index(const raft_t *r)
{
    return r->snapshot.last_index + r->log->len;
}

log_entry_t *log_at(const raft_t *r, uint64_t index)
{
    if (index <= r->snapshot.last_index || index > log_last_index(r))
        return NULL;
    return g_ptr_array_index(r->log, index - r->snapshot.last_index - 1);
}

uint64_t raft_term_at(const raft_t *r, uint64_t index)
{
    if (index == r->snapshot.last_index)
        return r->snapshot.last_term;
    const log_entry_t *const entry = log_at(r, index);
    return entry ? entry->term : 0;
}

uint64_t log_last_term(const raft_t *r)
{
    return raft_term_at(r, log_last_index(r));
}

void log_append(raft_t *r, uint64_t term, uint64_t index, uint32_t kind, const char *data, size_t size)
{
    assert(index == log_last_index(r) + 1); /* the log has no gaps */
    log_entry_t *const entry = g_new0(log_entry_t, 1);
    entry->term = term;
    entry->index = index;
    entry->kind = kind;
    codec_set_text(&entry->data, &entry->data_n, data, size);
    g_ptr_array_add(r->log, entry);
    entry_copy(&raft_add_action(r, RAFT_ACT_APPEND)->entry, entry);
    if (kind == RAFT_MEMBERS)
        members_refresh(r);
}

void log_truncate(raft_t *r, uint64_t from)
{
    /* Invariant: accepted entries are never removed. */
    assert(from > r->commit);
    g_ptr_array_set_size(r->log, (gint)(from - r->snapshot.last_index - 1));
    raft_add_action(r, RAFT_ACT_TRUNCATE)->index = from;
    if (r->members_index >= from)
        members_refresh(r);
}

void members_refresh(raft_t *r)
{
    for (guint i = r->log->len; i > 0; i--) {
        const log_entry_t *const entry = g_ptr_array_index(r->log, i - 1);
        if (entry->kind != RAFT_MEMBERS)
            continue;
        raft_members_t members;
        const int rc = codec_unpack_bytes(&raft_members_desc, &members, entry->data, entry->data_n, NULL);
        assert(rc == TC_OK); /* packed by a leader of this code, protected by a checksum */
        (void)rc;
        members_copy(&r->members, &members);
        codec_free(&raft_members_desc, &members);
        r->members_index = entry->index;
        return;
    }
    members_copy(&r->members, &r->snapshot.members);
    r->members_index = r->snapshot.last_index;
}
