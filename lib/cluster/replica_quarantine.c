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

/* ===== The data folder ===== */

static void load(const replica_t *r, kept_quarantine_t *kept)
{
    tc_err_t err = {0};
    uint32_t size;
    char *const data = store_load_blob(r->store, kept->file_name, &size, &err);
    quarantine_image_t image = {0};
    const tc_time_t now = tc_time_now();
    const int64_t wall = tc_time_wall();
    if (!data && err.code == TC_E_NOT_FOUND)
        return; /* nothing was ever quarantined */
    if (!data || codec_unpack_bytes(&quarantine_image_desc, &image, data, size, NULL) < 0) {
        log_failure(LOG_ERROR, "quarantine_lost", &err); /* it is detected again, or received from other members */
        free(data);
        return;
    }
    for (uint32_t i = 0; i < image.list_n; i++) {
        const int64_t age = wall - image.list[i].wall_ms; /* below 0 when the wall clock was set back */
        const request_age_t held = {
            .request = image.list[i].request, .age_ms = (uint64_t)(age > 0 ? age : 0), .trials = image.list[i].trials};
        quarantine_apply_held(kept->table, &held, now);
    }
    kept->saved = quarantine_version(kept->table);
    codec_free(&quarantine_image_desc, &image);
    free(data);
}

void replica_quarantine_load(replica_t *r)
{
    r->requests = (kept_quarantine_t){.table = quarantine_create(), .file_name = "quarantine"};
    r->parts =
        (kept_quarantine_t){.table = quarantine_create_parts(r->requests.table), .file_name = "quarantine-parts"};
    load(r, &r->requests);
    load(r, &r->parts);
}

void replica_quarantine_free(replica_t *r)
{
    quarantine_destroy(r->parts.table);
    quarantine_destroy(r->requests.table);
}

static void save(const replica_t *r, kept_quarantine_t *kept, tc_time_t now)
{
    const uint64_t version = quarantine_version(kept->table);
    if (version == kept->saved || now < kept->save_at)
        return;
    uint32_t n;
    request_age_t *const held = quarantine_list_held(kept->table, &n, now);
    quarantine_image_t image = {.list = calloc(n + 1, sizeof(*image.list)), .list_n = n};
    if (!image.list)
        abort();
    for (uint32_t i = 0; i < n; i++)
        image.list[i] = (kept_request_t){
            .request = held[i].request, .wall_ms = tc_time_wall() - (int64_t)held[i].age_ms, .trials = held[i].trials};
    size_t size;
    char *const data = codec_pack_bytes(&quarantine_image_desc, &image, &size);
    tc_err_t err = {0};
    if (store_save_blob(r->store, kept->file_name, data, (uint32_t)size, &err) == TC_OK)
        kept->saved = version;
    else
        log_failure(LOG_ERROR, "quarantine_not_kept", &err); /* the other members keep it as well */
    kept->save_at = now + SAVE_RETRY_MS;
    free(data);
    free(image.list);
    free(held);
}

/* ===== Replication ===== */

/** Fill in the changes since the last message, or, when there are none, some entries in turn, so that a member that was
 *  away receives all of them. */
static void fill_changes(kept_quarantine_t *kept, quarantine_news_t *changes, tc_time_t now)
{
    const uint64_t seq = quarantine_seq(kept->table);
    if (kept->sent < seq) {
        kept->sent = quarantine_fill_changes(kept->table, kept->sent, changes, now);
        return;
    }
    const uint64_t turn = quarantine_fill_changes(kept->table, kept->resent, changes, now);
    kept->resent = turn < seq ? turn : 0;
}

static bool is_due(const kept_quarantine_t *kept, tc_time_t now)
{
    const uint64_t seq = quarantine_seq(kept->table);
    return seq > 0 && (kept->sent < seq || now - kept->replicated_at >= RESEND_PERIOD_MS);
}

/** Fill in a table's part of a message. */
static void fill(kept_quarantine_t *kept, request_age_t **list, uint32_t *n, quarantine_news_t *news, tc_time_t now)
{
    if (!is_due(kept, now))
        return;
    kept->replicated_at = now;
    quarantine_tick(kept->table, now);
    *list = quarantine_list_held(kept->table, n, now);
    fill_changes(kept, news, now);
}

static void replicate(replica_t *r, tc_time_t now)
{
    if (!replica_retains_leadership(r) || (!is_due(&r->requests, now) && !is_due(&r->parts, now)))
        return;
    msg_held_requests_t message = {0};
    fill(&r->requests, &message.list, &message.list_n, &message.news, now);
    fill(&r->parts, &message.parts, &message.parts_n, &message.parts_news, now);
    const raft_members_t *const members = raft_members(r->raft);
    for (uint32_t i = 0; i < members->list_n; i++)
        if (members->list[i].id != r->self.id)
            peer_send(r->net, members->list[i].peer, MSG_HELD_REQUESTS, &message);
    codec_free(&msg_held_requests_desc, &message);
}

void replica_quarantine_tick(replica_t *r, tc_time_t now)
{
    quarantine_tick(r->requests.table, now); /* what is held must be on disk soon */
    quarantine_tick(r->parts.table, now);
    save(r, &r->requests, now);
    save(r, &r->parts, now);
    replicate(r, now);
}

static void receive(quarantine_t *q, const request_age_t *list, uint32_t n, const quarantine_news_t *news,
                    tc_time_t now)
{
    for (uint32_t i = 0; i < n; i++)
        quarantine_apply_held(q, &list[i], now);
    quarantine_apply_changes(q, news, now, NULL, NULL);
}

void replica_quarantine_receive(replica_t *r, const msg_held_requests_t *message, tc_time_t now)
{
    receive(r->requests.table, message->list, message->list_n, &message->news, now);
    receive(r->parts.table, message->parts, message->parts_n, &message->parts_news, now);
    stream_versions_apply(r->streams, message->streams, message->streams_n, now);
}
