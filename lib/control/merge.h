/** @file merge.h
 * JSON merge patches (RFC 7386): the form in which changes of the configuration are kept and sent.
 */
#ifndef TRACKCOVE_CONTROL_MERGE_H
#define TRACKCOVE_CONTROL_MERGE_H

#include <jansson.h>

/** Apply @p patch to @p target. @return a new reference; it shares with both what the patch does not touch, so none of
 *  them may be changed in place afterwards */
json_t *merge_apply(const json_t *target, const json_t *patch);

/** The patch that makes @p to out of @p from. @return a new reference, an empty object when they are equal */
json_t *merge_diff(const json_t *from, const json_t *to);

#endif
