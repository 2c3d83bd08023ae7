/* Identifies the caller of a request, and decides whether an unknown key or route is a final refusal. */

#include <string.h>

#include "forward/forward_internal.h"

/** The request has not run, and another box may have a newer configuration. */
enum { STATUS_UNSURE = 503 };

caller_t caller_identify(const route_table_t *table, const route_t *route, const dialect_request_t *facts)
{
    if (!table->workspaces)
        return (caller_t){0};
    const workspace_t *const holder = facts->key_state == DIALECT_KEY_GIVEN
                                          ? workspaces_by_key(table->workspaces, facts->key, facts->key_size)
                                          : NULL;
    if (holder || route->auth_exempt)
        return (caller_t){.workspace = holder};
    switch (facts->key_state) {
    case DIALECT_KEY_NONE: return (caller_t){.why = "no key"};
    case DIALECT_KEY_WRONG: return (caller_t){.why = "its credentials are not one key"};
    case DIALECT_KEY_GIVEN: return (caller_t){.why = "its key is unknown"};
    }
    return (caller_t){.why = "no key"};
}

bool caller_is_allowed(const forward_t *f)
{
    const route_table_t *const table = f->owner->table;
    if (table == f->table || !table || f->route->auth_exempt)
        return true;
    const caller_t caller = caller_identify(table, f->route, &f->facts);
    const char *const before = f->workspace ? f->workspace->name : "";
    return !caller.why && strcmp(caller.workspace ? caller.workspace->name : "", before) == 0;
}

/** Whether the configuration is current, so that what it lacks does not exist. */
static bool config_is_fresh(const forwarder_t *fw)
{
    return !fw->scheduler || reporter_is_current(fw->scheduler, fw->options.config_fresh_ms);
}

int caller_status(const forwarder_t *fw, int final)
{
    return config_is_fresh(fw) ? final : STATUS_UNSURE;
}
