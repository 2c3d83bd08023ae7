/** @file main.c
 * trackcove: the operators' command line.
 */

#include <stdio.h>
#include <string.h>

#include "backend/http_client.h"
#include "trackcove/cli.h"

typedef struct {
    const char *name;
    int (*run)(const cli_options_t *options, int argc, char **argv);
    int args; /* number of required arguments after the name */
    const char *usage;
    const char *help;
} command_entry_t;

static const command_entry_t commands[] = {
    {"check", cmd_check, 2, "check entry|control|config FILE", "validate a settings file"},
    {"status", cmd_status, 0, "status", "leader, accepted and in-force version, lagging boxes, cells"},
    {"boxes", cmd_boxes, 0, "boxes", "entry boxes that report to the control leader"},
    {"entries", cmd_entries, 0, "entries --entry IP:PORT", "entry boxes that callers are told to use"},
    {"engines", cmd_engines, 0, "engines --entry IP:PORT", "engines as the schedulers on that box see them"},
    {"config", cmd_config, 0, "config", "the accepted configuration"},
    {"plan", cmd_plan, 1, "plan FILE|-", "show what a JSON merge patch would change, without changing it"},
    {"confirm", cmd_confirm, 1, "confirm PLAN", "apply a plan as the next version"},
    {"reject", cmd_reject, 1, "reject PLAN", "discard a plan"},
    {"plans", cmd_plans, 0, "plans", "plans waiting for confirmation"},
    {"history", cmd_history, 0, "history", "accepted changes, newest first"},
    {"diff", cmd_diff, 1, "diff VERSION", "the patch from the current version back to VERSION"},
    {"rollback", cmd_rollback, 1, "rollback VERSION", "plan a new version that equals an earlier one"},
    {"watch", cmd_watch, 0, "watch [--count N]", "print a line for each change of the accepted or in-force version"},
    {"drain", cmd_drain, 1, "drain BOX", "planned stop of an entry box"},
    {"undrain", cmd_undrain, 1, "undrain BOX", "let a drained box start again"},
    {"explain", cmd_explain, 1, "explain REQUEST --log FILE...", "all decisions about a request, from log files"},
    {"account", cmd_account, 0, "account --log FILE...",
     "requests served late or not at all, by cause, from log files"},
    {"admission", cmd_admission, 0, "admission [SERVICE]",
     "who waits for slots and engines, on the users' platform; --token is optional"},
    {"token", cmd_token, 0, "token", "generate an operator's token and its hash for the settings"},
    {"data", cmd_data, 2, "data check DIR", "verify a data directory offline"},
};

static const char EXAMPLES[] =
    "Examples:\n"
    "  trackcove check config examples/sahel/config.json\n"
    "  export TRACKCOVE_CONTROL=127.0.0.1:17301,127.0.0.1:17302,127.0.0.1:17303 TRACKCOVE_TOKEN=...\n"
    "  trackcove status\n"
    "  echo '{\"targets\":{\"max_queue\":256}}' | trackcove plan -\n"
    "  trackcove confirm plan-3f1c...\n"
    "Exit codes: 0 success, 1 failure, 2 invalid usage or settings, 3 refused (nothing changed), 4 no control leader "
    "reached.\n";

static char *summary(void)
{
    GString *const text = g_string_new("Commands:\n");
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
        g_string_append_printf(text, "  %-36s %s\n", commands[i].usage, commands[i].help);
    return g_string_free(text, FALSE);
}

static int run(const cli_options_t *options, int argc, char **argv)
{
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        if (strcmp(commands[i].name, argv[1]) != 0)
            continue;
        if (argc - 2 < commands[i].args) {
            fprintf(stderr, "usage: trackcove %s\n", commands[i].usage);
            return CLI_USAGE;
        }
        return commands[i].run(options, argc - 2, argv + 2);
    }
    fprintf(stderr, "trackcove: unknown command %s; see trackcove --help\n", argv[1]);
    return CLI_USAGE;
}

int main(int argc, char **argv)
{
    cli_options_t o = {
        .control = g_strdup(g_getenv("TRACKCOVE_CONTROL")), .token = g_strdup(g_getenv("TRACKCOVE_TOKEN")), .base = -1};
    const GOptionEntry entries[] = {
        {"control", 'c', 0, G_OPTION_ARG_STRING, &o.control, "addresses of control boxes (or TRACKCOVE_CONTROL)",
         "IP:PORT,..."},
        {"entry", 'e', 0, G_OPTION_ARG_STRING, &o.entry, "address of an entry box", "IP:PORT"},
        {"token", 't', 0, G_OPTION_ARG_STRING, &o.token, "operator's token (or TRACKCOVE_TOKEN)", "TOKEN"},
        {"request-id", 'r', 0, G_OPTION_ARG_STRING, &o.request_id,
         "id of this request; resending with the same id is safe", "ID"},
        {"base", 'b', 0, G_OPTION_ARG_INT64, &o.base, "version that a plan applies to (the newest)", "VERSION"},
        {"log", 'l', 0, G_OPTION_ARG_FILENAME_ARRAY, &o.logs, "log file; may be repeated", "FILE"},
        {"count", 'n', 0, G_OPTION_ARG_INT, &o.count, "stop watching after N lines", "N"},
        {"json", 'j', 0, G_OPTION_ARG_NONE, &o.json, "print the answer as JSON", NULL},
        {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL}};
    GOptionContext *const context = g_option_context_new("COMMAND [ARGUMENT...]");
    char *const text = summary();
    g_option_context_set_summary(context, text);
    g_option_context_set_description(context, EXAMPLES);
    g_option_context_add_main_entries(context, entries, NULL);
    GError *error = NULL;
    if (!g_option_context_parse(context, &argc, &argv, &error)) {
        fprintf(stderr, "trackcove: %s\n", error->message);
        return CLI_USAGE;
    }
    if (argc < 2) {
        char *const help = g_option_context_get_help(context, TRUE, NULL);
        fputs(help, stderr);
        g_free(help);
        return CLI_USAGE;
    }
    if (!o.request_id)
        o.request_id = g_uuid_string_random();
    http_client_init("operator");
    return run(&o, argc, argv);
}
