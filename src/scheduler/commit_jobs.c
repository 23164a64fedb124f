/* What a scheduling round writes of jobs and their allocations. */
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "../allocations/allocations.h"
#include "../allocations/records.h"
#include "../json/json.h"
#include "round.h"
#include "transactions.h"

/* What is to be done with a chunk's record. */
enum chunk_need { CHUNK_AS_IT_IS, CHUNK_TO_COMPARE, CHUNK_TO_WRITE };

static bool has_chunk_flag(const struct job *job, int chunk, uint8_t flag) {
    return job->chunk_flags && (job->chunk_flags[chunk] & flag) != 0;
}

/* Puts a chunk's record, or deletes it (value NULL). Takes the value. */
static void write_chunk(struct store_txn *transaction, const struct job *job, int chunk, cJSON *value) {
    /* Not if the job was cancelled meanwhile, and not over a newer record: a transaction whose answer was lost, or a
     * second copy of one that the connection's end made the client send again, may be carried out after later ones of
     * the same owner. */
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

/* Writes all records of a job in a new chunk size, in one transaction: each names it, and one with nothing to keep is
 * written as well, so that what the old records said of its tasks is replaced. */
static void write_in_chunk_size(struct scheduling_round *round, const struct job *job, int chunk_size) {
    int chunks = chunks_count_of_size(job, chunk_size);
    struct store_txn *transaction = transactions_with_room(round, chunks, chunks + 1);
    for (int chunk = 0; chunk < chunks; chunk++) {
        cJSON *value = allocations_value(job, chunk, chunk_size, round->plans, ALLOCATIONS_OF_OPEN_JOB);
        if (!value) value = allocations_empty_value(chunk_size);
        write_chunk(transaction, job, chunk, value);
    }
}

/* Whether anything of the job is to be kept on record. */
static bool keeps_allocations(const struct scheduling_round *round, const struct job *job) {
    if (allocations_count(job) > 0 || (job->state == JOB_QUEUED && job->n_reported_done > 0)) return true;
    for (guint i = 0; i < round->plans->len; i++)
        if (g_array_index(round->plans, struct planned_task, i).job == job) return true;
    return false;
}

/* What each chunk needs, an enum chunk_need each; `complete`: the job's completion is written with them. The caller
 * frees the array. */
static uint8_t *chunk_needs(const struct scheduling_round *round, const struct job *job, bool complete) {
    int chunks = chunks_count(job), chunk_size = chunks_size(job);
    uint8_t *needs = g_malloc0((gsize)chunks + 1);
    uint8_t flags = complete ? CHUNK_DIRTY | CHUNK_RECORDED : CHUNK_DIRTY;
    for (int chunk = 0; chunk < chunks; chunk++)
        if (has_chunk_flag(job, chunk, flags)) needs[chunk] = CHUNK_TO_COMPARE;
    for (guint i = 0; i < round->plans->len; i++) {
        const struct planned_task *plan = &g_array_index(round->plans, struct planned_task, i);
        if (plan->job == job) needs[plan->task / chunk_size] = CHUNK_TO_WRITE;
    }
    return needs;
}

static void write_completion(struct scheduling_round *round, const struct job *job) {
    struct store_key key = store_key_job(job->spec.job_id);
    if (rejected_keys_contain(key.text)) return;
    struct store_txn *transaction = transactions_with_room(round, 2, 1);
    store_txn_compare(transaction, key.text, store_key_revision(key.text));
    store_txn_put(transaction, key.text, jobs_final_value(job, JOB_DONE), 0);
    round->writes_left++; /* the second was room for a chunk's record beside it */
}

/* Writes one chunk, unless its record already says all that is known. */
static void commit_chunk(struct scheduling_round *round, struct job *job, int chunk, enum chunk_need need,
                         bool complete) {
    cJSON *value = allocations_value(job, chunk, chunks_size(job), round->plans,
                                     complete ? ALLOCATIONS_OF_ENDED_JOB : ALLOCATIONS_OF_OPEN_JOB);
    bool recorded = has_chunk_flag(job, chunk, CHUNK_RECORDED);
    bool same = need == CHUNK_TO_COMPARE && !complete && !allocations_chunk_dirty(job, chunk);
    if (same || (!value && !recorded)) {
        cJSON_Delete(value);
        chunks_set_recorded(job, chunk, recorded);
        return;
    }
    write_chunk(transactions_with_room(round, 1, 2), job, chunk, value);
}

void scheduling_round_commit_job(struct scheduling_round *round, struct job *job) {
    struct store_key first = store_key_allocations(job->spec.job_id, 0);
    if (rejected_keys_contain(first.text)) return;
    bool complete = jobs_complete(job);
    int chunk_size = allocations_next_chunk_size(job);
    if (job->n_recorded_chunks == 0) chunks_set_size(job, chunk_size);
    if (chunk_size != chunks_size(job) && !complete && keeps_allocations(round, job)) {
        write_in_chunk_size(round, job, chunk_size);
        return;
    }
    uint8_t *needs = chunk_needs(round, job, complete);
    if (complete) write_completion(round, job);
    int chunks = chunks_count(job);
    for (int chunk = 0; chunk < chunks && (round->writes_left > 0 || chunk == 0); chunk++)
        if (needs[chunk]) commit_chunk(round, job, chunk, needs[chunk], complete);
    g_free(needs);
}
