/* Callers counted by cause, from log lines as boxes write them. */

#include <glib.h>

#include "forward/account.h"

#define ROUTED(time, id, more)                                                                                         \
    "{\"time\":" time ",\"event\":\"routed\",\"request\":\"" id                                                        \
    "\",\"service\":\"lm\",\"aim_ms\":900,\"pause_aim_ms\":300" more "}"
#define END(event, id, status, why, more)                                                                              \
    "{\"time\":9,\"event\":\"" event "\",\"request\":\"" id "\",\"why\":\"" why "\",\"status\":" status more "}"
#define PROMPT(id) ",\"prompt\":\"" id "\""
#define FIRST(ms, pause) ",\"took_ms\":3000,\"first_ms\":" ms ",\"pause_ms\":" pause ",\"events\":70"

/** The cause for one caller's lines. */
static cause_t cause_of(const char *const *lines)
{
    account_t *const account = account_create();
    for (; *lines; lines++)
        account_add_line(account, *lines);
    GArray *const services = account_classify(account);
    g_assert_cmpuint(services->len, ==, 1);
    const account_service_t *const s = &g_array_index(services, account_service_t, 0);
    g_assert_cmpuint(s->callers, ==, 1);
    int cause = 0;
    while (s->count[cause] == 0)
        cause++;
    g_assert_cmpstr(s->examples[cause][0], ==, "a");
    g_array_free(services, TRUE);
    account_destroy(account);
    return (cause_t)cause;
}

#define EXPECT(cause, ...) g_assert_cmpint(cause_of((const char *const[]){__VA_ARGS__, NULL}), ==, cause)

static void test_causes(void)
{
    EXPECT(CAUSE_SERVED, ROUTED("1", "a", PROMPT("p")), END("done", "a", "200", "streamed", FIRST("400", "80")));
    EXPECT(CAUSE_FIRST_LATE, ROUTED("1", "a", PROMPT("p")), END("done", "a", "200", "streamed", FIRST("901", "80")));
    EXPECT(CAUSE_PAUSED, ROUTED("1", "a", PROMPT("p")), END("done", "a", "200", "streamed", FIRST("400", "301")));
    EXPECT(CAUSE_FULL, ROUTED("1", "a", PROMPT("p")), END("failed", "a", "503", "refused by the scheduler", ""));
    EXPECT(CAUSE_REFUSED, ROUTED("1", "a", PROMPT("p")), END("failed", "a", "503", "this box stops", ""));
    EXPECT(CAUSE_BOX, ROUTED("1", "a", PROMPT("p")));
    EXPECT(CAUSE_ENGINE, ROUTED("1", "a", PROMPT("p")), "{\"event\":\"answer_lost\",\"request\":\"a\"}",
           END("failed", "a", "502", "stream broke off", ""));
    EXPECT(CAUSE_BACKEND, ROUTED("1", "a", ""), END("done", "a", "500", "answered", ",\"took_ms\":50"));
    EXPECT(CAUSE_CALLER_LEFT, ROUTED("1", "a", ""), END("caller_gone", "a", "0", "connection closed", ""));
}

/** The attempts of one caller count as one; a prefix that a log collector adds to a line is skipped. */
static void test_attempts(void)
{
    EXPECT(CAUSE_FULL_LATE, "12.5 box/x " ROUTED("1000", "a", PROMPT("p")),
           END("failed", "a", "503", "no room in time", ""), ROUTED("4000", "b", PROMPT("p")),
           END("done", "b", "200", "streamed", FIRST("300", "80")));
    EXPECT(CAUSE_SERVED, ROUTED("1000", "a", PROMPT("p")), END("failed", "a", "503", "this box stops", ""),
           ROUTED("1010", "b", PROMPT("p")), END("done", "b", "200", "streamed", FIRST("300", "80")));
    EXPECT(CAUSE_BOX_LATE, ROUTED("1000", "a", PROMPT("p")), ROUTED("1900", "b", PROMPT("p") ",\"resume_after\":\"7\""),
           END("done", "b", "200", "streamed", FIRST("300", "80")));
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/account/causes", test_causes);
    g_test_add_func("/account/tries", test_attempts);
    return g_test_run();
}
