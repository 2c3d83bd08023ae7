#include "forward/account.h"

#include <jansson.h>
#include <stdbool.h>
#include <string.h>

#include "forward/reasons.h"
#include "gen/schema.h"

/* ===== Constants ===== */

/** A caller that comes back later than this asks for something new: as long as callers wait at most. */
enum { TRIES_SPAN_MS = 15000 };

const char *const account_cause_names[CAUSE_COUNT] = {"served in time",
                                                      "refused for want of room, late on return",
                                                      "refused for want of room, not served",
                                                      "refused for another reason, late on return",
                                                      "refused for another reason, not served",
                                                      "its box ended, late",
                                                      "its box ended, not served",
                                                      "its back end broke off or had no room, late",
                                                      "its back end broke off or had no room, not served",
                                                      "first event or answer late",
                                                      "a pause between events too long",
                                                      "failure of the back end",
                                                      "the caller left",
                                                      "other"};

/* ===== Types ===== */

/** One request id. */
typedef struct {
    char id[CODEC_STR_SIZE];
    char prompt[CODEC_STR_SIZE];
    char service[CODEC_STR_SIZE];
    char end[CODEC_STR_SIZE]; /* event that ended it, "" when its box did */
    bool full;                /* refused for want of room */
    bool broken;              /* a back end broke off or turned it away */
    bool resumes;             /* takes a stream up again */
    json_int_t at, aim, pause_aim, status, took, first, pause;
} try_t;

struct account {
    GHashTable *tries; /* id -> try_t */
    GPtrArray *order;  /* try_t, owned */
};

/* ===== Reading ===== */

static json_int_t number_in(const json_t *line, const char *key, json_int_t missing)
{
    const json_t *const value = json_object_get(line, key);
    return json_is_integer(value) ? json_integer_value(value) : missing;
}

static void copy_in(char to[CODEC_STR_SIZE], const json_t *line, const char *key)
{
    const char *const text = json_string_value(json_object_get(line, key));
    g_strlcpy(to, text ? text : "", CODEC_STR_SIZE);
}

static void begin_try(try_t *t, const json_t *line)
{
    copy_in(t->service, line, "service");
    copy_in(t->prompt, line, "prompt");
    t->at = number_in(line, "time", 0);
    t->aim = number_in(line, "aim_ms", 0);
    t->pause_aim = number_in(line, "pause_aim_ms", 0);
    t->resumes = json_object_get(line, "resume_after") != NULL;
}

static void end_try(try_t *t, const json_t *line, const char *event)
{
    static const char *const full[] = {REASON_REFUSED, REASON_NOT_IN_TIME, REASON_NO_ROOM,
                                       REASON_LIMITED, REASON_BACKING_OFF, REASON_EVACUATED};
    const char *const why = json_string_value(json_object_get(line, "why"));
    g_strlcpy(t->end, event, sizeof(t->end));
    t->status = number_in(line, "status", 0);
    t->took = number_in(line, "took_ms", 0);
    t->first = number_in(line, "first_ms", -1);
    t->pause = number_in(line, "pause_ms", 0);
    for (size_t i = 0; i < G_N_ELEMENTS(full); i++)
        t->full = t->full || (why && strcmp(why, full[i]) == 0);
}

void account_add_line(account_t *account, const char *text)
{
    const char *const from = strchr(text, '{');
    json_t *const line = from ? json_loads(from, JSON_DISABLE_EOF_CHECK, NULL) : NULL;
    const char *const id = json_string_value(json_object_get(line, "request"));
    const char *const event = json_string_value(json_object_get(line, "event"));
    try_t *t = id && event ? g_hash_table_lookup(account->tries, id) : NULL;
    if (id && event && !t && strcmp(event, "routed") == 0) {
        t = g_new0(try_t, 1);
        g_strlcpy(t->id, id, sizeof(t->id));
        g_hash_table_insert(account->tries, t->id, t);
        g_ptr_array_add(account->order, t);
        begin_try(t, line);
    } else if (t && (strcmp(event, "done") == 0 || strcmp(event, "failed") == 0 || strcmp(event, "aborted") == 0 ||
                     strcmp(event, "caller_gone") == 0)) {
        end_try(t, line, event);
    } else if (t && (strcmp(event, "answer_lost") == 0 || strcmp(event, "not_run") == 0)) {
        t->broken = true;
    }
    json_decref(line);
}

/* ===== Causes ===== */

/** All tries of one caller, seen together. */
typedef struct {
    bool full, refused, box, resumed, broken, served, paused, left, backend;
    json_int_t first; /* from the first try to the first event of any, or to the whole answer; -1: none */
} story_t;

static void add_try(story_t *s, const try_t *first, const try_t *t)
{
    const bool refused = strcmp(t->end, "failed") == 0 && t->status == 503;
    s->full |= refused && t->full;
    s->refused |= refused && !t->full;
    s->box |= !t->end[0];
    s->resumed |= t->resumes;
    s->broken |= t->broken;
    s->left |= strcmp(t->end, "caller_gone") == 0;
    s->paused |= t->pause_aim > 0 && t->pause > t->pause_aim;
    s->backend |= strcmp(t->end, "done") == 0 && t->status >= 500;
    s->served |= strcmp(t->end, "done") == 0 && t->status < 300;
    const json_int_t answered = t->first >= 0 ? t->first : (strcmp(t->end, "done") == 0 ? t->took : -1);
    if (s->first < 0 && answered >= 0)
        s->first = t->at - first->at + answered;
}

static cause_t cause_of(const story_t *s, json_int_t aim)
{
    const bool late = s->first > aim || s->resumed || s->paused;
    if (s->served && !late)
        return CAUSE_SERVED;
    if (s->full)
        return s->served ? CAUSE_FULL_LATE : CAUSE_FULL;
    if (s->refused)
        return s->served ? CAUSE_REFUSED_LATE : CAUSE_REFUSED;
    if (s->box || s->resumed)
        return s->served ? CAUSE_BOX_LATE : CAUSE_BOX;
    if (s->broken)
        return s->served ? CAUSE_ENGINE_LATE : CAUSE_ENGINE;
    if (s->served)
        return s->first > aim ? CAUSE_FIRST_LATE : CAUSE_PAUSED;
    if (s->left)
        return CAUSE_CALLER_LEFT;
    return s->backend ? CAUSE_BACKEND : CAUSE_OTHER;
}

static int by_time(const void *a, const void *b)
{
    const try_t *const x = *(try_t *const *)a, *const y = *(try_t *const *)b;
    return (x->at > y->at) - (x->at < y->at);
}

/** What came of a caller, by all its tries from the first one on. */
static cause_t judge_caller(const GPtrArray *order, guint at, GHashTable *taken)
{
    const try_t *const first = g_ptr_array_index(order, at);
    story_t story = {.first = -1};
    add_try(&story, first, first);
    for (guint k = at + 1; k < order->len && first->prompt[0]; k++) {
        try_t *const next = g_ptr_array_index(order, k);
        if (next->at - first->at > TRIES_SPAN_MS)
            break;
        if (strcmp(next->prompt, first->prompt) != 0)
            continue;
        g_hash_table_add(taken, next);
        add_try(&story, first, next);
    }
    return cause_of(&story, first->aim);
}

static account_service_t *service_of(GArray *services, const char *name)
{
    for (guint i = 0; i < services->len; i++) {
        account_service_t *const s = &g_array_index(services, account_service_t, i);
        if (strcmp(s->service, name) == 0)
            return s;
    }
    const account_service_t fresh = {.service = name};
    g_array_append_val(services, fresh);
    return &g_array_index(services, account_service_t, services->len - 1);
}

GArray *account_classify(account_t *account)
{
    GArray *const services = g_array_new(FALSE, TRUE, sizeof(account_service_t));
    GHashTable *const taken = g_hash_table_new(g_direct_hash, g_direct_equal);
    g_ptr_array_sort(account->order, by_time);
    for (guint i = 0; i < account->order->len; i++) {
        const try_t *const first = g_ptr_array_index(account->order, i);
        if (g_hash_table_contains(taken, first))
            continue;
        const cause_t cause = judge_caller(account->order, i, taken);
        account_service_t *const s = service_of(services, first->service);
        if (s->count[cause] < ACCOUNT_EXAMPLES)
            s->examples[cause][s->count[cause]] = first->id;
        s->count[cause]++;
        s->callers++;
    }
    g_hash_table_destroy(taken);
    return services;
}

/* ===== Life ===== */

account_t *account_create(void)
{
    account_t *const account = g_new0(account_t, 1);
    account->tries = g_hash_table_new(g_str_hash, g_str_equal);
    account->order = g_ptr_array_new_with_free_func(g_free);
    return account;
}

void account_destroy(account_t *account)
{
    g_hash_table_destroy(account->tries);
    g_ptr_array_free(account->order, TRUE);
    g_free(account);
}
