/* The incident: machines may be suspended for seconds, and the clock that all leases, votes and time limits were
 * counted by left that time out. A leader that came back took its lease for held, a window of the retry budget for full
 * of what was long over, a request's time for left.
 *
 * How it came about: the project's clock was CLOCK_MONOTONIC, which goes on while a process is stopped by a signal, the
 * only stand-still that the tests knew, but not while its machine is suspended.
 *
 * What proved it: a child below is suspended by a shim (tests/shim/suspend.c) while its parent counts the time. And, by
 * the same child: a loop that stood still within its wait read one round of its sockets before its timers ran, so that
 * with more than 64 of them full sound streams were given up as silent. */

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
    SILENCE_MS = 300, /* after which the child takes a pipe for silent */
    PIPES = 100,      /* more than a loop handles in one round */
    CLOCK_FD = 3      /* at which the child says what it found */
};

/* ===== The child ===== */

typedef struct {
    loop_t *loop;
    int pipes[PIPES][2];
    loop_watch_t watches[PIPES];
    loop_timer_t silence;
    unsigned heard;
    tc_time_t began;
} child_t;

static child_t child;

static void on_byte(void *arg, uint32_t events)
{
    const int fd = *(const int *)arg;
    char byte;
    (void)events;
    child.heard += read(fd, &byte, 1) == 1;
}

/** What the child found goes to its parent: ms passed by its clock, and pipes heard before the timer ran. */
static void on_silence(void *arg)
{
    (void)arg;
    dprintf(CLOCK_FD, "%lld %u\n", (long long)(tc_time_now() - child.began), child.heard);
    loop_stop(child.loop);
}

/** Write to all pipes from another process, which goes on while this one is suspended. */
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
    child.began = tc_time_now();
    loop_arm(child.loop, &child.silence, child.began + SILENCE_MS, on_silence, NULL);
    const pid_t me = getpid();
    if (fork() == 0)
        write_while_suspended(me);
    loop_run(child.loop);
    wait(NULL);
    return 0;
}

/* ===== The parent ===== */

static char *own_path;

/** Run the child with the shim. @param said two numbers */
static void run_suspended(long long *passed, unsigned *heard)
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
        dup2(out[1], CLOCK_FD);
        setenv("LD_PRELOAD", shim, 1);
        setenv("ASAN_OPTIONS", "verify_asan_link_order=0", 1);
        execl(own_path, own_path, "--child", (char *)NULL);
        _exit(127);
    }
    close(out[1]);
    g_assert_cmpint(read(out[0], text, sizeof(text) - 1), >, 0);
    g_assert_cmpint(waitpid(pid, &status, 0), ==, pid);
    g_assert_cmpint(sscanf(text, "%lld %u", passed, heard), ==, 2);
    close(out[0]);
    g_free(shim);
    g_free(dir);
}

/** The time for which the machine was suspended counts, and what came meanwhile is read before anything is given up. */
static void test_machine_is_suspended(void)
{
    long long passed;
    unsigned heard;
    run_suspended(&passed, &heard);
    g_assert_cmpint(passed, >=, SUSPENDED_MS);
    g_assert_cmpuint(heard, ==, PIPES);
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
