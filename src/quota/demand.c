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

#define DEMANDS_MAX 512 /* jobs that wait, in order; what comes after them gets its turn when these have begun */

static int part_at(const struct quota_record *r, int shard) {
    for (int i = 0; i < r->n_allotments; i++)
        if (r->allotments[i].shard == shard) return i;
    return -1;
}

static struct quota_amount stopping_of(const struct job *j) {
    int n = 0;
    for (guint i = 0; i < j->allocations->len; i++) {
        const struct allocation *b = j->allocations->pdata[i];
        n += b->stop_requested && !b->released;
    }
    return quota_amount_used(&j->spec, n);
}

/* What has not been proven gone counts: tasks of cancelled jobs and on lost machines, too. */
static void count_used(struct quota_team *t, struct quota_amount *lasting) {
    memset(t->used, 0, sizeof t->used);
    memset(t->stopping, 0, sizeof t->stopping);
    *lasting = (struct quota_amount){{0}};
    for (int i = 0; i < t->record.n_allotments; i++) {
        int shard = t->record.allotments[i].shard;
        GPtrArray *lists[] = {jobs_active_of(shard), jobs_ended_of(shard)};
        for (size_t l = 0; l < G_N_ELEMENTS(lists); l++)
            for (guint n = 0; n < lists[l]->len; n++) {
                const struct job *j = lists[l]->pdata[n];
                if (j->spec.team != t->team) continue;
                struct quota_amount uses = quota_amount_used(&j->spec, allocations_count(j));
                t->used[i] = quota_amount_sum(t->used[i], uses);
                t->stopping[i] = quota_amount_sum(t->stopping[i], stopping_of(j));
                if (j->spec.kind == JOB_SERVICE && j->state == JOB_QUEUED) *lasting = quota_amount_sum(*lasting, uses);
            }
    }
}

/* Jobs for which room was held back in vain, until when none is again. */
struct given_up {
    char job_id[64];
    struct timespec until;
};
#define GIVEN_UP_MAX 64
static struct given_up given_up[GIVEN_UP_MAX];
static unsigned n_given_up;

static bool gave_up_lately(const char *job_id) {
    for (unsigned i = 0; i < MIN(n_given_up, GIVEN_UP_MAX); i++)
        if (strcmp(given_up[i].job_id, job_id) == 0 && clock_seconds_since(given_up[i].until) < 0) return true;
    return false;
}

#define PAUSE_TIMES 2 /* as long as room was held back, so many times it is not after that */

/* Room is held back for one job at a time and not for long: a job that gathers in vain must not idle its team. */
static void keep_gatherer(struct quota_team *t, const struct job *j) {
    double most = clock_to_seconds(quota_settings->quota.reservation_timeout);
    if (!j) {
        t->reservation_holder[0] = 0;
        return;
    }
    int booked = allocations_count(j);
    if (strcmp(t->reservation_holder, j->spec.job_id) != 0 || t->reservation_holder_allocated != booked) {
        g_strlcpy(t->reservation_holder, j->spec.job_id, sizeof t->reservation_holder);
        t->reservation_since = clock_now();
        t->reservation_holder_allocated = booked;
        return;
    }
    if (clock_seconds_since(t->reservation_since) < most) return;
    struct given_up *g = &given_up[n_given_up++ % GIVEN_UP_MAX];
    g_strlcpy(g->job_id, j->spec.job_id, sizeof g->job_id);
    g->until = clock_instant_in(clock_from_seconds(PAUSE_TIMES * most));
    t->reservation_holder[0] = 0;
    log_info("quota: team %s: reservation for job %s timed out", quota_settings->teams[t->team].name, j->spec.job_id);
}

/* How many more tasks of the job may start now. */
static int tasks_waiting(const struct job *j) {
    if (clock_seconds_since(j->retry_at) < 0) return 0;
    if (j->spec.kind == JOB_GANG && allocations_count(j) > 0)
        return allocations_open_gang_attempt(j) ? allocations_missing_tasks(j) : 0;
    return quarantine_job_suspect(j) && j->spec.kind != JOB_GANG ? MIN(allocations_missing_tasks(j), 1)
                                                                 : allocations_missing_tasks(j);
}

void quota_measure_demand(struct quota_team *t) {
    struct quota_demand demands[DEMANDS_MAX];
    const struct job *jobs[DEMANDS_MAX];
    struct quota_amount lasting;
    int n = 0;
    count_used(t, &lasting);
    GArray *order = priority_order_team(t->team);
    for (guint i = 0; i < order->len && n < DEMANDS_MAX; i++) {
        const struct job *j = g_array_index(order, struct priority_entry, i).job;
        int waiting = tasks_waiting(j);
        if (waiting <= 0 || part_at(&t->record, jobs_shard(j)) < 0) continue;
        if (quota_allotment_closing(&t->record, t->home, quota_settings->size, jobs_shard(j))) continue;
        jobs[n] = j;
        demands[n++] = (struct quota_demand){.shard = jobs_shard(j),
                                             .tasks = waiting,
                                             .each = quota_amount_used(&j->spec, 1),
                                             .whole = j->spec.kind == JOB_GANG,
                                             .may_reserve = !gave_up_lately(j->spec.job_id)};
    }
    g_array_free(order, TRUE);
    t->targets = quota_targets(&t->record, t->used, lasting, demands, n);
    keep_gatherer(t, t->targets.reservation_holder >= 0 ? jobs[t->targets.reservation_holder] : NULL);
    t->looked = true;
}
