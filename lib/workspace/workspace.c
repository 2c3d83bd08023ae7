#include "workspace/workspace.h"

#include <glib.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

/* ===== Types ===== */

enum { DIGEST_SIZE = crypto_generichash_BYTES };

struct workspaces {
    GPtrArray *list;     /* workspace_t */
    GHashTable *by_name; /* name -> workspace_t, both borrowed from the list */
    GHashTable *by_key;  /* digest -> workspace_t */
    urgency_set_t priorities;
};

/* ===== Digests ===== */

/** This process's random key for the digests of API keys. */
static const unsigned char *own_key(void)
{
    static unsigned char key[crypto_generichash_KEYBYTES];
    static bool is_initialized;
    if (is_initialized)
        return key;
    if (sodium_init() < 0)
        abort(); /* without random numbers others could compute the digests */
    randombytes_buf(key, sizeof(key));
    is_initialized = true;
    return key;
}

static void digest_of(unsigned char to[DIGEST_SIZE], const char *key, size_t size)
{
    crypto_generichash(to, DIGEST_SIZE, (const unsigned char *)key, size, own_key(), crypto_generichash_KEYBYTES);
}

/** Uses the first bytes of the digest: they are random to anyone without the process's key. */
static guint hash_digest(gconstpointer digest)
{
    guint hash;
    memcpy(&hash, digest, sizeof(hash));
    return hash;
}

static gboolean is_same_digest(gconstpointer a, gconstpointer b)
{
    return sodium_memcmp(a, b, DIGEST_SIZE) == 0; /* in constant time */
}

/* ===== Creation ===== */

static void workspace_free(void *workspace)
{
    g_free(((workspace_t *)workspace)->name);
    g_free(workspace);
}

workspaces_t *workspaces_create(void)
{
    workspaces_t *const all = g_new0(workspaces_t, 1);
    all->list = g_ptr_array_new_with_free_func(workspace_free);
    all->by_name = g_hash_table_new(g_str_hash, g_str_equal);
    all->by_key = g_hash_table_new_full(hash_digest, is_same_digest, g_free, NULL);
    return all;
}

void workspaces_free(workspaces_t *all)
{
    if (!all)
        return;
    g_hash_table_destroy(all->by_key);
    g_hash_table_destroy(all->by_name);
    g_ptr_array_free(all->list, TRUE);
    g_free(all);
}

/* ===== Building ===== */

const workspace_t *workspaces_add(workspaces_t *all, workspace_t *workspace)
{
    if (g_hash_table_contains(all->by_name, workspace->name)) {
        workspace_free(workspace);
        return NULL;
    }
    g_ptr_array_add(all->list, workspace);
    g_hash_table_insert(all->by_name, workspace->name, workspace);
    if (workspace->has_priority)
        all->priorities = urgency_set_add(all->priorities, workspace->priority);
    return workspace;
}

bool workspaces_add_key(workspaces_t *all, const workspace_t *workspace, const char *key, size_t size)
{
    unsigned char *const digest = g_malloc(DIGEST_SIZE);
    digest_of(digest, key, size);
    if (g_hash_table_contains(all->by_key, digest)) {
        g_free(digest);
        return false;
    }
    g_hash_table_insert(all->by_key, digest, (gpointer)(uintptr_t)workspace);
    return true;
}

/* ===== Look-up ===== */

const workspace_t *workspaces_by_key(const workspaces_t *all, const char *key, size_t size)
{
    unsigned char digest[DIGEST_SIZE];
    if (size == 0 || size > WORKSPACE_KEY_MAX)
        return NULL;
    digest_of(digest, key, size);
    return g_hash_table_lookup(all->by_key, digest);
}

urgency_set_t workspaces_priorities(const workspaces_t *all)
{
    return all ? all->priorities : 0;
}

unsigned workspaces_count(const workspaces_t *all)
{
    return all->list->len;
}

const workspace_t *workspaces_at(const workspaces_t *all, unsigned i)
{
    return g_ptr_array_index(all->list, i);
}
