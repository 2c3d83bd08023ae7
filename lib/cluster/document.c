#include "cluster/document.h"

#include <string.h>

#include "common/codec.h"

document_relation_t document_compare(const document_t *held, uint64_t version, const char *body, size_t size)
{
    if (version > held->version)
        return DOCUMENT_NEWER;
    if (version < held->version)
        return DOCUMENT_OLDER;
    const bool same = held->body_n == size && (size == 0 || memcmp(held->body, body, size) == 0);
    return same ? DOCUMENT_SAME : DOCUMENT_CLASHES;
}

/** Replace what @p to holds by a copy. */
static void copy(document_t *to, const document_t *from)
{
    to->version = from->version;
    codec_set_text(&to->body, &to->body_n, from->body ? from->body : "", from->body_n);
}

document_relation_t document_apply(document_t *held, const document_t *offered)
{
    const document_relation_t relation = document_compare(held, offered->version, offered->body, offered->body_n);
    if (relation == DOCUMENT_NEWER)
        copy(held, offered);
    return relation;
}
