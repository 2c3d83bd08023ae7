#include "forward/version_step.h"

/** Whether this box has no reason to assume that the stream began at another version than the one that serves. */
static bool is_single(const version_view_t *v)
{
    return v->versions <= 1 && v->is_current && v->leader != LEADER_UNKNOWN;
}

version_step_t version_next_step(const version_view_t *v)
{
    if (!v->is_taken_up)
        return VERSION_ANY;
    if (v->is_known)
        return VERSION_BOUND;
    const bool may_ask = v->names_attempt && v->can_ask && v->leader == LEADER_NOT_ASKED;
    if (is_single(v) && !(v->is_young && may_ask))
        return VERSION_ANY;
    if (may_ask)
        return VERSION_ASK;
    return v->names_attempt && v->may_wait ? VERSION_WAIT : VERSION_REFUSE;
}
