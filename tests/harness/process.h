/** @file process.h
 * Runs the project's programs as processes of a test, and cleans up their folders.
 */
#ifndef TRACKCOVE_TESTS_PROCESS_H
#define TRACKCOVE_TESTS_PROCESS_H

#include <sys/types.h>

/** Starts a program with its settings; appends its output to the file SETTINGS.log. @return process id, which the
 * caller waits for */
pid_t process_spawn(const char *path, const char *settings);

/** As process_spawn(), with the library @p shim preloaded; NULL: none. @param ip of its machine, for the shim; NULL: as
 * the system chooses. @param dir whose files lose what is not synced when the machine loses power; NULL: none */
pid_t process_spawn_with(const char *path, const char *settings, const char *shim, const char *ip, const char *dir);

/** Peak resident memory of a running process in KB (VmHWM); 0 when it has exited and was not waited for. */
long process_peak_kb(pid_t pid);

/** Removes all files in a folder, which may not contain folders. */
void folder_empty(const char *dir);

#endif
