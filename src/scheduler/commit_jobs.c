/* What a round writes of jobs and their allocations. */
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "../allocations/allocations.h"
#include "../clock/clock.h"
#include "../json/json.h"
#include "../membership/membership.h"
#include "round.h"

void scheduling_round_txn_free(gpointer p) {
    store_txn_free(p);
    g_free(p);
}

struct store_txn *scheduling_round_txn(struct scheduling_round *r, int writes, int comparisons) {
    struct store_txn *t = r->transactions->len ? r->transactions->pdata[r->transactions->len - 1] : NULL;
    if (!t || (r->isolated && t->writes > 0) || t->writes + writes > scheduler_settings->txn_ops ||
        cJSON_GetArraySize(t->comparisons) + comparisons > scheduler_settings->txn_ops * 4) {
        t = g_new0(struct store_txn, 1);
        store_txn_init(t);
        struct store_key key = store_key_shard(r->shard);
        store_txn_compare(t, key.text, membership_shard(r->shard)->mod_revision);
        g_ptr_array_add(r->transactions, t);
    }
    r->writes_left -= writes;
    return t;
}

/* Keys whose write the service has refused as malformed, until when they are left alone: repeated unchanged it would be
 * refused again, and what else is to be written must not wait for it. */
static GHashTable *refused_until; /* key -> struct timespec; made with the first */

bool scheduling_round_rejected_lately(const char *key) {
    const struct timespec *until = refused_until ? g_hash_table_lookup(refused_until, key) : NULL;
    return until && clock_seconds_since(*until) < 0;
}

void scheduling_round_note_rejected(const struct store_txn *t) {
    const cJSON *op;
    if (!refused_until) refused_until = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    cJSON_ArrayForEach(op, t->operations) {
        const char *key = json_get_string(op, "set") ? json_get_string(op, "set") : json_get_string(op, "remove");
        struct timespec *until = g_new0(struct timespec, 1);
        *until = clock_instant_in(clock_from_seconds(REJECTED_KEY_PAUSE_S));
        g_hash_table_replace(refused_until, g_strdup(key), until);
    }
}

/* A change of a job's record of allocations, or its removal where nothing is to be kept. */
static void add_run(struct store_txn *t, const struct job *j, int chunk, cJSON *value) {
    struct store_key job_key = store_key_job(j->spec.job_id);
    struct store_key key = store_key_allocations(j->spec.job_id, chunk);
    /* Not if the job was cancelled meanwhile, and not over a newer record: a transaction whose answer was lost, or a
     * second copy of one that the connection's end made the client send again, may be carried out after later ones of
     * ours. */
    store_txn_compare(t, job_key.text, store_key_revision(job_key.text));
    store_txn_compare(t, key.text, store_key_revision(key.text));
    if (value)
        store_txn_put(t, key.text, value, 0);
    else
        store_txn_delete(t, key.text);
}

/* Writes all records of a job in a new chunk size, in one transaction: each names it, and one with nothing to keep
 * stands as well, so that what the old records said of its tasks is replaced. */
static void write_new_stretch(struct scheduling_round *r, struct job *j, int chunk_size) {
    int chunks = chunks_count_of_size(j, chunk_size);
    struct store_txn *t = scheduling_round_txn(r, chunks, chunks + 1);
    for (int c = 0; c < chunks; c++) {
        cJSON *value = allocations_value(j, c, chunk_size, r->plans, false);
        if (!value) {
            value = cJSON_CreateObject();
            cJSON_AddNumberToObject(value, "n", chunk_size);
        }
        add_run(t, j, c, value);
    }
}

/* Whether anything of the job is to be kept on record. */
static bool keeps_allocations(const struct scheduling_round *r, const struct job *j) {
    if (allocations_count(j) > 0 || (j->state == JOB_QUEUED && j->n_reported_done > 0)) return true;
    for (guint i = 0; i < r->plans->len; i++)
        if (g_array_index(r->plans, struct planned_task, i).job == j) return true;
    return false;
}

/* Writes what is known of a job: completions, allocations that came and went, done tasks. */
void scheduling_round_commit_job(struct scheduling_round *r, struct job *j) {
    bool final = jobs_complete(j);
    struct store_key first_chunk_key = store_key_allocations(j->spec.job_id, 0);
    if (scheduling_round_rejected_lately(first_chunk_key.text)) return;
    int chunk_size = allocations_next_chunk_size(j);
    if (j->n_recorded_chunks == 0) jobs_set_chunk_size(j, chunk_size);
    if (chunk_size != chunks_size(j) && !final && keeps_allocations(r, j)) {
        write_new_stretch(r, j, chunk_size);
        return;
    }
    chunk_size = chunks_size(j);
    int chunks = chunks_count(j);
    uint8_t *need = g_malloc0((gsize)chunks + 1);
    for (int c = 0; j->chunk_flags && c < chunks; c++)
        need[c] = (j->chunk_flags[c] & 2) != 0 || (final && (j->chunk_flags[c] & 1));
    for (guint i = 0; i < r->plans->len; i++) {
        const struct planned_task *p = &g_array_index(r->plans, struct planned_task, i);
        if (p->job == j) need[p->task / chunk_size] = 2;
    }
    struct store_key key = store_key_job(j->spec.job_id);
    if (final && !scheduling_round_rejected_lately(key.text)) {
        struct store_txn *t = scheduling_round_txn(r, 2, 1);
        store_txn_compare(t, key.text, store_key_revision(key.text));
        store_txn_put(t, key.text, jobs_final_value(j, JOB_DONE), 0);
        r->writes_left++; /* the second was room for a chunk's record beside it */
    }
    for (int c = 0; c < chunks && (r->writes_left > 0 || c == 0); c++) {
        if (!need[c]) continue;
        cJSON *v = allocations_value(j, c, chunk_size, r->plans, final);
        bool there = j->chunk_flags && (j->chunk_flags[c] & 1),
             same = need[c] == 1 && !final && !allocations_chunk_dirty(j, c);
        if ((!v && !there) || same) {
            cJSON_Delete(v);
            jobs_set_chunk_recorded(j, c, there);
            continue;
        }
        add_run(scheduling_round_txn(r, 1, 2), j, c, v);
    }
    g_free(need);
}
