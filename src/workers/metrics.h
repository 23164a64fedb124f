/* Counts of the messages exchanged with workers, for the status line. All functions are called with store_lock held. */
#ifndef FF_WORKERS_METRICS_H
#define FF_WORKERS_METRICS_H

enum worker_metric {
    METRIC_HEARTBEATS,   /* heartbeats of owned machines */
    METRIC_COMMANDS,     /* commands to owned machines, without token probes */
    METRIC_TOKEN_PROBES, /* token probes to owned machines */
    METRIC_TOKEN_RAISES, /* raises of a machine's fencing token, without those by a write */
    METRIC_COUNT
};

/* Adds one to the count. */
void metrics_count(enum worker_metric metric);
/* Logs the counts a second since the last call, which was interval_s seconds ago, and the state of the lists of tasks
 * of owned machines. */
void metrics_log_status(double interval_s);
#endif
