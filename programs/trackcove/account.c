/* Outcomes of requests by cause, computed from log files. */

#include <stdio.h>

#include "common/log.h"
#include "forward/account.h"
#include "trackcove/cli.h"

static void print_cause(const cli_options_t *options, const account_service_t *s, cause_t cause)
{
    const double percent = 100.0 * s->count[cause] / s->callers;
    const char *const *const examples = s->examples[cause];
    if (options->json) {
        printf("{\"service\":\"%s\",\"cause\":\"%s\",\"callers\":%u,\"percent\":%.2f,\"example\":\"%s\"}\n", s->service,
               account_cause_names[cause], s->count[cause], percent, examples[0]);
        return;
    }
    printf("  %5.1f%% %6u  %-50s", percent, s->count[cause], account_cause_names[cause]);
    for (int i = 0; i < ACCOUNT_EXAMPLES && examples[i] && cause != CAUSE_SERVED; i++)
        printf(" %s", examples[i]);
    printf("\n");
}

static void print_services(const cli_options_t *options, const GArray *services)
{
    for (guint i = 0; i < services->len; i++) {
        const account_service_t *const s = &g_array_index(services, account_service_t, i);
        if (!options->json)
            printf("%s: %u callers\n", s->service, s->callers);
        for (int cause = 0; cause < CAUSE_COUNT; cause++)
            if (s->count[cause] > 0)
                print_cause(options, s, (cause_t)cause);
    }
}

int cmd_account(const cli_options_t *options, int argc, char **argv)
{
    (void)argc, (void)argv;
    if (!options->logs) {
        fprintf(stderr, "trackcove account: give the boxes' log files with --log\n");
        return CLI_USAGE;
    }
    char text[LOG_LINE_MAX * 2];
    account_t *const account = account_create();
    for (gchar **path = options->logs; *path; path++) {
        FILE *const in = fopen(*path, "r");
        if (!in) {
            fprintf(stderr, "trackcove account: cannot open log file %s\n", *path);
            account_destroy(account);
            return CLI_FAILED;
        }
        while (fgets(text, sizeof(text), in))
            account_add_line(account, text);
        fclose(in);
    }
    GArray *const services = account_classify(account);
    print_services(options, services);
    g_array_free(services, TRUE);
    account_destroy(account);
    return CLI_OK;
}
