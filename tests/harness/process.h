/** @file process.h
 * The project's programs as real processes of a test, and the folders that they leave.
 */
#ifndef TRACKCOVE_TESTS_PROCESS_H
#define TRACKCOVE_TESTS_PROCESS_H

#include <sys/types.h>

/** Start a program with its settings; what it writes goes to SETTINGS.log. @return its id, to be waited for */
pid_t process_spawn(const char *path, const char *settings);

/** The same with a library preloaded, NULL for none. */
pid_t process_spawn_with(const char *path, const char *settings, const char *shim);

/** Most memory that a process that runs ever had, KB. */
long process_peak_kb(pid_t pid);

/** Remove all files in a folder. */
void folder_empty(const char *dir);

#endif
