/* Memory of a process after it has replaced long lists.
 *
 * An entry box with 10,000 back ends used 30 MB, although the list takes 5 MB and the state of the back ends 6 MB. A
 * list is replaced by building the next one beside it. The allocator had raised its threshold for large blocks and kept
 * several freed lists in its heap, which showed in the process size over thirty changes of a list.
 */

#include <glib.h>
#include <malloc.h>
#include <string.h>

#include "common/memory.h"
#include "lists/list_replica.h"

enum { BACKENDS = 10000, CHANGES = 30, CHANGED = 50 };

/** Bytes that the allocator has obtained from the system. */
static size_t allocator_bytes(void)
{
    const struct mallinfo2 info = mallinfo2();
    return info.arena + info.hblkhd;
}

static backend_t *make_list(void)
{
    backend_t *const list = g_new0(backend_t, BACKENDS);
    for (int i = 0; i < BACKENDS; i++) {
        g_snprintf(list[i].id, sizeof(list[i].id), "i-%08x", (unsigned)i * 2654435761U);
        g_snprintf(list[i].addr, sizeof(list[i].addr), "10.1.%d.%d:8005", i / 250, i % 250);
    }
    return list;
}

static void test_after_changes(void)
{
    memory_return_large_blocks();
    backend_t *const list = make_list();
    list_publisher_t *const source = list_publisher_create(&list_of_backends);
    list_publisher_t *const copy = list_publisher_create(&list_of_backends);
    list_publisher_keep_states(source, 4);
    list_publisher_keep_states(copy, 4);
    list_replica_t *const replica = list_replica_create(copy, "10.0.0.1:1");
    (void)list_publisher_set(source, list, BACKENDS);
    (void)list_replica_set(replica, list, BACKENDS, 1);
    const size_t before = allocator_bytes();
    for (int change = 0; change < CHANGES; change++) {
        for (int i = 0; i < CHANGED; i++)
            list[(change * CHANGED + i) % BACKENDS].draining = true;
        (void)list_publisher_set(source, list, BACKENDS);
        const list_news_t news = list_publisher_update_since(source, list_publisher_hash(copy));
        g_assert_true(list_replica_receive(replica, &news, "10.0.0.2:1", 2 + change));
    }
    g_assert_cmpuint(allocator_bytes(), <, before + BACKENDS * sizeof(backend_t)); /* less than one more list */
    list_replica_destroy(replica);
    list_publisher_destroy(copy);
    list_publisher_destroy(source);
    g_free(list);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/memory/after-changes", test_after_changes);
    return g_test_run();
}
