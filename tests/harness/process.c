#include "harness/process.h"

#include <fcntl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <spawn.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

pid_t process_spawn(const char *path, const char *settings)
{
    return process_spawn_with(path, settings, NULL, NULL, NULL);
}

pid_t process_spawn_with(const char *path, const char *settings, const char *shim, const char *ip, const char *dir)
{
    char *const log = g_strconcat(settings, ".log", NULL);
    char *const env = g_strconcat("TRACKCOVE_CONFIG=", settings, NULL);
    char *const preload = shim ? g_strconcat("LD_PRELOAD=", shim, NULL) : NULL;
    char *const source = shim && ip ? g_strconcat("SHIM_SOURCE_IP=", ip, NULL) : NULL;
    char *const power = shim && dir ? g_strconcat("SHIM_POWER_DIR=", dir, NULL) : NULL;
    char *const argv[] = {(char *)(uintptr_t)path, NULL};
    char *envp[] = {env, NULL, NULL, NULL, NULL};
    char *const optional[] = {preload, source, power};
    int n = 1;
    for (size_t i = 0; i < G_N_ELEMENTS(optional); i++)
        if (optional[i])
            envp[n++] = optional[i];
    posix_spawn_file_actions_t files;
    pid_t pid;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log, O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    g_assert_cmpint(posix_spawn(&pid, path, &files, NULL, argv, envp), ==, 0);
    posix_spawn_file_actions_destroy(&files);
    g_free(log);
    g_free(env);
    g_free(preload);
    g_free(source);
    g_free(power);
    return pid;
}

long process_peak_kb(pid_t pid)
{
    char path[40];
    char *text = NULL;
    g_snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
    g_assert_true(g_file_get_contents(path, &text, NULL, NULL)); /* fails when the process was waited for */
    const char *const line = strstr(text, "VmHWM:");
    const long kb = line ? strtol(line + strlen("VmHWM:"), NULL, 10) : 0;
    g_free(text);
    return kb; /* 0: a zombie, which has no VmHWM line */
}

void folder_empty(const char *dir)
{
    GDir *const handle = g_dir_open(dir, 0, NULL);
    for (const char *name = g_dir_read_name(handle); name; name = g_dir_read_name(handle)) {
        char *const path = g_build_filename(dir, name, NULL);
        g_assert_cmpint(g_unlink(path), ==, 0);
        g_free(path);
    }
    g_dir_close(handle);
}
