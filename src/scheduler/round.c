/* Decides a scheduling round, and applies its transactions once they are committed. */
#include "round.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "../allocations/allocations.h"
#include "../clock/clock.h"
#include "../json/json.h"
#include "../machines/machines.h"
#include "../placement/placement.h"
#include "../rebalancing/rebalancing.h"
#include "planning.h"
#include "transactions.h"

/* With a smaller write budget, a job's progress is delayed so that one write records the ends of several tasks. When
 * each end was written separately, no writes were left for starts. */
#define AMPLE_WRITES_MIN 4
#define PROGRESS_DELAY_S 3.0

enum completion_kind { COMPLETIONS_OF_PREREQUISITES, COMPLETIONS_OF_OTHERS };

/* Stages the completions of one kind, and adds their jobs to `staged`. */
static void stage_completions(struct scheduling_round *round, enum completion_kind kind, GHashTable *staged) {
    GPtrArray *jobs = jobs_active_in_shard(round->shard);
    for (guint i = 0; i < jobs->len && round->writes_left > 1; i++) {
        struct job *job = jobs->pdata[i];
        bool is_prerequisite = job->dependents != NULL;
        if (!jobs_complete(job) || is_prerequisite != (kind == COMPLETIONS_OF_PREREQUISITES)) continue;
        scheduling_round_stage_job(round, job);
        g_hash_table_add(staged, job);
    }
}

/* Returns the shard's jobs with unrecorded changes, except the jobs in `staged`. The caller frees the array. */
static GPtrArray *jobs_with_progress(int shard, GHashTable *staged) {
    GPtrArray *jobs = g_ptr_array_new(), *lists[] = {jobs_active_in_shard(shard), jobs_ended_in_shard(shard)};
    for (size_t i = 0; i < G_N_ELEMENTS(lists); i++) {
        for (guint k = 0; k < lists[i]->len; k++) {
            struct job *job = lists[i]->pdata[k];
            if (job->n_dirty_chunks && !g_hash_table_contains(staged, job)) g_ptr_array_add(jobs, job);
        }
    }
    return jobs;
}

/* Stages the jobs with planned tasks, and removes these jobs from `progress`. */
static void stage_planned_jobs(struct scheduling_round *round, GPtrArray *progress) {
    const struct job *previous = NULL;
    for (guint i = 0; i < round->planned_tasks->len; i++) {
        struct job *job = g_array_index(round->planned_tasks, struct planned_task, i).job;
        if (job == previous) continue;
        previous = job;
        scheduling_round_stage_job(round, job);
        g_ptr_array_remove(progress, job);
    }
}

static int compare_dirty_since(gconstpointer left, gconstpointer right) {
    const struct job *first = *(struct job *const *)left, *second = *(struct job *const *)right;
    double difference = clock_to_seconds(first->dirty_since) - clock_to_seconds(second->dirty_since);
    return difference < 0 ? -1 : difference > 0;
}

/* Stages the jobs with progress as far as the budget allows, in the order in which they became dirty. */
static void stage_progress(struct scheduling_round *round, GPtrArray *progress) {
    g_ptr_array_sort(progress, compare_dirty_since);
    for (guint i = 0; i < progress->len && round->writes_left > 0; i++) {
        struct job *job = progress->pdata[i];
        if (round->writes_left < AMPLE_WRITES_MIN && clock_seconds_since(job->dirty_since) < PROGRESS_DELAY_S)
            break; /* the remaining jobs became dirty later */
        scheduling_round_stage_job(round, job);
    }
    round->has_deferred_work |= progress->len > 0 && round->writes_left <= 0;
}

/* Stages changes in order of urgency: completions of prerequisites, other completions (users wait for them),
 * machines, starts, other progress. */
static void decide(struct scheduling_round *round) {
    placement_prepare_machines(round->shard);
    round->last_attempt = planning_last_attempt(round->shard);
    GHashTable *staged = g_hash_table_new(g_direct_hash, g_direct_equal);
    stage_completions(round, COMPLETIONS_OF_PREREQUISITES, staged);
    stage_completions(round, COMPLETIONS_OF_OTHERS, staged);
    GPtrArray *progress = jobs_with_progress(round->shard, staged);
    g_hash_table_destroy(staged);
    if (round->writes_left > 0) scheduling_round_plan_jobs(round);
    rebalancing_plan(round->shard);
    if (round->writes_left > 0) scheduling_round_stage_pages(round);
    stage_planned_jobs(round, progress);
    stage_progress(round, progress);
    g_ptr_array_free(progress, TRUE);
}

struct scheduling_round *scheduling_round_decide(int shard, int writes) {
    struct scheduling_round *round = g_new0(struct scheduling_round, 1);
    round->shard = shard;
    round->planned_tasks = g_array_new(FALSE, FALSE, sizeof(struct planned_task));
    round->transactions = g_ptr_array_new_with_free_func(transaction_free);
    round->writes_left = writes;
    round->one_record_per_transaction = clock_seconds_since(owned_shard_states[shard].one_record_until) < 0;
    if (writes >= ROUND_WRITES_MIN) {
        decide(round);
    } else {
        round->has_deferred_work = true;
    }
    return round;
}

/* Called once a chunk of the job's allocations is committed: allocations made in this round no longer count as
 * inherited, and their machines are sent directives. */
static void allow_starts(const struct scheduling_round *round, const struct job *job) {
    for (guint i = 0; i < job->allocations->len; i++) {
        struct allocation *allocation = job->allocations->pdata[i];
        if (!allocation->inherited || allocation->attempt <= round->last_attempt) continue;
        allocation->inherited = false;
        allocation->machine->commands.send_pending = true;
    }
}

/* Returns the job whose chunk has this key; NULL if it is not a chunk's key or the job is not known. */
static struct job *job_of_chunk_key(const char *key) {
    if (!g_str_has_prefix(key, STORE_PREFIX_ALLOCATIONS)) return NULL;
    const char *job_and_chunk = key + strlen(STORE_PREFIX_ALLOCATIONS);
    char job_id[G_SIZEOF_MEMBER(struct job_spec, job_id)];
    g_strlcpy(job_id, job_and_chunk, MIN(sizeof job_id, strcspn(job_and_chunk, "/") + 1));
    return jobs_find(job_id);
}

void scheduling_round_apply(const struct scheduling_round *round, const struct store_txn *transaction,
                            int64_t revision) {
    store_apply_committed(transaction, revision);
    const cJSON *operation;
    cJSON_ArrayForEach(operation, transaction->operations) {
        struct store_change change = store_change_read(operation);
        const struct job *job = change.data ? job_of_chunk_key(change.key) : NULL;
        if (job) allow_starts(round, job);
    }
    const GPtrArray *machines = machines_of_shard(round->shard);
    for (guint i = 0; i < machines->len; i++) {
        struct machine *machine = machines->pdata[i];
        struct machine_commands *commands = &machine->commands;
        if (commands->needs_token_raise && machines_fencing_token(machine) > commands->token_raise_above)
            commands->needs_token_raise = false;
    }
}

void scheduling_round_free(struct scheduling_round *round) {
    g_array_free(round->planned_tasks, TRUE);
    g_ptr_array_free(round->transactions, TRUE);
    g_free(round);
}
