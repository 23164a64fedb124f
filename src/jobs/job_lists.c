#include "job_lists.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "../model/shard.h"

static struct {
    const struct settings *settings;
    GPtrArray *active;                                                   /* the oldest job first */
    GPtrArray *active_by_shard[SHARDS_MAX], *ended_by_shard[SHARDS_MAX]; /* the oldest job first; in no order */
    int n_outside_home; /* number of active jobs whose record names a shard */
} lists;

void job_lists_init(const struct settings *settings) {
    lists.settings = settings;
    lists.active = g_ptr_array_new();
    for (int i = 0; i < SHARDS_MAX; i++) {
        lists.active_by_shard[i] = g_ptr_array_new();
        lists.ended_by_shard[i] = g_ptr_array_new();
    }
}

GPtrArray *jobs_active(void) { return lists.active; }
GPtrArray *jobs_active_in_shard(int shard) { return lists.active_by_shard[shard]; }
GPtrArray *jobs_ended_in_shard(int shard) { return lists.ended_by_shard[shard]; }
bool jobs_any_outside_home_shard(void) { return lists.n_outside_home > 0; }

/* A job of an unknown team is in shard 0 and never starts. */
static int home_shard(const struct job *job) {
    return job->spec.team < 0 ? 0 : settings_home_shard(lists.settings, job->spec.team);
}

int jobs_shard(const struct job *job) { return job->shard >= 0 ? job->shard : home_shard(job); }

static int compare_ages(const struct job *left, const struct job *right) {
    if (left->submitted_at < right->submitted_at) return -1;
    return left->submitted_at > right->submitted_at ? 1 : strcmp(left->spec.job_id, right->spec.job_id);
}

static void insert_by_age(GPtrArray *list, struct job *job) {
    guint position = list->len;
    while (position > 0 && compare_ages(list->pdata[position - 1], job) > 0) position--;
    g_ptr_array_insert(list, (gint)position, job);
}

static void set_active(struct job *job, bool active) {
    int shard = jobs_shard(job);
    bool outside_home = job->shard >= 0;
    if (active) {
        insert_by_age(lists.active, job);
        insert_by_age(lists.active_by_shard[shard], job);
        lists.n_outside_home += outside_home;
    } else {
        g_ptr_array_remove(lists.active, job);
        g_ptr_array_remove(lists.active_by_shard[shard], job);
        lists.n_outside_home -= outside_home;
    }
    job->listed_active = active;
}

static void set_ended(struct job *job, bool ended) {
    if (ended) {
        g_ptr_array_add(lists.ended_by_shard[jobs_shard(job)], job);
    } else {
        g_ptr_array_remove_fast(lists.ended_by_shard[jobs_shard(job)], job);
    }
    job->listed_ended = ended;
}

void jobs_update_lists(struct job *job) {
    bool active = job->recorded && job->state == JOB_QUEUED;
    bool ended = job->recorded && !active && job->n_recorded_chunks > 0;
    if (active != job->listed_active) set_active(job, active);
    if (ended != job->listed_ended) set_ended(job, ended);
}

void job_lists_move(struct job *job, int shard) {
    if (shard == job->shard) return;
    if (job->listed_active) {
        g_ptr_array_remove(lists.active_by_shard[jobs_shard(job)], job);
        lists.n_outside_home += (shard >= 0) - (job->shard >= 0);
    }
    if (job->listed_ended) g_ptr_array_remove_fast(lists.ended_by_shard[jobs_shard(job)], job);
    job->shard = shard;
    if (job->listed_active) insert_by_age(lists.active_by_shard[jobs_shard(job)], job);
    if (job->listed_ended) g_ptr_array_add(lists.ended_by_shard[jobs_shard(job)], job);
}
