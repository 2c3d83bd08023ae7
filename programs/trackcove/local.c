/* Commands that work without a running system. */

#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "common/codec.h"
#include "common/log.h"
#include "common/text.h"
#include "control/operators.h"
#include "control/store.h"
#include "gen/schema.h"
#include "trackcove/cli.h"

int cmd_check(const cli_options_t *options, int argc, char **argv)
{
    (void)options, (void)argc;
    const struct {
        const char *kind;
        const codec_desc_t *desc;
    } kinds[] = {{"entry", &entry_settings_desc}, {"control", &control_settings_desc}, {"config", &config_desc}};
    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        if (strcmp(kinds[i].kind, argv[0]) != 0)
            continue;
        tc_err_t err = {0};
        void *const object = g_malloc0(kinds[i].desc->size);
        const int rc = codec_from_json_file(kinds[i].desc, object, argv[1], &err);
        if (rc < 0) {
            fprintf(stderr, "%s: %s: %s\n", argv[1], err.peer, err.detail);
            return CLI_USAGE;
        }
        printf("%s: valid\n", argv[1]);
        codec_free(kinds[i].desc, object);
        g_free(object);
        return CLI_OK;
    }
    fprintf(stderr, "trackcove check: the kind must be entry, control or config, not %s\n", argv[0]);
    return CLI_USAGE;
}

int cmd_token(const cli_options_t *options, int argc, char **argv)
{
    (void)argc, (void)argv;
    unsigned char random[24];
    char token[64], hash[CODEC_PATH_SIZE];
    if (sodium_init() < 0)
        return CLI_FAILED;
    randombytes_buf(random, sizeof(random));
    sodium_bin2hex(token, sizeof(token), random, sizeof(random));
    operators_hash_token(token, hash);
    if (options->json)
        printf("{\"token\":\"%s\",\"token_hash\":\"%s\"}\n", token, hash);
    else
        printf("token       %s   (give it to the operator; it is not stored)\ntoken_hash  %s   (for the control boxes' "
               "settings)\n",
               token, hash);
    return CLI_OK;
}

int cmd_data(const cli_options_t *options, int argc, char **argv)
{
    (void)options, (void)argc;
    if (strcmp(argv[0], "check") != 0) {
        fprintf(stderr, "usage: trackcove data check DIR\n");
        return CLI_USAGE;
    }
    char report[4096];
    tc_err_t err = {0};
    const int rc = store_verify(argv[1], report, sizeof(report), &err);
    fputs(report, stdout);
    if (rc == TC_OK)
        return CLI_OK;
    fprintf(stderr, "%s: %s: %s\n", err.step, err.peer, err.detail);
    return CLI_FAILED;
}

static void free_line(void *line)
{
    json_decref(line);
}

/** Parses a log line and appends it if its field "request" is @p request. */
static void collect_line(GPtrArray *lines, const char *text, const char *request)
{
    json_t *const line = json_loads(text, 0, NULL);
    const char *const named = json_string_value(json_object_get(line, "request"));
    if (named && strcmp(named, request) == 0)
        g_ptr_array_add(lines, json_incref(line));
    json_decref(line);
}

/** Orders lines by time. The boxes' wall clocks may differ; lines of one box keep their order. */
static int compare_times(const void *a, const void *b)
{
    const json_int_t x = json_integer_value(json_object_get(*(json_t *const *)a, "time"));
    const json_int_t y = json_integer_value(json_object_get(*(json_t *const *)b, "time"));
    return x < y ? -1 : x > y;
}

static void print_line(const cli_options_t *options, json_t *line)
{
    if (options->json) {
        char *const text = text_from_json(json_incref(line));
        printf("%s\n", text);
        free(text);
        return;
    }
    const char *key;
    json_t *value;
    json_object_foreach(line, key, value) {
        char *const shown = text_from_json(json_incref(value));
        if (strcmp(key, "request") != 0 && strcmp(key, "level") != 0)
            printf("%s=%s ", key, shown);
        free(shown);
    }
    printf("\n");
}

int cmd_explain(const cli_options_t *options, int argc, char **argv)
{
    (void)argc;
    if (!options->logs) {
        fprintf(stderr, "trackcove explain: give the boxes' log files with --log\n");
        return CLI_USAGE;
    }
    char text[LOG_LINE_MAX * 2];
    GPtrArray *const lines = g_ptr_array_new_with_free_func(free_line);
    for (gchar **path = options->logs; *path; path++) {
        FILE *const in = fopen(*path, "r");
        if (!in) {
            fprintf(stderr, "trackcove explain: cannot open log file %s\n", *path);
            g_ptr_array_free(lines, TRUE);
            return CLI_FAILED;
        }
        while (fgets(text, sizeof(text), in))
            collect_line(lines, text, argv[0]);
        fclose(in);
    }
    g_ptr_array_sort(lines, compare_times);
    for (guint i = 0; i < lines->len; i++)
        print_line(options, g_ptr_array_index(lines, i));
    g_ptr_array_free(lines, TRUE);
    return CLI_OK;
}
