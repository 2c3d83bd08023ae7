/** @file operators.h
 * HTTP interface of a control box for operators: JSON bodies, bearer tokens.
 *
 *   GET  /v1/status /v1/config /v1/history /v1/plans /v1/members
 *   POST /v1/plan      {"request_id", "patch": {...}} or {"request_id", "rollback": VERSION}
 *   POST /v1/confirm   {"request_id", "plan"}
 *   POST /v1/reject    {"request_id", "plan"}
 *   POST /v1/drain     {"request_id", "box", "on"}
 *   GET  /healthz /metrics (no token)
 */
#ifndef TRACKCOVE_CONTROL_OPERATORS_H
#define TRACKCOVE_CONTROL_OPERATORS_H

#include "control/control.h"
#include "http/http.h"

typedef struct operators operators_t;

/** Register the routes on @p server. @p settings must outlive the result. Free with operators_destroy after
 *  http_stop. */
operators_t *operators_create(http_server_t *server, control_t *control, const control_settings_t *settings);
void operators_destroy(operators_t *operators);

/** Hash an operator's token, in the hexadecimal form that the settings hold. */
void operators_hash_token(const char *token, char hash[CODEC_PATH_SIZE]);

/** Describe the effect of a change: engines affected, duration, load on the weight store, capacity lost.
 * @return new reference */
json_t *operators_describe_change(const config_t *from, const config_t *to);

#endif
