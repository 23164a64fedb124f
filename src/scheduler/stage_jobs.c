/* Stages the records of jobs and their allocations in a scheduling round. */
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "../allocations/allocations.h"
#include "../allocations/records.h"
#include "../json/json.h"
#include "round.h"
#include "transactions.h"

/* How a round handles a chunk's record. */
enum chunk_action { CHUNK_SKIP, CHUNK_WRITE_IF_CHANGED, CHUNK_WRITE };

static bool has_chunk_flag(const struct job *job, int chunk, uint8_t flag) {
    return job->chunk_flags && (job->chunk_flags[chunk] & flag) != 0;
}

/* Puts a chunk's record, or deletes it if the value is NULL. Takes ownership of the value. */
static void put_chunk(struct store_txn *transaction, const struct job *job, int chunk, cJSON *value) {
    /* The comparisons make the write fail if the job was cancelled meanwhile or the chunk has a newer record. A
     * transaction whose response was lost, or that the client sent again after the connection was closed, may be
     * carried out after later transactions of the same owner. */
    struct store_key job_key = store_key_job(job->spec.job_id);
    struct store_key key = store_key_allocations(job->spec.job_id, chunk);
    store_txn_compare(transaction, job_key.text, store_key_revision(job_key.text));
    store_txn_compare(transaction, key.text, store_key_revision(key.text));
    if (value) {
        store_txn_put(transaction, key.text, value, 0);
    } else {
        store_txn_delete(transaction, key.text);
    }
}

/* Writes all chunks of a job with a new chunk size, in one transaction. Each record names the chunk size, and a chunk
 * with nothing to keep is written as well, so that no old record of its tasks stays. */
static void rewrite_with_chunk_size(struct scheduling_round *round, const struct job *job, int chunk_size) {
    int chunks = chunks_count_of_size(job, chunk_size);
    struct store_txn *transaction = transactions_reserve(round, chunks, chunks + 1);
    for (int chunk = 0; chunk < chunks; chunk++) {
        cJSON *value = allocations_value(job, chunk, chunk_size, round->planned_tasks, ALLOCATIONS_OF_OPEN_JOB);
        if (!value) value = allocations_empty_value(chunk_size);
        put_chunk(transaction, job, chunk, value);
    }
}

/* Returns whether the job has allocations, done tasks or planned tasks that have to be on record. */
static bool has_state_to_keep(const struct scheduling_round *round, const struct job *job) {
    if (allocations_count(job) > 0 || (job->state == JOB_QUEUED && job->n_reported_done > 0)) return true;
    for (guint i = 0; i < round->planned_tasks->len; i++)
        if (g_array_index(round->planned_tasks, struct planned_task, i).job == job) return true;
    return false;
}

/* Returns an enum chunk_action for each chunk. `complete`: the job's completion is staged in the same round. The caller
 * frees the array. */
static uint8_t *chunk_actions(const struct scheduling_round *round, const struct job *job, bool complete) {
    int chunks = chunks_count(job), chunk_size = chunks_size(job);
    uint8_t *actions = g_malloc0((gsize)chunks + 1);
    uint8_t flags = complete ? CHUNK_DIRTY | CHUNK_RECORDED : CHUNK_DIRTY;
    for (int chunk = 0; chunk < chunks; chunk++)
        if (has_chunk_flag(job, chunk, flags)) actions[chunk] = CHUNK_WRITE_IF_CHANGED;
    for (guint i = 0; i < round->planned_tasks->len; i++) {
        const struct planned_task *plan = &g_array_index(round->planned_tasks, struct planned_task, i);
        if (plan->job == job) actions[plan->task / chunk_size] = CHUNK_WRITE;
    }
    return actions;
}

static void stage_completion(struct scheduling_round *round, const struct job *job) {
    struct store_key key = store_key_job(job->spec.job_id);
    if (rejected_keys_contain(key.text)) return;
    struct store_txn *transaction = transactions_reserve(round, 2, 1);
    store_txn_compare(transaction, key.text, store_key_revision(key.text));
    store_txn_put(transaction, key.text, jobs_final_value(job, JOB_DONE), 0);
    round->writes_left++; /* the second write was reserved for a chunk's record in the same transaction */
}

/* Stages one chunk, unless its record is up to date. */
static void stage_chunk(struct scheduling_round *round, struct job *job, int chunk, enum chunk_action action,
                        bool complete) {
    cJSON *value = allocations_value(job, chunk, chunks_size(job), round->planned_tasks,
                                     complete ? ALLOCATIONS_OF_ENDED_JOB : ALLOCATIONS_OF_OPEN_JOB);
    bool recorded = has_chunk_flag(job, chunk, CHUNK_RECORDED);
    bool up_to_date = action == CHUNK_WRITE_IF_CHANGED && !complete && !allocations_chunk_dirty(job, chunk);
    if (up_to_date || (!value && !recorded)) {
        cJSON_Delete(value);
        chunks_set_recorded(job, chunk, recorded);
        return;
    }
    put_chunk(transactions_reserve(round, 1, 2), job, chunk, value);
}

void scheduling_round_stage_job(struct scheduling_round *round, struct job *job) {
    struct store_key first_chunk = store_key_allocations(job->spec.job_id, 0);
    if (rejected_keys_contain(first_chunk.text)) return;
    bool complete = jobs_complete(job);
    int chunk_size = allocations_next_chunk_size(job);
    if (job->n_recorded_chunks == 0) chunks_set_size(job, chunk_size);
    if (chunk_size != chunks_size(job) && !complete && has_state_to_keep(round, job)) {
        rewrite_with_chunk_size(round, job, chunk_size);
        return;
    }
    uint8_t *actions = chunk_actions(round, job, complete);
    if (complete) stage_completion(round, job);
    int chunks = chunks_count(job);
    for (int chunk = 0; chunk < chunks && (round->writes_left > 0 || chunk == 0); chunk++)
        if (actions[chunk]) stage_chunk(round, job, chunk, actions[chunk], complete);
    g_free(actions);
}
