/* Plans arrays and services, which are placed task by task. */
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include "../allocations/allocations.h"
#include "../allocations/records.h"
#include "../clock/clock.h"
#include "planning.h"

#define PREEMPTIONS_PER_JOB_MAX 32 /* the most tasks of a job for which one round preempts others */

#define ALLOCATION_ENTRY_BYTES 15 /* size of an allocation in a chunk's record, without the machine's id */
#define RECORD_OVERHEAD_BYTES 64  /* size of a chunk's record without its allocations and done bits */
#define DONE_TASKS_PER_BYTE 4.0   /* tasks whose done bits take one byte of a chunk's record */
#define TASK_BITS_PER_BYTE 8      /* tasks whose bits take one byte in memory */

/* The chunk whose tasks are being placed, and the number of allocations that its record is to hold. */
struct chunk_fill {
    int chunk_size;
    int chunk; /* -1: no task has been placed yet */
    int entries;
};

static int allocations_in_chunk(const struct job *job, int chunk, int chunk_size) {
    int count = 0;
    for (guint i = 0; i < job->allocations->len; i++) {
        const struct allocation *allocation = job->allocations->pdata[i];
        count += allocation->task / chunk_size == chunk;
    }
    return count;
}

/* Counts one more task in its chunk. Returns false if the chunk's record might then exceed its size limit; every
 * machine id is assumed to be as long as this machine's. */
static bool chunk_fill_add(struct chunk_fill *fill, const struct job *job, int task, const struct machine *machine) {
    int chunk = task / fill->chunk_size;
    if (chunk != fill->chunk) {
        fill->chunk = chunk;
        fill->entries = allocations_in_chunk(job, chunk, fill->chunk_size);
    }
    fill->entries++;
    double done_bytes = MIN(job->spec.tasks, fill->chunk_size) / DONE_TASKS_PER_BYTE;
    double entry_bytes = (double)strlen(machine->id) + ALLOCATION_ENTRY_BYTES;
    return fill->entries * entry_bytes + done_bytes + RECORD_OVERHEAD_BYTES <= allocations_value_bytes_max();
}

/* Preempts other tasks to make room for up to `tasks` tasks of the job. Returns true if any task is preempted. */
static bool preempt_for_tasks(struct planning_pass *pass, const struct priority_entry *entry, int tasks) {
    if (!planning_may_preempt(entry)) return false;
    int tasks_with_room = 0;
    while (tasks_with_room < MIN(tasks, PREEMPTIONS_PER_JOB_MAX) &&
           preemption_make_room(entry, pass->machines, NULL, pass->usage))
        tasks_with_room++;
    if (tasks_with_room > 0) entry->job->preempted_at = clock_now();
    return tasks_with_room > 0;
}

/* The previous task's machine is also the best for the next task, as long as it has room. */
static struct machine *choose_next_machine(const struct planning_pass *pass, const struct job *job,
                                           struct machine *previous) {
    if (previous && !job->spec.spread && placement_fits(previous, &job->spec)) return previous;
    return placement_choose_machine(pass->machines_with_room, job, NULL, &pass->rules, pass->round->planned_tasks);
}

/* Returns a bit for each task: whether it is allocated or reported done. The caller frees the array. */
static uint8_t *allocated_or_done_tasks(const struct job *job) {
    uint8_t *allocated_or_done = allocations_task_bits(job);
    for (int i = 0; i <= job->spec.tasks / TASK_BITS_PER_BYTE; i++) allocated_or_done[i] |= job->reported_done_bits[i];
    return allocated_or_done;
}

bool planning_schedule_array(struct planning_pass *pass, const struct priority_entry *entry, int missing) {
    struct job *job = entry->job;
    struct chunk_fill fill = {.chunk_size = allocations_next_chunk_size(job), .chunk = -1};
    struct machine *machine = NULL;
    g_autofree uint8_t *allocated_or_done = allocated_or_done_tasks(job);
    for (int task = 0; task < job->spec.tasks && missing > 0; task++) {
        if (task_bits_get(allocated_or_done, task)) continue;
        if (!preemption_quota_allows(&pass->usage[job->spec.team], job, 1)) return false;
        if (pass->round->planned_tasks->len >= PLANNED_TASKS_MAX) {
            pass->round->has_deferred_work = true;
            return false;
        }
        machine = choose_next_machine(pass, job, machine);
        bool starts_in_time = machine && !preemption_image_fetch_too_slow(job, machine);
        if (!starts_in_time && preempt_for_tasks(pass, entry, missing)) return false;
        if (!machine) return true;
        if (!chunk_fill_add(&fill, job, task, machine)) {
            task = (fill.chunk + 1) * fill.chunk_size - 1; /* skip to the next chunk */
            continue;
        }
        planning_place_task(pass, job, task, machine, planning_next_attempt(pass->round->shard));
        missing--;
    }
    return false;
}
