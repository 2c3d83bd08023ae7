#include "cluster/evacuations.h"

#include <stdlib.h>
#include <string.h>

#include "lists/list.h"

/** @return index of the data centre in the sorted list, or the index at which to insert it */
static uint32_t find_index(const evacuations_t *held, const char *dc)
{
    uint32_t at = 0;
    while (at < held->list_n && strcmp(held->list[at].dc, dc) < 0)
        at++;
    return at;
}

static bool is_at(const evacuations_t *held, uint32_t at, const char *dc)
{
    return at < held->list_n && strcmp(held->list[at].dc, dc) == 0;
}

bool evacuations_has(const evacuations_t *held, const char *dc)
{
    return is_at(held, find_index(held, dc), dc);
}

static void insert(evacuations_t *held, uint32_t at, const char *dc)
{
    evacuated_dc_t *const list = calloc(held->list_n + 1, sizeof(*list));
    if (!list)
        abort();
    if (held->list_n > 0) {
        memcpy(list, held->list, at * sizeof(*list));
        memcpy(list + at + 1, held->list + at, (held->list_n - at) * sizeof(*list));
    }
    codec_copy_string(list[at].dc, sizeof(list[at].dc), dc);
    free(held->list);
    held->list = list;
    held->list_n++;
}

static void remove_at(evacuations_t *held, uint32_t at)
{
    held->list_n--;
    memmove(held->list + at, held->list + at + 1, (held->list_n - at) * sizeof(*held->list));
}

bool evacuations_apply(evacuations_t *held, const evacuation_t *order, uint64_t index)
{
    const uint32_t at = find_index(held, order->dc);
    if (is_at(held, at, order->dc) == order->on)
        return false;
    if (order->on)
        insert(held, at, order->dc);
    else
        remove_at(held, at);
    held->version = index;
    return true;
}

void evacuations_copy(evacuations_t *to, const evacuations_t *from)
{
    evacuated_dc_t *const list = list_copy(from->list, from->list_n * sizeof(*list));
    free(to->list);
    *to = (evacuations_t){.version = from->version, .list = list, .list_n = from->list_n};
}

bool evacuations_update(evacuations_t *held, const evacuations_t *received)
{
    if (received->version <= held->version)
        return false;
    evacuations_copy(held, received);
    return true;
}
