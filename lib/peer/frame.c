#include "peer/frame.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "gen/schema.h"

enum { FRAME_ELEMENTS = 4 };

char *frame_pack(uint32_t type, uint64_t call, bool reply, const void *message, size_t *size)
{
    msgpack_sbuffer buffer;
    msgpack_packer packer;
    msgpack_sbuffer_init(&buffer);
    msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
    const char zeros[FRAME_LENGTH_BYTES] = {0};
    msgpack_sbuffer_write(&buffer, zeros, sizeof(zeros));
    msgpack_pack_array(&packer, FRAME_ELEMENTS);
    msgpack_pack_uint32(&packer, type);
    msgpack_pack_uint64(&packer, call);
    reply ? msgpack_pack_true(&packer) : msgpack_pack_false(&packer);
    codec_pack(msg_desc(type), message, &packer);
    const uint32_t length = htonl((uint32_t)(buffer.size - FRAME_LENGTH_BYTES));
    memcpy(buffer.data, &length, sizeof(length));
    *size = buffer.size;
    return msgpack_sbuffer_release(&buffer);
}

static int unpack_elements(const msgpack_object *root, frame_t *frame, tc_err_t *err)
{
    if (root->type != MSGPACK_OBJECT_ARRAY || root->via.array.size < FRAME_ELEMENTS)
        return tc_err_set(err, TC_E_INVALID, "unpack frame", NULL, "not an array of %d elements", FRAME_ELEMENTS);
    const msgpack_object *const element = root->via.array.ptr;
    if (element[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER || element[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        element[2].type != MSGPACK_OBJECT_BOOLEAN || element[0].via.u64 >= MSG_COUNT)
        return tc_err_set(err, TC_E_INVALID, "unpack frame", NULL, "invalid header or unknown message type");
    frame->type = (uint32_t)element[0].via.u64;
    frame->call = element[1].via.u64;
    frame->reply = element[2].via.boolean;
    const codec_desc_t *const desc = msg_desc(frame->type);
    if (!desc)
        return tc_err_set(err, TC_E_INVALID, "unpack frame", NULL, "unknown message type %u", frame->type);
    void *const message = calloc(1, desc->size);
    if (!message)
        return tc_err_set(err, TC_E_NOMEM, "unpack frame", NULL, "type %u", frame->type);
    const int rc = codec_unpack(desc, message, &element[3], err);
    if (rc < 0)
        free(message);
    else
        frame->message = message;
    return rc;
}

int frame_unpack(const char *data, size_t size, frame_t *frame, tc_err_t *err)
{
    memset(frame, 0, sizeof(*frame));
    msgpack_unpacked unpacked;
    msgpack_unpacked_init(&unpacked);
    size_t used = 0;
    int rc = TC_OK;
    if (!codec_scan(data, size) || msgpack_unpack_next(&unpacked, data, size, &used) != MSGPACK_UNPACK_SUCCESS)
        rc = tc_err_set(err, TC_E_INVALID, "unpack frame", NULL, "not a single complete msgpack value");
    else
        rc = unpack_elements(&unpacked.data, frame, err);
    msgpack_unpacked_destroy(&unpacked);
    return rc;
}

void frame_free_message(uint32_t type, void *message)
{
    if (!message)
        return;
    codec_free(msg_desc(type), message);
    free(message);
}

void frame_free(frame_t *frame)
{
    frame_free_message(frame->type, frame->message);
    frame->message = NULL;
}

uint32_t frame_length(const char *data)
{
    uint32_t length;
    memcpy(&length, data, sizeof(length));
    return ntohl(length);
}
