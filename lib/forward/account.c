#include "forward/account.h"

#include <jansson.h>
#include <stdbool.h>
#include <string.h>

#include "forward/reasons.h"
#include "gen/schema.h"

/* ===== Constants ===== */

/** Longest time that a caller waits. An attempt that begins later than this counts as a new request. */
enum { RETRY_SPAN_MS = 15000 };

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
    char end[CODEC_STR_SIZE]; /* event that ended it, "" when its box ended first */
    bool full;                /* refused for lack of capacity */
    bool broken;              /* a back end broke off or refused it */
    bool resumes;             /* resumes a stream */
    json_int_t at, aim, pause_aim, status, took, first, pause;
} attempt_t;

struct account {
    GHashTable *attempts; /* id -> attempt_t */
    GPtrArray *order;     /* attempt_t, owned */
};

/* ===== Parsing ===== */

static json_int_t get_int(const json_t *line, const char *key, json_int_t missing)
{
    const json_t *const value = json_object_get(line, key);
    return json_is_integer(value) ? json_integer_value(value) : missing;
}

static void copy_text(char to[CODEC_STR_SIZE], const json_t *line, const char *key)
{
    const char *const text = json_string_value(json_object_get(line, key));
    g_strlcpy(to, text ? text : "", CODEC_STR_SIZE);
}

static void begin_attempt(attempt_t *t, const json_t *line)
{
    copy_text(t->service, line, "service");
    copy_text(t->prompt, line, "prompt");
    t->at = get_int(line, "time", 0);
    t->aim = get_int(line, "aim_ms", 0);
    t->pause_aim = get_int(line, "pause_aim_ms", 0);
    t->resumes = json_object_get(line, "resume_after") != NULL;
}

static void end_attempt(attempt_t *t, const json_t *line, const char *event)
{
    static const char *const full[] = {REASON_REFUSED, REASON_NOT_IN_TIME, REASON_NO_ROOM,  REASON_NO_SLOT,
                                       REASON_LIMITED, REASON_BACKING_OFF, REASON_EVACUATED};
    const char *const why = json_string_value(json_object_get(line, "why"));
    g_strlcpy(t->end, event, sizeof(t->end));
    t->status = get_int(line, "status", 0);
    t->took = get_int(line, "took_ms", 0);
    t->first = get_int(line, "first_ms", -1);
    t->pause = get_int(line, "pause_ms", 0);
    for (size_t i = 0; i < G_N_ELEMENTS(full); i++)
        t->full = t->full || (why && strcmp(why, full[i]) == 0);
}

void account_add_line(account_t *account, const char *text)
{
    const char *const from = strchr(text, '{');
    json_t *const line = from ? json_loads(from, JSON_DISABLE_EOF_CHECK, NULL) : NULL;
    const char *const id = json_string_value(json_object_get(line, "request"));
    const char *const event = json_string_value(json_object_get(line, "event"));
    attempt_t *t = id && event ? g_hash_table_lookup(account->attempts, id) : NULL;
    if (id && event && !t && strcmp(event, "routed") == 0) {
        t = g_new0(attempt_t, 1);
        g_strlcpy(t->id, id, sizeof(t->id));
        g_hash_table_insert(account->attempts, t->id, t);
        g_ptr_array_add(account->order, t);
        begin_attempt(t, line);
    } else if (t && (strcmp(event, "done") == 0 || strcmp(event, "failed") == 0 || strcmp(event, "aborted") == 0 ||
                     strcmp(event, "caller_gone") == 0)) {
        end_attempt(t, line, event);
    } else if (t && (strcmp(event, "answer_lost") == 0 || strcmp(event, "not_run") == 0)) {
        t->broken = true;
    }
    json_decref(line);
}

/* ===== Causes ===== */

/** All attempts of one caller, combined. */
typedef struct {
    bool full, refused, box, resumed, broken, served, paused, left, backend;
    json_int_t first; /* ms from the first attempt to the first event of any, or to the whole answer; -1: none */
} history_t;

static void add_attempt(history_t *s, const attempt_t *first, const attempt_t *t)
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

static cause_t cause_of(const history_t *s, json_int_t aim)
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
    const attempt_t *const x = *(attempt_t *const *)a, *const y = *(attempt_t *const *)b;
    return (x->at > y->at) - (x->at < y->at);
}

/** Classifies a caller by its attempts from the one at @p at on; adds the later ones to @p taken. */
static cause_t classify_caller(const GPtrArray *order, guint at, GHashTable *taken)
{
    const attempt_t *const first = g_ptr_array_index(order, at);
    history_t history = {.first = -1};
    add_attempt(&history, first, first);
    for (guint k = at + 1; k < order->len && first->prompt[0]; k++) {
        attempt_t *const next = g_ptr_array_index(order, k);
        if (next->at - first->at > RETRY_SPAN_MS)
            break;
        if (strcmp(next->prompt, first->prompt) != 0)
            continue;
        g_hash_table_add(taken, next);
        add_attempt(&history, first, next);
    }
    return cause_of(&history, first->aim);
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
        const attempt_t *const first = g_ptr_array_index(account->order, i);
        if (g_hash_table_contains(taken, first))
            continue;
        const cause_t cause = classify_caller(account->order, i, taken);
        account_service_t *const s = service_of(services, first->service);
        if (s->count[cause] < ACCOUNT_EXAMPLES)
            s->examples[cause][s->count[cause]] = first->id;
        s->count[cause]++;
        s->callers++;
    }
    g_hash_table_destroy(taken);
    return services;
}

/* ===== Creation ===== */

account_t *account_create(void)
{
    account_t *const account = g_new0(account_t, 1);
    account->attempts = g_hash_table_new(g_str_hash, g_str_equal);
    account->order = g_ptr_array_new_with_free_func(g_free);
    return account;
}

void account_destroy(account_t *account)
{
    g_hash_table_destroy(account->attempts);
    g_ptr_array_free(account->order, TRUE);
    g_free(account);
}
