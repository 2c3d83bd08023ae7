/** @file log_check.h
 * Checks that every log line of a test is a JSON object.
 */
#ifndef TRACKCOVE_TESTS_LOG_CHECK_H
#define TRACKCOVE_TESTS_LOG_CHECK_H

/** Writes the log of this process to a temporary file. */
void log_check_begin(void);

/** Closes the log, fails when a line is no JSON object, and removes the file. @return the number of lines */
unsigned log_check_end(void);

#endif
