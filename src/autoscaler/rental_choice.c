#include "rental_choice.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "../cloud/cloud.h"
#include "../liveness/liveness.h"
#include "../machine_types/machine_types.h"
#include "planned_machine.h"

#define ZONE_COST 0.001 /* part of the price that each lot of machines in a zone adds */

enum {
    TASKS_PER_MACHINE = 8, /* a guess, of tasks that wait */
    LOT_MAX = 48           /* machines that a call to the cloud brings */
};

/* Machines of the shard by zone, counted once a plan. */
static struct {
    const struct settings *settings;
    int n_machines[SETTINGS_ZONES_MAX];
    int lot; /* machines that go to one zone before another is preferred */
} zones = {.lot = 1};

void rental_choice_init(const struct settings *settings) { zones.settings = settings; }

void rental_choice_begin(int waiting_tasks) {
    memset(zones.n_machines, 0, sizeof zones.n_machines);
    zones.lot = CLAMP(waiting_tasks / TASKS_PER_MACHINE, 1, LOT_MAX);
}

void rental_choice_count(const char *zone) {
    int index = settings_zone(zones.settings, zone);
    if (index >= 0) zones.n_machines[index]++;
}

/* Among equal prices, the zone where this shard has least; a whole lot goes to one, calls are scarce. */
static double zone_cost(double price, const char *zone) {
    int index = settings_zone(zones.settings, zone);
    int n_lots = index < 0 ? 0 : zones.n_machines[index] / zones.lot;
    return price * (1 + ZONE_COST * n_lots);
}

/* What is searched for, and the cheapest so far. */
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
        if (scale_out_type_fits(&search.job->spec, type)) search_type(&search, type);
    }
    return search.found;
}

bool rental_choice_find(int shard, const struct job *job, const char *zone, enum rental_kinds kinds,
                        struct rental_request *request) {
    struct search search = {.shard = shard, .job = job, .zone = zone, .request = request};
    if (!job->spec.allows_spot) return search_kind(search, false);
    return search_kind(search, true) || (kinds == RENTAL_SPOT_FIRST && search_kind(search, false));
}
