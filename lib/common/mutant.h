/** @file mutant.h
 * Deliberate faults for mutation testing, which prove that the checks can fail. Compiled in only by `make sabotage`,
 * one at a time: nothing else defines TRACKCOVE_MUTANT.
 */
#ifndef TRACKCOVE_COMMON_MUTANT_H
#define TRACKCOVE_COMMON_MUTANT_H

#define MUTANT_EARLY_ANSWER 1       /* a document is acknowledged to the operator before it is on any other disk */
#define MUTANT_NO_LEASE 2           /* a leader answers reads without checking that it still leads */
#define MUTANT_RUN_TWICE 3          /* a request that must run once is sent again after its answer was lost */
#define MUTANT_JOINED_RUNS 4        /* a partial event of a silent run stays in front of the next run's bytes */
#define MUTANT_FORGET_ENDS 5        /* a request under which back ends end is not quarantined */
#define MUTANT_SLEEPING_CLOCK 6     /* the clock does not advance while the machine is suspended */
#define MUTANT_NO_BUDGET 7          /* retries to back ends are always allowed */
#define MUTANT_NO_LIMIT 8           /* limits that back ends name are received but not enforced */
#define MUTANT_NO_NOTICE 9          /* notices in the answers of back ends are ignored */
#define MUTANT_KEEP_TICKETS 10      /* tickets of a box that is gone are not freed before their time is over */
#define MUTANT_IGNORE_UNTICKETED 11 /* requests that boxes sent without a ticket are not counted */
#define MUTANT_RELAYED_UNSENT 12    /* a call whose relayed connection broke counts as never sent */
#define MUTANT_ANY_VERSION 13       /* streams go on at any software version */
#define MUTANT_FORGET_PARTS 14      /* a part of prompts under which back ends end is not quarantined */
#define MUTANT_END_SILENT_RUN 15    /* a silent run is ended before what replaces it has answered */

#ifdef TRACKCOVE_MUTANT
#define MUTANT_IS(which) (TRACKCOVE_MUTANT == (which))
#else
#define MUTANT_IS(which) 0
#endif

#endif
