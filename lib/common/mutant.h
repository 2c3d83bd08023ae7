/** @file mutant.h
 * Deliberate faults, by which the checks show that they can fail. Built in by `make sabotage` alone, one at a time:
 * nothing else defines TRACKCOVE_MUTANT.
 */
#ifndef TRACKCOVE_COMMON_MUTANT_H
#define TRACKCOVE_COMMON_MUTANT_H

#define MUTANT_EARLY_ANSWER 1 /* an operator hears that a document is accepted before it is on any other disk */
#define MUTANT_NO_LEASE 2     /* a leader answers reads without asking whether it still leads */
#define MUTANT_RUN_TWICE 3    /* a request that must run once is sent again after its answer was lost */
#define MUTANT_JOINED_RUNS 4  /* what a silent run left of an event stands before the next run's bytes */

#define MUTANT_FORGET_ENDS 5    /* nothing is held against a request under which back ends end */
#define MUTANT_SLEEPING_CLOCK 6 /* the time for which a machine is suspended does not count */
#define MUTANT_NO_BUDGET 7      /* further arrivals at back ends are always allowed */
#define MUTANT_NO_LIMIT 8       /* limits that back ends name are heard and not held */
#define MUTANT_NO_NOTICE 9      /* what back ends say of themselves in their answers is not heard */

#ifdef TRACKCOVE_MUTANT
#define MUTANT_IS(which) (TRACKCOVE_MUTANT == (which))
#else
#define MUTANT_IS(which) 0
#endif

#endif
