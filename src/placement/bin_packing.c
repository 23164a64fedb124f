#include "bin_packing.h"

#include <stdbool.h>
#include <string.h>

#include "../quarantine/quarantine.h"
#include "fit.h"

/* The design's order, in which occupancy (0 to 1) decides within a band. */
#define SCORE_RECEPTION 3.0 /* the reception machine, under its own threshold */
#define SCORE_ADMITTING 2.0 /* under the admission threshold, less its occupancy */
#define SCORE_RECEPTION_BUSY                                                                                       \
    0.5                       /* the reception machine above the admission threshold, less a part of its occupancy \
                               */
#define SCORE_OTHERS_BUSY 0.2 /* any other machine above the admission threshold */
#define BUSY_OCCUPANCY_DIVISOR 4.0

/* What changes the design's order. Where nothing failed more than once, each step outweighs those before it together.
 *
 * An empty machine is opened last: headroom in scattered pieces starves gangs and can't be returned. An image at hand
 * is worth more than the order: a fetch lasts longer than the whole wait that users accept. Spot machines come before
 * others for jobs that allow them. Machines on which others have failed come last, and after these those on which this
 * job has. */
#define SCORE_EMPTY (-5.0)
#define SCORE_IMAGE_CACHED 10.0
#define SCORE_SPOT 40.0
#define SCORE_EACH_FAILURE 60.0
#define SCORE_JOB_FAILED_THERE 120.0

static unsigned long machines_examined;

unsigned long placement_machines_examined(void) { return machines_examined; }

static double design_score(const struct machine *machine, const struct placement_rules *rules) {
    double occupancy = machine->round.occupancy;
    bool is_reception = machine == rules->reception_machine;
    if (is_reception && occupancy < rules->reception) return SCORE_RECEPTION;
    if (occupancy < rules->admission) return SCORE_ADMITTING - occupancy;
    return is_reception ? SCORE_RECEPTION_BUSY - occupancy / BUSY_OCCUPANCY_DIVISOR : SCORE_OTHERS_BUSY;
}

static double score(const struct machine *machine, const struct job *job, const struct placement_rules *rules) {
    double score = design_score(machine, rules);
    if (machine->round.used_gpus <= 0 && machine->round.used_vcpus <= 0) score += SCORE_EMPTY;
    if (job->spec.allows_spot && machine->spot) score += SCORE_SPOT;
    if (g_hash_table_contains(machine->images, job->spec.image)) score += SCORE_IMAGE_CACHED;
    score -= SCORE_EACH_FAILURE * quarantine_machine_failures(machine) +
             (quarantine_failed_on(job, machine) ? SCORE_JOB_FAILED_THERE : 0);
    return score;
}

/* The zone to which a single-zone job is bound by its allocations, or by the plan made for it last; NULL: none. */
static const char *bound_zone(const struct job *job, const GArray *plans) {
    if (!job->spec.single_zone) return NULL;
    const char *zone = placement_zone(job);
    if (zone || !plans || plans->len == 0) return zone;
    const struct planned_task *last = &g_array_index(plans, struct planned_task, plans->len - 1);
    return last->job == job ? last->machine->zone : NULL;
}

struct machine *placement_choose(const GPtrArray *machines, const struct job *job, const char *zone,
                                 const struct placement_rules *rules, const GArray *plans) {
    struct machine *best = NULL;
    double best_score = 0;
    const char *bound = bound_zone(job, plans);
    machines_examined += machines->len;
    for (guint i = 0; i < machines->len; i++) {
        struct machine *machine = machines->pdata[i];
        if (!machine->round.schedulable || (zone && strcmp(zone, machine->zone) != 0)) continue;
        if (!placement_fits(machine, &job->spec) || !placement_allowed(machine, job, bound, plans)) continue;
        double machine_score = score(machine, job, rules);
        if (best && machine_score <= best_score) continue;
        best = machine;
        best_score = machine_score;
    }
    return best;
}
