#include "gang_zone.h"

#include <stdbool.h>
#include <string.h>

#include "../placement/placement.h"
#include "internal.h"
#include "preemptible.h"

/* How many tasks of a gang fit in a zone: now, and once all tasks that may be preempted or are stopping have ended. */
struct zone_fit {
    int tasks_now, tasks_with_preemption;
};

/* Returns the zone's index in the settings; 0 if the gang may use several zones; -1 for a zone not in the settings. */
static int zone_index(const struct job *job, const char *zone) {
    return job->spec.single_zone ? settings_zone(preemption_settings, zone) : 0;
}

static void add_machine(struct zone_fit *fit, const struct machine *machine, const struct priority_entry *entry) {
    const struct job_spec *spec = &entry->job->spec;
    struct resources free = resources_free(machine);
    fit->tasks_now += resources_tasks_that_fit(&free, spec);
    for (guint i = 0; i < machine->allocations->len; i++) {
        const struct allocation *allocation = machine->allocations->pdata[i];
        if (allocation->released) continue;
        if (allocation->stop_requested || preemption_allowed(allocation, entry))
            resources_add_task(&free, &allocation->job->spec);
    }
    fit->tasks_with_preemption += resources_tasks_that_fit(&free, spec);
}

/* Returns whether the zone is better than the best so far: all tasks fit with preemption, then more tasks fit now. This
 * order keeps the choice stable while resources are being freed. */
static bool is_better(const struct zone_fit *fit, const struct zone_fit *best, int tasks) {
    bool all_fit = fit->tasks_with_preemption >= tasks, best_all_fit = best->tasks_with_preemption >= tasks;
    if (all_fit != best_all_fit) return all_fit;
    if (fit->tasks_now != best->tasks_now) return fit->tasks_now > best->tasks_now;
    return fit->tasks_with_preemption > best->tasks_with_preemption;
}

struct gang_zone preemption_gang_zone(const struct priority_entry *entry, const GPtrArray *machines) {
    const struct job *job = entry->job;
    struct zone_fit fit_by_zone[SETTINGS_ZONES_MAX] = {{0, 0}};
    for (guint i = 0; i < machines->len; i++) {
        const struct machine *machine = machines->pdata[i];
        if (!machine->round.schedulable || !machine->type || !placement_allowed(machine, job, NULL, NULL)) continue;
        int zone = zone_index(job, machine->zone);
        if (zone >= 0) add_machine(&fit_by_zone[zone], machine, entry);
    }
    int zones = job->spec.single_zone ? preemption_settings->n_zones : 1, best = 0;
    for (int zone = 1; zone < zones; zone++)
        if (is_better(&fit_by_zone[zone], &fit_by_zone[best], job->spec.tasks)) best = zone;
    return (struct gang_zone){.name = job->spec.single_zone ? preemption_settings->zones[best] : NULL,
                              .tasks_with_preemption = fit_by_zone[best].tasks_with_preemption};
}
