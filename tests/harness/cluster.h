/** @file cluster.h
 * Runs a deployment from examples/ as real processes in a folder of its own, for fault tests, demo and bench.
 *
 * Ports of the example are moved by an offset, so that several can run side by
 * side. Only processes started here are ended, each by its id.
 */
#ifndef TRACKCOVE_TESTS_CLUSTER_H
#define TRACKCOVE_TESTS_CLUSTER_H

/* ===== Dependencies ===== */

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

/* ===== Types ===== */

typedef struct cluster cluster_t;

typedef struct {
    const char *deployment;    /**< "sahel" or "river" */
    unsigned entries;          /**< 0: all of the example */
    unsigned controls;         /**< 0: all of the example */
    const char *config_patch;  /**< JSON merge patch on the initial configuration, or NULL */
    const char *entry_patch;   /**< JSON merge patch on entry settings, or NULL */
    const char *control_patch; /**< JSON merge patch on control settings, or NULL */
    const char *stub_args;     /**< further arguments of the stand-in, or NULL */
    unsigned port_offset;      /**< added to every port */
} cluster_options_t;

/* ===== Public functions ===== */

/** Before threads use this module; cluster_start does it too. */
void cluster_init(void);

/** Start everything and wait until every entry is ready. @return NULL with a message on standard error */
cluster_t *cluster_start(const cluster_options_t *options);

/** End all processes; remove the folder unless @p keep. */
void cluster_stop(cluster_t *cluster, bool keep);

/** Folder with settings, logs and data. */
const char *cluster_dir(const cluster_t *cluster);

/** Start a process of the deployment (again): "stub", "entry-N" or "control-N". */
bool cluster_spawn(cluster_t *cluster, const char *name);

/** Send a signal; SIGKILL also waits for the end. */
void cluster_signal(cluster_t *cluster, const char *name, int number);

/** Wait until the process has ended. @return its exit status, -1 when it is still running after @p limit_ms */
int cluster_wait_exit(cluster_t *cluster, const char *name, int limit_ms);

/** Process id, 0 when it is not running. */
GPid cluster_pid(const cluster_t *cluster, const char *name);

/** HTTP address of a process. */
const char *cluster_addr(const cluster_t *cluster, const char *name);

/** Wait until an entry says that it is ready. */
bool cluster_wait_ready(cluster_t *cluster, const char *name, int limit_ms);

/** GET or POST JSON at a process. @param body NULL for GET, else taken over @param status may be NULL
 * @return the answer, new reference, or NULL */
json_t *cluster_call(cluster_t *cluster, const char *name, const char *path, json_t *body, int *status);

/** Ask the control boxes until the leader answers. @param body as cluster_call */
json_t *cluster_call_leader(cluster_t *cluster, const char *path, json_t *body, int *status, int limit_ms);

/** Name of the control box that leads, or NULL within @p limit_ms. */
const char *cluster_leader(cluster_t *cluster, int limit_ms);

/** Name of the entry that schedules cell "main", or NULL within @p limit_ms. Free with g_free. */
char *cluster_scheduler(cluster_t *cluster, int limit_ms);

/** Order a fault of the stand-in. */
void cluster_inject_fault(cluster_t *cluster, const char *name, const char *kind, double ms);

/** A count of the stand-in's statistics. */
long long cluster_stat(cluster_t *cluster, const char *key);

/** Addresses of all entries, comma between; for trackcove-load. g_free it. */
char *cluster_entry_addrs(const cluster_t *cluster);

/** Run a condition until it is true. @return false after @p limit_ms */
typedef bool (*cluster_condition_t)(void *arg);
bool cluster_wait_until(cluster_condition_t condition, void *arg, int limit_ms);

/** Run a program from build/bin with arguments to its end. @param output heap standard output, may be NULL
 * @return exit status */
int cluster_run(cluster_t *cluster, const char *const *argv, char **output);

/** Begin a program from build/bin; finish with cluster_join. */
GPid cluster_run_async(cluster_t *cluster, const char *const *argv, const char *output_file);
int cluster_join(GPid pid);

#endif
