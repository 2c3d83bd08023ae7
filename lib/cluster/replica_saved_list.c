/* Saves the list of back ends in the data folder: after a restart of everything, boxes start with it instead of
 * refusing all callers until the platform's list has been read. */

#include <stdlib.h>

#include "cluster/replica_internal.h"
#include "common/log.h"

/* ===== Constants ===== */

enum {
    SAVE_PERIOD_MS = 5000, /* a write costs an fsync in the event loop's thread */
    /* A saved list counts as at least so old, so that every reading begun since the start is newer, even when the wall
     * clock was changed meanwhile. */
    AGE_MIN_MS = 3000,
    AGE_MAX_MS = 60000 /* an older list is discarded, since most of its back ends may be gone: callers are
                            refused until there is a new one */
};

/** In the data folder. */
static const char FILE_NAME[] = "backends";

/* ===== Reading ===== */

static void restore(replica_t *r, const list_image_t *image, tc_time_t age)
{
    const tc_time_t as_of = MAX(tc_time_now() - age, 1); /* 0 stands for never */
    list_delta_t delta;
    tc_err_t err = {0};
    if (list_unpack(&list_of_backends, image->body, image->body_n, &delta, &err) < 0) {
        log_failure(LOG_WARN, "list_lost", &err);
        return;
    }
    (void)list_replica_set(r->follow.backends_replica, delta.changed, delta.changed_n, as_of);
    codec_free(list_of_backends.delta, &delta);
    uint32_t n;
    const backend_t *const list = list_publisher_list(r->published, &n);
    r->backends_fetched = as_of;
    leader_sched_set_backends(r->leader_sched, list, n, as_of);
    log_line_t line;
    log_begin(&line, LOG_INFO, "list_kept");
    log_int(&line, "backends", n);
    log_int(&line, "age_ms", age);
    log_end(&line);
}

void saved_list_load(replica_t *r)
{
    tc_err_t err = {0};
    uint32_t size;
    char *const data = store_load_blob(r->store, FILE_NAME, &size, &err);
    if (!data && err.code == TC_E_NOT_FOUND)
        return; /* the first start */
    list_image_t image = {0};
    if (!data || codec_unpack_bytes(&list_image_desc, &image, data, size, &err) < 0) {
        log_failure(LOG_WARN, "list_lost", &err);
        free(data);
        return;
    }
    const int64_t age = tc_time_wall() - image.wall_ms; /* below 0 when the wall clock was set back */
    if (age <= AGE_MAX_MS)
        restore(r, &image, MAX(age, AGE_MIN_MS));
    codec_free(&list_image_desc, &image);
    free(data);
}

/* ===== Writing ===== */

static void save(replica_t *r, tc_time_t now)
{
    list_image_t image = {.wall_ms = tc_time_wall() - (now - r->backends_fetched)};
    size_t packed, size;
    image.body = (char *)(uintptr_t)list_publisher_packed(r->published, &packed); /* borrowed */
    image.body_n = (uint32_t)packed;
    char *const data = codec_pack_bytes(&list_image_desc, &image, &size);
    tc_err_t err = {0};
    if (store_save_blob(r->store, FILE_NAME, data, (uint32_t)size, &err) < 0)
        log_failure(LOG_WARN, "list_not_kept",
                    &err); /* the previous file stays; else the list is read from the platform */
    free(data);
}

void saved_list_tick(replica_t *r, tc_time_t now)
{
    const bool due = now - r->saved_at >= SAVE_PERIOD_MS && r->backends_fetched > r->saved_as_of;
    if (!due || log_writer_is_stalled(r->writer) || !log_writer_has_room(r->writer))
        return;
    save(r, now);
    r->saved_at = now;
    r->saved_as_of = r->backends_fetched;
}
