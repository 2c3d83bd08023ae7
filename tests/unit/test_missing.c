/* Missing boxes: those of a rack that has lost power are counted, those that are stopped in a planned way are not. */

#include <glib.h>
#include <string.h>

#include "cluster/missing.h"
#include "lists/list.h"

enum { BOXES = 300 };

static uint32_t fill(entry_box_t *list, unsigned from, unsigned to, bool leaving)
{
    memset(list, 0, BOXES * sizeof(*list));
    uint32_t n = 0;
    for (unsigned i = from; i < to; i++) {
        g_snprintf(list[n].box, sizeof(list[n].box), "box-%u", i);
        list[n++].leaving = leaving;
    }
    list_sort(list, n, sizeof(*list));
    return n;
}

static entry_box_t all[BOXES], some[BOXES];

static void test_rack(void)
{
    missing_t *const m = missing_create();
    const uint32_t n = fill(all, 0, BOXES, false), left = fill(some, 75, BOXES, false);
    missing_update(m, NULL, 0, all, n, 0);
    g_assert_cmpuint(missing_count(m, 0), ==, 0);
    missing_update(m, all, n, some, left, 2000);
    g_assert_cmpuint(missing_count(m, 2000), ==, 75);
    g_assert_cmpuint(missing_count(m, 2000 + MISSING_TIMEOUT_MS), ==, 0); /* no longer counted */
    missing_update(m, some, left, all, n, 14000);
    g_assert_cmpuint(missing_count(m, 14000), ==, 0); /* back */
    missing_destroy(m);
}

static void test_planned(void)
{
    missing_t *const m = missing_create();
    const uint32_t n = fill(all, 0, BOXES, true), left = fill(some, 10, BOXES, true);
    missing_update(m, all, n, some, left, 1000);
    g_assert_cmpuint(missing_count(m, 1000), ==, 0);
    missing_destroy(m);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/missing/rack", test_rack);
    g_test_add_func("/missing/planned", test_planned);
    return g_test_run();
}
