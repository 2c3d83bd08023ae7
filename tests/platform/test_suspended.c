/* Machines may be suspended for seconds. Leases, votes and time limits must count that time.
 *
 * Guards against a clock that leaves it out: CLOCK_MONOTONIC goes on while a process is stopped by a signal, but not
 * while its machine is suspended. A resumed leader then took its lease for valid, a window of the retry budget counted
 * old requests, and requests seemed to have time left. Also guards against timers that run before pending input: a loop
 * that was suspended while it waited read one round of its sockets before its timers ran, so with more than 64 readable
 * sockets, live streams were given up as silent.
 *
 * A child process is suspended by a shim (tests/shim/suspend.c) while its parent measures the time. */

#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/wait.h>
#include <unistd.h>

#include "peer/loop.h"

enum {
    SUSPENDED_MS = 600,
    SILENCE_TIMEOUT_MS = 300, /* after which the child counts the pipes that had input */
    PIPES = 100,              /* more than the loop handles in one round */
    RESULT_FD = 3             /* on which the child reports its result */
};

/* ===== The child ===== */

typedef struct {
    loop_t *loop;
    int pipes[PIPES][2];
    loop_watch_t watches[PIPES];
    loop_timer_t silence;
    unsigned pipes_read;
    tc_time_t started_at;
} child_t;

static child_t child;

static void on_byte(void *arg, uint32_t events)
{
    const int fd = *(const int *)arg;
    char byte;
    (void)events;
    child.pipes_read += read(fd, &byte, 1) == 1;
}

/** Report to the parent: the time that elapsed by the child's clock, ms, and the pipes read before the timer ran. */
static void on_silence(void *arg)
{
    (void)arg;
    dprintf(RESULT_FD, "%lld %u\n", (long long)(tc_time_now() - child.started_at), child.pipes_read);
    loop_stop(child.loop);
}

/** Write to all pipes from another process, which keeps running while @p suspended is suspended. */
static void write_while_suspended(pid_t suspended)
{
    kill(suspended, SIGUSR2);
    g_usleep(SUSPENDED_MS * 1000 / 2);
    for (int i = 0; i < PIPES; i++)
        g_assert_cmpint(write(child.pipes[i][1], "x", 1), ==, 1);
    g_usleep(SUSPENDED_MS * 1000 / 2);
    kill(suspended, SIGCONT);
    _exit(0);
}

static int run_child(void)
{
    child.loop = loop_create();
    for (int i = 0; i < PIPES; i++) {
        g_assert_cmpint(pipe(child.pipes[i]), ==, 0);
        child.watches[i] = (loop_watch_t){.fd = child.pipes[i][0], .on_io = on_byte, .arg = &child.pipes[i][0]};
        g_assert_cmpint(loop_watch(child.loop, &child.watches[i], EPOLLIN), ==, 0);
    }
    child.started_at = tc_time_now();
    loop_arm(child.loop, &child.silence, child.started_at + SILENCE_TIMEOUT_MS, on_silence, NULL);
    const pid_t me = getpid();
    if (fork() == 0)
        write_while_suspended(me);
    loop_run(child.loop);
    wait(NULL);
    return 0;
}

/* ===== The parent ===== */

static char *own_path;

/** Run the child with the shim. @param elapsed_ms,pipes_read its report */
static void run_suspended(long long *elapsed_ms, unsigned *pipes_read)
{
    char *const dir = g_path_get_dirname(own_path);
    char *const shim = g_build_filename(dir, "..", "shim", "suspend.so", NULL);
    int out[2];
    char text[64] = "";
    int status;
    g_assert_true(g_file_test(shim, G_FILE_TEST_EXISTS));
    g_assert_cmpint(pipe(out), ==, 0);
    const pid_t pid = fork();
    if (pid == 0) {
        dup2(out[1], RESULT_FD);
        setenv("LD_PRELOAD", shim, 1);
        setenv("ASAN_OPTIONS", "verify_asan_link_order=0", 1);
        execl(own_path, own_path, "--child", (char *)NULL);
        _exit(127);
    }
    close(out[1]);
    g_assert_cmpint(read(out[0], text, sizeof(text) - 1), >, 0);
    g_assert_cmpint(waitpid(pid, &status, 0), ==, pid);
    g_assert_cmpint(sscanf(text, "%lld %u", elapsed_ms, pipes_read), ==, 2);
    close(out[0]);
    g_free(shim);
    g_free(dir);
}

/** The time of the suspension counts, and input that arrived meanwhile is read before timers run. */
static void test_machine_is_suspended(void)
{
    long long elapsed_ms;
    unsigned pipes_read;
    run_suspended(&elapsed_ms, &pipes_read);
    g_assert_cmpint(elapsed_ms, >=, SUSPENDED_MS);
    g_assert_cmpuint(pipes_read, ==, PIPES);
}

int main(int argc, char **argv)
{
    own_path = argv[0];
    if (argc == 2 && strcmp(argv[1], "--child") == 0)
        return run_child();
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/suspended/machine-is-suspended", test_machine_is_suspended);
    return g_test_run();
}
