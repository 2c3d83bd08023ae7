/* The planner: hysteresis, minimum stay, roles that the hardware may serve, and never the last engine of a role. */

#include <glib.h>
#include <string.h>

#include "control/planner.h"

static config_t make_config(const char *more)
{
    char *const text =
        g_strdup_printf("{\"planner\":{\"enabled\":true,\"sustain_ms\":1000,\"min_stay_ms\":5000},\"engines\":{"
                        "\"p0\":{\"url\":\"u\",\"dc\":\"a\",\"role\":\"prefill\",\"model\":\"m\"},"
                        "\"p1\":{\"url\":\"u\",\"dc\":\"a\",\"role\":\"prefill\",\"model\":\"m\"},"
                        "\"d0\":{\"url\":\"u\",\"dc\":\"a\",\"role\":\"decode\",\"model\":\"m\"},"
                        "\"d1\":{\"url\":\"u\",\"dc\":\"a\",\"role\":\"decode\",\"model\":\"m\"%s}}}",
                        more);
    config_t config;
    tc_err_t err;
    if (codec_from_json_text(&config_desc, &config, text, strlen(text), "test", &err) < 0)
        g_error("%s %s", err.peer, err.detail);
    g_free(text);
    return config;
}

static void report_load(planner_t *p, const config_t *config, double prefill, double decode, uint64_t epoch,
                        tc_time_t now)
{
    cell_load_t load = {.epoch = epoch, .prefill_busy = prefill, .decode_busy = decode};
    codec_copy_string(load.cell, sizeof(load.cell), "main");
    planner_update_load(p, &load, &config->planner, now);
}

/** Report the same load every 100 ms. @return time of the first move, or -1 */
static tc_time_t report_until_move(planner_t *p, const config_t *config, double prefill, double decode, tc_time_t from,
                                   tc_time_t to, planner_move_t *move)
{
    for (tc_time_t now = from; now <= to; now += 100) {
        report_load(p, config, prefill, decode, 1, now);
        if (planner_decide(p, config, move, now))
            return now;
    }
    return -1;
}

static void test_moves(void)
{
    config_t config = make_config("");
    planner_t *const p = planner_create();
    planner_move_t move;
    planner_reset(p, 0);
    g_assert_cmpint(report_until_move(p, &config, 0.95, 0.3, 100, 4900, &move), ==,
                    -1); /* minimum stay since the start of the term */
    g_assert_cmpint(report_until_move(p, &config, 0.95, 0.3, 5000, 9000, &move), ==,
                    5000); /* the load was sustained before */
    g_assert_cmpint(move.to, ==, ROLE_PREFILL);
    g_assert_cmpstr(move.engine, ==, "d1");
    g_assert_cmpint(report_until_move(p, &config, 0.95, 0.3, 5100, 9900, &move), ==, -1); /* minimum stay of the cell */
    planner_destroy(p);
    codec_free(&config_desc, &config);
}

static void test_hysteresis(void)
{
    config_t config = make_config("");
    planner_t *const p = planner_create();
    planner_move_t move;
    planner_reset(p, 0);
    g_assert_cmpint(report_until_move(p, &config, 0.95, 0.8, 100, 20000, &move), ==,
                    -1); /* the other role is not cold */
    g_assert_cmpint(report_until_move(p, &config, 0.8, 0.1, 20100, 40000, &move), ==, -1); /* not hot */
    for (tc_time_t now = 40100; now < 60000; now += 500) { /* never hot for long enough */
        report_load(p, &config, now / 500 % 2 ? 0.99 : 0.2, 0.2, 1, now);
        g_assert_false(planner_decide(p, &config, &move, now));
    }
    planner_destroy(p);
    codec_free(&config_desc, &config);
}

static void test_last_of_role(void)
{
    config_t config = make_config(",\"roles_allowed\":\"decode\"");
    planner_t *const p = planner_create();
    planner_move_t move;
    planner_reset(p, 0);
    g_assert_cmpint(report_until_move(p, &config, 0.95, 0.1, 100, 9000, &move), >=, 0);
    g_assert_cmpstr(move.engine, ==, "d0"); /* d1's hardware may not serve prefill */
    config.engines[2].role = ROLE_PREFILL;  /* d0 has moved, so d1 is the last decode engine */
    g_assert_cmpint(report_until_move(p, &config, 0.95, 0.1, 20000, 40000, &move), ==, -1);
    planner_destroy(p);
    codec_free(&config_desc, &config);
}

static void test_stale_reports(void)
{
    config_t config = make_config("");
    planner_t *const p = planner_create();
    planner_move_t move;
    planner_reset(p, 0);
    report_load(p, &config, 0.1, 0.1, 2, 6000);
    for (tc_time_t now = 6100; now < 9000; now += 100) /* a scheduler of an older epoch, whose lease has expired */
        report_load(p, &config, 0.95, 0.1, 1, now);
    g_assert_false(planner_decide(p, &config, &move, 9000));
    g_assert_cmpint(report_until_move(p, &config, 0.95, 0.1, 9000, 9500, &move), ==, -1);
    g_assert_false(planner_decide(p, &config, &move, 30000)); /* the last report is too old */
    config.planner.enabled = false;
    g_assert_cmpint(report_until_move(p, &config, 0.95, 0.1, 31000, 60000, &move), ==, -1);
    planner_destroy(p);
    codec_free(&config_desc, &config);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/planner/moves", test_moves);
    g_test_add_func("/planner/hysteresis", test_hysteresis);
    g_test_add_func("/planner/last-of-role", test_last_of_role);
    g_test_add_func("/planner/stale-reports", test_stale_reports);
    return g_test_run();
}
