/* What a scheduling round decides, in which order, and what its transactions change once they are written. */
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

/* With less budget than this, what a job's record lacks waits a while: the ends of more of its tasks go with the same
 * write. Written one by one they once took the writes that starts needed. */
#define AMPLE_WRITES 4
#define GATHER_PROGRESS_S 3.0

enum completions { COMPLETIONS_OF_PREREQUISITES, COMPLETIONS_OF_OTHERS };

/* Writes completions of one sort, and adds their jobs to a set. */
static void write_completions(struct scheduling_round *round, enum completions sort, GHashTable *written) {
    GPtrArray *jobs = jobs_active_of(round->shard);
    for (guint i = 0; i < jobs->len && round->writes_left > 1; i++) {
        struct job *job = jobs->pdata[i];
        bool is_prerequisite = job->dependents != NULL;
        if (!jobs_complete(job) || is_prerequisite != (sort == COMPLETIONS_OF_PREREQUISITES)) continue;
        scheduling_round_commit_job(round, job);
        g_hash_table_add(written, job);
    }
}

/* The shard's jobs of which more is known than recorded, without those already written. The caller frees the array. */
static GPtrArray *jobs_with_progress(int shard, GHashTable *written) {
    GPtrArray *found = g_ptr_array_new(), *lists[] = {jobs_active_of(shard), jobs_ended_of(shard)};
    for (size_t i = 0; i < G_N_ELEMENTS(lists); i++) {
        for (guint k = 0; k < lists[i]->len; k++) {
            struct job *job = lists[i]->pdata[k];
            if (job->n_dirty_chunks && !g_hash_table_contains(written, job)) g_ptr_array_add(found, job);
        }
    }
    return found;
}

/* Writes the jobs that the round has planned tasks of, and takes them from those that wait with progress. */
static void write_planned_jobs(struct scheduling_round *round, GPtrArray *progress) {
    const struct job *previous = NULL;
    for (guint i = 0; i < round->plans->len; i++) {
        struct job *job = g_array_index(round->plans, struct planned_task, i).job;
        if (job == previous) continue;
        previous = job;
        scheduling_round_commit_job(round, job);
        g_ptr_array_remove(progress, job);
    }
}

static int compare_dirty_since(gconstpointer left, gconstpointer right) {
    const struct job *first = *(struct job *const *)left, *second = *(struct job *const *)right;
    double difference = clock_to_seconds(first->dirty_since) - clock_to_seconds(second->dirty_since);
    return difference < 0 ? -1 : difference > 0;
}

/* Writes progress, what has waited longest first, as far as the budget allows. */
static void write_progress(struct scheduling_round *round, GPtrArray *progress) {
    g_ptr_array_sort(progress, compare_dirty_since);
    for (guint i = 0; i < progress->len && round->writes_left > 0; i++) {
        struct job *job = progress->pdata[i];
        if (round->writes_left < AMPLE_WRITES && clock_seconds_since(job->dirty_since) < GATHER_PROGRESS_S)
            break; /* the rest is younger */
        scheduling_round_commit_job(round, job);
    }
    round->more_waits |= progress->len > 0 && round->writes_left <= 0;
}

/* Completions are what users wait for, those first that other jobs wait for; then starts; then other progress. */
static void decide(struct scheduling_round *round) {
    placement_prepare_machines(round->shard);
    round->last_attempt = planning_last_attempt(round->shard);
    GHashTable *written = g_hash_table_new(g_direct_hash, g_direct_equal);
    write_completions(round, COMPLETIONS_OF_PREREQUISITES, written);
    write_completions(round, COMPLETIONS_OF_OTHERS, written);
    GPtrArray *progress = jobs_with_progress(round->shard, written);
    g_hash_table_destroy(written);
    if (round->writes_left > 0) scheduling_round_plan_jobs(round);
    rebalancing_plan(round->shard);
    if (round->writes_left > 0) scheduling_round_commit_pages(round);
    write_planned_jobs(round, progress);
    write_progress(round, progress);
    g_ptr_array_free(progress, TRUE);
}

struct scheduling_round *scheduling_round_decide(int shard, int writes) {
    struct scheduling_round *round = g_new0(struct scheduling_round, 1);
    round->shard = shard;
    round->plans = g_array_new(FALSE, FALSE, sizeof(struct planned_task));
    round->transactions = g_ptr_array_new_with_free_func(transactions_free_one);
    round->writes_left = writes;
    round->isolated = clock_seconds_since(shard_states[shard].isolated_until) < 0;
    if (writes >= LEAST_WRITES) {
        decide(round);
    } else {
        round->more_waits = true;
    }
    return round;
}

/* A chunk of the job's allocations was written: those of this round are no longer taken for inherited ones, and their
 * machines are sent directives. */
static void release_starts(const struct scheduling_round *round, const struct job *job) {
    for (guint i = 0; i < job->allocations->len; i++) {
        struct allocation *allocation = job->allocations->pdata[i];
        if (!allocation->inherited || allocation->attempt <= round->last_attempt) continue;
        allocation->inherited = false;
        allocation->machine->commands.wake = true;
    }
}

/* The job whose chunk a key names; NULL: it names none, or a job that is not known. */
static struct job *job_of_chunk_key(const char *key) {
    if (!g_str_has_prefix(key, STORE_PREFIX_ALLOCATIONS)) return NULL;
    const char *rest = key + strlen(STORE_PREFIX_ALLOCATIONS);
    char job_id[G_SIZEOF_MEMBER(struct job_spec, job_id)];
    g_strlcpy(job_id, rest, MIN(sizeof job_id, strcspn(rest, "/") + 1));
    return jobs_find(job_id);
}

void scheduling_round_apply(const struct scheduling_round *round, const struct store_txn *transaction,
                            int64_t revision) {
    store_apply_committed(transaction, revision);
    const cJSON *operation;
    cJSON_ArrayForEach(operation, transaction->operations) {
        struct store_change change = store_change_read(operation);
        const struct job *job = change.data ? job_of_chunk_key(change.key) : NULL;
        if (job) release_starts(round, job);
    }
    const GPtrArray *machines = machines_of_shard(round->shard);
    for (guint i = 0; i < machines->len; i++) {
        struct machine *machine = machines->pdata[i];
        struct machine_commands *commands = &machine->commands;
        if (commands->needs_token_raise && machines_fencing_token(machine) > commands->unknown_token)
            commands->needs_token_raise = false;
    }
}

void scheduling_round_free(struct scheduling_round *round) {
    g_array_free(round->plans, TRUE);
    g_ptr_array_free(round->transactions, TRUE);
    g_free(round);
}
