/* Arrays and services, which are placed task by task. */
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include "../allocations/allocations.h"
#include "../allocations/records.h"
#include "../clock/clock.h"
#include "planning.h"

#define PREEMPTIONS_MAX 32 /* tasks of one job that a round makes room for */

/* Bytes of a chunk's record: of an entry beside the machine's id, of what holds the entries, and tasks whose bit of
 * being done one byte of text carries. */
#define ENTRY_BYTES 15
#define RECORD_BYTES 64
#define DONE_TASKS_PER_BYTE 4.0

#define TASKS_PER_BYTE 8 /* in a bit set in memory */

/* The chunk whose tasks are being placed, and the allocations that its record holds by now. */
struct chunk_fill {
    int chunk_size;
    int chunk; /* -1: none yet */
    int entries;
};

static int allocations_in_chunk(const struct job *job, int chunk, int chunk_size) {
    int found = 0;
    for (guint i = 0; i < job->allocations->len; i++) {
        const struct allocation *allocation = job->allocations->pdata[i];
        found += allocation->task / chunk_size == chunk;
    }
    return found;
}

/* Counts one more task into the chunk that it belongs to. False if the record might not hold it, however long the names
 * are. */
static bool chunk_fill_add(struct chunk_fill *fill, const struct job *job, int task, const struct machine *machine) {
    int chunk = task / fill->chunk_size;
    if (chunk != fill->chunk) {
        fill->chunk = chunk;
        fill->entries = allocations_in_chunk(job, chunk, fill->chunk_size);
    }
    fill->entries++;
    double done_bytes = MIN(job->spec.tasks, fill->chunk_size) / DONE_TASKS_PER_BYTE;
    double entry_bytes = (double)strlen(machine->id) + ENTRY_BYTES;
    return fill->entries * entry_bytes + done_bytes + RECORD_BYTES <= allocations_value_bytes_max();
}

/* Preempts work so that tasks of the job get room; true if any is preempted. */
static bool preempt_for(struct planning_pass *pass, const struct priority_entry *entry, int tasks) {
    if (!planning_may_preempt(entry)) return false;
    int made = 0;
    while (made < MIN(tasks, PREEMPTIONS_MAX) && preemption_make_room(entry, pass->machines, NULL, pass->usage)) made++;
    if (made > 0) entry->job->preempted_at = clock_now();
    return made > 0;
}

/* What was best for a task is best for the next one like it, as long as it has room. */
static struct machine *machine_after(const struct planning_pass *pass, const struct job *job, struct machine *last) {
    if (last && !job->spec.spread && placement_fits(last, &job->spec)) return last;
    return placement_choose(pass->machines_with_room, job, NULL, &pass->rules, pass->round->plans);
}

/* Which tasks are allocated or reported done, a bit a task. */
static uint8_t *busy_tasks(const struct job *job) {
    uint8_t *busy = allocations_task_bits(job);
    for (int i = 0; i <= job->spec.tasks / TASKS_PER_BYTE; i++) busy[i] |= job->reported_done[i];
    return busy;
}

bool planning_array(struct planning_pass *pass, const struct priority_entry *entry, int missing) {
    struct job *job = entry->job;
    struct chunk_fill fill = {.chunk_size = allocations_next_chunk_size(job), .chunk = -1};
    struct machine *machine = NULL;
    g_autofree uint8_t *busy = busy_tasks(job);
    for (int task = 0; task < job->spec.tasks && missing > 0; task++) {
        if (task_bits_get(busy, task)) continue;
        if (!preemption_quota_left(&pass->usage[job->spec.team], job, 1)) return false;
        if (pass->round->plans->len >= PLANS_MAX) {
            pass->round->more_waits = true;
            return false;
        }
        machine = machine_after(pass, job, machine);
        bool starts_in_time = machine && !preemption_fetch_too_slow(job, machine);
        if (!starts_in_time && preempt_for(pass, entry, missing)) return false;
        if (!machine) return true;
        if (!chunk_fill_add(&fill, job, task, machine)) {
            task = (fill.chunk + 1) * fill.chunk_size - 1; /* on to the next chunk */
            continue;
        }
        planning_place_task(pass, job, task, machine, planning_next_attempt(pass->round->shard));
        missing--;
    }
    return false;
}
