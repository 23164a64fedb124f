#include "scale_out.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "../allocations/allocations.h"
#include "../clock/clock.h"
#include "../machine_types/machine_types.h"
#include "../membership/membership.h"
#include "../placement/placement.h"
#include "../priority/priority.h"
#include "../quota/quota.h"
#include "rental_choice.h"
#include "shard_plan.h"

#define OWNED_S 4              /* an owner of less has not read yet what is on its way */
#define FINISHED_DEFAULT_S 120 /* in which a job is wanted done whose class has no objective */
#define RUNTIME_MIN_S 1.0      /* of a task, in the backlog */
#define GANG_LATELY_S 100      /* a shard whose last gang came that long ago is one that runs gangs */
#define SPARE_WEIGHT 1

enum {
    MACHINES_PER_SPARE = 7, /* of a shard that runs gangs */
    JOB_TASKS_PLANNED = 128,
    REQUEST_MACHINES_MAX = 50 /* that a call may ask for */
};

static const struct settings *settings;

void scale_out_init(const struct settings *chosen) {
    settings = chosen;
    rental_choice_init(chosen);
    shard_plan_init(chosen);
}

/* The rentals for a job. */
struct job_rental {
    struct job *job;
    bool within_guarantee;
    char zone[ZONE_NAME_SIZE]; /* where the job's tasks have to be; empty: anywhere, or not decided yet */
    guint first_machine;       /* the plan's machines before it have no room for the job's tasks; examined anew for each
                                  task, they took most of a controller's processor time at 4,000 machines */
};

static int tasks_that_fit(const GArray *machines, const struct job *job, const char *zone) {
    int n = 0;
    for (guint i = 0; i < machines->len; i++) {
        struct planned_machine planned = g_array_index(machines, struct planned_machine, i);
        if (planned.foreign) continue;
        while (n < job->spec.tasks && planned_machine_take(&planned, job, zone)) n++;
    }
    return n;
}

/* For a job that stays in one zone: the one in which what is there or on its way takes most of it; empty: none. */
static void choose_fullest_zone(const struct shard_plan *plan, struct job_rental *rental) {
    const struct job *job = rental->job;
    int most = 0;
    for (int i = 0; i < settings->n_zones; i++) {
        const char *zone = settings->zones[i];
        struct rental_request request;
        int n_fit = tasks_that_fit(plan->machines, job, zone);
        if (n_fit <= most) continue;
        /* Pieces in a zone that the cloud adds nothing to are no beginning. */
        if (n_fit < job->spec.tasks && !rental_choice_find(plan->shard, job, zone, RENTAL_SPOT_FIRST, &request))
            continue;
        most = n_fit;
        g_strlcpy(rental->zone, zone, sizeof rental->zone);
    }
}

static bool has_task_in(const struct job *job, const char *zone) {
    for (guint i = 0; i < job->allocations->len; i++)
        if (strcmp(((const struct allocation *)job->allocations->pdata[i])->machine->zone, zone) == 0) return true;
    return false;
}

/* A spread job's next task asks for a zone that has none of them yet; NULL: any. */
static const char *spread_zone(const struct job *job) {
    if (!job->spec.spread || job->allocations->len == 0) return NULL;
    for (int i = 0; i < settings->n_zones; i++)
        if (!has_task_in(job, settings->zones[i])) return settings->zones[i];
    return NULL;
}

/* Counts the job's next task into the backlog. Work that may use spot machines gets on-demand ones only for what the
 * present ones can't work off in a part of the time in which its users want it done. */
static enum rental_kinds kinds_for_task(struct shard_plan *plan, const struct job_rental *rental) {
    const struct job_spec *spec = &rental->job->spec;
    if (!spec->allows_spot) return RENTAL_SPOT_FIRST;
    plan->backlog_gpu_s += fmax(spec->runtime_s, RUNTIME_MIN_S) * spec->gpus;
    double wanted_s = settings_shortest_objective_s(settings, OBJECTIVE_FINISHED, spec->job_class, FINISHED_DEFAULT_S);
    bool too_slow =
        plan->backlog_gpus > 0 && plan->backlog_gpu_s / plan->backlog_gpus > settings->tuning.spot_backlog * wanted_s;
    return rental->within_guarantee || too_slow ? RENTAL_SPOT_FIRST : RENTAL_SPOT_ONLY;
}

/* The zone of a single-zone job is that of its first task. */
static void decide_zone(struct job_rental *rental, const char *zone) {
    if (rental->job->spec.single_zone && !rental->zone[0]) g_strlcpy(rental->zone, zone, sizeof rental->zone);
}

static bool place_on_planned(struct shard_plan *plan, struct job_rental *rental, const char *zone) {
    for (; rental->first_machine < plan->machines->len; rental->first_machine++) {
        struct planned_machine *planned = &g_array_index(plan->machines, struct planned_machine, rental->first_machine);
        if (!planned_machine_take(planned, rental->job, zone)) continue;
        decide_zone(rental, planned->request.zone);
        return true;
    }
    return false;
}

static void request_for_task(struct shard_plan *plan, struct job_rental *rental, const char *zone,
                             enum rental_kinds kinds) {
    static const int weights[] = {
        [PRIORITY_IDLE] = 1, [PRIORITY_NORMAL] = 2, [PRIORITY_HIGH] = 6, [PRIORITY_PRODUCTION] = 8};
    const struct job *job = rental->job;
    struct rental_request request = {0};
    if (shard_plan_room(plan) <= 0 || !rental_choice_find(plan->shard, job, zone, kinds, &request)) return;
    struct planned_machine *planned = shard_plan_request(plan, &request, weights[job->priority]);
    plan->n_requested++;
    if (job->spec.allows_spot) plan->backlog_gpus += machine_types_find(request.type_name)->gpus;
    planned_machine_take(planned, job, zone);
    decide_zone(rental, request.zone);
}

/* A place on what is there or on its way, else one more machine. */
static void rent_for_task(struct shard_plan *plan, struct job_rental *rental) {
    const char *zone = rental->zone[0] ? rental->zone : spread_zone(rental->job);
    enum rental_kinds kinds = kinds_for_task(plan, rental);
    if (!place_on_planned(plan, rental, zone)) request_for_task(plan, rental, zone, kinds);
}

static int tasks_to_place(const struct job *job) {
    if (job->spec.kind == JOB_GANG) return job->spec.tasks;
    return (job->unplaced ? allocations_missing_tasks(job) : 0) + job->replicas_at_risk;
}

static void rent_for_job(struct shard_plan *plan, const struct priority_entry *entry) {
    struct job *job = entry->job;
    struct job_rental rental = {.job = job, .within_guarantee = entry->within_guarantee};
    if (placement_zone(job)) {
        g_strlcpy(rental.zone, placement_zone(job), sizeof rental.zone);
    } else if (job->spec.single_zone) {
        choose_fullest_zone(plan, &rental);
    }
    int n_tasks = MIN(tasks_to_place(job), JOB_TASKS_PLANNED);
    double gpus_max = quota_bound(job->spec.team, jobs_shard(job)).gpus, gpus = 0;
    for (int i = 0; i < n_tasks; i++) {
        gpus += job->spec.gpus;
        if (gpus > gpus_max) break;
        rent_for_task(plan, &rental);
    }
    int zone = job->spec.single_zone ? settings_zone(settings, rental.zone) : -1;
    job->zone = zone < 0 ? NULL : settings->zones[zone];
}

/* A job for whose like the reception machine is too full; NULL: none. */
static const struct job *on_demand_job_on(const struct machine *machine) {
    const struct job *found = NULL;
    for (guint i = 0; i < machine->allocations->len; i++) {
        const struct allocation *allocation = machine->allocations->pdata[i];
        if (!allocation->job->spec.allows_spot) found = allocation->job;
    }
    return found;
}

/* Pressure: no other machine is under the admission threshold, or a lone reception machine is past its own. */
static void rent_for_pressure(struct shard_plan *plan) {
    const struct machine *reception = plan->reception_machine;
    if (plan->n_requested > 0 || plan->booting || !reception || plan->below_admission || shard_plan_room(plan) <= 0)
        return;
    const struct job *job = on_demand_job_on(reception);
    double occupancy = placement_occupancy(reception, (int)settings->tuning.occupancy_window);
    bool lone_below_threshold = plan->n_steady == 1 && occupancy <= settings->tuning.reception_threshold;
    struct rental_request request = {0};
    if (job && !lone_below_threshold && rental_choice_find(plan->shard, job, NULL, RENTAL_SPOT_FIRST, &request))
        planned_machine_add(plan->machines, request.type_name, request.zone, request.spot);
}

static const struct job *recent_gang(const GArray *jobs) {
    for (guint i = 0; i < jobs->len; i++) {
        const struct job *job = g_array_index(jobs, struct priority_entry, i).job;
        if (job->spec.kind == JOB_GANG && !job->spec.allows_spot && clock_time_of_day() - job->ready_at < GANG_LATELY_S)
            return job;
    }
    return NULL;
}

static int whole_machines(const GArray *machines) {
    int n = 0;
    for (guint i = 0; i < machines->len; i++) {
        const struct planned_machine *planned = &g_array_index(machines, struct planned_machine, i);
        n += !planned->foreign && !planned->request.spot && planned_machine_whole(planned);
    }
    return n;
}

/* The design's weak point: headroom is a sum, so scattered pieces starve gangs while no rental is due. A shard that
 * runs gangs keeps one whole machine in MACHINES_PER_SPARE, there or booting, beyond what waits; as few as drain at a
 * time.
 */
static void rent_spares(struct shard_plan *plan, const GArray *jobs) {
    const struct job *gang = recent_gang(jobs);
    if (!gang) return;
    int n_spares = plan->n_steady / MACHINES_PER_SPARE - whole_machines(plan->machines);
    n_spares = MIN(n_spares, shard_plan_room(plan));
    for (int i = 0; i < n_spares; i++) {
        struct rental_request request = {0};
        if (!rental_choice_find(plan->shard, gang, NULL, RENTAL_SPOT_FIRST, &request)) return;
        shard_plan_request(plan, &request, SPARE_WEIGHT);
    }
}

/* Requests of all shards, added up by shard, type, zone and kind. */
struct request_list {
    struct rental_request *requests;
    int n, most;
};

/* NULL: the list is full. */
static struct rental_request *find_or_add(struct request_list *list, int shard, const struct rental_request *like) {
    for (int i = 0; i < list->n; i++) {
        struct rental_request *request = &list->requests[i];
        if (request->shard == shard && request->spot == like->spot &&
            strcmp(request->type_name, like->type_name) == 0 && strcmp(request->zone, like->zone) == 0)
            return request;
    }
    if (list->n >= list->most) return NULL;
    struct rental_request *request = &list->requests[list->n++];
    *request = *like;
    request->shard = shard;
    request->count = request->weight = 0;
    return request;
}

static void collect_requests(const struct shard_plan *plan, struct request_list *list) {
    for (guint i = plan->first_requested; i < plan->machines->len; i++) {
        const struct rental_request *one = &g_array_index(plan->machines, struct planned_machine, i).request;
        struct rental_request *request = find_or_add(list, plan->shard, one);
        if (!request || request->count >= REQUEST_MACHINES_MAX) continue;
        request->count++;
        request->weight += one->weight;
    }
}

static void rent_for_shard(int shard, struct request_list *list) {
    GArray *jobs = priority_order_shard(shard);
    struct shard_plan plan = shard_plan_begin(shard, jobs);
    for (guint i = 0; i < jobs->len; i++) {
        const struct priority_entry *entry = &g_array_index(jobs, struct priority_entry, i);
        if (entry->job->unplaced || entry->job->replicas_at_risk) rent_for_job(&plan, entry);
    }
    rent_for_pressure(&plan);
    rent_spares(&plan, jobs);
    collect_requests(&plan, list);
    shard_plan_clear(&plan);
    g_array_free(jobs, TRUE);
}

static int weightier_first(const void *left, const void *right) {
    return ((const struct rental_request *)right)->weight - ((const struct rental_request *)left)->weight;
}

/* Calls are scarce: first the request that helps most, by how many machines and for whom. A few machines for services
 * go before as many for arrays, but not before fifty. */
int scale_out_plan(struct rental_request *out, int most) {
    struct request_list list = {out, 0, most};
    for (int shard = 0; shard < settings->n_shards; shard++) {
        if (membership_owns(shard) && membership_may_answer_workers() &&
            clock_seconds_since(shard_states[shard].owned_since) > OWNED_S)
            rent_for_shard(shard, &list);
    }
    qsort(out, (size_t)list.n, sizeof *out, weightier_first);
    return list.n;
}
