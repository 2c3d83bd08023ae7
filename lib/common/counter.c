#include "common/counter.h"

#include <stdio.h>
#include <string.h>

/* Modified only by constructors, before any thread starts. */
static counter_t *first_counter;

void counter_register(counter_t *counter)
{
    counter->next = first_counter;
    first_counter = counter;
}

size_t counter_print(char *to, size_t size)
{
    size_t used = 0;
    for (const counter_t *c = first_counter; c; c = c->next) {
        const int n = snprintf(to + used, size - used, "# HELP %s %s\n# TYPE %s %s\n%s %lld\n", c->name, c->help,
                               c->name, c->type, c->name, (long long)atomic_load(&c->value));
        if (n < 0 || (size_t)n >= size - used)
            return used;
        used += (size_t)n;
    }
    return used;
}

int64_t counter_read(const char *name)
{
    for (const counter_t *c = first_counter; c; c = c->next)
        if (strcmp(c->name, name) == 0)
            return atomic_load(&c->value);
    return -1;
}
