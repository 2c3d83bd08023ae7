#include "load/mix.h"

#include <string.h>

#include "stub_answer.h"

static const mix_kind_t sahel_kinds[] = {
    {"alert", 0.30, 300, 0, 60, 0, 0.05, NULL},
    {"question", 0.45, 1500, 0, 100, 5, 0.03, NULL},
    {"summary", 0.20, 8000, 6000, 200, 7, 0, NULL},
    {"notify", 0.05, 0, 0, 0, 0, 1, "air-notify"},
};

static const mix_kind_t river_kinds[] = {
    {"history", 0.22, 16000, 12000, 140, 7, 0, NULL},
    {"reading", 0.45, 400, 0, 50, 4, 0.03, NULL},
    {"alert-check", 0.25, 200, 0, 40, 0, 0.05, NULL},
    {"snapshot", 0.08, 0, 0, 0, 4, 0.5, "gauge-api"},
};

/* The load shift scenario: short prompts with long answers, then long prompts with short answers. */
static const mix_kind_t short_kinds[] = {
    {"question", 1.0, 600, 0, 130, 5, 0, NULL},
};

static const mix_kind_t long_kinds[] = {
    {"summary", 1.0, 5000, 0, 50, 5, 0, NULL},
};

static const mix_t mixes[] = {
    {"sahel", "sahel-lm", 16, 4, 33, sahel_kinds, G_N_ELEMENTS(sahel_kinds)},
    {"sahel-short", "sahel-lm", 16, 4, 21, short_kinds, G_N_ELEMENTS(short_kinds)},
    {"sahel-long", "sahel-lm", 16, 4, 21, long_kinds, G_N_ELEMENTS(long_kinds)},
    {"river", "hydro-lm", 24, 3, 58, river_kinds, G_N_ELEMENTS(river_kinds)},
};

const mix_t *mix_find(const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(mixes); i++)
        if (strcmp(mixes[i].name, name) == 0)
            return &mixes[i];
    return NULL;
}

/** Appends @p bytes of pseudo-random text; equal seeds give equal text. */
static void append_words(GString *text, uint64_t seed, size_t bytes)
{
    const size_t end = text->len + bytes;
    for (uint64_t i = 0; text->len < end; i++) {
        const uint64_t word = XXH3_64bits_withSeed(&i, sizeof(i), seed);
        g_string_append_printf(text, "%07llx ", (unsigned long long)(word & 0xfffffff));
    }
    g_string_truncate(text, end);
}

void mix_draw(const mix_t *mix, GRand *random, uint64_t number, mix_request_t *request)
{
    double draw = g_rand_double(random);
    const mix_kind_t *kind = &mix->kinds[mix->n_kinds - 1];
    for (uint32_t i = 0; i < mix->n_kinds; i++) {
        if (draw < mix->kinds[i].share) {
            kind = &mix->kinds[i];
            break;
        }
        draw -= mix->kinds[i].share;
    }
    request->kind = kind;
    request->non_repeatable = g_rand_double(random) < kind->non_repeatable;
    request->workspace = (uint32_t)g_rand_int_range(random, 0, (gint)mix->workspaces);
    const uint32_t subject = (uint32_t)g_rand_int_range(random, 0, (gint)mix->subjects);
    const double length_factor = 0.75 + 0.5 * g_rand_double(random);
    const uint32_t unique_tokens = (uint32_t)((kind->prompt_tokens - kind->prefix_tokens) * length_factor);
    GString *const text = g_string_new(NULL);
    append_words(text, subject * 1000 + request->workspace, (size_t)kind->prefix_tokens * STUB_BYTES_PER_TOKEN);
    append_words(text, number * 7919 + 17, (size_t)unique_tokens * STUB_BYTES_PER_TOKEN);
    request->prompt_size = text->len;
    request->prompt = g_string_free(text, FALSE);
}
