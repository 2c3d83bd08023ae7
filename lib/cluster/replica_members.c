/* Members of the control boxes' log: how a cluster is founded, and how a box gets into one. */

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include "cluster/replica_internal.h"
#include "lists/list.h"

/* ===== Constants ===== */

enum {
    JOIN_EVERY_MS = 300, /* a box that is no voter, or hears no leader, asks this often */
    JOIN_LIMIT_MS = 1000,
    ANNOUNCE_EVERY_MS = 500, /* to seeds that are no members */
    ANNOUNCE_SOON_MS = 100,  /* the same while there is no leader: all boxes may have restarted, and whoever knows only
                                seeds serves nobody until they know the members */
    FOUNDING_INDEX = 1,      /* of the image that all founders start from */
    FOUNDING_TERM = 1,
    FOUNDERS_MAX = 16
};

/* ===== Joining ===== */

static void on_join_answer(void *arg, int rc, uint32_t type, const void *message, const tc_err_t *err)
{
    replica_t *const r = arg;
    (void)err; /* an unreachable seed is asked again */
    if (rc != TC_OK || type != MSG_JOIN_ACK)
        return;
    const msg_join_ack_t *const ack = message;
    if (ack->members_n == 0)
        return;
    codec_free(&raft_members_desc, &r->known);
    r->known.list = list_copy(ack->members, ack->members_n * sizeof(*ack->members));
    r->known.list_n = ack->members_n;
}

static void ask(replica_t *r, const char *addr)
{
    const msg_join_t join = {.member = r->self};
    if (addr[0] && strcmp(addr, r->self.peer) != 0)
        peer_call(r->net, addr, MSG_JOIN, &join, JOIN_LIMIT_MS, on_join_answer, r);
}

static bool is_seed(const replica_t *r, const char *addr)
{
    return g_strv_contains((const char *const *)r->seeds, addr);
}

void members_join(replica_t *r, tc_time_t now)
{
    const raft_view_t view = raft_view(r->raft);
    if (now < r->join_at || (raft_is_voter(r->raft, r->self.id) && view.leader != 0))
        return;
    r->join_at = now + JOIN_EVERY_MS;
    for (char **seed = r->seeds; *seed; seed++)
        ask(r, *seed);
    for (uint32_t i = 0; i < r->known.list_n; i++)
        if (!is_seed(r, r->known.list[i].peer))
            ask(r, r->known.list[i].peer);
}

void members_announce(replica_t *r, tc_time_t now)
{
    if (now < r->announce_at)
        return;
    r->announce_at = now + (replica_has_leader(r) ? ANNOUNCE_EVERY_MS : ANNOUNCE_SOON_MS);
    const raft_members_t *const members = raft_members(r->raft);
    const msg_join_ack_t message = {.has_state = true, .members = members->list, .members_n = members->list_n};
    for (char **seed = r->seeds; *seed && members->list_n > 0; seed++) {
        bool member = false;
        for (uint32_t i = 0; i < members->list_n; i++)
            member = member || strcmp(members->list[i].peer, *seed) == 0;
        if (!member)
            peer_send(r->net, *seed, MSG_JOIN_ACK, &message);
    }
}

void members_answer(replica_t *r, peer_call_t call, const msg_join_t *message, tc_time_t now)
{
    const raft_members_t *const members = raft_members(r->raft);
    const msg_join_ack_t ack = {.has_state = raft_view(r->raft).last_index > 0,
                                .is_member = raft_is_voter(r->raft, message->member.id),
                                .members = members->list,
                                .members_n = members->list_n};
    peer_reply(r->net, call, MSG_JOIN_ACK, &ack);
    if (replica_is_leader(r))
        raft_join(r->raft, &message->member, now);
}

/* ===== Founding ===== */

/** Founders are named after their addresses, so that all know them all without asking. */
static uint64_t founder_id(const char *peer)
{
    return XXH64(peer, strlen(peer), 0) | 1;
}

/** Where operators reach the member at @p peer: on the port of ours, since ports are alike everywhere. */
static void http_beside(char *to, size_t size, const char *peer, const char *own_http)
{
    const char *const port = strrchr(own_http, ':');
    g_snprintf(to, (gulong)size, "%.*s%s", (int)strcspn(peer, ":"), peer, port ? port : "");
}

int members_found(const replica_options_t *options, tc_err_t *err)
{
    raft_member_t founders[FOUNDERS_MAX];
    memset(founders, 0, sizeof(founders));
    uint32_t n = 0;
    bool among = false;
    for (const char *const *seed = options->seeds; *seed && n < FOUNDERS_MAX; seed++, n++) {
        codec_copy_string(founders[n].name, sizeof(founders[n].name), *seed);
        codec_copy_string(founders[n].peer, sizeof(founders[n].peer), *seed);
        http_beside(founders[n].http, sizeof(founders[n].http), *seed, options->http_addr);
        founders[n].id = founder_id(*seed);
        founders[n].voter = true;
        among = among || strcmp(*seed, options->peer_listen) == 0;
    }
    if (!among)
        return TC_OK; /* it joins */
    const raft_image_t image = {
        .last_index = FOUNDING_INDEX, .last_term = FOUNDING_TERM, .members = {.list = founders, .list_n = n}};
    return store_bootstrap(options->data_dir, founder_id(options->peer_listen), &image, err);
}

void replica_set_seeds(replica_t *r, const char *const *seeds)
{
    g_strfreev(r->seeds);
    r->seeds = g_strdupv((char **)(uintptr_t)seeds);
}
