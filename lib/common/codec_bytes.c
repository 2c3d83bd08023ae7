/* Objects as byte buffers, and validation of untrusted msgpack before the library allocates memory by its counts. */

#include <stdlib.h>
#include <string.h>

#include "common/codec.h"

/* ===== Scanning ===== */

/** Deepest nesting accepted: that of the messages in the schema, with room to grow. */
enum { SCAN_DEPTH_MAX = 16 };

typedef struct {
    const uint8_t *at, *end;
} scan_t;

/** Reads the big-endian number in the @p bytes after the current byte. */
static bool read_be(const scan_t *scan, unsigned bytes, uint64_t *value)
{
    *value = 0;
    if ((size_t)(scan->end - scan->at) < 1 + bytes)
        return false;
    for (unsigned i = 0; i < bytes; i++)
        *value = *value << 8 | scan->at[1 + i];
    return true;
}

/** One msgpack token: its size in bytes, and the number of values nested in it. */
typedef struct {
    uint64_t bytes, values;
} token_t;

static bool sized(const scan_t *scan, unsigned length, unsigned extra, uint64_t each, bool container, token_t *token)
{
    uint64_t n;
    if (!read_be(scan, length, &n))
        return false;
    token->bytes = 1 + length + (container ? 0 : extra + n);
    token->values = container ? n * each : 0;
    return true;
}

static bool read_token(const scan_t *scan, token_t *token)
{
    const uint8_t b = *scan->at;
    static const uint8_t fixed[] = {1, 0, 1, 1, 0, 0, 0, 0, 0, 0, 5, 9, 2, 3, 5, 9, 2, 3, 5, 9, 3, 4, 6, 10, 18};
    *token = (token_t){.bytes = 1};
    if (b <= 0x7f || b >= 0xe0)
        return true;
    if (b <= 0x8f)
        token->values = 2u * (b & 0x0f);
    else if (b <= 0x9f)
        token->values = b & 0x0f;
    else if (b <= 0xbf)
        token->bytes += b & 0x1f;
    else if (b >= 0xc4 && b <= 0xc6)
        return sized(scan, 1u << (b - 0xc4), 0, 1, false, token);
    else if (b >= 0xc7 && b <= 0xc9)
        return sized(scan, 1u << (b - 0xc7), 1, 1, false, token);
    else if (b <= 0xd8)
        token->bytes = fixed[b - 0xc0];
    else if (b <= 0xdb)
        return sized(scan, 1u << (b - 0xd9), 0, 1, false, token);
    else if (b <= 0xdd)
        return sized(scan, b == 0xdc ? 2 : 4, 0, 1, true, token);
    else
        return sized(scan, b == 0xde ? 2 : 4, 0, 2, true, token);
    return token->bytes > 0;
}

static bool scan_value(scan_t *scan, int depth)
{
    token_t token;
    if (depth > SCAN_DEPTH_MAX || scan->at >= scan->end || !read_token(scan, &token))
        return false;
    if (token.bytes > (uint64_t)(scan->end - scan->at))
        return false;
    scan->at += token.bytes;
    if (token.values > (uint64_t)(scan->end - scan->at))
        return false; /* each nested value takes at least one byte, so the count exceeds the data */
    for (uint64_t i = 0; i < token.values; i++)
        if (!scan_value(scan, depth + 1))
            return false;
    return true;
}

bool codec_scan(const char *data, size_t size)
{
    scan_t scan = {.at = (const uint8_t *)data, .end = (const uint8_t *)data + size};
    return scan_value(&scan, 0) && scan.at == scan.end;
}

/* ===== Objects ===== */

char *codec_pack_bytes(const codec_desc_t *desc, const void *object, size_t *size)
{
    msgpack_sbuffer buffer;
    msgpack_packer packer;
    msgpack_sbuffer_init(&buffer);
    msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
    codec_pack(desc, object, &packer);
    *size = buffer.size;
    return msgpack_sbuffer_release(&buffer);
}

int codec_unpack_bytes(const codec_desc_t *desc, void *object, const char *data, size_t size, tc_err_t *err)
{
    memset(object, 0, desc->size);
    if (!codec_scan(data, size))
        return tc_err_set(err, TC_E_CORRUPT, "unpack", desc->name, "not one whole msgpack value");
    msgpack_unpacked unpacked;
    msgpack_unpacked_init(&unpacked);
    size_t used = 0;
    int rc = TC_E_CORRUPT;
    if (msgpack_unpack_next(&unpacked, data, size, &used) == MSGPACK_UNPACK_SUCCESS)
        rc = codec_unpack(desc, object, &unpacked.data, err);
    msgpack_unpacked_destroy(&unpacked);
    return rc;
}
