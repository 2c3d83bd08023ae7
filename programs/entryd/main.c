/** @file main.c
 * trackcove-entryd: an entry box. Reads its settings, then runs the event loop and the callers' HTTP interface. SIGTERM
 * and SIGINT drain the box before it ends.
 */

#include <glib.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <unistd.h>

#include "common/log.h"
#include "request/api.h"
#include "request/entry.h"

enum { EXIT_USAGE = 2, EXIT_START_FAILED = 1 };

static entry_t *entry;

static void on_signal(int number)
{
    (void)number;
    entry_drain(entry); /* async-signal-safe: an atomic store */
}

static int report_start_failure(const tc_err_t *err)
{
    fprintf(stderr, "trackcove-entryd: %s: %s: %s\n", err->step, err->peer, err->detail);
    log_failure(LOG_ERROR, "start_failed", err);
    return EXIT_START_FAILED;
}

static int run(const entry_settings_t *settings)
{
    tc_err_t err = {0};
    loop_t *const loop = loop_create();
    entry = loop ? entry_create(loop, settings, &err) : NULL;
    if (!entry)
        return report_start_failure(&err);
    http_server_t *const server = http_start(settings->http_listen, settings->threads, &err);
    if (!server)
        return report_start_failure(&err);
    api_route(entry, server);
    signal(SIGTERM, on_signal);
    signal(SIGINT, on_signal);
    signal(SIGPIPE, SIG_IGN);
    loop_run(loop);
    return 0;
}

int main(int argc, char **argv)
{
    gchar *path = NULL;
    const GOptionEntry entries[] = {
        {"settings", 's', 0, G_OPTION_ARG_FILENAME, &path, "settings file (entry_settings)", "FILE"},
        {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL}};
    GOptionContext *const context = g_option_context_new("- entry box of trackcove");
    g_option_context_add_main_entries(context, entries, NULL);
    GError *error = NULL;
    if (!g_option_context_parse(context, &argc, &argv, &error) || !path) {
        fprintf(stderr, "trackcove-entryd: %s\n", error ? error->message : "--settings FILE is required");
        return EXIT_USAGE;
    }
    g_option_context_free(context);
    static entry_settings_t settings;
    tc_err_t err = {0};
    if (codec_from_json_file(&entry_settings_desc, &settings, path, &err) < 0) {
        fprintf(stderr, "trackcove-entryd: %s: %s: %s\n", path, err.peer, err.detail);
        return EXIT_USAGE;
    }
    if (log_open(settings.box, settings.log_file, &err) < 0)
        return report_start_failure(&err);
    const int status = run(&settings);
    log_close();
    _exit(status); /* without exit handlers: worker threads may still be in a call to an engine */
}
