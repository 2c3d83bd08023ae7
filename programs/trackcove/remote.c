/* Commands that call control and entry boxes. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "backend/http_client.h"
#include "common/text.h"
#include "trackcove/cli.h"

/* ===== Calls ===== */

enum { CALL_TIMEOUT_MS = 7000, ROUNDS_MAX = 20, RETRY_DELAY_US = 150000, STATUS_NOT_LEADER = 421 };

static json_t *call_once(const cli_options_t *o, const char *addr, const char *path, const char *body, int *status)
{
    char *const url = g_strdup_printf("http://%s%s", addr, path);
    char *const auth = g_strdup_printf("Authorization: Bearer %s", o->token ? o->token : "");
    const char *const headers[] = {auth, NULL};
    const http_call_t call = {.url = url,
                              .method = body ? "POST" : "GET",
                              .body = body,
                              .body_size = body ? strlen(body) : 0,
                              .headers = headers,
                              .timeout = CALL_TIMEOUT_MS,
                              .peer = addr,
                              .step = "call"};
    http_result_t result;
    tc_err_t err = {0};
    (void)http_call(&call, &result, &err);
    *status = result.status;
    json_t *const answer = result.body ? json_loadb(result.body, result.body_size, 0, NULL) : NULL;
    free(result.body);
    g_free(url);
    g_free(auth);
    return answer;
}

static void print_error(const json_t *answer)
{
    const json_t *const error = json_object_get(answer, "error");
    const char *const message = json_string_value(json_object_get(error, "message"));
    const char *const peer = json_string_value(json_object_get(error, "peer"));
    const char *const detail = json_string_value(json_object_get(answer, "detail"));
    if (message)
        fprintf(stderr, "trackcove: %s%s%s\n", peer && peer[0] ? peer : "", peer && peer[0] ? ": " : "", message);
    else
        fprintf(stderr, "trackcove: refused: %s\n", detail ? detail : "");
}

/** Whether the path must be answered by the leader and @p answer is not from it. */
static bool needs_leader(const char *path, const json_t *answer)
{
    return strcmp(path, "/v1/status") == 0 || strcmp(path, "/v1/members") == 0
               ? !json_is_true(json_object_get(answer, "leads"))
               : false;
}

json_t *cli_control(const cli_options_t *o, const char *path, json_t *body, int *code)
{
    if (!o->control || !o->token) {
        fprintf(stderr, "trackcove: give --control and --token (or TRACKCOVE_CONTROL and TRACKCOVE_TOKEN)\n");
        json_decref(body);
        *code = CLI_USAGE;
        return NULL;
    }
    char *const text = body ? text_from_json(body) : NULL;
    gchar **const boxes = g_strsplit(o->control, ",", 0);
    const guint n = g_strv_length(boxes);
    json_t *answer = NULL, *follower_answer = NULL;
    /* A resend with the same request id gets the first answer, so retrying is safe. */
    for (guint i = 0; i < n * ROUNDS_MAX && !answer; i++) {
        int status = 0;
        json_t *const response = call_once(o, boxes[i % n], path, text, &status);
        const bool retry_next = status == STATUS_NOT_LEADER || (status == 503 && text) || needs_leader(path, response);
        if (status == 0 || retry_next) {
            if (response && needs_leader(path, response) && !follower_answer)
                follower_answer = json_incref(response);
            json_decref(response);
            if (i % n == n - 1) {
                if (follower_answer && i >= 2 * n)
                    break;
                g_usleep(RETRY_DELAY_US);
            }
            continue;
        }
        answer = response;
        *code = status < 300 ? CLI_OK : (status == 400 ? CLI_USAGE : CLI_REFUSED);
    }
    g_strfreev(boxes);
    free(text);
    if (!answer && follower_answer) {
        *code = CLI_OK;
        return follower_answer;
    }
    json_decref(follower_answer);
    if (!answer) {
        fprintf(stderr, "trackcove: no control leader answered; the outcome is unknown: retry with --request-id %s\n",
                o->request_id);
        *code = CLI_UNREACHABLE;
    } else if (*code != CLI_OK) {
        print_error(answer);
    }
    return answer;
}

json_t *cli_get(const char *addr, const char *path, int *code)
{
    const cli_options_t none = {0};
    if (!addr) {
        fprintf(stderr, "trackcove: give --entry IP:PORT\n");
        *code = CLI_USAGE;
        return NULL;
    }
    int status = 0;
    json_t *const answer = call_once(&none, addr, path, NULL, &status);
    *code = status == 200 ? CLI_OK : CLI_UNREACHABLE;
    if (status != 200)
        fprintf(stderr, "trackcove: %s did not answer\n", addr);
    return answer;
}

bool cli_print_json(const cli_options_t *o, const json_t *answer)
{
    if (!o->json)
        return false;
    char *const text = text_from_json(json_incref((json_t *)(uintptr_t)answer));
    printf("%s\n", text);
    free(text);
    return true;
}

/** Part of a patch that the history shows. */
enum { PATCH_SHOWN_BYTES = 100 };

static const char *get_string(const json_t *object, const char *key)
{
    const char *const text = json_string_value(json_object_get(object, key));
    return text ? text : "";
}

static long long get_integer(const json_t *object, const char *key)
{
    return json_integer_value(json_object_get(object, key));
}

static void print_value(const json_t *value)
{
    char *const text = json_dumps(value, JSON_INDENT(2) | JSON_ENCODE_ANY);
    printf("%s\n", text ? text : "");
    free(text);
}

/* ===== Queries ===== */

int cmd_status(const cli_options_t *o, int argc, char **argv)
{
    (void)argc, (void)argv;
    int code;
    json_t *const s = cli_control(o, "/v1/status", NULL, &code);
    if (code != CLI_OK || cli_print_json(o, s))
        return code;
    printf("leader     %s%s\n", get_string(s, "leader"),
           json_is_true(json_object_get(s, "leads")) ? "" : " (not reached)");
    printf("term       %lld\naccepted   %lld\nin force   %lld%s%s\n", get_integer(s, "term"),
           get_integer(s, "accepted"), get_integer(s, "in_force"), get_string(s, "lags")[0] ? "   lags: " : "",
           get_string(s, "lags"));
    size_t i;
    json_t *item;
    json_array_foreach(json_object_get(s, "control"), i, item)
        printf("control    %-14s %s  %s%s\n", get_string(item, "box"), get_string(item, "id"),
               json_is_true(json_object_get(item, "voter")) ? "voter" : "catching up",
               json_is_true(json_object_get(item, "leader")) ? ", leader" : "");
    json_array_foreach(json_object_get(s, "cells"), i, item)
        printf("cell       %-14s on %s, epoch %lld\n", get_string(item, "cell"), get_string(item, "box"),
               get_integer(item, "epoch"));
    return code;
}

int cmd_boxes(const cli_options_t *o, int argc, char **argv)
{
    (void)argc, (void)argv;
    int code;
    json_t *const status = cli_control(o, "/v1/status", NULL, &code);
    if (code != CLI_OK)
        return code;
    cli_options_t at_leader = *o;
    char *const leader = g_strdup(get_string(status, "leader"));
    at_leader.control = leader;
    json_t *const list = cli_control(&at_leader, "/v1/members", NULL, &code);
    if (code != CLI_OK || cli_print_json(o, list))
        return code;
    printf("%-14s %-18s %-22s %8s %6s %9s %s\n", "box", "data centre", "address", "version", "room", "silent ms",
           "state");
    size_t i;
    json_t *b;
    json_array_foreach(list, i, b)
        printf("%-14s %-18s %-22s %8lld %6lld %9lld %s\n", get_string(b, "box"), get_string(b, "dc"),
               get_string(b, "http_addr"), get_integer(b, "version"), get_integer(b, "room"),
               get_integer(b, "silent_ms"),
               !json_is_true(json_object_get(b, "live"))      ? "silent"
               : json_is_true(json_object_get(b, "draining")) ? "draining"
                                                              : "live");
    return code;
}

int cmd_entries(const cli_options_t *o, int argc, char **argv)
{
    (void)argc, (void)argv;
    int code;
    json_t *const answer = cli_get(o->entry, "/v1/entries?caller=operator", &code);
    if (code != CLI_OK || cli_print_json(o, answer))
        return code;
    printf("valid for %lld ms\n", get_integer(answer, "keep_ms"));
    size_t i;
    json_t *e;
    json_array_foreach(json_object_get(answer, "entries"), i, e)
        printf("%-14s %-22s %-18s room %lld\n", get_string(e, "box"), get_string(e, "addr"), get_string(e, "dc"),
               get_integer(e, "room"));
    return code;
}

int cmd_engines(const cli_options_t *o, int argc, char **argv)
{
    (void)argc, (void)argv;
    int code;
    json_t *const answer = cli_get(o->entry, "/v1/engines", &code);
    if (code != CLI_OK || cli_print_json(o, answer))
        return code;
    size_t i, k;
    json_t *h, *e;
    json_array_foreach(json_object_get(answer, "holders"), i, h)
        printf("cell %s is scheduled by %s (epoch %lld)\n", get_string(h, "cell"), get_string(h, "box"),
               get_integer(h, "epoch"));
    json_array_foreach(json_object_get(answer, "hosted"), i, h) {
        printf("on this box: cell %s, %lld queued, %lld placed, %lld being cancelled\n", get_string(h, "cell"),
               get_integer(h, "queued"), get_integer(h, "placed"), get_integer(h, "cancelling"));
        json_array_foreach(json_object_get(h, "engines"), k, e)
            printf("  %-12s %-8s pieces %3lld/%-3lld batch %2lld backlog %4lld ms  %.0f tokens/s%s%s\n",
                   get_string(e, "name"), get_string(e, "role"), get_integer(e, "reserved"), get_integer(e, "pieces"),
                   get_integer(e, "batch"), get_integer(e, "backlog_ms"), json_real_value(json_object_get(e, "rate")),
                   json_is_true(json_object_get(e, "up")) ? "" : "  down",
                   json_is_true(json_object_get(e, "leaving")) ? "  leaving" : "");
    }
    return code;
}

static int print_answer(const cli_options_t *o, const char *path)
{
    int code;
    json_t *const answer = cli_control(o, path, NULL, &code);
    if (code == CLI_OK && !cli_print_json(o, answer))
        print_value(answer);
    return code;
}

int cmd_config(const cli_options_t *o, int argc, char **argv)
{
    (void)argc, (void)argv;
    return print_answer(o, "/v1/config");
}

int cmd_plans(const cli_options_t *o, int argc, char **argv)
{
    (void)argc, (void)argv;
    return print_answer(o, "/v1/plans");
}

int cmd_history(const cli_options_t *o, int argc, char **argv)
{
    (void)argc, (void)argv;
    int code;
    json_t *const list = cli_control(o, "/v1/history", NULL, &code);
    if (code != CLI_OK || cli_print_json(o, list))
        return code;
    size_t i;
    json_t *c;
    json_array_foreach(list, i, c) {
        char *const patch = text_from_json(json_incref(json_object_get(c, "patch")));
        GDateTime *const when = g_date_time_new_from_unix_utc(get_integer(c, "wall_ms") / 1000);
        char *const stamp = g_date_time_format(when, "%F %T");
        printf("%6lld  %s  %-12s %.*s\n", get_integer(c, "version"), stamp, get_string(c, "operator"),
               (int)text_cut(patch, strnlen(patch, PATCH_SHOWN_BYTES)), patch);
        g_free(stamp);
        g_date_time_unref(when);
        free(patch);
    }
    return code;
}

int cmd_watch(const cli_options_t *o, int argc, char **argv)
{
    (void)argc, (void)argv;
    enum { WATCH_INTERVAL_US = 200000 };
    long long accepted = -1, in_force = -1;
    for (int lines = 0; o->count == 0 || lines < o->count;) {
        int code;
        json_t *const s = cli_control(o, "/v1/status", NULL, &code);
        if (code != CLI_OK)
            return code;
        if (get_integer(s, "accepted") != accepted || get_integer(s, "in_force") != in_force) {
            accepted = get_integer(s, "accepted");
            in_force = get_integer(s, "in_force");
            printf("accepted %lld, in force %lld%s%s\n", accepted, in_force, get_string(s, "lags")[0] ? ", lags: " : "",
                   get_string(s, "lags"));
            fflush(stdout);
            lines++;
        }
        json_decref(s);
        g_usleep(WATCH_INTERVAL_US);
    }
    return CLI_OK;
}

/* ===== Changes ===== */

static int submit_change(const cli_options_t *o, const char *path, json_t *body)
{
    json_object_set_new(body, "request_id", text_to_json(o->request_id));
    int code;
    json_t *const answer = cli_control(o, path, body, &code);
    if (!answer || cli_print_json(o, answer) || code != CLI_OK)
        return code;
    const json_t *const effect = json_object_get(answer, "effect");
    if (effect) {
        printf("plan       %s\nfor        version %lld\ntakes      %lld ms, of which %lld ms of the weight "
               "store\ncapacity   %.2f of a role unavailable during that time\n",
               get_string(answer, "plan"), get_integer(answer, "base"), get_integer(effect, "takes_ms"),
               get_integer(effect, "weight_store_ms"), json_real_value(json_object_get(effect, "capacity_out_share")));
        size_t i;
        json_t *e;
        json_array_foreach(json_object_get(effect, "engines"), i, e)
            printf("engine     %-12s -> %s %s %s%s\n", get_string(e, "engine"), get_string(e, "role"),
                   get_string(e, "model"), get_string(e, "version"),
                   json_is_true(json_object_get(e, "removed")) ? "removed" : "");
        printf("patch      ");
        print_value(json_object_get(answer, "patch"));
        printf("nothing has changed yet: trackcove confirm %s\n", get_string(answer, "plan"));
    } else {
        printf("%s, version %lld\n", get_string(answer, "detail"), get_integer(answer, "version"));
    }
    return code;
}

int cmd_plan(const cli_options_t *o, int argc, char **argv)
{
    (void)argc;
    json_error_t where;
    json_t *const patch = strcmp(argv[0], "-") == 0 ? json_loadf(stdin, JSON_REJECT_DUPLICATES, &where)
                                                    : json_load_file(argv[0], JSON_REJECT_DUPLICATES, &where);
    if (!patch) {
        fprintf(stderr, "trackcove plan: %s: line %d column %d: %s\n", argv[0], where.line, where.column, where.text);
        return CLI_USAGE;
    }
    json_t *const body = json_pack("{s:o}", "patch", patch);
    if (o->base >= 0)
        json_object_set_new(body, "base", json_integer(o->base));
    return submit_change(o, "/v1/plan", body);
}

static bool parse_version(const char *text, long long *version)
{
    char *end;
    *version = strtoll(text, &end, 10);
    if (*end == '\0' && *version > 0)
        return true;
    fprintf(stderr, "trackcove: invalid version %s: must be an integer of at least 1\n", text);
    return false;
}

int cmd_rollback(const cli_options_t *o, int argc, char **argv)
{
    (void)argc;
    long long version;
    return parse_version(argv[0], &version)
               ? submit_change(o, "/v1/plan", json_pack("{s:I}", "rollback", (json_int_t)version))
               : CLI_USAGE;
}

int cmd_diff(const cli_options_t *o, int argc, char **argv)
{
    (void)argc;
    long long version;
    if (!parse_version(argv[0], &version))
        return CLI_USAGE;
    char *const path = g_strdup_printf("/v1/diff?version=%lld", version);
    const int code = print_answer(o, path);
    g_free(path);
    return code;
}

int cmd_confirm(const cli_options_t *o, int argc, char **argv)
{
    (void)argc;
    return submit_change(o, "/v1/confirm", json_pack("{s:o}", "plan", text_to_json(argv[0])));
}

int cmd_reject(const cli_options_t *o, int argc, char **argv)
{
    (void)argc;
    return submit_change(o, "/v1/reject", json_pack("{s:o}", "plan", text_to_json(argv[0])));
}

int cmd_drain(const cli_options_t *o, int argc, char **argv)
{
    (void)argc;
    return submit_change(o, "/v1/drain", json_pack("{s:o,s:b}", "box", text_to_json(argv[0]), "on", 1));
}

int cmd_undrain(const cli_options_t *o, int argc, char **argv)
{
    (void)argc;
    return submit_change(o, "/v1/drain", json_pack("{s:o,s:b}", "box", text_to_json(argv[0]), "on", 0));
}
