#include "egress/tunnel.h"

#include <arpa/inet.h>
#include <string.h>

static void end_header(tunnel_reader_t *r)
{
    uint32_t size;
    memcpy(&size, r->header, sizeof(size));
    r->left = ntohl(size);
    r->header_n = 0;
    r->ended = r->left == 0;
    r->damaged = r->left > TUNNEL_CHUNK_MAX;
}

size_t tunnel_decode(tunnel_reader_t *r, uint8_t *data, size_t size)
{
    size_t from = 0, to = 0;
    while (from < size && !r->damaged) {
        if (r->ended) {
            r->damaged = true;
            break;
        }
        if (r->left == 0) {
            r->header[r->header_n++] = data[from++];
            if (r->header_n == TUNNEL_HEADER_BYTES)
                end_header(r);
            continue;
        }
        const size_t part = size - from < r->left ? size - from : r->left;
        memmove(data + to, data + from, part);
        from += part;
        to += part;
        r->left -= (uint32_t)part;
    }
    return to;
}

void tunnel_write_header(uint8_t to[TUNNEL_HEADER_BYTES], uint32_t size)
{
    const uint32_t wire = htonl(size);
    memcpy(to, &wire, sizeof(wire));
}
