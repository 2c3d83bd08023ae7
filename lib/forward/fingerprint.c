#include "forward/fingerprint.h"

#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

/** The length is hashed as well, so that "ab", "c" and "a", "bc" differ. */
static uint64_t add(uint64_t hash, const void *data, size_t size)
{
    return XXH3_64bits_withSeed(data, size, hash ^ size);
}

static uint64_t add_text(uint64_t hash, const char *text)
{
    return add(hash, text ? text : "", text ? strlen(text) : 0);
}

uint64_t fingerprint_of(const web_request_t *request, const dialect_request_t *facts, const char *caller)
{
    uint64_t hash = add_text(0, request->method);
    hash = add_text(hash, web_headers_get(request->headers, "Host"));
    hash = add_text(hash, request->target);
    hash = add_text(hash, caller);
    hash = add_text(hash, facts->parts_n > 0 ? facts->parts[facts->parts_n - 1].id : "");
    hash = add(hash, request->body->len > 0 ? (const void *)request->body->data : "", request->body->len);
    return hash ? hash : 1;
}
