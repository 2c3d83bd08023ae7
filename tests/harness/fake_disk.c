#include "harness/fake_disk.h"

#include <stdlib.h>
#include <string.h>

static void copy_entry(log_entry_t *to, const log_entry_t *from)
{
    *to = *from;
    to->data = NULL;
    codec_set_text(&to->data, &to->data_n, from->data, from->data_n);
}

void fake_disk_truncate(fake_disk_t *d, uint32_t n)
{
    while (d->n > n)
        codec_free(&log_entry_desc, &d->entries[--d->n]);
}

void fake_disk_append(fake_disk_t *d, const log_entry_t *entry)
{
    if (d->n == d->capacity) {
        d->capacity = d->capacity ? d->capacity * 2 : 64;
        d->entries = realloc(d->entries, d->capacity * sizeof(*d->entries));
        if (!d->entries)
            abort();
    }
    copy_entry(&d->entries[d->n++], entry);
}

static void copy_image(raft_image_t *to, const raft_image_t *from)
{
    codec_free(&raft_image_desc, to);
    to->last_index = from->last_index;
    to->last_term = from->last_term;
    to->members.list_n = from->members.list_n;
    to->members.list = calloc(from->members.list_n + 1, sizeof(*to->members.list));
    if (!to->members.list)
        abort();
    if (from->members.list_n)
        memcpy(to->members.list, from->members.list, from->members.list_n * sizeof(*to->members.list));
    codec_set_text(&to->state, &to->state_n, from->state ? from->state : "", from->state_n);
}

void fake_disk_copy(fake_disk_t *to, const fake_disk_t *from)
{
    /* Equal entries are kept, since entries are never changed in place. */
    uint32_t same = 0;
    while (to->snapshot.last_index == from->snapshot.last_index && same < to->n && same < from->n &&
           to->entries[same].index == from->entries[same].index && to->entries[same].term == from->entries[same].term)
        same++;
    fake_disk_truncate(to, same);
    for (uint32_t i = same; i < from->n; i++)
        fake_disk_append(to, &from->entries[i]);
    to->term = from->term;
    to->vote = from->vote;
    if (to->snapshot.last_index != from->snapshot.last_index)
        copy_image(&to->snapshot, &from->snapshot);
}

void fake_disk_free(fake_disk_t *d)
{
    fake_disk_truncate(d, 0);
    free(d->entries);
    codec_free(&raft_image_desc, &d->snapshot);
    memset(d, 0, sizeof(*d));
}

void fake_disk_save_snapshot(fake_disk_t *d, const raft_image_t *image)
{
    const uint64_t drop = image->last_index - d->snapshot.last_index;
    const uint32_t gone = drop < d->n ? (uint32_t)drop : d->n;
    for (uint32_t i = 0; i < gone; i++)
        codec_free(&log_entry_desc, &d->entries[i]);
    if (d->n > gone)
        memmove(d->entries, d->entries + gone, (d->n - gone) * sizeof(*d->entries));
    d->n -= gone;
    copy_image(&d->snapshot, image);
}
