/** @file power.h
 * Simulates a loss of power for the files of one folder: what was written since the last sync of a file is then kept,
 * lost or torn, independently for each write, and so is each name that was changed since the last sync of the folder.
 *
 * Linked into a test, or preloaded into a program: there SIGUSR1 makes the power fail at one of the next syncs in the
 * folder in SHIM_POWER_DIR that would cover something, which ends the process with SIGKILL.
 */
#ifndef TRACKCOVE_TESTS_POWER_H
#define TRACKCOVE_TESTS_POWER_H

#include <stdbool.h>
#include <stdint.h>

/** Starts to observe the files of @p dir, whose present contents count as synced. */
void power_watch(const char *dir, uint32_t seed);
/** Makes the power fail after @p operations more operations. Later ones report success and do nothing. */
void power_fail_after(unsigned operations);
bool power_is_off(void);
/** Syncs of observed files since power_watch(), without those of the folder and of files under a temporary name. */
unsigned power_syncs(void);
/** Leaves the files as they are after the loss of power, and ends the observation. */
void power_lose(void);

#endif
