/** @file cli.h
 * Shared by the commands of the operators' command line.
 */
#ifndef TRACKCOVE_CLI_H
#define TRACKCOVE_CLI_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

/** Exit codes, as shown by --help. */
enum { CLI_OK = 0, CLI_FAILED = 1, CLI_USAGE = 2, CLI_REFUSED = 3, CLI_UNREACHABLE = 4 };

/** Options of all commands. */
typedef struct {
    gchar *control; /**< addresses of control boxes, comma-separated */
    gchar *entry;   /**< address of an entry box */
    gchar *token;
    gchar *request_id;
    gchar **logs; /**< log files, for explain and account */
    gint64 base;  /**< configuration version that a plan applies to; -1: the newest */
    gint count;   /**< number of lines that watch prints; 0: no limit */
    gboolean json;
} cli_options_t;

/** Calls the control boxes in turn until one gives a final answer. Status and members must come from the leader; after
 * three rounds without it a follower's answer is returned.
 * @param body NULL: GET; else POST, and the reference is stolen
 * @param code set to the exit code, also on success
 * @return the answer, a new reference, or NULL after a message on stderr */
json_t *cli_control(const cli_options_t *options, const char *path, json_t *body, int *code);

/** Sends a GET request to an entry box. @param addr NULL prints a message and fails; other parameters as above */
json_t *cli_get(const char *addr, const char *path, int *code);

/** Prints the answer as JSON if --json was given. @return whether it did */
bool cli_print_json(const cli_options_t *options, const json_t *answer);

/** Commands; they return an exit code. */
int cmd_check(const cli_options_t *options, int argc, char **argv);
int cmd_token(const cli_options_t *options, int argc, char **argv);
int cmd_data(const cli_options_t *options, int argc, char **argv);
int cmd_explain(const cli_options_t *options, int argc, char **argv);
int cmd_account(const cli_options_t *options, int argc, char **argv);
int cmd_admission(const cli_options_t *options, int argc, char **argv);
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
