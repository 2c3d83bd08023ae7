/* libFuzzer target for the decoders of untrusted bytes: peer frames, JSON settings, server-sent events, and log
 * commands with the merge patches in them. The first byte of the input selects the decoder. Guards against crashes
 * and memory errors on malformed input. */

#include <stdlib.h>

#include "backend/sse.h"
#include "control/state.h"
#include "gen/schema.h"
#include "peer/frame.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static bool on_event(void *arg, const sse_event_t *event)
{
    (void)arg;
    return event->data[0] != '!';
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    if (size < 1)
        return 0;
    const char *const text = (const char *)data + 1;
    switch (data[0] % 4) {
    case 0: {
        frame_t frame;
        if (frame_unpack(text, size - 1, &frame, NULL) == TC_OK)
            frame_free(&frame);
        break;
    }
    case 1: {
        config_t config;
        if (codec_from_json_text(&config_desc, &config, text, size - 1, "fuzz", NULL) == TC_OK)
            codec_free(&config_desc, &config);
        break;
    }
    case 2: {
        sse_t sse;
        sse_init(&sse, on_event, NULL);
        sse_feed(&sse, text, size - 1);
        sse_free(&sse);
        break;
    }
    default: {
        state_t *const state = state_create();
        result_t result;
        state_apply(state, text, size - 1, &result);
        codec_free(&result_desc, &result);
        state_destroy(state);
        break;
    }
    }
    return 0;
}
