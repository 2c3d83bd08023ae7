#include "lists/list.h"

#include <assert.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include "common/compress.h"

/* ===== Kinds ===== */

#define IS_DELTA(type)                                                                                                 \
    (offsetof(type, changed) == offsetof(list_delta_t, changed) &&                                                     \
     offsetof(type, changed_n) == offsetof(list_delta_t, changed_n) &&                                                 \
     offsetof(type, gone) == offsetof(list_delta_t, gone) && offsetof(type, gone_n) == offsetof(list_delta_t, gone_n))

static_assert(IS_DELTA(backend_delta_t) && IS_DELTA(entry_delta_t), "generated deltas have the layout of list_delta_t");
static_assert(offsetof(backend_t, id) == 0 && offsetof(entry_box_t, box) == 0, "a record begins with its name");

const list_kind_t list_of_backends = {
    .record = sizeof(backend_t), .delta = &backend_delta_desc, .name = LIST_NAME_BACKENDS};
const list_kind_t list_of_entries = {
    .record = sizeof(entry_box_t), .delta = &entry_delta_desc, .name = LIST_NAME_ENTRIES};

/* ===== Copies and hashes ===== */

uint64_t list_hash(const void *list, size_t size)
{
    return size > 0 && list ? XXH64(list, size, 0) | 1 : 1;
}

void *list_copy(const void *list, size_t size)
{
    void *const copy = malloc(size ? size : 1);
    if (!copy)
        abort();
    if (size)
        memcpy(copy, list, size);
    return copy;
}

bool list_has_name(const leaving_cfg_t *list, uint32_t n, const char *name)
{
    for (uint32_t i = 0; i < n; i++)
        if (strcmp(list[i].name, name) == 0)
            return true;
    return false;
}

/* ===== Order ===== */

static int by_name(const void *a, const void *b)
{
    return strcmp(a, b);
}

static bool is_sorted(const char *list, uint32_t n, size_t record)
{
    for (uint32_t i = 1; i < n; i++)
        if (strcmp(list + (i - 1) * record, list + i * record) > 0)
            return false;
    return true;
}

void list_sort(void *list, uint32_t n, size_t record)
{
    if (!is_sorted(list, n, record))
        qsort(list, n, record, by_name);
}

const void *list_find(const void *list, uint32_t n, size_t record, const char *name)
{
    return n > 0 ? bsearch(name, list, n, record, by_name) : NULL;
}

/* ===== Deltas ===== */

/** Whether the delta removes the record. @param at cursor in the sorted names of removed records, which moves forward
 *  as the records are passed in order */
static bool is_gone(const list_delta_t *delta, const char *name, uint32_t *at)
{
    while (*at < delta->gone_n && strcmp(delta->gone[*at].name, name) < 0)
        ++*at;
    return *at < delta->gone_n && strcmp(delta->gone[*at].name, name) == 0;
}

void *list_apply(const void *list, uint32_t n, const list_delta_t *delta, size_t record, uint32_t *applied_n)
{
    const char *const old = list, *const changed = delta->changed;
    char *const applied = malloc((n + delta->changed_n) * record + 1);
    if (!applied)
        abort();
    uint32_t i = 0, k = 0, gone = 0, to = 0;
    while (i < n || k < delta->changed_n) {
        const char *const before = old + i * record, *const after = changed + k * record;
        const int order = i == n ? 1 : (k == delta->changed_n ? -1 : strcmp(before, after));
        const bool kept = order < 0 && !is_gone(delta, before, &gone);
        if (order >= 0 || kept)
            memcpy(applied + to++ * record, order >= 0 ? after : before, record);
        i += order <= 0;
        k += order >= 0;
    }
    *applied_n = to;
    return applied;
}

char *list_pack(const list_kind_t *kind, const list_delta_t *delta, size_t *size)
{
    size_t bytes;
    char *const text = codec_pack_bytes(kind->delta, delta, &bytes);
    char *const packed = compress_text(text, bytes, size);
    free(text);
    return packed;
}

static bool take_bytes(void *arg, const char *data, size_t size)
{
    GByteArray *const bytes = arg;
    g_byte_array_append(bytes, (const guint8 *)data, (guint)size);
    return bytes->len <= LIST_BYTES_MAX;
}

/** Whether the records and names are sorted, as list_apply needs them. */
static bool is_in_order(const list_kind_t *kind, const list_delta_t *delta)
{
    return is_sorted(delta->changed, delta->changed_n, kind->record) &&
           is_sorted((const char *)delta->gone, delta->gone_n, sizeof(*delta->gone));
}

int list_unpack(const list_kind_t *kind, const char *packed, size_t size, list_delta_t *delta, tc_err_t *err)
{
    GByteArray *const bytes = g_byte_array_new();
    int rc = decompress_text(packed, size, take_bytes, bytes, err);
    if (rc == TC_OK)
        rc = codec_unpack_bytes(kind->delta, delta, (const char *)bytes->data, bytes->len, err);
    g_byte_array_free(bytes, TRUE);
    TC_CHECK(rc);
    if (is_in_order(kind, delta))
        return TC_OK;
    codec_free(kind->delta, delta);
    return tc_err_set(err, TC_E_CORRUPT, "unpack list", NULL, "records are not sorted by name");
}
