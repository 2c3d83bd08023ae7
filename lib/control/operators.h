/** @file operators.h
 * The operators' interface of a control box: HTTP with JSON, bearer tokens.
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

/** Route the interface on @p server. @p settings must outlive it. Free with operators_destroy after http_stop. */
operators_t *operators_create(http_server_t *server, control_t *control, const control_settings_t *settings);
void operators_destroy(operators_t *operators);

/** The hash of an operator's token as it stands in settings. */
void operators_hash_token(const char *token, char hash[CODEC_PATH_SIZE]);

/** What a change means: engines concerned, time, cost in the weight store and in capacity. @return new reference */
json_t *operators_describe_change(const config_t *from, const config_t *to);

#endif
