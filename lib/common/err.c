#include "common/err.h"

#include <stdarg.h>
#include <stdio.h>

#include "common/text.h"

int tc_err_set(tc_err_t *err, int code, const char *step, const char *peer, const char *format, ...)
{
    if (!err)
        return code;
    err->code = code;
    err->step = step;
    snprintf(err->peer, sizeof(err->peer), "%s", peer ? peer : "");
    text_trim(err->peer);
    va_list args;
    va_start(args, format);
    vsnprintf(err->detail, sizeof(err->detail), format, args);
    va_end(args);
    text_trim(err->detail);
    return code;
}

const char *tc_err_name(int code)
{
    static const char *const names[] = {"ok",     "invalid",   "no_memory", "io",         "timeout",  "unreachable",
                                        "broken", "refused",   "auth",      "not_leader", "conflict", "corrupt",
                                        "full",   "cancelled", "fenced",    "not_found",  "stalled"};
    const int n = (int)(sizeof(names) / sizeof(names[0]));
    return code <= 0 && -code < n ? names[-code] : "unknown";
}
