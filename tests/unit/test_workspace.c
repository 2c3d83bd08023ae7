/* Look-up of workspaces by API key, and the cost of a request under a usage cap. */

#include <glib.h>
#include <string.h>

#include "workspace/workspace.h"

static workspace_t *make_workspace(const char *name)
{
    workspace_t *const w = g_new0(workspace_t, 1);
    w->name = g_strdup(name);
    return w;
}

static bool add_key(workspaces_t *all, const workspace_t *w, const char *key)
{
    return workspaces_add_key(all, w, key, strlen(key));
}

static const char *owner_of(const workspaces_t *all, const char *key)
{
    const workspace_t *const w = workspaces_by_key(all, key, strlen(key));
    return w ? w->name : "none";
}

static void test_keys(void)
{
    workspaces_t *const all = workspaces_create();
    const workspace_t *const a = workspaces_add(all, make_workspace("a"));
    const workspace_t *const b = workspaces_add(all, make_workspace("b"));
    g_assert_null(workspaces_add(all, make_workspace("a")));
    g_assert_true(add_key(all, a, "one"));
    g_assert_true(add_key(all, a, "two"));
    g_assert_true(add_key(all, b, "three"));
    g_assert_false(add_key(all, b, "one"));
    g_assert_false(add_key(all, a, "two")); /* its own, twice */
    g_assert_cmpstr(owner_of(all, "one"), ==, "a");
    g_assert_cmpstr(owner_of(all, "two"), ==, "a");
    g_assert_cmpstr(owner_of(all, "three"), ==, "b");
    g_assert_cmpstr(owner_of(all, "on"), ==, "none");
    g_assert_cmpstr(owner_of(all, "onee"), ==, "none");
    g_assert_cmpstr(owner_of(all, "ONE"), ==, "none");
    g_assert_cmpstr(owner_of(all, ""), ==, "none");
    g_assert_cmpuint(workspaces_count(all), ==, 2);
    g_assert_cmpstr(workspaces_at(all, 1)->name, ==, "b");
    workspaces_free(all);
}

static void test_costs(void)
{
    const cap_t tokens = {.unit = CAP_TOKENS, .default_cost = 200};
    const cap_t requests = {.unit = CAP_REQUESTS, .default_cost = 200};
    g_assert_cmpfloat(cap_cost(&tokens, 3270), ==, 3270);
    g_assert_cmpfloat(cap_cost(&tokens, 0), ==, 200);
    g_assert_cmpfloat(cap_cost(&requests, 3270), ==, 1);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/workspace/keys", test_keys);
    g_test_add_func("/workspace/costs", test_costs);
    return g_test_run();
}
