#include "bin_packing.h"

#include <stdbool.h>
#include <string.h>

#include "../quarantine/quarantine.h"
#include "fit.h"

/* Base scores, from the most preferred group of machines to the least. */
#define SCORE_RECEPTION 3.0 /* reception machine below the reception threshold */
#define SCORE_ADMITTING 2.0 /* below the admission threshold; its occupancy is subtracted */
#define SCORE_RECEPTION_BUSY \
    0.5                       /* reception machine above the admission threshold; part of its occupancy is subtracted */
#define SCORE_OTHERS_BUSY 0.2 /* any other machine above the admission threshold */
#define BUSY_OCCUPANCY_DIVISOR 4.0

/* Adjustments of the base score. If no failure count is above 1, each adjustment outweighs the sum of the adjustments
 * listed before it.
 *
 * Empty machines come after used machines: headroom that is scattered over several machines leaves no room for gangs
 * and cannot be returned. A cached image outweighs the base score: fetching an image takes longer than the wait that
 * users accept. For jobs that allow spot machines, spot machines come before on-demand machines. Machines on which
 * jobs have failed come after machines without failures, and machines on which this job has failed come last. */
#define SCORE_EMPTY_MACHINE (-5.0)
#define SCORE_IMAGE_CACHED 10.0
#define SCORE_SPOT_ALLOWED 40.0
#define SCORE_PER_FAILURE 60.0
#define SCORE_JOB_FAILED_ON_MACHINE 120.0

static unsigned long machines_examined;

unsigned long placement_machines_examined(void) { return machines_examined; }

static double base_score(const struct machine *machine, const struct placement_rules *rules) {
    double occupancy = machine->round.occupancy;
    bool is_reception = machine == rules->reception_machine;
    if (is_reception && occupancy < rules->reception_threshold) return SCORE_RECEPTION;
    if (occupancy < rules->admission_threshold) return SCORE_ADMITTING - occupancy;
    return is_reception ? SCORE_RECEPTION_BUSY - occupancy / BUSY_OCCUPANCY_DIVISOR : SCORE_OTHERS_BUSY;
}

static double total_score(const struct machine *machine, const struct job *job, const struct placement_rules *rules) {
    double score = base_score(machine, rules);
    if (machine->round.used_gpus <= 0 && machine->round.used_vcpus <= 0) score += SCORE_EMPTY_MACHINE;
    if (job->spec.allows_spot && machine->spot) score += SCORE_SPOT_ALLOWED;
    if (g_hash_table_contains(machine->images, job->spec.image)) score += SCORE_IMAGE_CACHED;
    score -= SCORE_PER_FAILURE * quarantine_machine_failures(machine) +
             (quarantine_failed_on(job, machine) ? SCORE_JOB_FAILED_ON_MACHINE : 0);
    return score;
}

/* Returns the zone in which a single-zone job has to run because of its allocations, or because of the latest plan if
 * that plan is for the job. Returns NULL if any zone will do. */
static const char *bound_zone(const struct job *job, const GArray *plans) {
    if (!job->spec.single_zone) return NULL;
    const char *zone = placement_job_zone(job);
    if (zone || !plans || plans->len == 0) return zone;
    const struct planned_task *last = &g_array_index(plans, struct planned_task, plans->len - 1);
    return last->job == job ? last->machine->zone : NULL;
}

struct machine *placement_choose_machine(const GPtrArray *machines, const struct job *job, const char *zone,
                                         const struct placement_rules *rules, const GArray *plans) {
    struct machine *best = NULL;
    double best_score = 0;
    const char *job_zone = bound_zone(job, plans);
    machines_examined += machines->len;
    for (guint i = 0; i < machines->len; i++) {
        struct machine *machine = machines->pdata[i];
        if (!machine->round.schedulable || (zone && strcmp(zone, machine->zone) != 0)) continue;
        if (!placement_fits(machine, &job->spec) || !placement_allowed(machine, job, job_zone, plans)) continue;
        double machine_score = total_score(machine, job, rules);
        if (best && machine_score <= best_score) continue;
        best = machine;
        best_score = machine_score;
    }
    return best;
}
