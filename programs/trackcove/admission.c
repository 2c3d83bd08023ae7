/* State of admission at the leader of the users' platform, as a table. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "backend/http_client.h"
#include "trackcove/cli.h"

/* ===== Call ===== */

enum { CALL_TIMEOUT_MS = 3000, STATUS_OK = 200, STATUS_UNAVAILABLE = 503 };

/** @return the view, or NULL. @param status 0: no answer */
static json_t *get_view(const cli_options_t *o, const char *addr, int *status)
{
    char *const url = g_strdup_printf("http://%s/admission", addr);
    char *const auth = o->token ? g_strdup_printf("Authorization: Bearer %s", o->token) : NULL;
    const char *const headers[] = {auth, NULL};
    const http_call_t call = {.url = url,
                              .method = "GET",
                              .headers = headers,
                              .timeout = CALL_TIMEOUT_MS,
                              .peer = addr,
                              .step = "admission",
                              .follow = true};
    http_result_t result;
    tc_err_t err = {0};
    const int rc = http_call(&call, &result, &err);
    *status = rc == TC_OK || rc == TC_E_REFUSED ? result.status : 0;
    json_t *view = *status == STATUS_OK && result.body ? json_loadb(result.body, result.body_size, 0, NULL) : NULL;
    if (!json_is_array(json_object_get(view, "services"))) {
        json_decref(view);
        view = NULL;
    }
    if (!view)
        fprintf(stderr, "trackcove admission: %s: %s\n", addr, rc != TC_OK ? err.detail : "answer is no view");
    free(result.body);
    g_free(url);
    g_free(auth);
    return view;
}

/** Asks the control boxes in turn. @return NULL with the exit code in @p code */
static json_t *find_view(const cli_options_t *o, int *code)
{
    gchar **const boxes = g_strsplit(o->control, ",", 0);
    json_t *view = NULL;
    *code = CLI_UNREACHABLE;
    for (gchar **box = boxes; *box && !view; box++) {
        int status;
        view = get_view(o, *box, &status);
        if (!view && status != 0 && status != STATUS_UNAVAILABLE)
            *code = CLI_REFUSED;
    }
    g_strfreev(boxes);
    return view;
}

/** Removes all services but one. @return whether there is that one */
static bool select_service(const json_t *view, const char *service)
{
    json_t *const services = json_object_get(view, "services");
    for (size_t i = json_array_size(services); i-- > 0;) {
        const char *const name = json_string_value(json_object_get(json_array_get(services, i), "service"));
        if (!name || strcmp(name, service) != 0)
            json_array_remove(services, i);
    }
    return json_array_size(services) > 0;
}

/* ===== Table ===== */

static long long get_count(const json_t *object, const char *key)
{
    return json_integer_value(json_object_get(object, key));
}

static double get_number(const json_t *object, const char *key)
{
    return json_number_value(json_object_get(object, key));
}

static const char *get_text(const json_t *object, const char *key)
{
    const char *const text = json_string_value(json_object_get(object, key));
    return text ? text : "";
}

static long long add_up(const json_t *list, const char *key)
{
    long long sum = 0;
    for (size_t i = 0; i < json_array_size(list); i++)
        sum += get_count(json_array_get(list, i), key);
    return sum;
}

static void print_totals(const json_t *s)
{
    const json_t *const backends = json_object_get(s, "backends");
    printf("%s (%s%s): %lld queued, %lld of them late; %.1f/s; %lld granted, %lld refused, %lld expired",
           get_text(s, "service"), get_text(s, "kind"), json_is_true(json_object_get(s, "ranked")) ? ", ranked" : "",
           get_count(s, "queued"), get_count(s, "queued_late"), get_number(s, "rate_s"), get_count(s, "granted"),
           get_count(s, "refused"), get_count(s, "expired"));
    if (backends)
        printf("; %zu back ends, %lld slots, %lld tickets, %lld unticketed", json_array_size(backends),
               add_up(backends, "slots"), add_up(backends, "tickets"), add_up(backends, "unticketed"));
    printf("\n");
}

static void print_queue(const json_t *queue)
{
    if (json_array_size(queue) > 0)
        printf("  %-8s %6s %8s %8s %8s %10s\n", "priority", "rank", "in time", "yielded", "late", "oldest ms");
    for (size_t i = 0; i < json_array_size(queue); i++) {
        const json_t *const c = json_array_get(queue, i);
        printf("  %-8lld %6lld %8lld %8lld %8lld %10lld\n", get_count(c, "priority"), get_count(c, "rank"),
               get_count(c, "in_time"), get_count(c, "yielded"), get_count(c, "late"), get_count(c, "oldest_ms"));
    }
}

static void print_workspaces(const json_t *s)
{
    const json_t *const list = json_object_get(s, "workspaces");
    const long long more = get_count(s, "workspaces_n") - (long long)json_array_size(list);
    if (json_array_size(list) > 0)
        printf("  %-32s %6s %10s %10s %10s\n", "workspace", "weight", "queued", "running", "level");
    for (size_t i = 0; i < json_array_size(list); i++) {
        const json_t *const w = json_array_get(list, i);
        printf("  %-32s %6lld %10.0f %10.0f %10.1f\n", get_text(w, "workspace"), get_count(w, "weight"),
               get_number(w, "queued"), get_number(w, "running"), get_number(w, "level"));
    }
    if (more > 0)
        printf("  and %lld more\n", more);
}

static void print_returns(const json_t *r)
{
    if (!r)
        return;
    printf("  returns: %lld refused, %lld promised, %.0f booked at %.1f/s; came %lld in time, %lld early, %lld lapsed; "
           "promises %lld kept, %lld broken; %lld remembered\n",
           get_count(r, "refused"), get_count(r, "promised"), get_number(r, "booked"), get_number(r, "rate_s"),
           get_count(r, "in_time"), get_count(r, "early"), get_count(r, "lapsed"), get_count(r, "kept"),
           get_count(r, "broken"), get_count(r, "remembered"));
}

static void print_view(const json_t *view)
{
    const json_t *const services = json_object_get(view, "services");
    if (!json_is_true(json_object_get(view, "held")))
        printf("the leader does not hold its lease at the moment: nothing is granted\n");
    if (json_array_size(services) == 0)
        printf("no service has a queue\n");
    for (size_t i = 0; i < json_array_size(services); i++) {
        const json_t *const s = json_array_get(services, i);
        print_totals(s);
        print_queue(json_object_get(s, "queue"));
        print_workspaces(s);
        print_returns(json_object_get(s, "returns"));
    }
}

int cmd_admission(const cli_options_t *options, int argc, char **argv)
{
    const char *const service = argc > 0 ? argv[0] : NULL;
    int code = CLI_OK;
    if (!options->control) {
        fprintf(stderr, "trackcove admission: give --control (or TRACKCOVE_CONTROL)\n");
        return CLI_USAGE;
    }
    json_t *const view = find_view(options, &code);
    if (!view)
        return code;
    code = CLI_OK;
    if (service && !select_service(view, service)) {
        fprintf(stderr, "trackcove admission: no service %s in the view\n", service);
        code = CLI_FAILED;
    } else if (!cli_print_json(options, view)) {
        print_view(view);
    }
    json_decref(view);
    return code;
}
