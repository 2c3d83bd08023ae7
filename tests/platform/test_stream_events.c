/* Events of a stream that is delivered by several runs.
 *
 * Guards against events that no back end has written: the first bytes of an event of one run, followed by a complete
 * event of the next. This happened when a back end, or the network before it, fell silent within an event without
 * closing the connection. The buffer of the incomplete event belonged to the request; it was cleared when a run broke
 * off, but not when a silent run was given up, and the next run appended to it. The first test stops the run at every
 * byte of an event. */

#include "platform/forward_lab.h"

#define FIRST_CRLF "id: 1\r\ndata: a\r\n\r\n"
#define SECOND_CRLF "id: 2\r\ndata: b\r\n\r\n"

/** An engine whose streams stop after some bytes, and one that continues after the first event. */
static void start_stopping(fixture_t *f)
{
    start_engines(f, "lm", "p", "q", "U");
}

/** Stops the first run at every byte of its second event. @param stream sent by the stopping engine: @p first and a
 *  second event */
static void stop_within_second_event(fixture_t *f, const char *stream, const char *first)
{
    char *const whole = g_strconcat(first, SECOND, NULL);
    f->plan[1].stream = stream;
    for (size_t size = strlen(first); size < strlen(stream); size++) {
        const unsigned before = requests(f, 1);
        f->plan[1].stream_size = size;
        expect(f, "/soon/x", 200, whole);
        g_assert_cmpuint(requests(f, 1), ==, before + 1); /* the stopped run was part of the answer */
    }
    g_free(whole);
}

static void test_run_stops_within_an_event(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_stopping(f);
    stop_within_second_event(f, FIRST SECOND, FIRST);
    stop_within_second_event(f, FIRST_CRLF SECOND_CRLF, FIRST_CRLF);
}

/** A run that starts over at the first event instead of continuing after the requested one is given up: an engine may
 *  produce a different text the second time. */
static void test_run_starts_over(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_engines(f, "lm", "p", "T", "S");
    lab_call_t *const c = call(f, "/soon/x");
    g_assert_cmpint(c->how, ==, WEB_RESULT_TRUNCATED);
    g_assert_cmpstr(c->body->str, ==, FIRST);
    lab_call_free(c);
    g_assert_nonnull(strstr(f->plan[2].seen->str, "Last-Event-Id: 1\r\n"));
}

/** No run can continue after an event without an id: the caller would get that event twice. A comment is no event. */
static void test_event_without_id(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_stopping(f);
    f->plan[1].replies = "Rq";
    f->plan[1].stream = FIRST "data: x\n\n";
    f->plan[1].stream_size = strlen(f->plan[1].stream);
    lab_call_t *const c = call(f, "/soon/x");
    g_assert_cmpint(c->how, ==, WEB_RESULT_TRUNCATED);
    g_assert_cmpstr(c->body->str, ==, f->plan[1].stream);
    lab_call_free(c);
    f->plan[1].stream = FIRST ": still there\n\n";
    f->plan[1].stream_size = strlen(f->plan[1].stream);
    expect(f, "/soon/x", 200, FIRST ": still there\n\n" SECOND);
}

/** Therefore a run that has sent an event without an id is never given up for its silence. */
static void test_silence_after_an_event_without_id(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_stopping(f);
    f->plan[1].stream = FIRST "data: x\n\n";
    f->plan[1].stream_size = strlen(f->plan[1].stream);
    lab_call_t *const c = begin(f, "/soon/x");
    while (c->body->len < f->plan[1].stream_size)
        lab_run_for(f->loop, 1);
    lab_run_for(f->loop, 200); /* five times the silence timeout */
    g_assert_false(c->done);
    web_call_cancel(c->call);
    lab_call_free(c);
    while (forwarder_in_flight(f->forwarder) > 0)
        lab_run_for(f->loop, 1);
}

#define LONG_ID "6f1c8a52-7f0e-4c3b-9d64-0a5be2f1d7c3-0000000001"

/** The next run gets the id of the last event unchanged, however long it is, and the id cannot inject header lines. */
static void test_ids_are_sent_unchanged(fixture_t *f, gconstpointer data)
{
    (void)data;
    const char *const first = "id: " LONG_ID "\rX: 1\ndata: a\n\n";
    start_stopping(f);
    f->plan[1].stream = first;
    f->plan[1].stream_size = strlen(first);
    char *const whole = g_strconcat(first, SECOND, NULL);
    expect(f, "/soon/x", 200, whole);
    g_assert_nonnull(strstr(f->plan[2].seen->str, "\r\nLast-Event-Id: " LONG_ID "\r\n"));
    g_assert_null(strstr(f->plan[2].seen->str, "X: 1"));
    lab_call_t *const c = begin_with(f, "/soon/x", "Last-Event-Id: " LONG_ID "\r\n");
    lab_run_until_true(f->loop, &c->done);
    lab_call_free(c);
    g_assert_nonnull(strstr(f->plan[1].seen->str, "\r\nLast-Event-Id: " LONG_ID "\r\n"));
    g_free(whole);
}

/** A stream of FIRST and one large event. @param size of the large event in bytes @return for g_free */
static char *large_stream(size_t size)
{
    static const char head[] = "id: 2\ndata: ";
    char *const data = g_strnfill(size - strlen(head) - strlen("\n\n"), 'x');
    char *const stream = g_strconcat(FIRST, head, data, "\n\n", NULL);
    g_free(data);
    return stream;
}

/** Large events are forwarded whole. */
static void test_large_event_arrives_whole(fixture_t *f, gconstpointer data)
{
    enum { SIZE = 1200014 };
    (void)data;
    start_stopping(f);
    char *const stream = large_stream(SIZE);
    f->plan[1].replies = "Q";
    f->plan[1].stream = stream;
    expect(f, "/lm/x", 200, stream);
    expect(f, "/soon/x", 200, stream);
    g_assert_cmpuint(requests(f, 2), ==, 0);
    g_free(stream);
}

/** An event beyond the buffer limit of an engine in trouble costs a stream that may be resumed nothing: it goes on at
 *  another engine, as after any invalid answer, behind the last whole event. The answer was aborted. */
static void test_event_beyond_the_limit_of_one_engine(fixture_t *f, gconstpointer data)
{
    enum { SIZE = 5 * 1024 * 1024 };
    (void)data;
    start_stopping(f);
    char *const stream = large_stream(SIZE);
    f->plan[1].replies = "Q";
    f->plan[1].stream = stream;
    expect(f, "/soon/x", 200, FIRST SECOND);
    g_assert_cmpuint(requests(f, 1), ==, 1); /* not repeated there */
    g_assert_cmpuint(requests(f, 2), ==, 1);
    g_free(stream);
}

/** Where the event is as large on every engine, the answer is aborted behind the last whole event: at once when the
 *  stream cannot be resumed, else once the route allows no further run. */
static void test_event_beyond_the_limit(fixture_t *f, gconstpointer data)
{
    enum { SIZE = 5 * 1024 * 1024 };
    static const char *const paths[] = {"/lm/x", "/soon/x"};
    (void)data;
    start_stopping(f);
    char *const stream = large_stream(SIZE);
    f->plan[1].replies = "Q";
    f->plan[2].replies = "W"; /* the large event, without the first one and without an end */
    f->plan[1].stream = stream;
    f->plan[2].stream = STREAM_HEAD "2710000\r\nid: 2\ndata: xxxxxxxxxxxxxxxx";
    f->plan[2].stream_size = strlen("xxxxxxxxxxxxxxxx");
    for (size_t i = 0; i < G_N_ELEMENTS(paths); i++) {
        lab_call_t *const c = call(f, paths[i]);
        g_assert_cmpint(c->status, ==, 200);
        g_assert_cmpint(c->how, ==, WEB_RESULT_TRUNCATED);
        g_assert_cmpstr(c->body->str, ==, FIRST);
        lab_call_free(c);
        g_assert_cmpuint(requests(f, 1), ==, i + 1);
        g_assert_cmpuint(requests(f, 2), ==, i);
    }
    g_free(stream);
}

/** Retry budgets in further arrivals per request: 0.8 of what the rules allow is used. */
static const double two_more = 2 / 0.8, three_more = 3 / 0.8;

/** A stream breaks, and its engine refuses to resume it. A second prefill and the next run each count as a further
 *  arrival; with the refused call they are three. */
static void test_all_arrivals_of_a_second_run_are_paid(fixture_t *f, gconstpointer data)
{
    start_stopping(f);
    f->plan[1].replies = "Rn";
    f->plan[1].stream = FIRST SECOND;
    f->plan[1].stream_size = strlen(FIRST);
    if (data == &three_more) {
        expect(f, "/soon/x", 200, FIRST SECOND);
        return;
    }
    lab_call_t *const c = call(f, "/soon/x");
    g_assert_cmpint(c->how, ==, WEB_RESULT_TRUNCATED);
    lab_call_free(c);
    g_assert_cmpuint(requests(f, 0), ==, 1); /* no prefill for a run that is not allowed */
}

/** No prefill engine is left when the stream resumes, so the decode engine reads the prompt itself, which is one
 * arrival. With the two failed prefills there are two further arrivals. */
static void expect_no_prefill_charged(fixture_t *f, const char *first_run)
{
    start_stopping(f);
    f->plan[0].replies = "r";
    f->plan[1].replies = first_run;
    f->plan[1].stream = FIRST SECOND;
    f->plan[1].stream_size = strlen(FIRST);
    expect(f, "/soon/x", 200, FIRST SECOND);
    g_assert_cmpuint(requests(f, 0), ==, 2);
    g_assert_cmpuint(requests(f, 1), ==, 1);
    g_assert_cmpuint(requests(f, 2), ==, 1);
}

static void test_broken_run_without_prefill(fixture_t *f, gconstpointer data)
{
    (void)data;
    expect_no_prefill_charged(f, "R");
}

static void test_silent_run_without_prefill(fixture_t *f, gconstpointer data)
{
    (void)data;
    expect_no_prefill_charged(f, "q");
}

/** Ids that exceed 64 bits are compared correctly. */
static void test_ids_of_many_digits(fixture_t *f, gconstpointer data)
{
    static const char first[] = "id: 99999999999999999998\ndata: a\n\n";
    static const char both[] = "id: 99999999999999999998\ndata: a\n\nid: 99999999999999999999\ndata: b\n\n";
    (void)data;
    start_stopping(f);
    f->plan[1].stream = both;
    f->plan[1].stream_size = strlen(first);
    f->plan[2].replies = "Q";
    f->plan[2].stream = both + strlen(first);
    expect(f, "/soon/x", 200, both);
}

/** An empty line after the last event begins no new event: the answer is complete. */
static void test_empty_line_at_the_end(fixture_t *f, gconstpointer data)
{
    static const char *const ends[] = {"\n", "\r\n"};
    (void)data;
    start_stopping(f);
    f->plan[1].replies = "Q";
    for (size_t i = 0; i < G_N_ELEMENTS(ends); i++) {
        char *const stream = g_strconcat(FIRST, SECOND, ends[i], NULL);
        f->plan[1].stream = stream;
        expect(f, "/lm/x", 200, stream);
        g_free(stream);
    }
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add("/stream-events/run-stops-within", fixture_t, NULL, set_up, test_run_stops_within_an_event, tear_down);
    g_test_add("/stream-events/run-starts-over", fixture_t, NULL, set_up, test_run_starts_over, tear_down);
    g_test_add("/stream-events/ids-are-sent-unchanged", fixture_t, NULL, set_up, test_ids_are_sent_unchanged,
               tear_down);
    g_test_add("/stream-events/event-without-id", fixture_t, NULL, set_up, test_event_without_id, tear_down);
    g_test_add("/stream-events/silence-after-event-without-id", fixture_t, NULL, set_up,
               test_silence_after_an_event_without_id, tear_down);
    g_test_add("/stream-events/large-event-arrives-whole", fixture_t, NULL, set_up, test_large_event_arrives_whole,
               tear_down);
    g_test_add("/stream-events/event-beyond-the-limit", fixture_t, NULL, set_up, test_event_beyond_the_limit,
               tear_down);
    g_test_add("/stream-events/event-beyond-the-limit-of-one-engine", fixture_t, NULL, set_up,
               test_event_beyond_the_limit_of_one_engine, tear_down);
    g_test_add("/stream-events/second-run-within-budget", fixture_t, &three_more, set_up,
               test_all_arrivals_of_a_second_run_are_paid, tear_down);
    g_test_add("/stream-events/second-run-beyond-budget", fixture_t, &two_more, set_up,
               test_all_arrivals_of_a_second_run_are_paid, tear_down);
    g_test_add("/stream-events/broken-run-without-prefill", fixture_t, &two_more, set_up,
               test_broken_run_without_prefill, tear_down);
    g_test_add("/stream-events/silent-run-without-prefill", fixture_t, &two_more, set_up,
               test_silent_run_without_prefill, tear_down);
    g_test_add("/stream-events/ids-of-many-digits", fixture_t, NULL, set_up, test_ids_of_many_digits, tear_down);
    g_test_add("/stream-events/empty-line-at-the-end", fixture_t, NULL, set_up, test_empty_line_at_the_end, tear_down);
    return g_test_run();
}
