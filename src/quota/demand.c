#include "demand.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>
#include <time.h>

#include "../allocations/allocations.h"
#include "../clock/clock.h"
#include "../logging/logging.h"
#include "../priority/priority.h"
#include "../quarantine/quarantine.h"

#define DEMANDS_MAX 512 /* how many waiting jobs of a team are measured, from the one served first */

/* Returns the amount that the job's tasks use whose stop is requested. */
static struct quota_amount stopping_amount(const struct job *job) {
    int n = 0;
    for (guint i = 0; i < job->allocations->len; i++) {
        const struct allocation *allocation = job->allocations->pdata[i];
        n += allocation->stop_requested && !allocation->released;
    }
    return quota_amount_of_tasks(&job->spec, n);
}

/* Sums up, for the shard of each allotment, what the team uses and which part of it is stopping, and in *lasting what
 * its unfinished services use. Tasks of cancelled jobs and on lost machines count until their end is known. */
static void count_used(struct quota_team *team_quota, struct quota_amount *lasting) {
    memset(team_quota->used, 0, sizeof team_quota->used);
    memset(team_quota->stopping, 0, sizeof team_quota->stopping);
    *lasting = (struct quota_amount){{0}};
    for (int i = 0; i < team_quota->record.n_allotments; i++) {
        int shard = team_quota->record.allotments[i].shard;
        GPtrArray *lists[] = {jobs_active_in_shard(shard), jobs_ended_in_shard(shard)};
        for (size_t list = 0; list < G_N_ELEMENTS(lists); list++) {
            for (guint n = 0; n < lists[list]->len; n++) {
                const struct job *job = lists[list]->pdata[n];
                if (job->spec.team != team_quota->team) continue;
                struct quota_amount job_amount = quota_amount_of_tasks(&job->spec, allocations_count(job));
                team_quota->used[i] = quota_amount_sum(team_quota->used[i], job_amount);
                team_quota->stopping[i] = quota_amount_sum(team_quota->stopping[i], stopping_amount(job));
                if (job->spec.kind == JOB_SERVICE && job->state == JOB_QUEUED)
                    *lasting = quota_amount_sum(*lasting, job_amount);
            }
        }
    }
}

/* A job whose reservation timed out. */
struct timed_out_job {
    char job_id[JOB_ID_SIZE];
    struct timespec paused_until; /* no capacity is reserved for the job before this instant */
};
#define TIMED_OUT_JOBS_MAX 64 /* a further job overwrites the oldest one */
static struct timed_out_job timed_out[TIMED_OUT_JOBS_MAX];
static unsigned n_timed_out; /* since the start, including overwritten jobs */

static bool timed_out_recently(const char *job_id) {
    for (unsigned i = 0; i < MIN(n_timed_out, TIMED_OUT_JOBS_MAX); i++)
        if (strcmp(timed_out[i].job_id, job_id) == 0 && clock_seconds_since(timed_out[i].paused_until) < 0) return true;
    return false;
}

/* After a reservation has timed out, the job gets none for this many times the reservation timeout. */
#define RESERVATION_PAUSE_TIMEOUTS 2

/* Sets the job that the team's capacity is reserved for; NULL: none. Capacity is reserved for one job at a time, and no
 * longer than the timeout, so that a job that never fits does not keep its team's capacity idle. The timeout restarts
 * when the number of the job's allocated tasks changes. */
static void update_reservation(struct quota_team *team_quota, const struct job *job) {
    double timeout_s = clock_to_seconds(quota_settings->quota.reservation_timeout);
    if (!job) {
        team_quota->reserved_job_id[0] = 0;
        return;
    }
    int allocated = allocations_count(job);
    if (strcmp(team_quota->reserved_job_id, job->spec.job_id) != 0 || team_quota->reserved_job_tasks != allocated) {
        g_strlcpy(team_quota->reserved_job_id, job->spec.job_id, sizeof team_quota->reserved_job_id);
        team_quota->reservation_started_at = clock_now();
        team_quota->reserved_job_tasks = allocated;
        return;
    }
    if (clock_seconds_since(team_quota->reservation_started_at) < timeout_s) return;
    struct timed_out_job *entry = &timed_out[n_timed_out++ % TIMED_OUT_JOBS_MAX];
    g_strlcpy(entry->job_id, job->spec.job_id, sizeof entry->job_id);
    entry->paused_until = clock_now_plus(clock_from_seconds(RESERVATION_PAUSE_TIMEOUTS * timeout_s));
    team_quota->reserved_job_id[0] = 0;
    log_info("quota: team %s: reservation for job %s timed out", quota_settings->teams[team_quota->team].name,
             job->spec.job_id);
}

/* Returns how many more tasks of the job may start now. While the job waits to be retried, none may. The missing tasks
 * of a partly allocated gang may only start while its attempt is open. A suspect job that is no gang starts one at
 * most. */
static int tasks_waiting(const struct job *job) {
    if (clock_seconds_since(job->retry_at) < 0) return 0;
    if (job->spec.kind == JOB_GANG && allocations_count(job) > 0)
        return allocations_open_gang_attempt(job) ? allocations_missing_tasks(job) : 0;
    return quarantine_job_suspect(job) && job->spec.kind != JOB_GANG ? MIN(allocations_missing_tasks(job), 1)
                                                                     : allocations_missing_tasks(job);
}

void quota_measure_demand(struct quota_team *team_quota) {
    struct quota_demand demands[DEMANDS_MAX];
    const struct job *jobs[DEMANDS_MAX];
    struct quota_amount lasting;
    int n = 0;
    count_used(team_quota, &lasting);
    GArray *order = priority_order_team(team_quota->team);
    for (guint i = 0; i < order->len && n < DEMANDS_MAX; i++) {
        const struct job *job = g_array_index(order, struct priority_entry, i).job;
        int waiting = tasks_waiting(job);
        if (waiting <= 0 || quota_allotment_index(&team_quota->record, jobs_shard(job)) < 0) continue;
        if (quota_allotment_closing(&team_quota->record, team_quota->home_shard, quota_settings->n_shards,
                                    jobs_shard(job)))
            continue;
        jobs[n] = job;
        demands[n++] = (struct quota_demand){.shard = jobs_shard(job),
                                             .tasks = waiting,
                                             .per_task = quota_amount_of_tasks(&job->spec, 1),
                                             .all_or_nothing = job->spec.kind == JOB_GANG,
                                             .may_reserve = !timed_out_recently(job->spec.job_id)};
    }
    g_array_free(order, TRUE);
    team_quota->targets = quota_targets(&team_quota->record, team_quota->used, lasting, demands, n);
    update_reservation(team_quota, team_quota->targets.reserved_demand_index >= 0
                                       ? jobs[team_quota->targets.reserved_demand_index]
                                       : NULL);
    team_quota->measured = true;
}
