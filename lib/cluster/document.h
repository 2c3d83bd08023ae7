/** @file document.h
 * The replicated state of a cluster that keeps the operators' configuration as they sent it: one document, of which
 * the highest version wins. A pure state machine.
 */
#ifndef TRACKCOVE_CLUSTER_DOCUMENT_H
#define TRACKCOVE_CLUSTER_DOCUMENT_H

/* ===== Dependencies ===== */

#include <stdbool.h>

#include "common/err.h"
#include "gen/schema.h"

/* ===== Types ===== */

/** How an offered document relates to the one held. */
typedef enum {
    DOCUMENT_NEWER,  /**< replaces it */
    DOCUMENT_SAME,   /**< is it */
    DOCUMENT_OLDER,  /**< was overtaken: changes nothing */
    DOCUMENT_CLASHES /**< the same version with other content */
} document_relation_t;

/* ===== Public functions ===== */

/** How a document of that version and content relates to @p held. */
document_relation_t document_compare(const document_t *held, uint64_t version, const char *body, size_t size);

/** Take over @p offered's content when it is newer. @return its relation to what was held before */
document_relation_t document_apply(document_t *held, const document_t *offered);

#endif
