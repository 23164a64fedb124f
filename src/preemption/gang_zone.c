#include "gang_zone.h"

#include <stdbool.h>
#include <string.h>

#include "../placement/placement.h"
#include "internal.h"
#include "preemptible.h"

/* Tasks of a gang that have room in a zone. */
struct zone_room {
    int now, with_preemption;
};

/* The zone's index; 0 for a gang that may be in several; -1: the zone is not in the settings. */
static int zone_index(const struct job *job, const char *zone) {
    return job->spec.single_zone ? settings_zone(preemption_settings, zone) : 0;
}

static void add_machine(struct zone_room *room, const struct machine *machine, const struct priority_entry *entry) {
    const struct job_spec *spec = &entry->job->spec;
    struct resources free = resources_free(machine);
    room->now += resources_tasks_that_fit(&free, spec);
    for (guint i = 0; i < machine->allocations->len; i++) {
        const struct allocation *allocation = machine->allocations->pdata[i];
        if (allocation->released) continue;
        if (allocation->stop_requested || preemption_allowed(allocation, entry))
            resources_add_task(&free, &allocation->job->spec);
    }
    room->with_preemption += resources_tasks_that_fit(&free, spec);
}

/* Enough with preemption comes first, then most room now: so that the choice stays while room gathers. */
static bool is_better(const struct zone_room *room, const struct zone_room *best, int tasks) {
    bool enough = room->with_preemption >= tasks, best_enough = best->with_preemption >= tasks;
    if (enough != best_enough) return enough;
    if (room->now != best->now) return room->now > best->now;
    return room->with_preemption > best->with_preemption;
}

struct gang_zone preemption_gang_zone(const struct priority_entry *entry, const GPtrArray *machines) {
    const struct job *job = entry->job;
    struct zone_room rooms[SETTINGS_ZONES_MAX] = {{0, 0}};
    for (guint i = 0; i < machines->len; i++) {
        const struct machine *machine = machines->pdata[i];
        if (!machine->round.schedulable || !machine->type || !placement_allowed(machine, job, NULL, NULL)) continue;
        int zone = zone_index(job, machine->zone);
        if (zone >= 0) add_machine(&rooms[zone], machine, entry);
    }
    int zones = job->spec.single_zone ? preemption_settings->n_zones : 1, best = 0;
    for (int zone = 1; zone < zones; zone++)
        if (is_better(&rooms[zone], &rooms[best], job->spec.tasks)) best = zone;
    return (struct gang_zone){.name = job->spec.single_zone ? preemption_settings->zones[best] : NULL,
                              .with_preemption = rooms[best].with_preemption};
}
