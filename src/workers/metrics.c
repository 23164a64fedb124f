#include "metrics.h"

#include <glib.h>

#include "../logging/logging.h"
#include "../machines/machines.h"

static unsigned counts[METRIC_COUNT]; /* since the last status line */

/* The lists of tasks that the owned machines send. */
struct list_summary {
    unsigned ended; /* ended tasks without an allocation, which wait to be forgotten */
    int longest;    /* number of tasks in the longest list */
};

void metrics_count(enum worker_metric metric) { counts[metric]++; }

static struct list_summary summarise_lists(void) {
    struct list_summary summary = {0};
    for (guint i = 0; i < machines_all()->len; i++) {
        struct machine *machine = machines_all()->pdata[i];
        if (!machine->recorded || !machines_owned(machine)) continue;
        summary.longest = MAX(summary.longest, machine->agent.listed_tasks);
        for (guint n = 0; n < machine->agent.unknown_tasks->len; n++)
            summary.ended += g_array_index(machine->agent.unknown_tasks, struct unknown_task, n).ended;
    }
    return summary;
}

void metrics_log_status(double interval_s) {
    struct list_summary lists = summarise_lists();
    log_info(
        "workers: %.1f heartbeats/s, %.1f commands/s, %.1f token probes/s, %.1f token raises/s, %u ended tasks wait to "
        "be forgotten, longest list %d tasks",
        counts[METRIC_HEARTBEATS] / interval_s, counts[METRIC_COMMANDS] / interval_s,
        counts[METRIC_TOKEN_PROBES] / interval_s, counts[METRIC_TOKEN_RAISES] / interval_s, lists.ended, lists.longest);
    for (int i = 0; i < METRIC_COUNT; i++) counts[i] = 0;
}
