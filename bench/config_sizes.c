/* Costs of a configuration by its size: memory of the processes, bytes on the links, time until it is in force on 66
 * entry boxes with links of 10 Mbit/s. Prints a line of JSON per measurement. */

#include <glib.h>
#include <stdio.h>

#include "cluster/document.h"
#include "platform/large_lab.h"

static const int SIZES[] = {40, 1000, 4000, 8000, 13000, 20000};

static void print_point(const char *measure, int routes, double value)
{
    printf("{\"measure\": \"%s\", \"x\": %d, \"y\": %.6g}\n", measure, routes, value);
    fflush(stdout);
}

/** Highest peak memory of a control box, kB. */
static long control_peak_kb(const large_t *w)
{
    long peak_kb_max = 0;
    for (int i = 0; i < CONTROLS; i++)
        peak_kb_max = MAX(peak_kb_max, peak_kb(&w->control[i].process));
    return peak_kb_max;
}

/** Puts two configurations of that size in force one after the other and measures the second. */
static void measure(int routes)
{
    static large_t w;
    w = (large_t){0};
    set_up(&w, NULL);
    w.wanted_version = 3;
    put_routes(&w, w.wanted_version, routes);
    lab_run_until(w.loop, all_have_version, &w);
    const int leader = find_leader(&w);
    char *const body = make_config(++w.wanted_version, routes);
    document_t packed = {0};
    document_make(&packed, w.wanted_version, body, strlen(body));
    const int64_t before = counter_read("trackcove_peer_bytes_received_total");
    const tc_time_t start = tc_time_now();
    lab_call_t *const call = begin_put(&w, leader, body);
    lab_run_until(w.loop, is_done, call);
    const tc_time_t acknowledged = tc_time_now();
    lab_run_until(w.loop, all_have_version, &w);
    const tc_time_t in_force = tc_time_now();
    const int64_t bytes = counter_read("trackcove_peer_bytes_received_total") - before;
    g_assert_cmpint(call->status, ==, 200);
    print_point("config_size_text_kb", routes, (double)strlen(body) / 1024);
    print_point("config_size_packed_kb", routes, packed.body_n / 1024.0);
    print_point("config_size_control_kb", routes, (double)control_peak_kb(&w));
    print_point("config_size_entry_kb", routes, (double)peak_kb(&w.forward));
    print_point("config_size_link_kb", routes, (double)bytes / ENTRIES / 1024);
    print_point("config_size_acknowledged_ms", routes, (double)(acknowledged - start));
    print_point("config_size_in_force_ms", routes, (double)(MAX(in_force, acknowledged) - start));
    lab_call_free(call);
    codec_free(&document_desc, &packed);
    g_free(body);
    tear_down(&w, NULL);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (guint i = 0; i < G_N_ELEMENTS(SIZES); i++)
        measure(SIZES[i]);
    return 0;
}
