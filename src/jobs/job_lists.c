#include "job_lists.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "../model/shard.h"

static struct {
    const struct settings *settings;
    GPtrArray *active; /* oldest first, as those of each shard */
    GPtrArray *active_of[SHARDS_MAX], *ended_of[SHARDS_MAX];
    int n_foreign; /* active jobs whose record names a shard */
} lists;

void job_lists_init(const struct settings *settings) {
    lists.settings = settings;
    lists.active = g_ptr_array_new();
    for (int i = 0; i < SHARDS_MAX; i++) {
        lists.active_of[i] = g_ptr_array_new();
        lists.ended_of[i] = g_ptr_array_new();
    }
}

GPtrArray *jobs_active(void) { return lists.active; }
GPtrArray *jobs_active_of(int shard) { return lists.active_of[shard]; }
GPtrArray *jobs_ended_of(int shard) { return lists.ended_of[shard]; }
bool jobs_any_foreign(void) { return lists.n_foreign > 0; }

/* A job of a team that the settings do not name is in the first shard: nothing of it starts. */
static int home_shard(const struct job *job) {
    return job->spec.team < 0 ? 0 : settings_home_shard(lists.settings, job->spec.team);
}

int jobs_shard(const struct job *job) { return job->shard >= 0 ? job->shard : home_shard(job); }

static int compare_ages(const struct job *left, const struct job *right) {
    if (left->submitted < right->submitted) return -1;
    return left->submitted > right->submitted ? 1 : strcmp(left->spec.job_id, right->spec.job_id);
}

static void insert_by_age(GPtrArray *list, struct job *job) {
    guint at = list->len;
    while (at > 0 && compare_ages(list->pdata[at - 1], job) > 0) at--;
    g_ptr_array_insert(list, (gint)at, job);
}

static void set_active(struct job *job, bool active) {
    int shard = jobs_shard(job);
    bool foreign = job->shard >= 0;
    if (active) {
        insert_by_age(lists.active, job);
        insert_by_age(lists.active_of[shard], job);
        lists.n_foreign += foreign;
    } else {
        g_ptr_array_remove(lists.active, job);
        g_ptr_array_remove(lists.active_of[shard], job);
        lists.n_foreign -= foreign;
    }
    job->listed_active = active;
}

static void set_ended(struct job *job, bool ended) {
    if (ended) {
        g_ptr_array_add(lists.ended_of[jobs_shard(job)], job);
    } else {
        g_ptr_array_remove_fast(lists.ended_of[jobs_shard(job)], job);
    }
    job->listed_ended = ended;
}

void jobs_update_lists(struct job *job) {
    bool active = job->known && job->state == JOB_QUEUED;
    bool ended = job->known && !active && job->n_recorded_chunks > 0;
    if (active != job->listed_active) set_active(job, active);
    if (ended != job->listed_ended) set_ended(job, ended);
}

void job_lists_move(struct job *job, int shard) {
    if (shard == job->shard) return;
    if (job->listed_active) {
        g_ptr_array_remove(lists.active_of[jobs_shard(job)], job);
        lists.n_foreign += (shard >= 0) - (job->shard >= 0);
    }
    if (job->listed_ended) g_ptr_array_remove_fast(lists.ended_of[jobs_shard(job)], job);
    job->shard = shard;
    if (job->listed_active) insert_by_age(lists.active_of[jobs_shard(job)], job);
    if (job->listed_ended) g_ptr_array_add(lists.ended_of[jobs_shard(job)], job);
}
