#include "listed_tasks.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include "../clock/clock.h"
#include "../logging/logging.h"
#include "../quarantine/quarantine.h"
#include "directives.h"
#include "pending_starts.h"

#define SERVICE_SUCCESS_S 30.0 /* a service replica that runs longer than this counts as a success of its job */
/* Delays until a job is retried whose task the worker does not know, or that found no room on the machine. */
#define UNKNOWN_TASK_RETRY_DELAY_S 3.0
#define NO_ROOM_RETRY_DELAY_S 1.0

/* Returns the separator before the index in the task's name JOB/INDEX, or NULL if the name has none. */
static const char *find_separator(const struct listed_task *task) { return strrchr(task->name, '/'); }

struct allocation *listed_tasks_find(const struct machine *machine, const struct listed_task *task) {
    const char *separator = find_separator(task);
    if (!separator) return NULL;
    size_t length = (size_t)(separator - task->name);
    int index = (int)g_ascii_strtoll(separator + 1, NULL, 10);
    for (guint i = 0; i < machine->allocations->len; i++) {
        struct allocation *allocation = machine->allocations->pdata[i];
        const char *job_id = allocation->job->spec.job_id;
        if (allocation->attempt == task->attempt && allocation->task == index && strlen(job_id) == length &&
            strncmp(job_id, task->name, length) == 0)
            return allocation;
    }
    return NULL;
}

bool listed_tasks_valid(const cJSON *tasks) {
    if (!cJSON_IsArray(tasks)) return false;
    const cJSON *item;
    struct listed_task task;
    cJSON_ArrayForEach(item, tasks) if (!codec_read_task(item, &task)) return false;
    return true;
}

static void add_unknown(struct machine *machine, const struct listed_task *task, bool ended) {
    struct unknown_task unknown = {"", task->attempt, ended};
    g_strlcpy(unknown.task_name, task->name, sizeof unknown.task_name);
    g_array_append_val(machine->agent.unknown_tasks, unknown);
}

static bool job_cancelled(const struct listed_task *task) {
    const char *separator = find_separator(task);
    char job_id[JOB_ID_SIZE];
    if (!separator || (size_t)(separator - task->name) >= sizeof job_id) return false;
    g_strlcpy(job_id, task->name, (gsize)(separator - task->name) + 1);
    const struct job *job = jobs_find(job_id);
    return job && job->state == JOB_CANCELLED;
}

/* This does not depend on the fencing token that the worker shows: a stop is safe whatever token the task was started
 * under, and must not wait until the worker shows the owner's token. With such a wait, when the owner changed every few
 * seconds, each new owner's first response renewed the worker's lease, and a cancelled task ran on beyond cancel_s. */
void listed_tasks_collect_cancelled(struct machine *machine, const cJSON *tasks) {
    const cJSON *item;
    struct listed_task task;
    g_array_set_size(machine->agent.unknown_tasks, 0);
    cJSON_ArrayForEach(item, tasks) {
        if (codec_read_task(item, &task) && job_cancelled(&task) && codec_read_task_state(item) != TASK_ENDED)
            add_unknown(machine, &task, false);
    }
}

static void log_start(const struct allocation *allocation) {
    const struct job *job = allocation->job;
    const char *image = job->spec.image;
    bool cached = image && g_hash_table_contains(allocation->machine->images, image);
    log_info("task %s/%d runs on %s (%s): %.1f s after its job was ready, %.1f s after allocation, image was %s",
             job->spec.job_id, allocation->task, allocation->machine->id,
             job->spec.job_class ? job->spec.job_class : "?", clock_time_of_day() - job->ready_at,
             clock_seconds_since(allocation->allocated_at), cached ? "cached" : "fetched");
}

/* Logs the release with its reason and the latest message of the worker, which proves it. */
static void release(struct allocation *allocation, const char *reason) {
    const struct machine_agent *agent = &allocation->machine->agent;
    log_info("task %s/%d attempt %lld on machine %s is released: %s, by message %lld/%lld under token %lld",
             allocation->job->spec.job_id, allocation->task, (long long)allocation->attempt, allocation->machine->id,
             reason, (long long)agent->incarnation, (long long)agent->sequence, (long long)agent->reported_token);
    allocation->released = true;
    chunks_mark_dirty(allocation->job, allocation->task);
}

static void handle_success(const struct allocation *allocation) {
    struct job *job = allocation->job;
    if (job->state != JOB_QUEUED) return;
    jobs_mark_done(job, allocation->task);
    quarantine_record_success(job);
}

static void handle_failure(const struct allocation *allocation, enum task_end_cause cause) {
    struct job *job = allocation->job;
    if (job->state != JOB_QUEUED) return;
    switch (cause) {
        case TASK_END_FAILED:
            log_info("task %s/%d failed on machine %s", job->spec.job_id, allocation->task, allocation->machine->id);
            quarantine_record_failure(job, allocation->machine);
            break;
        case TASK_END_UNKNOWN_TASK:
            job->retry_at = clock_now_plus(clock_from_seconds(UNKNOWN_TASK_RETRY_DELAY_S));
            break;
        case TASK_END_NO_ROOM:
        case TASK_END_BUSY:
            job->retry_at = clock_now_plus(clock_from_seconds(NO_ROOM_RETRY_DELAY_S));
            break;
        default:
            break;
    }
}

/* Applies the task's listed state to its allocation. Returns true if that released the allocation. */
static bool apply_state(struct allocation *allocation, enum task_state state, enum task_end_cause cause) {
    const struct job_spec *spec = &allocation->job->spec;
    struct machine *machine = allocation->machine;
    bool state_changed = allocation->state != state;
    allocation->was_listed = true;
    if (state_changed) allocation->state_since = machine->liveness.last_heard;
    if (state == TASK_RUNNING && state_changed) log_start(allocation);
    allocation->state = state;
    if (state == TASK_RUNNING && spec->kind == JOB_SERVICE &&
        clock_seconds_since(allocation->state_since) > SERVICE_SUCCESS_S)
        quarantine_record_success(allocation->job);
    if ((state == TASK_RUNNING || state == TASK_WAITING_FOR_GANG) && spec->image)
        g_hash_table_add(machine->images, g_strdup(spec->image));
    if (state != TASK_ENDED || allocation->released) return false;
    release(allocation, codec_task_cause_name(cause));
    if (cause == TASK_END_DONE) {
        handle_success(allocation);
    } else {
        handle_failure(allocation, cause);
    }
    return true;
}

static void note_list_length(struct machine *machine, int length) {
    if (length >= MACHINE_LISTED_TASKS_MAX && machine->agent.listed_tasks < MACHINE_LISTED_TASKS_MAX)
        log_info("machine %s: lists %d tasks, gets no more until ended ones are forgotten", machine->id, length);
    machine->agent.listed_tasks = length;
}

bool listed_tasks_apply(struct machine *machine, const cJSON *tasks, bool *listed) {
    bool any_ended = false;
    const cJSON *item;
    note_list_length(machine, cJSON_GetArraySize(tasks));
    g_array_set_size(machine->agent.unknown_tasks, 0);
    cJSON_ArrayForEach(item, tasks) {
        struct listed_task task;
        if (!codec_read_task(item, &task)) continue;
        enum task_state state = codec_read_task_state(item);
        struct allocation *allocation = listed_tasks_find(machine, &task);
        if (!allocation) {
            if (state != TASK_ENDED) {
                log_info("machine %s: task %s attempt %lld is on it without an allocation, stopping it", machine->id,
                         task.name, (long long)task.attempt);
            }
            add_unknown(machine, &task, state == TASK_ENDED);
            continue;
        }
        if (allocation->index_in_machine < LISTED_TASKS_ALLOCATIONS_MAX) listed[allocation->index_in_machine] = true;
        any_ended |= apply_state(allocation, state, codec_read_task_cause(item));
    }
    return any_ended;
}

/* Returns whether an allocation that is not listed is absent for good. An allocation that this owner made, that was
 * never listed and whose stop is not requested is not absent: its start is sent again. But a gang's allocation counts
 * as absent after gang_start_s, since the gang's other tasks wait for it. */
static bool proven_absent(const struct allocation *allocation, double gang_start_s) {
    bool gang_lost =
        allocation->job->spec.kind == JOB_GANG && clock_seconds_since(allocation->allocated_at) > gang_start_s;
    return allocation->was_listed || allocation->stop_requested || allocation->inherited || gang_lost;
}

bool listed_tasks_release_absent(struct machine *machine, const bool *listed, double gang_start_s) {
    bool any_released = false;
    machine->commands.release_needs_token_raise = false;
    if (machine->commands.start_outcome_unknown || directives_start_in_flight(machine)) return false;
    for (guint i = 0; i < machine->allocations->len && i < LISTED_TASKS_ALLOCATIONS_MAX; i++) {
        struct allocation *allocation = machine->allocations->pdata[i];
        if (listed[i] || allocation->released || !proven_absent(allocation, gang_start_s)) continue;
        if (!pending_starts_ruled_out(machine, allocation->attempt)) {
            machine->commands.release_needs_token_raise = true;
            continue;
        }
        release(allocation, "not listed");
        any_released = true;
    }
    return any_released;
}
