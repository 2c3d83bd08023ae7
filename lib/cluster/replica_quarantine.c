/* Durability of the quarantine, the requests that are sent to no back end. It is kept on disk, so that a restart of
 * everything does not cost three back ends again, and sent by the leader to the other members, so that a lost disk
 * loses nothing. Ends of back ends under requests that are not quarantined yet are sent as well: the next leader goes
 * on counting from them, even when the box that reported them is gone. This needs no consensus: members merge what they
 * receive. */

#include <stdlib.h>
#include <string.h>

#include "cluster/replica_internal.h"
#include "common/log.h"

/* ===== Constants ===== */

enum {
    RESEND_PERIOD_MS = 2000, /* when nothing has changed: for members that were away */
    SAVE_RETRY_MS = 1000     /* between tries while the disk fails, and between any two writes */
};

/** In the data folder. */
static const char FILE_NAME[] = "quarantine";

/* ===== The data folder ===== */

void replica_quarantine_load(replica_t *r)
{
    tc_err_t err = {0};
    uint32_t size;
    char *const data = store_load_blob(r->store, FILE_NAME, &size, &err);
    quarantine_image_t image = {0};
    const tc_time_t now = tc_time_now();
    const int64_t wall = tc_time_wall();
    if (!data && err.code == TC_E_NOT_FOUND)
        return; /* no request was ever quarantined */
    if (!data || codec_unpack_bytes(&quarantine_image_desc, &image, data, size, NULL) < 0) {
        log_failure(LOG_ERROR, "quarantine_lost", &err); /* it is detected again, or received from other members */
        free(data);
        return;
    }
    for (uint32_t i = 0; i < image.list_n; i++) {
        const int64_t age = wall - image.list[i].wall_ms; /* below 0 when the wall clock was set back */
        quarantine_hold(r->quarantine, image.list[i].request, now - (age > 0 ? age : 0), now);
    }
    r->quarantine_saved = quarantine_version(r->quarantine);
    codec_free(&quarantine_image_desc, &image);
    free(data);
}

static void save(replica_t *r, tc_time_t now)
{
    const uint64_t version = quarantine_version(r->quarantine);
    if (version == r->quarantine_saved || now < r->save_at)
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
        r->quarantine_saved = version;
    else
        log_failure(LOG_ERROR, "quarantine_not_kept", &err); /* the other members keep it as well */
    r->save_at = now + SAVE_RETRY_MS;
    free(data);
    free(image.list);
    free(held);
}

/* ===== Replication ===== */

/** Fill in the changes since the last message, or, when there are none, some entries in turn, so that a member that was
 *  away receives all of them. */
static void fill_ends(replica_t *r, quarantine_news_t *changes, tc_time_t now)
{
    const uint64_t seq = quarantine_seq(r->quarantine);
    if (r->ends_sent < seq) {
        r->ends_sent = quarantine_fill_changes(r->quarantine, r->ends_sent, changes, now);
        return;
    }
    const uint64_t turn = quarantine_fill_changes(r->quarantine, r->ends_resent, changes, now);
    r->ends_resent = turn < seq ? turn : 0;
}

static void replicate(replica_t *r, tc_time_t now)
{
    const uint64_t seq = quarantine_seq(r->quarantine);
    if (seq == 0 || !replica_retains_leadership(r) ||
        (r->ends_sent == seq && now - r->replicated_at < RESEND_PERIOD_MS))
        return;
    r->replicated_at = now;
    quarantine_tick(r->quarantine, now);
    msg_held_requests_t message = {0};
    message.list = quarantine_list_held(r->quarantine, &message.list_n, now);
    fill_ends(r, &message.news, now);
    const raft_members_t *const members = raft_members(r->raft);
    for (uint32_t i = 0; i < members->list_n; i++)
        if (members->list[i].id != r->self.id)
            peer_send(r->net, members->list[i].peer, MSG_HELD_REQUESTS, &message);
    codec_free(&msg_held_requests_desc, &message);
}

void replica_quarantine_tick(replica_t *r, tc_time_t now)
{
    save(r, now);
    replicate(r, now);
}

void replica_quarantine_receive(replica_t *r, const msg_held_requests_t *message, tc_time_t now)
{
    for (uint32_t i = 0; i < message->list_n; i++)
        quarantine_hold(r->quarantine, message->list[i].request, now - (tc_time_t)message->list[i].age_ms, now);
    quarantine_apply_changes(r->quarantine, &message->news, now, NULL, NULL);
    stream_versions_apply(r->streams, message->streams, message->streams_n, now);
}
