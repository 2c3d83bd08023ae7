#include "platform/soak/plain.h"

#include <jansson.h>
#include <string.h>

#include "admission/slot_depth.h"

enum {
    SERVICE_MS = 20, /* of a request at the usual pace */
    PACE_MS = 600,   /* for which a pace lasts */
    PACE_SLOW = 250, /* percent */
    PACE_USUAL = 100,
    OWN = 2 /* requests that boxes may have sent by their own choice, when the leader was late to answer */
};

/** Share of the time for which a worker is slow. */
static const double SLOW_SHARE = 0.15;

static unsigned current_pace(struct worker *k, tc_time_t now)
{
    if (now >= k->pace_until) {
        k->pace = world_random(k->world) < SLOW_SHARE ? PACE_SLOW : PACE_USUAL;
        k->pace_until = now + PACE_MS;
    }
    return k->pace;
}

/** Counts the requests that the worker has. */
static unsigned count_running(const struct worker *k, tc_time_t now)
{
    unsigned n = 0;
    for (guint i = 0; i < k->ends->len; i++)
        n += g_array_index(k->ends, tc_time_t, i) > now;
    return n;
}

char *plain_header(struct worker *k)
{
    const tc_time_t now = tc_time_now();
    const unsigned running = count_running(k, now);
    if (k->kind != 0)
        return g_strdup("");
    return g_strdup_printf("Server-Load: %u,%u,%u,%u\r\n", MIN(running, WORLD_PLAIN_SLOTS),
                           running > WORLD_PLAIN_SLOTS ? running - WORLD_PLAIN_SLOTS : 0, WORLD_PLAIN_SLOTS,
                           current_pace(k, now));
}

/** Takes the slot that is free first. @return when the request ends */
static tc_time_t occupy(struct worker *k, tc_time_t now)
{
    unsigned first = 0;
    for (unsigned i = 1; i < WORLD_PLAIN_SLOTS; i++)
        if (k->slot_free_at[i] < k->slot_free_at[first])
            first = i;
    const tc_time_t takes = SERVICE_MS * (tc_time_t)current_pace(k, now) / PACE_USUAL;
    k->slot_free_at[first] = MAX(k->slot_free_at[first], now) + takes;
    return k->slot_free_at[first];
}

static void remove_ended(const struct worker *k, tc_time_t now)
{
    for (guint i = k->ends->len; i-- > 0;)
        if (g_array_index(k->ends, tc_time_t, i) <= now)
            g_array_remove_index_fast(k->ends, i);
}

void plain_answered(struct worker *k, lab_reply_t *answer)
{
    const tc_time_t now = tc_time_now();
    if (k->kind != 0 || answer->end != LAB_KEEP || !g_str_has_prefix(answer->bytes, "HTTP/1.1 200"))
        return;
    const tc_time_t end = occupy(k, now);
    remove_ended(k, now);
    g_array_append_val(k->ends, end);
    if (k->world->is_in_touch)
        k->most = MAX(k->most, k->ends->len);
    const lab_piece_t pieces[] = {{.size = 1}, {.size = strlen(answer->bytes) - 1, .wait = end - now}};
    answer->pieces = g_array_new(FALSE, FALSE, sizeof(lab_piece_t));
    g_array_append_vals(answer->pieces, pieces, G_N_ELEMENTS(pieces));
}

void plain_restart(struct worker *k)
{
    g_array_set_size(k->ends, 0);
    memset(k->slot_free_at, 0, sizeof(k->slot_free_at));
}

bool plain_has_lapsed(const world_t *w, int64_t since)
{
    for (int i = 0; i < WORLD_DISKS; i++)
        if (box_has_logged(&w->boxes[i], "lease_lapsed", NULL, since))
            return true;
    return false;
}

/** Largest number of extra tickets in a line of the log for a grant to the worker; 0 if it is another line. */
static unsigned line_extra(const char *text, const char *id, int64_t since)
{
    const char *event = "", *backend = "";
    json_int_t at = 0, granted = 0, extra = 0;
    json_t *const line = json_loads(text, 0, NULL);
    const bool read = line && json_unpack(line, "{s:I,s:s,s:I,s:s,s:I}", "time", &at, "event", &event, "granted",
                                          &granted, "backend", &backend, "extra", &extra) == 0;
    const bool counts = read && strcmp(event, "slot") == 0 && at >= since && granted && strcmp(backend, id) == 0;
    json_decref(line);
    return counts ? (unsigned)extra : 0;
}

/** Most extra tickets that any leader allowed the worker. */
static unsigned logged_extra(const world_t *w, const char *id, int64_t since)
{
    unsigned most = SLOT_EXTRA;
    for (int i = 0; i < WORLD_DISKS; i++) {
        char *const path = g_strconcat(w->boxes[i].control.settings, ".log", NULL);
        char *text = NULL;
        if (g_file_get_contents(path, &text, NULL, NULL)) {
            char **const lines = g_strsplit(text, "\n", -1);
            for (char **at = lines; *at; at++)
                if (strstr(*at, id))
                    most = MAX(most, line_extra(*at, id, since));
            g_strfreev(lines);
        }
        g_free(text);
        g_free(path);
    }
    return most;
}

void plain_check(world_t *w, int64_t since)
{
    for (int i = 0; i < WORLD_PREFILL; i++) {
        const struct worker *const k = &w->worker[i];
        if (k->most > WORLD_PLAIN_SLOTS + SLOT_EXTRA + OWN &&
            k->most > WORLD_PLAIN_SLOTS + logged_extra(w, k->id, since) + OWN)
            world_fail(w, "a plain worker gets no more requests than the leader granted slots", k->id);
    }
}
