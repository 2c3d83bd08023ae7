/** @file merge.h
 * JSON merge patches (RFC 7386), the format in which changes of the configuration are stored and sent.
 */
#ifndef TRACKCOVE_CONTROL_MERGE_H
#define TRACKCOVE_CONTROL_MERGE_H

#include <jansson.h>

/** Apply @p patch to @p target. @return a new reference. It shares unchanged values with both arguments, so none of the
 *  three may be modified in place afterwards. */
json_t *merge_apply(const json_t *target, const json_t *patch);

/** Compute the patch that turns @p from into @p to. @return a new reference, an empty object when they are equal */
json_t *merge_diff(const json_t *from, const json_t *to);

#endif
