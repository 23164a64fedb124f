#include "rental_choice.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "../cloud/cloud.h"
#include "../liveness/liveness.h"
#include "../machine_types/machine_types.h"
#include "planned_machine.h"

#define ZONE_COST_PER_LOT 0.001 /* fraction of the price that is added for each lot of machines in a zone */

enum {
    WAITING_TASKS_PER_MACHINE = 8, /* tasks that a machine is assumed to take */
    LOT_MACHINES_MAX = 48          /* machines that one call to the cloud rents */
};

/* The shard's machines by zone, counted anew for each plan. */
static struct {
    const struct settings *settings;
    int n_machines[SETTINGS_ZONES_MAX];
    int lot_size; /* machines that are requested in one zone before another zone is preferred */
} zones = {.lot_size = 1};

void rental_choice_init(const struct settings *settings) { zones.settings = settings; }

void rental_choice_begin_plan(int waiting_tasks) {
    memset(zones.n_machines, 0, sizeof zones.n_machines);
    zones.lot_size = CLAMP(waiting_tasks / WAITING_TASKS_PER_MACHINE, 1, LOT_MACHINES_MAX);
}

void rental_choice_count_machine(const char *zone) {
    int index = settings_zone(zones.settings, zone);
    if (index >= 0) zones.n_machines[index]++;
}

/* Returns the price with a surcharge for each lot of machines that the shard has in the zone, so that at equal prices
 * the zone with the fewest lots is chosen. A whole lot goes to one zone, since the rate of cloud calls is limited. */
static double zone_cost(double price, const char *zone) {
    int index = settings_zone(zones.settings, zone);
    int n_lots = index < 0 ? 0 : zones.n_machines[index] / zones.lot_size;
    return price * (1 + ZONE_COST_PER_LOT * n_lots);
}

/* A search and its cheapest result so far. */
struct search {
    int shard;
    const struct job *job;
    const char *zone; /* NULL: any */
    bool spot;
    bool found;
    double cost;
    struct rental_request *request;
};

static bool zone_usable(const struct search *search, const char *type_name, const char *zone) {
    const char *job_zone = search->job->spec.zone;
    if (search->zone && strcmp(search->zone, zone) != 0) return false;
    if (job_zone && strcmp(job_zone, zone) != 0) return false;
    return cloud_may_rent(type_name, zone, search->spot) && !liveness_zone_unreachable(search->shard, zone);
}

static void search_type(struct search *search, const struct machine_type *type) {
    double price = search->spot ? type->spot_price : type->hourly_price;
    for (int i = 0; i < type->n_zones; i++) {
        const char *zone = type->zones[i];
        if (!zone_usable(search, type->type_name, zone)) continue;
        double cost = zone_cost(price, zone);
        if (search->found && cost >= search->cost) continue;
        search->found = true;
        search->cost = cost;
        g_strlcpy(search->request->type_name, type->type_name, sizeof search->request->type_name);
        g_strlcpy(search->request->zone, zone, sizeof search->request->zone);
        search->request->spot = search->spot;
    }
}

static bool search_kind(struct search search, bool spot) {
    search.spot = spot;
    for (int i = 0; i < machine_types_count(); i++) {
        const struct machine_type *type = &machine_types_all()[i];
        if (planned_machine_type_fits(&search.job->spec, type)) search_type(&search, type);
    }
    return search.found;
}

bool rental_choice_find(int shard, const struct job *job, const char *zone, enum rental_kinds kinds,
                        struct rental_request *request) {
    struct search search = {.shard = shard, .job = job, .zone = zone, .request = request};
    if (!job->spec.allows_spot) return search_kind(search, false);
    return search_kind(search, true) || (kinds == RENTAL_SPOT_FIRST && search_kind(search, false));
}
