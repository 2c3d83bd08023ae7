/** @file cli.h
 * Shared by the parts of the operators' command line.
 */
#ifndef TRACKCOVE_CLI_H
#define TRACKCOVE_CLI_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

/** Exit codes, as shown by --help. */
enum { CLI_OK = 0, CLI_FAILED = 1, CLI_USAGE = 2, CLI_REFUSED = 3, CLI_UNREACHABLE = 4 };

/** Options every command takes. */
typedef struct {
    gchar *control; /**< control boxes, comma between */
    gchar *entry;   /**< one entry box */
    gchar *token;
    gchar *request_id;
    gchar **logs; /**< log files, for explain */
    gint64 base;  /**< version a plan is made for, -1: the newest */
    gint count;   /**< lines of watch, 0 for ever */
    gboolean json;
} cli_options_t;

/** Call a control box, the leader if it must be. @param body NULL for GET, else taken over
 * @param code exit code on failure @return answer, new reference, or NULL after a message */
json_t *cli_control(const cli_options_t *options, const char *path, json_t *body, int *code);

/** GET from an address. */
json_t *cli_get(const char *addr, const char *path, int *code);

/** Print the answer as JSON when --json was given. @return whether it did */
bool cli_print_json(const cli_options_t *options, const json_t *answer);

/** Commands: return an exit code. */
int cmd_check(const cli_options_t *options, int argc, char **argv);
int cmd_token(const cli_options_t *options, int argc, char **argv);
int cmd_data(const cli_options_t *options, int argc, char **argv);
int cmd_explain(const cli_options_t *options, int argc, char **argv);
int cmd_account(const cli_options_t *options, int argc, char **argv);
int cmd_status(const cli_options_t *options, int argc, char **argv);
int cmd_boxes(const cli_options_t *options, int argc, char **argv);
int cmd_engines(const cli_options_t *options, int argc, char **argv);
int cmd_entries(const cli_options_t *options, int argc, char **argv);
int cmd_config(const cli_options_t *options, int argc, char **argv);
int cmd_history(const cli_options_t *options, int argc, char **argv);
int cmd_plans(const cli_options_t *options, int argc, char **argv);
int cmd_diff(const cli_options_t *options, int argc, char **argv);
int cmd_watch(const cli_options_t *options, int argc, char **argv);
int cmd_plan(const cli_options_t *options, int argc, char **argv);
int cmd_rollback(const cli_options_t *options, int argc, char **argv);
int cmd_confirm(const cli_options_t *options, int argc, char **argv);
int cmd_reject(const cli_options_t *options, int argc, char **argv);
int cmd_drain(const cli_options_t *options, int argc, char **argv);
int cmd_undrain(const cli_options_t *options, int argc, char **argv);

#endif
