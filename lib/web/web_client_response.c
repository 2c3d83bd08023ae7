/* Responses of back ends: parsing, and limits on what is read. */

#include "web/web_client_internal.h"

#include <limits.h>
#include <string.h>

#include "common/counter.h"
#include "common/figure.h"

COUNTER_DEFINE(c_strays, "counter", "trackcove_backend_stray_answers_total", "Answers that belonged to no request")
COUNTER_DEFINE(c_excess, "counter", "trackcove_answer_over_limit_total",
               "Answers ended since they had more bytes than one answer may have")

enum {
    IDLE_DEFAULT_MS = 2000, /* keep-alive time when the back end names none and may close at any moment. Short, and
                               used only for requests that may be executed twice */
    IDLE_MARGIN_MS = 1000   /* an idle connection is closed this long before the back end would close it */
};

static int on_message_begin(http_parser *parser)
{
    web_call_t *const call = parser->data;
    web_headers_clear(&call->headers);
    call->in_body = false;
    return 0;
}

/** @return for the parser: whether the head exceeds its limit */
static int check_head(web_call_t *call)
{
    return answer_meter_check_head(&call->meter, call->headers.bytes, call->headers.lines->len) ? 0 : -1;
}

static int on_name(http_parser *parser, const char *data, size_t size)
{
    web_call_t *const call = parser->data;
    if (call->in_body)
        return 0; /* nobody reads trailers */
    web_headers_on_name(&call->headers, data, size);
    return check_head(call);
}

static int on_value(http_parser *parser, const char *data, size_t size)
{
    web_call_t *const call = parser->data;
    if (call->in_body)
        return 0;
    web_headers_on_value(&call->headers, data, size);
    return check_head(call);
}

static tc_time_t idle_time(const web_call_t *call)
{
    const char *const text = web_headers_get(&call->headers, "Keep-Alive");
    const char *const at = text ? strstr(text, "timeout=") : NULL;
    if (!at)
        return IDLE_DEFAULT_MS;
    uint64_t seconds = 0;
    (void)figure_parse(at + strlen("timeout="), FIGURE_SPAN_MAX_MS / 1000, &seconds); /* 0: used for one request */
    const tc_time_t ms = (tc_time_t)seconds * 1000;
    return ms > 2 * IDLE_MARGIN_MS ? ms - IDLE_MARGIN_MS : ms / 2;
}

/** Whether the response has no body whatever length it names: bytes after its head belong to another response. */
static bool ends_with_head(const web_call_t *call, unsigned status)
{
    static const char head[] = "HEAD ";
    const size_t size = strlen(head);
    return status == 204 || status == 304 ||
           (call->request->len > size && memcmp(call->request->data, head, size) == 0);
}

static int on_headers(http_parser *parser)
{
    enum { STOP_PARSING = -1, HAS_BODY = 0, HAS_NO_BODY = 1, SWITCHING_PROTOCOLS = 101 };
    web_call_t *const call = parser->data;
    if (parser->status_code == SWITCHING_PROTOCOLS)
        return STOP_PARSING; /* no upgrade was requested: what follows is not an HTTP response */
    if (parser->status_code < 200)
        return HAS_BODY; /* an interim response: the final one follows */
    if (!web_headers_strip_names(&call->headers) || !web_headers_are_valid(&call->headers))
        return STOP_PARSING;
    const web_head_t head = {.status = (int)parser->status_code, .headers = &call->headers};
    call->in_callback = true;
    call->skipping = call->sink.on_head(call->sink.arg, &head) == WEB_HEAD_SKIP;
    call->in_callback = false;
    if (call->skipping)
        counter_add(&c_strays, 1);
    else
        call->head_seen = true;
    call->idle_ms = idle_time(call);
    web_headers_clear(&call->headers);
    call->in_body = true;
    if (call->cancelled)
        return STOP_PARSING;
    if (!call->skipping && ends_with_head(call, parser->status_code))
        return HAS_NO_BODY;
    const bool names_length = !call->skipping && parser->content_length != ULLONG_MAX;
    if (names_length && !answer_meter_check_length(&call->meter, parser->content_length))
        return STOP_PARSING;
    return HAS_BODY;
}

static int on_body(http_parser *parser, const char *data, size_t size)
{
    web_call_t *const call = parser->data;
    if (call->skipping || !call->head_seen)
        return 0;
    if (!answer_meter_add_body(&call->meter, size))
        return -1;
    call->in_callback = true;
    call->sink.on_data(call->sink.arg, data, size);
    call->in_callback = false;
    return call->cancelled ? -1 : 0;
}

static int on_message_complete(http_parser *parser)
{
    web_call_t *const call = parser->data;
    if (parser->status_code < 200 || call->skipping)
        return 0;
    call->complete = true;
    http_parser_pause(parser, 1); /* bytes after this response belong to no request */
    return 0;
}

static const http_parser_settings parser_settings = {.on_message_begin = on_message_begin,
                                                     .on_header_field = on_name,
                                                     .on_header_value = on_value,
                                                     .on_headers_complete = on_headers,
                                                     .on_body = on_body,
                                                     .on_message_complete = on_message_complete};

/** What the bytes are that are not the body of the accepted answer. For the log. */
static const char *kind_of_rest(const web_call_t *call)
{
    if (call->head_seen)
        return "framing exceeds its limit";
    if (call->skipping)
        return "answers to other requests exceed their limit";
    return call->parser.status_code >= 100 && call->parser.status_code < 200 ? "interim answers exceed their limit"
                                                                             : "head exceeds its limit";
}

/** What a call's head takes in memory: each line has a record and two allocations. */
static size_t head_size(const web_call_t *call)
{
    enum { LINE_BYTES = sizeof(web_header_t) + 64 };
    return call->headers.bytes + (size_t)call->headers.lines->len * LINE_BYTES;
}

static const char memory_excess[] = "answers of all back ends exceed the memory for them";

static void on_head_ended(void *arg)
{
    web_call_t *const call = arg;
    (void)answer_meter_exceed(&call->meter, memory_excess, head_size(call));
    web_call_fail(call);
}

/** Whether the bytes read so far keep to the limits. */
static bool is_within_limits(web_call_t *call, size_t size)
{
    if (HTTP_PARSER_ERRNO(&call->parser) == HPE_HEADER_OVERFLOW)
        return answer_meter_exceed(&call->meter,
                                   call->in_body ? "trailers exceed their limit" : "head exceeds its limit",
                                   call->meter.read + size);
    if (!buffer_share_set(&call->head_buffer, head_size(call)))
        return answer_meter_exceed(&call->meter, memory_excess, head_size(call));
    return !call->meter.excess && answer_meter_add_read(&call->meter, size, kind_of_rest(call));
}

static void finish_invalid(web_call_t *call)
{
    if (call->meter.excess)
        web_call_report_excess(call);
    web_call_finish(call, WEB_RESULT_INVALID, false);
}

bool web_call_parse(web_call_t *call, const char *data, size_t size)
{
    const size_t used = http_parser_execute(&call->parser, &parser_settings, data, size);
    if (call->cancelled) {
        web_call_free(call);
        return false;
    }
    if (call->complete) {
        http_parser_pause(&call->parser, 0);
        /* If the response came before the whole request was sent, the rest is still due on this connection,
         * which then cannot be reused. */
        const bool sent = call->written == call->request->len;
        const bool keep =
            sent && size > 0 && used == size && !call->tunnel.ended && http_should_keep_alive(&call->parser);
        web_call_finish(call, WEB_RESULT_COMPLETE, keep);
        return false;
    }
    const bool broken = !is_within_limits(call, size) || size == 0 || HTTP_PARSER_ERRNO(&call->parser) != HPE_OK;
    if (broken && size > 0 && call->sent)
        finish_invalid(call); /* the path carries bytes, so it is not broken */
    else if (broken)
        web_call_fail(call);
    return !broken;
}

/** The answer exceeded a limit. */
void web_call_report_excess(const web_call_t *call)
{
    counter_add(&c_excess, 1);
    if (call->sink.on_excess)
        call->sink.on_excess(call->sink.arg, call->meter.excess, call->meter.excess_bytes);
}

void web_call_begin_response(web_call_t *call)
{
    http_parser_init(&call->parser, HTTP_RESPONSE);
    call->parser.data = call;
    call->meter = (answer_meter_t){0};
    buffer_share_open(&call->head_buffer, call->client->budget, call->addr, on_head_ended, call);
}
