#include "common/retry_budget.h"

#include <string.h>

#include "common/mutant.h"

/* ===== Constants ===== */

/** Fraction of the budget that is actually used: windows of boxes are not aligned, and the number of boxes is known
 * some hundred ms late. */
static const double SAFETY_FACTOR = 0.8;

/* ===== Rules ===== */

retry_rules_t retry_rules_scale(const retry_rules_t *rules, double part)
{
    return (retry_rules_t){.ratio = rules->ratio * part, .allowance = rules->allowance * part, .window = rules->window};
}

/* ===== One service's budget ===== */

void retry_budget_init(retry_budget_t *b, tc_time_t now)
{
    memset(b, 0, sizeof(*b));
    b->created = now;
}

static tc_time_t slice_length(const retry_rules_t *rules)
{
    return rules->window / RETRY_SLICES > 0 ? rules->window / RETRY_SLICES : 1;
}

/** Advances to the slice of @p now and clears those in between. @return its index */
static int slice_at(retry_budget_t *b, const retry_rules_t *rules, tc_time_t now)
{
    const tc_time_t number = now / slice_length(rules);
    tc_time_t passed = number - b->slice;
    if (passed > RETRY_SLICES_KEPT)
        passed = RETRY_SLICES_KEPT;
    for (tc_time_t i = 0; i < passed; i++) {
        const int at = (int)((number - i) % RETRY_SLICES_KEPT);
        b->requests[at] = 0;
        b->retries[at] = 0;
        b->refused[at] = 0;
    }
    if (number > b->slice)
        b->slice = number;
    return (int)(b->slice % RETRY_SLICES_KEPT);
}

void retry_budget_add_request(retry_budget_t *b, const retry_rules_t *rules, tc_time_t now)
{
    b->requests[slice_at(b, rules, now)]++;
}

retry_budget_view_t retry_budget_view(retry_budget_t *b, const retry_rules_t *rules, unsigned boxes, tc_time_t now)
{
    retry_budget_view_t view = {0};
    const int newest = slice_at(b, rules, now);
    const int oldest = (newest + 1) % RETRY_SLICES_KEPT;
    for (int i = 0; i < RETRY_SLICES_KEPT; i++) {
        view.requests += i == oldest ? 0 : b->requests[i];
        view.retries += b->retries[i];
        view.refused += b->refused[i];
    }
    const double age = (double)(now - b->created) / (double)rules->window;
    const double part = rules->allowance / (boxes ? boxes : 1) * (age < 1 ? age : 1);
    view.limit = SAFETY_FACTOR * (rules->ratio * view.requests + part);
    return view;
}

bool retry_budget_spend(retry_budget_t *b, const retry_rules_t *rules, unsigned boxes, tc_time_t now)
{
    const int at = slice_at(b, rules, now);
    const retry_budget_view_t view = retry_budget_view(b, rules, boxes, now);
    if (view.retries + 1 > view.limit && !MUTANT_IS(MUTANT_NO_BUDGET))
        return false;
    b->retries[at]++;
    return true;
}

bool retry_budget_lend(retry_budget_t *b, const retry_rules_t *rules, retry_purpose_t purpose, tc_time_t now)
{
    enum { BOXES = 1 }; /* only the leader spends its part */
    const bool refused = purpose == RETRY_PURPOSE_REFUSED;
    const retry_budget_view_t view = retry_budget_view(b, rules, BOXES, now);
    if (now - b->created < RETRY_SLICES_KEPT * slice_length(rules))
        return false;
    if (refused && view.refused + 1 > RETRY_REFUSED_SHARE * view.limit)
        return false;
    if (!retry_budget_spend(b, rules, BOXES, now))
        return false;
    b->refused[slice_at(b, rules, now)] += refused;
    return true;
}

/* ===== Budgets by service ===== */

GHashTable *retry_budgets_create(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

retry_budget_t *retry_budgets_get(GHashTable *budgets, const char *service, tc_time_t now)
{
    retry_budget_t *budget = g_hash_table_lookup(budgets, service);
    if (budget)
        return budget;
    budget = g_new0(retry_budget_t, 1);
    retry_budget_init(budget, now);
    g_hash_table_insert(budgets, g_strdup(service), budget);
    return budget;
}
