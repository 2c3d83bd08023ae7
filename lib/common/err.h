/** @file err.h
 * Errors: a negative code, the operation that failed and the peer involved.
 *
 * Functions that can fail return 0 or a negative TC_E_* code and, where the
 * caller passes a non-NULL tc_err_t, fill it. Texts are for people; programs
 * only check the code.
 */
#ifndef TRACKCOVE_COMMON_ERR_H
#define TRACKCOVE_COMMON_ERR_H

/* ===== Types ===== */

/** Error codes. Zero is success; all errors are negative. */
enum {
    TC_OK = 0,
    TC_E_INVALID = -1,     /**< input or settings have the wrong type or range */
    TC_E_NOMEM = -2,       /**< out of memory */
    TC_E_IO = -3,          /**< a system call on a file or socket failed */
    TC_E_TIMEOUT = -4,     /**< the deadline passed */
    TC_E_UNREACHABLE = -5, /**< no connection was made, so nothing reached the peer */
    TC_E_BROKEN = -6,      /**< the connection broke after something was sent */
    TC_E_REFUSED = -7,     /**< the peer refused the request */
    TC_E_AUTH = -8,        /**< key, token or role is missing or wrong */
    TC_E_NOT_LEADER = -9,  /**< ask another control box */
    TC_E_CONFLICT = -10,   /**< another request took effect first */
    TC_E_CORRUPT = -11,    /**< a checksum or record on disk is wrong */
    TC_E_FULL = -12,       /**< a bounded queue or the disk is full */
    TC_E_CANCELLED = -13,  /**< the caller left, or this process is stopping */
    TC_E_FENCED = -14,     /**< a newer leader, attempt or incarnation exists */
    TC_E_NOT_FOUND = -15,  /**< the named item does not exist */
    TC_E_STALLED = -16,    /**< a transfer made no progress in time */
};

/** An error with its origin. */
typedef struct {
    int code;         /**< TC_E_*, or 0 */
    const char *step; /**< static string: the operation that failed */
    char peer[96];    /**< box, engine, file or field involved, cut at a character; may be empty */
    char detail[224]; /**< for people, cut at a character; may hold any bytes that were received */
} tc_err_t;

/* ===== Public functions ===== */

/** Fills @p err (may be NULL) and returns @p code, for use in a return statement.
 * @param step a string of static storage duration; @param peer may be NULL. */
int tc_err_set(tc_err_t *err, int code, const char *step, const char *peer, const char *format, ...)
    __attribute__((format(printf, 5, 6)));

/** Name of an error code, for logs: "timeout" for TC_E_TIMEOUT. */
const char *tc_err_name(int code);

/** Returns the error code from the enclosing function when @p call fails. */
#define TC_CHECK(call)                                                                                                 \
    do {                                                                                                               \
        const int tc_check_rc_ = (call);                                                                               \
        if (tc_check_rc_ < 0)                                                                                          \
            return tc_check_rc_;                                                                                       \
    } while (0)

#endif
