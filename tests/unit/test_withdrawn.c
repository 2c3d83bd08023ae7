/* Publication of back ends that are withdrawn one after the other.
 *
 * Guards against a leader that rebuilds the list of 10,000 back ends for each one that is withdrawn, and for each end
 * of a withdrawal: with dozens of them, boxes received several lists per report interval, and the leader's event loop
 * stalled. Changes are published together, at intervals that grow with the list.
 */

#include "cluster/replica_internal.h"
#include "unit/cluster_lab.h"

enum { BACKENDS = 10000, MOVED = 60 };

static uint64_t count_lists(fixture_t *f, replica_t *r, leaving_cfg_t *moving)
{
    uint64_t lists = 0, hash = list_publisher_hash(r->published);
    for (uint32_t i = 1; i <= MOVED; i++) {
        g_snprintf(moving[i - 1].name, sizeof(moving[i - 1].name), "i-%05u", i);
        replica_set_role_changes(r, moving, i);
        lists += list_publisher_hash(r->published) != hash;
        hash = list_publisher_hash(r->published);
    }
    (void)f;
    return lists;
}

static bool publishes_last(void *arg)
{
    const fixture_t *const f = arg;
    char name[CODEC_STR_SIZE];
    g_snprintf(name, sizeof(name), "i-%05u", MOVED);
    const backend_t *const last = list_publisher_find(f->replica[0]->published, name);
    return last && last->draining;
}

static void test_published_together(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_box(f, 0, true);
    backend_t *const list = g_new0(backend_t, BACKENDS);
    for (int i = 0; i < BACKENDS; i++)
        g_snprintf(list[i].id, sizeof(list[i].id), "i-%05d", i);
    replica_set_backends(f->replica[0], list, BACKENDS, tc_time_now());
    g_free(list);
    leaving_cfg_t moving[MOVED];
    memset(moving, 0, sizeof(moving));
    const tc_time_t began = tc_time_now();
    const uint64_t lists = count_lists(f, f->replica[0], moving);
    const uint64_t took = (uint64_t)(tc_time_now() - began);
    g_assert_cmpuint(lists, <=, 1 + took / 200); /* minimum interval: 0.02 ms per back end */
    lab_run_until(f->loop, publishes_last, f);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add("/withdrawn/published-together", fixture_t, NULL, set_up, test_published_together, tear_down);
    return g_test_run();
}
