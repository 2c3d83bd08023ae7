#include "web/answer_meter.h"

/** Bytes of framing for a byte of the body: a chunk of one byte has a header of three and ends with two. */
enum { FRAMING_PER_BODY_BYTE = 8 };

bool answer_meter_exceed(answer_meter_t *meter, const char *kind, uint64_t bytes)
{
    if (!meter->excess) {
        meter->excess = kind;
        meter->excess_bytes = bytes;
    }
    return false;
}

bool answer_meter_add_body(answer_meter_t *meter, size_t size)
{
    meter->body += size;
    if (meter->body_max > 0 && meter->body > meter->body_max)
        return answer_meter_exceed(meter, "body exceeds its limit", meter->body);
    return true;
}

bool answer_meter_add_read(answer_meter_t *meter, size_t size, const char *kind)
{
    meter->read += size;
    const uint64_t other = meter->read > meter->body ? meter->read - meter->body : 0;
    if (other > ANSWER_OTHER_MAX_BYTES + FRAMING_PER_BODY_BYTE * meter->body)
        return answer_meter_exceed(meter, kind, other);
    return true;
}

bool answer_meter_check_head(answer_meter_t *meter, size_t bytes, unsigned lines)
{
    if (bytes > ANSWER_HEAD_MAX_BYTES || lines > ANSWER_HEAD_MAX_LINES)
        return answer_meter_exceed(meter, "head exceeds its limit", bytes);
    return true;
}

bool answer_meter_check_length(answer_meter_t *meter, uint64_t length)
{
    if (meter->body_max > 0 && length > meter->body_max)
        return answer_meter_exceed(meter, "length named exceeds its limit", length);
    return true;
}
