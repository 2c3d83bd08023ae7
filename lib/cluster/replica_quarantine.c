/* Requests that are sent to no back end, as the control boxes keep them: on disk, so that a restart of everything does
 * not cost three back ends anew, and told by the leader to the others, so that a lost disk loses nothing. Ends under
 * requests that are not held yet are told as well: the next leader counts on from them, also when the box that found
 * them out is gone. Nobody has to agree on either: what one box knows the others know too, as soon as they hear. */

#include <stdlib.h>
#include <string.h>

#include "cluster/replica_internal.h"
#include "common/log.h"

/* ===== Constants ===== */

enum {
    TELL_MS = 2000,      /* between two times that the leader tells, when nothing is new: for members that were away */
    RETRY_KEEP_MS = 1000 /* between tries while the disk fails */
};

/** Of the data folder. */
static const char FILE_NAME[] = "quarantine";

/* ===== The data folder ===== */

void held_load(replica_t *r)
{
    tc_err_t err = {0};
    uint32_t size;
    char *const data = store_load_blob(r->store, FILE_NAME, &size, &err);
    quarantine_image_t image = {0};
    const tc_time_t now = tc_time_now();
    const int64_t wall = tc_time_wall();
    if (!data && err.code == TC_E_NOT_FOUND)
        return; /* nothing was ever held */
    if (!data || codec_unpack_bytes(&quarantine_image_desc, &image, data, size, NULL) < 0) {
        log_failure(LOG_ERROR, "quarantine_lost", &err); /* it is found out anew, or told by the others */
        free(data);
        return;
    }
    for (uint32_t i = 0; i < image.list_n; i++) {
        const int64_t age = wall - image.list[i].wall_ms; /* below 0 when the time of day was set back */
        quarantine_hold(r->quarantine, image.list[i].request, now - (age > 0 ? age : 0), now);
    }
    r->held_kept = quarantine_version(r->quarantine);
    codec_free(&quarantine_image_desc, &image);
    free(data);
}

static void keep(replica_t *r, tc_time_t now)
{
    const uint64_t version = quarantine_version(r->quarantine);
    if (version == r->held_kept || now < r->keep_at)
        return;
    uint32_t n;
    request_age_t *const held = quarantine_list_held(r->quarantine, &n, now);
    quarantine_image_t image = {.list = calloc(n + 1, sizeof(*image.list)), .list_n = n};
    if (!image.list)
        abort();
    for (uint32_t i = 0; i < n; i++)
        image.list[i] =
            (kept_request_t){.request = held[i].request, .wall_ms = tc_time_wall() - (int64_t)held[i].age_ms};
    size_t size;
    char *const data = codec_pack_bytes(&quarantine_image_desc, &image, &size);
    tc_err_t err = {0};
    if (store_save_blob(r->store, FILE_NAME, data, (uint32_t)size, &err) == TC_OK)
        r->held_kept = version;
    else
        log_failure(LOG_ERROR, "quarantine_not_kept", &err); /* the others keep it as well */
    r->keep_at = now + RETRY_KEEP_MS;
    free(data);
    free(image.list);
    free(held);
}

/* ===== Telling ===== */

/** What this message brings of single requests: what has changed, else some of them in turn, so that a member that was
 *  away hears of all. */
static void fill_turn(replica_t *r, quarantine_news_t *news, tc_time_t now)
{
    const uint64_t seq = quarantine_seq(r->quarantine);
    if (r->news_told < seq) {
        r->news_told = quarantine_fill_changes(r->quarantine, r->news_told, news, now);
        return;
    }
    const uint64_t turn = quarantine_fill_changes(r->quarantine, r->news_turn, news, now);
    r->news_turn = turn < seq ? turn : 0;
}

static void tell(replica_t *r, tc_time_t now)
{
    const uint64_t seq = quarantine_seq(r->quarantine);
    if (seq == 0 || !replica_retains_leadership(r) || (r->news_told == seq && now - r->held_at < TELL_MS))
        return;
    r->held_at = now;
    quarantine_tick(r->quarantine, now);
    msg_held_requests_t message = {0};
    message.list = quarantine_list_held(r->quarantine, &message.list_n, now);
    fill_turn(r, &message.news, now);
    const raft_members_t *const members = raft_members(r->raft);
    for (uint32_t i = 0; i < members->list_n; i++)
        if (members->list[i].id != r->self.id)
            peer_send(r->net, members->list[i].peer, MSG_HELD_REQUESTS, &message);
    codec_free(&msg_held_requests_desc, &message);
}

void held_tick(replica_t *r, tc_time_t now)
{
    keep(r, now);
    tell(r, now);
}

void held_hear(replica_t *r, const msg_held_requests_t *message, tc_time_t now)
{
    for (uint32_t i = 0; i < message->list_n; i++)
        quarantine_hold(r->quarantine, message->list[i].request, now - (tc_time_t)message->list[i].age_ms, now);
    quarantine_apply_changes(r->quarantine, &message->news, now, NULL, NULL);
}
