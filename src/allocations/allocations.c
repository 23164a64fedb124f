#include "allocations.h"

#include <glib.h>
#include <stdint.h>

#include "../clock/clock.h"
#include "../events/events.h"
#include "records.h"

/* A heartbeat is recent if it arrived within this many heartbeat intervals plus the margin. */
#define RECENT_HEARTBEAT_INTERVALS 1.25
#define RECENT_HEARTBEAT_MARGIN_S 1

static const struct settings *allocation_settings;

/* ---- counts ---- */

/* Returns the number of allocations in the list that are not released. */
static int count_unreleased(const GPtrArray *allocations) {
    int count = 0;
    for (guint i = 0; i < allocations->len; i++) {
        const struct allocation *allocation = allocations->pdata[i];
        count += !allocation->released;
    }
    return count;
}

int allocations_count(const struct job *job) { return count_unreleased(job->allocations); }

int allocations_count_on_machine(const struct machine *machine) { return count_unreleased(machine->allocations); }

uint8_t *allocations_task_bits(const struct job *job) {
    uint8_t *bits = g_malloc0((gsize)job->spec.tasks / 8 + 1);
    for (guint i = 0; i < job->allocations->len; i++) {
        const struct allocation *allocation = job->allocations->pdata[i];
        int task = allocation->task;
        if (!allocation->released && task < job->spec.tasks) bits[task / 8] |= (uint8_t)(1 << (task % 8));
    }
    return bits;
}

int allocations_missing_tasks(const struct job *job) {
    int missing = job->spec.tasks - job->n_reported_done;
    for (guint i = 0; i < job->allocations->len; i++) {
        const struct allocation *allocation = job->allocations->pdata[i];
        missing -= !allocation->released && !task_bits_get(job->reported_done_bits, allocation->task);
    }
    return missing;
}

/* Returns whether the machine has recently listed the task as waiting for the other tasks of its gang, or as fetching
 * its image. */
static bool waits_for_gang(const struct allocation *allocation) {
    if (allocation->stop_requested || !allocation->was_listed) return false;
    if (allocation->state != TASK_FETCHING && allocation->state != TASK_WAITING_FOR_GANG) return false;
    double recent_s = clock_to_seconds(allocation_settings->heartbeat_interval) * RECENT_HEARTBEAT_INTERVALS +
                      RECENT_HEARTBEAT_MARGIN_S;
    return clock_seconds_since(allocation->machine->liveness.last_heartbeat) <= recent_s;
}

int64_t allocations_open_gang_attempt(const struct job *job) {
    int64_t attempt = 0;
    for (guint i = 0; i < job->allocations->len; i++) {
        const struct allocation *allocation = job->allocations->pdata[i];
        if (allocation->released) return 0; /* its record may still name the machine that would be chosen */
        if (attempt && allocation->attempt != attempt) return 0;
        attempt = allocation->attempt;
        if (!waits_for_gang(allocation)) return 0;
    }
    return attempt;
}

/* ---- stops ---- */

void allocations_request_stop(struct allocation *allocation, double grace_s) {
    if (allocation->stop_requested) return;
    allocation->stop_requested = true;
    allocation->grace_s = grace_s;
    allocation->machine->commands.send_pending = true;
}

/* Stops the tasks of an ended job without grace, even if an earlier stop request granted a grace period. */
static void stop_without_grace(struct job *job) {
    for (guint i = 0; i < job->allocations->len; i++) {
        struct allocation *allocation = job->allocations->pdata[i];
        allocation->stop_requested = true;
        allocation->grace_s = 0;
        allocation->machine->commands.send_pending = true;
    }
}

/* Observer of jobs, called with store_lock held. */
static void job_applied(struct job *job) {
    /* A done gang needs no stops: all its tasks complete at the same time. */
    bool gang_completed = job->state == JOB_DONE && job->spec.kind == JOB_GANG;
    if (job->state != JOB_QUEUED && !gang_completed) stop_without_grace(job);
    events_publish(EVENT_SCHEDULE);
    events_publish(EVENT_DISPATCH);
}

void allocations_init(const struct settings *settings) {
    allocation_settings = settings;
    jobs_subscribe((struct jobs_observer){.applied = job_applied});
    allocations_records_init(settings);
}
