#include "forward/version_step.h"

bool version_news_are_current(const version_news_t *n, tc_time_t now)
{
    const tc_time_t newest = n->listed > n->asked ? n->listed : n->asked;
    return newest >= n->woken_at && now - newest <= VERSION_NEWS_MAX_AGE_MS;
}

version_step_t version_next_step(const version_view_t *v)
{
    if (!v->is_taken_up)
        return VERSION_ANY;
    if (v->is_known)
        return VERSION_BOUND;
    if (v->versions <= 1 && v->is_current && !v->awaits_leader)
        return VERSION_ANY;
    if (v->names_attempt && v->can_ask && !v->was_asked)
        return VERSION_ASK;
    const bool may_help = v->names_attempt || v->versions <= 1; /* word of the stream, or that there is one version */
    return may_help && v->may_wait ? VERSION_WAIT : VERSION_REFUSE;
}
