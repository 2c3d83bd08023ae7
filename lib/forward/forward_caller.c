/* Whose request it is, and whether this box may say that it is nobody's. */

#include <string.h>

#include "forward/forward_internal.h"

enum { STATUS_UNSURE = 503 /* it has not run, and another box may know better */ };

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
    case DIALECT_KEY_WRONG: return (caller_t){.why = "what it carries is not one key"};
    case DIALECT_KEY_GIVEN: return (caller_t){.why = "nobody holds its key"};
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

/** Whether this box can be sure that what its configuration does not know is not there. */
static bool config_is_fresh(const forwarder_t *fw)
{
    return !fw->scheduler || reporter_is_current(fw->scheduler, fw->options.config_fresh_ms);
}

int caller_status(const forwarder_t *fw, int final)
{
    return config_is_fresh(fw) ? final : STATUS_UNSURE;
}
