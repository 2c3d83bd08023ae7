/* Assembly of one response from several engine runs. A retry or a resumed stream delivers tokens again, split into
 * other events: the caller must get each token once and never a mix of the tokens of two different answers. */

#include <glib.h>

#include "request/caller.h"

/* ===== Fixture ===== */

typedef struct {
    caller_request_t request;
    caller_t caller;
} fixture_t;

/** Starts a response that is not streamed, so that nothing is written before its end. */
static void fixture_init(fixture_t *fixture)
{
    *fixture = (fixture_t){.request = {.id = "answer"}};
    caller_begin(&fixture->caller, NULL, &fixture->request);
}

static void fixture_free(fixture_t *fixture)
{
    caller_free(&fixture->caller);
}

/** Delivers tokens of one letter each. */
static int send_tokens(fixture_t *fixture, caller_cursor_t *run, const char *tokens, const char *finish)
{
    return caller_send_tokens(&fixture->caller, run, run->position + (uint32_t)strlen(tokens), tokens, finish);
}

static void assert_sent(const fixture_t *fixture, const char *text)
{
    g_assert_cmpstr(fixture->caller.text->str, ==, text);
    g_assert_cmpuint(fixture->caller.n_tokens, ==, strlen(text));
}

/* ===== Tests ===== */

static void test_one_run(void)
{
    fixture_t fixture;
    caller_cursor_t run = {0};
    fixture_init(&fixture);
    g_assert_cmpint(send_tokens(&fixture, &run, "a", NULL), ==, TC_OK);
    g_assert_cmpint(send_tokens(&fixture, &run, "bcd", NULL), ==, TC_OK);
    g_assert_false(caller_is_complete(&fixture.caller, &run));
    g_assert_cmpint(send_tokens(&fixture, &run, "e", "stop"), ==, TC_OK);
    g_assert_true(caller_is_complete(&fixture.caller, &run));
    assert_sent(&fixture, "abcde");
    fixture_free(&fixture);
}

/** Two runs of the same answer, for every pair of positions at which they are split. */
static void test_same_again(void)
{
    static const char answer[] = "abcdefgh";
    for (size_t ended = 1; ended < sizeof(answer) - 1; ended++) {
        for (size_t cut = 1; cut < sizeof(answer) - 1; cut++) {
            char first[16], second[16];
            g_strlcpy(first, answer, ended + 1);
            g_strlcpy(second, answer, cut + 1);
            fixture_t fixture;
            caller_cursor_t runs[2] = {{0}, {0}};
            fixture_init(&fixture);
            g_assert_cmpint(send_tokens(&fixture, &runs[0], first, NULL), ==, TC_OK);
            g_assert_cmpint(send_tokens(&fixture, &runs[1], second, NULL), ==, TC_OK);
            g_assert_cmpint(send_tokens(&fixture, &runs[1], answer + cut, "stop"), ==, TC_OK);
            assert_sent(&fixture, answer);
            g_assert_true(caller_is_complete(&fixture.caller, &runs[1]));
            g_assert_false(caller_is_complete(&fixture.caller, &runs[0]));
            fixture_free(&fixture);
        }
    }
}

/** A second run that differs at any position is rejected there, and none of its text is sent. */
static void test_other_tokens(void)
{
    static const char answer[] = "abcdefgh";
    for (size_t differs = 0; differs < 6; differs++) {
        fixture_t fixture;
        caller_cursor_t runs[2] = {{0}, {0}};
        fixture_init(&fixture);
        g_assert_cmpint(send_tokens(&fixture, &runs[0], "abcdef", NULL), ==, TC_OK);
        int rc = TC_OK;
        for (size_t i = 0; i < sizeof(answer) - 1 && rc == TC_OK; i++) {
            const char token[2] = {i == differs ? 'x' : answer[i], '\0'};
            rc = send_tokens(&fixture, &runs[1], token, NULL);
        }
        g_assert_cmpint(rc, ==, TC_E_CONFLICT);
        g_assert_cmpuint(runs[1].position, ==, differs);
        assert_sent(&fixture, "abcdef");
        fixture_free(&fixture);
    }
}

/** The same bytes in a different number of tokens are a different answer. */
static void test_other_lengths(void)
{
    fixture_t fixture;
    caller_cursor_t runs[3] = {{0}, {0}, {0}};
    fixture_init(&fixture);
    g_assert_cmpint(send_tokens(&fixture, &runs[0], "abc", NULL), ==, TC_OK);
    g_assert_cmpint(caller_send_tokens(&fixture.caller, &runs[1], 2, "abcd", NULL), ==, TC_E_CONFLICT);
    g_assert_cmpint(caller_send_tokens(&fixture.caller, &runs[1], 3, "ab", NULL), ==, TC_E_CONFLICT);
    g_assert_cmpint(caller_send_tokens(&fixture.caller, &runs[2], 4, "ab", NULL), ==, TC_E_CONFLICT);
    assert_sent(&fixture, "abc");
    fixture_free(&fixture);
}

/** A run that ends at another position than an earlier run is a different answer, even when its tokens agree. */
static void test_other_ends(void)
{
    fixture_t fixture;
    caller_cursor_t runs[4] = {{0}, {0}, {0}, {0}};
    fixture_init(&fixture);
    g_assert_cmpint(send_tokens(&fixture, &runs[0], "abcd", NULL), ==, TC_OK);
    g_assert_cmpint(send_tokens(&fixture, &runs[1], "ab", "stop"), ==, TC_E_CONFLICT);
    /* The first run had no finish reason at this position. */
    g_assert_cmpint(send_tokens(&fixture, &runs[2], "abcd", "stop"), ==, TC_E_CONFLICT);
    g_assert_cmpint(send_tokens(&fixture, &runs[0], "e", "stop"), ==, TC_OK);
    g_assert_cmpint(send_tokens(&fixture, &runs[3], "abcdef", NULL), ==, TC_E_CONFLICT);
    assert_sent(&fixture, "abcde");
    fixture_free(&fixture);
}

/** A run that ends without a last token is incomplete, even when an earlier run was complete. */
static void test_not_whole(void)
{
    fixture_t fixture;
    caller_cursor_t runs[2] = {{0}, {0}};
    fixture_init(&fixture);
    g_assert_false(caller_is_complete(&fixture.caller, &runs[0]));
    g_assert_cmpint(send_tokens(&fixture, &runs[0], "abcd", "stop"), ==, TC_OK);
    g_assert_cmpint(send_tokens(&fixture, &runs[1], "ab", NULL), ==, TC_OK);
    g_assert_false(caller_is_complete(&fixture.caller, &runs[1]));
    g_assert_true(caller_is_complete(&fixture.caller, &runs[0]));
    fixture_free(&fixture);
}

/** When the caller's last event ends within an event of the run, the rest of that event cannot be sent. */
static void test_last_event_within(void)
{
    fixture_t fixture;
    caller_cursor_t run = {0};
    fixture_init(&fixture);
    fixture.request.stream = true;
    fixture.request.last_event = 3;
    g_assert_cmpint(send_tokens(&fixture, &run, "ab", NULL), ==, TC_OK);
    g_assert_cmpint(send_tokens(&fixture, &run, "cd", NULL), ==, TC_E_CONFLICT);
    fixture_free(&fixture);
}

/** A run that continues after the caller's last event must have the same text up to it; otherwise it is rejected there.
 */
static void test_last_event_of_another_answer(void)
{
    fixture_t first, second;
    caller_cursor_t run = {0};
    fixture_init(&first);
    g_assert_cmpint(send_tokens(&first, &run, "abc", NULL), ==, TC_OK);
    const uint32_t digest = (uint32_t)(first.caller.hash ^ (first.caller.hash >> 32));
    fixture_free(&first);
    static const char *const texts[] = {"abc", "abd", "xbc"};
    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        for (size_t cut = 0; cut < 3; cut++) { /* for every split of the text into events */
            fixture_init(&second);
            second.request.stream = true;
            second.request.last_event = 3;
            second.request.has_digest = true;
            second.request.last_digest = digest;
            run = (caller_cursor_t){0};
            char head[8];
            g_strlcpy(head, texts[i], cut + 1);
            g_assert_cmpint(cut ? send_tokens(&second, &run, head, NULL) : TC_OK, ==, TC_OK);
            g_assert_cmpint(send_tokens(&second, &run, texts[i] + cut, NULL), ==, i == 0 ? TC_OK : TC_E_CONFLICT);
            fixture_free(&second);
        }
    }
}

/** An answer that ends before the caller's last event is not the one that the caller has. */
static void test_last_event_behind_the_end(void)
{
    fixture_t fixture;
    caller_cursor_t run = {0};
    fixture_init(&fixture);
    fixture.request.stream = true;
    fixture.request.last_event = 5;
    g_assert_cmpint(send_tokens(&fixture, &run, "ab", NULL), ==, TC_OK);
    g_assert_cmpint(send_tokens(&fixture, &run, "c", "stop"), ==, TC_E_CONFLICT);
    fixture_free(&fixture);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/answer/one-run", test_one_run);
    g_test_add_func("/answer/same-again", test_same_again);
    g_test_add_func("/answer/other-tokens", test_other_tokens);
    g_test_add_func("/answer/other-lengths", test_other_lengths);
    g_test_add_func("/answer/other-ends", test_other_ends);
    g_test_add_func("/answer/not-whole", test_not_whole);
    g_test_add_func("/answer/last-event-within", test_last_event_within);
    g_test_add_func("/answer/last-event-of-another-answer", test_last_event_of_another_answer);
    g_test_add_func("/answer/last-event-behind-the-end", test_last_event_behind_the_end);
    return g_test_run();
}
