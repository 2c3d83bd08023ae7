#include "cap/cap.h"

double cap_cost(const cap_t *cap, uint64_t tokens)
{
    switch (cap->unit) {
    case CAP_REQUESTS: return 1;
    case CAP_TOKENS: return tokens > 0 ? (double)tokens : cap->default_cost;
    }
    return 1;
}

double cap_window_units(const cap_rules_t *rules, double rate, double burst)
{
    enum { MS_PER_S = 1000 };
    return rate * (double)rules->window / MS_PER_S + burst;
}

double cap_tolerance(const cap_rules_t *rules, double rate, double burst)
{
    return rules->overrun * cap_window_units(rules, rate, burst) + rules->slack;
}
