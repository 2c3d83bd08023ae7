#include "control/merge.h"

#include <stdint.h>

json_t *merge_apply(const json_t *target, const json_t *patch)
{
    if (!json_is_object(patch))
        return json_deep_copy(patch);
    /* A shallow copy shares what the patch does not change, so a small patch of a large object is cheap. */
    json_t *const out = json_is_object(target) ? json_copy((json_t *)(uintptr_t)target) : json_object();
    const char *key;
    json_t *value;
    json_object_foreach((json_t *)(uintptr_t)patch, key, value) {
        if (json_is_null(value))
            json_object_del(out, key);
        else
            json_object_set_new(out, key, merge_apply(json_object_get(out, key), value));
    }
    return out;
}

json_t *merge_diff(const json_t *from, const json_t *to)
{
    if (!json_is_object(from) || !json_is_object(to))
        return json_deep_copy(to);
    json_t *const out = json_object();
    const char *key;
    json_t *value;
    json_object_foreach((json_t *)(uintptr_t)to, key, value) {
        const json_t *const old = json_object_get(from, key);
        if (old != value && (!old || !json_equal(old, value)))
            json_object_set_new(out, key, merge_diff(old, value));
    }
    json_object_foreach((json_t *)(uintptr_t)from, key, value) {
        if (!json_object_get(to, key))
            json_object_set_new(out, key, json_null());
    }
    return out;
}
