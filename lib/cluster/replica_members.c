/* Membership of the replicated log: bootstrapping a cluster, and joining one. */

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include "cluster/replica_internal.h"
#include "lists/list.h"

/* ===== Constants ===== */

enum {
    JOIN_PERIOD_MS = 300, /* for a box that is no voter, or knows no leader */
    JOIN_TIMEOUT_MS = 1000,
    ANNOUNCE_PERIOD_MS = 500,     /* announcements to seeds that are no members */
    ANNOUNCE_LEADERLESS_MS = 100, /* the same without a leader: all boxes may have restarted, and a box that knows
                               only seeds serves no one until those know the members */
    BOOTSTRAP_INDEX = 1,          /* of the image that all founders start with */
    BOOTSTRAP_TERM = 1,
    FOUNDERS_MAX = 16
};

/* ===== Joining ===== */

static void on_join_answer(void *arg, int rc, uint32_t type, const void *message, const tc_err_t *err)
{
    replica_t *const r = arg;
    (void)err; /* an unreachable seed is retried */
    if (rc != TC_OK || type != MSG_JOIN_ACK)
        return;
    const msg_join_ack_t *const ack = message;
    if (ack->members_n == 0)
        return;
    codec_free(&raft_members_desc, &r->known_members);
    r->known_members.list = list_copy(ack->members, ack->members_n * sizeof(*ack->members));
    r->known_members.list_n = ack->members_n;
}

static void request_join(replica_t *r, const char *addr)
{
    const msg_join_t join = {.member = r->self};
    if (addr[0] && strcmp(addr, r->self.peer) != 0)
        peer_call(r->net, addr, MSG_JOIN, &join, JOIN_TIMEOUT_MS, on_join_answer, r);
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
    r->join_at = now + JOIN_PERIOD_MS;
    for (char **seed = r->seeds; *seed; seed++)
        request_join(r, *seed);
    for (uint32_t i = 0; i < r->known_members.list_n; i++)
        if (!is_seed(r, r->known_members.list[i].peer))
            request_join(r, r->known_members.list[i].peer);
}

void members_announce(replica_t *r, tc_time_t now)
{
    if (now < r->announce_at)
        return;
    r->announce_at = now + (replica_has_leader(r) ? ANNOUNCE_PERIOD_MS : ANNOUNCE_LEADERLESS_MS);
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

void members_answer_join(replica_t *r, peer_call_t call, const msg_join_t *message, tc_time_t now)
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

/* ===== Bootstrap ===== */

/** The id of a founder is derived from its address, so that each founder knows the others without communication. */
static uint64_t founder_id(const char *peer)
{
    return XXH64(peer, strlen(peer), 0) | 1;
}

/** HTTP address of the member at @p peer: its host with our HTTP port, since ports are the same on all boxes. */
static void founder_http(char *to, size_t size, const char *peer, const char *own_http)
{
    const char *const port = strrchr(own_http, ':');
    g_snprintf(to, (gulong)size, "%.*s%s", (int)strcspn(peer, ":"), peer, port ? port : "");
}

int members_bootstrap(const replica_options_t *options, tc_err_t *err)
{
    raft_member_t founders[FOUNDERS_MAX];
    memset(founders, 0, sizeof(founders));
    uint32_t n = 0;
    bool among = false;
    for (const char *const *seed = options->seeds; *seed && n < FOUNDERS_MAX; seed++, n++) {
        codec_copy_string(founders[n].name, sizeof(founders[n].name), *seed);
        codec_copy_string(founders[n].peer, sizeof(founders[n].peer), *seed);
        founder_http(founders[n].http, sizeof(founders[n].http), *seed, options->http_addr);
        founders[n].id = founder_id(*seed);
        founders[n].voter = true;
        among = among || strcmp(*seed, options->peer_listen) == 0;
    }
    if (!among)
        return TC_OK; /* this box joins instead */
    const raft_image_t image = {
        .last_index = BOOTSTRAP_INDEX, .last_term = BOOTSTRAP_TERM, .members = {.list = founders, .list_n = n}};
    return store_bootstrap(options->data_dir, founder_id(options->peer_listen), &image, err);
}

void replica_set_seeds(replica_t *r, const char *const *seeds)
{
    g_strfreev(r->seeds);
    r->seeds = g_strdupv((char **)(uintptr_t)seeds);
}
