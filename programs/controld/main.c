/** @file main.c
 * trackcove-controld: a control box. Reads its settings, then runs the event loop and the operators' HTTP interface
 * until SIGTERM or SIGINT.
 */

#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <unistd.h>

#include "common/log.h"
#include "control/control.h"
#include "control/operators.h"

enum { OPERATOR_THREADS = 16, EXIT_USAGE = 2, EXIT_START_FAILED = 1 };

static loop_t *loop;

static void on_signal(int number)
{
    (void)number;
    loop_stop(loop);
}

static int report_start_failure(const tc_err_t *err)
{
    fprintf(stderr, "trackcove-controld: %s: %s: %s\n", err->step, err->peer, err->detail);
    log_failure(LOG_ERROR, "start_failed", err);
    return EXIT_START_FAILED;
}

static int run(const control_settings_t *settings)
{
    tc_err_t err = {0};
    loop = loop_create();
    if (!loop)
        return EXIT_START_FAILED;
    control_t *const control = control_create(loop, settings, (uint64_t)tc_time_wall(), &err);
    if (!control)
        return report_start_failure(&err);
    http_server_t *const server = http_start(settings->http_listen, OPERATOR_THREADS, &err);
    if (!server)
        return report_start_failure(&err);
    operators_t *const operators = operators_create(server, control, settings);
    signal(SIGTERM, on_signal);
    signal(SIGINT, on_signal);
    signal(SIGPIPE, SIG_IGN);
    loop_run(loop);
    (void)operators;
    control_stop(control); /* answers operators whose calls are pending; all other state is already synced to disk */
    return 0;
}

int main(int argc, char **argv)
{
    gchar *path = NULL;
    const GOptionEntry entries[] = {
        {"settings", 's', 0, G_OPTION_ARG_FILENAME, &path, "settings file (control_settings)", "FILE"},
        {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL}};
    GOptionContext *const context = g_option_context_new("- control box of trackcove");
    g_option_context_add_main_entries(context, entries, NULL);
    GError *error = NULL;
    if (!g_option_context_parse(context, &argc, &argv, &error) || !path) {
        fprintf(stderr, "trackcove-controld: %s\n", error ? error->message : "--settings FILE is required");
        return EXIT_USAGE;
    }
    g_option_context_free(context);
    static control_settings_t settings;
    tc_err_t err = {0};
    if (codec_from_json_file(&control_settings_desc, &settings, path, &err) < 0) {
        fprintf(stderr, "trackcove-controld: %s: %s: %s\n", path, err.peer, err.detail);
        return EXIT_USAGE;
    }
    if (log_open(settings.box, settings.log_file, &err) < 0)
        return report_start_failure(&err);
    const int status = run(&settings);
    log_close();
    _exit(status); /* without exit handlers: HTTP threads may still be in a call */
}
