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

#define OWNED_MIN_S 4        /* a newer owner may not have read yet which machines are on their way */
#define FINISH_DEFAULT_S 120 /* time to finish a job if its class has no objective */
#define RUNTIME_MIN_S 1.0    /* a task with a shorter run time counts as this in the backlog */
#define RECENT_GANG_S 100    /* a shard runs gangs if a gang became ready within this time */
#define SPARE_WEIGHT 1

enum {
    MACHINES_PER_SPARE = 7,      /* a shard that runs gangs keeps one spare machine for this many machines */
    JOB_TASKS_PLANNED_MAX = 128, /* tasks of a job that one plan considers */
    REQUEST_MACHINES_MAX = 50    /* machines that one call to the cloud may request */
};

static const struct settings *settings;

void scale_out_init(const struct settings *loaded_settings) {
    settings = loaded_settings;
    rental_choice_init(loaded_settings);
    shard_plan_init(loaded_settings);
}

/* State of planning the rentals for a job. first_machine is kept between tasks: at 4,000 machines, examining all
 * machines for each task took most of a controller's processor time. */
struct job_rental {
    struct job *job;
    bool within_guarantee;
    char zone[ZONE_NAME_SIZE]; /* zone in which the job's tasks have to run; empty: any, or not decided yet */
    guint first_machine;       /* index in the plan; earlier machines have no room for the job's tasks */
};

static int tasks_that_fit(const GArray *machines, const struct job *job, const char *zone) {
    int n = 0;
    for (guint i = 0; i < machines->len; i++) {
        struct planned_machine planned = g_array_index(machines, struct planned_machine, i);
        if (planned.in_other_shard) continue;
        while (n < job->spec.tasks && planned_machine_reserve_task(&planned, job, zone)) n++;
    }
    return n;
}

/* Chooses the zone of a single-zone job: the one in which most of its tasks fit on machines that exist or are on their
 * way. If there is none, the zone stays empty. */
static void choose_zone_with_most_room(const struct shard_plan *plan, struct job_rental *rental) {
    const struct job *job = rental->job;
    int most_tasks = 0;
    for (int i = 0; i < settings->n_zones; i++) {
        const char *zone = settings->zones[i];
        struct rental_request request;
        int n_fit = tasks_that_fit(plan->machines, job, zone);
        if (n_fit <= most_tasks) continue;
        /* A zone with room for some of the tasks is of no use if the cloud rents no machines for the others there. */
        if (n_fit < job->spec.tasks && !rental_choice_find(plan->shard, job, zone, RENTAL_SPOT_FIRST, &request))
            continue;
        most_tasks = n_fit;
        g_strlcpy(rental->zone, zone, sizeof rental->zone);
    }
}

static bool has_task_in(const struct job *job, const char *zone) {
    for (guint i = 0; i < job->allocations->len; i++)
        if (strcmp(((const struct allocation *)job->allocations->pdata[i])->machine->zone, zone) == 0) return true;
    return false;
}

/* Returns the zone for the next task of a spread job: a zone that has no task of the job yet. NULL: any zone. */
static const char *spread_zone(const struct job *job) {
    if (!job->spec.spread || job->allocations->len == 0) return NULL;
    for (int i = 0; i < settings->n_zones; i++)
        if (!has_task_in(job, settings->zones[i])) return settings->zones[i];
    return NULL;
}

/* Adds the job's next task to the backlog and returns the kinds of machines that may be rented for it. A job that
 * allows spot machines and is beyond its team's guarantee gets on-demand machines only if the present machines need
 * longer for the backlog than tuning.spot_backlog times the completion objective of its class. */
static enum rental_kinds kinds_for_task(struct shard_plan *plan, const struct job_rental *rental) {
    const struct job_spec *spec = &rental->job->spec;
    if (!spec->allows_spot) return RENTAL_SPOT_FIRST;
    plan->backlog_gpu_s += fmax(spec->runtime_s, RUNTIME_MIN_S) * spec->gpus;
    double finish_within_s =
        settings_shortest_objective_s(settings, OBJECTIVE_FINISHED, spec->job_class, FINISH_DEFAULT_S);
    bool too_slow = plan->backlog_gpus > 0 &&
                    plan->backlog_gpu_s / plan->backlog_gpus > settings->tuning.spot_backlog_factor * finish_within_s;
    return rental->within_guarantee || too_slow ? RENTAL_SPOT_FIRST : RENTAL_SPOT_ONLY;
}

/* Binds a single-zone job to the zone of its first task. */
static void decide_zone(struct job_rental *rental, const char *zone) {
    if (rental->job->spec.single_zone && !rental->zone[0]) g_strlcpy(rental->zone, zone, sizeof rental->zone);
}

static bool place_on_planned_machine(struct shard_plan *plan, struct job_rental *rental, const char *zone) {
    for (; rental->first_machine < plan->machines->len; rental->first_machine++) {
        struct planned_machine *planned = &g_array_index(plan->machines, struct planned_machine, rental->first_machine);
        if (!planned_machine_reserve_task(planned, rental->job, zone)) continue;
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
    if (shard_plan_remaining_machines(plan) <= 0 || !rental_choice_find(plan->shard, job, zone, kinds, &request))
        return;
    struct planned_machine *planned = shard_plan_add_request(plan, &request, weights[job->effective_priority]);
    plan->n_requested++;
    if (job->spec.allows_spot) plan->backlog_gpus += machine_types_find(request.type_name)->gpus;
    planned_machine_reserve_task(planned, job, zone);
    decide_zone(rental, request.zone);
}

/* Places the job's next task on a machine of the plan, or else requests one more machine. */
static void rent_for_task(struct shard_plan *plan, struct job_rental *rental) {
    const char *zone = rental->zone[0] ? rental->zone : spread_zone(rental->job);
    enum rental_kinds kinds = kinds_for_task(plan, rental);
    if (!place_on_planned_machine(plan, rental, zone)) request_for_task(plan, rental, zone, kinds);
}

static int tasks_to_place(const struct job *job) {
    if (job->spec.kind == JOB_GANG) return job->spec.tasks;
    return (job->unplaced ? allocations_missing_tasks(job) : 0) + job->replicas_at_risk;
}

static void rent_for_job(struct shard_plan *plan, const struct priority_entry *entry) {
    struct job *job = entry->job;
    struct job_rental rental = {.job = job, .within_guarantee = entry->within_guarantee};
    if (placement_job_zone(job)) {
        g_strlcpy(rental.zone, placement_job_zone(job), sizeof rental.zone);
    } else if (job->spec.single_zone) {
        choose_zone_with_most_room(plan, &rental);
    }
    int n_tasks = MIN(tasks_to_place(job), JOB_TASKS_PLANNED_MAX);
    double gpus_max = quota_bound(job->spec.team, jobs_shard(job)).gpus, gpus = 0;
    for (int i = 0; i < n_tasks; i++) {
        gpus += job->spec.gpus;
        if (gpus > gpus_max) break;
        rent_for_task(plan, &rental);
    }
    int zone = job->spec.single_zone ? settings_zone(settings, rental.zone) : -1;
    job->zone = zone < 0 ? NULL : settings->zones[zone];
}

/* Returns a job on the machine that needs on-demand machines; NULL if there is none. A machine that is rented for
 * headroom must fit this job. */
static const struct job *find_on_demand_job(const struct machine *machine) {
    const struct job *found = NULL;
    for (guint i = 0; i < machine->allocations->len; i++) {
        const struct allocation *allocation = machine->allocations->pdata[i];
        if (!allocation->job->spec.allows_spot) found = allocation->job;
    }
    return found;
}

/* Requests one machine for headroom if no machine but the reception machine is below the admission threshold. If the
 * reception machine is the only one, its occupancy must also exceed the reception threshold. */
static void rent_for_headroom(struct shard_plan *plan) {
    const struct machine *reception_machine = plan->reception_machine;
    if (plan->n_requested > 0 || plan->any_booting || !reception_machine || plan->other_below_admission ||
        shard_plan_remaining_machines(plan) <= 0)
        return;
    const struct job *job = find_on_demand_job(reception_machine);
    double occupancy = placement_occupancy(reception_machine, (int)settings->tuning.occupancy_window_heartbeats);
    bool lone_below_threshold = plan->n_on_demand_serving == 1 && occupancy <= settings->tuning.reception_threshold;
    struct rental_request request = {0};
    if (job && !lone_below_threshold && rental_choice_find(plan->shard, job, NULL, RENTAL_SPOT_FIRST, &request))
        planned_machine_add(plan->machines, request.type_name, request.zone, request.spot);
}

/* Returns a gang that needs on-demand machines and became ready recently; NULL if there is none. */
static const struct job *recent_gang(const GArray *jobs) {
    for (guint i = 0; i < jobs->len; i++) {
        const struct job *job = g_array_index(jobs, struct priority_entry, i).job;
        if (job->spec.kind == JOB_GANG && !job->spec.allows_spot && clock_time_of_day() - job->ready_at < RECENT_GANG_S)
            return job;
    }
    return NULL;
}

static int count_empty_machines(const GArray *machines) {
    int n = 0;
    for (guint i = 0; i < machines->len; i++) {
        const struct planned_machine *planned = &g_array_index(machines, struct planned_machine, i);
        n += !planned->in_other_shard && !planned->request.spot && planned_machine_is_empty(planned);
    }
    return n;
}

/* Requests spare machines for gangs. Headroom is a sum over machines: when it is scattered over many machines, gangs
 * find no room although no machine is rented for headroom. A shard that runs gangs therefore keeps one empty machine,
 * existing or booting, for each MACHINES_PER_SPARE machines, besides the machines for waiting tasks. */
static void rent_spares(struct shard_plan *plan, const GArray *jobs) {
    const struct job *gang = recent_gang(jobs);
    if (!gang) return;
    int n_spares = plan->n_on_demand_serving / MACHINES_PER_SPARE - count_empty_machines(plan->machines);
    n_spares = MIN(n_spares, shard_plan_remaining_machines(plan));
    for (int i = 0; i < n_spares; i++) {
        struct rental_request request = {0};
        if (!rental_choice_find(plan->shard, gang, NULL, RENTAL_SPOT_FIRST, &request)) return;
        shard_plan_add_request(plan, &request, SPARE_WEIGHT);
    }
}

/* The requests of all shards, added up by shard, machine type, zone and kind. */
struct request_list {
    struct rental_request *requests;
    int n_requests, max_requests;
};

/* Returns the shard's request for the wanted type, zone and kind, added to the list if missing; NULL if the list is
 * full. */
static struct rental_request *find_or_add_request(struct request_list *list, int shard,
                                                  const struct rental_request *wanted) {
    for (int i = 0; i < list->n_requests; i++) {
        struct rental_request *request = &list->requests[i];
        if (request->shard == shard && request->spot == wanted->spot &&
            strcmp(request->type_name, wanted->type_name) == 0 && strcmp(request->zone, wanted->zone) == 0)
            return request;
    }
    if (list->n_requests >= list->max_requests) return NULL;
    struct rental_request *request = &list->requests[list->n_requests++];
    *request = *wanted;
    request->shard = shard;
    request->count = request->weight = 0;
    return request;
}

static void collect_requests(const struct shard_plan *plan, struct request_list *list) {
    for (guint i = plan->first_requested; i < plan->machines->len; i++) {
        const struct rental_request *machine_request =
            &g_array_index(plan->machines, struct planned_machine, i).request;
        struct rental_request *request = find_or_add_request(list, plan->shard, machine_request);
        if (!request || request->count >= REQUEST_MACHINES_MAX) continue;
        request->count++;
        request->weight += machine_request->weight;
    }
}

static void rent_for_shard(int shard, struct request_list *list) {
    GArray *jobs = priority_order_shard(shard);
    struct shard_plan plan = shard_plan_begin(shard, jobs);
    for (guint i = 0; i < jobs->len; i++) {
        const struct priority_entry *entry = &g_array_index(jobs, struct priority_entry, i);
        if (entry->job->unplaced || entry->job->replicas_at_risk) rent_for_job(&plan, entry);
    }
    rent_for_headroom(&plan);
    rent_spares(&plan, jobs);
    collect_requests(&plan, list);
    shard_plan_clear(&plan);
    g_array_free(jobs, TRUE);
}

static int higher_weight_first(const void *left, const void *right) {
    return ((const struct rental_request *)right)->weight - ((const struct rental_request *)left)->weight;
}

/* The rate of calls to the cloud is limited, so the requests with the highest total weight of their machines come
 * first. A few machines for production jobs come before as many for other jobs, but not before fifty. */
int scale_out_plan(struct rental_request *requests, int max_requests) {
    struct request_list list = {requests, 0, max_requests};
    for (int shard = 0; shard < settings->n_shards; shard++) {
        if (membership_owns(shard) && membership_may_answer_workers() &&
            clock_seconds_since(owned_shard_states[shard].owned_since) > OWNED_MIN_S)
            rent_for_shard(shard, &list);
    }
    qsort(requests, (size_t)list.n_requests, sizeof *requests, higher_weight_first);
    return list.n_requests;
}
