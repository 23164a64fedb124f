#include "cloud.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>
#include <time.h>

#include "../clock/clock.h"
#include "../machine_types/machine_types.h"
#include "../membership/membership.h"
#include "../store/store.h"
#include "../sync/sync.h"
#include "capacity.h"
#include "catalogue.h"
#include "client.h"
#include "machine_list.h"
#include "rentals.h"

#define STEP_INTERVAL_S 0.25
#define RETURNS_PER_CALL_MAX 100
#define URGENT_RETURNS_MIN 20    /* this many returns take precedence over rentals */
#define RETURNS_WAIT_MAX_S 12    /* after this time without a return, any return takes precedence over rentals */
#define RENTAL_REQUESTS_MAX 128  /* planned in one step; if a controller needs more, later steps plan the rest */
#define CATALOGUE_INTERVAL_S 120 /* between the leader's reads of the catalogue */
#define CATALOGUE_WAIT_S 6       /* without a catalogue, any controller reads it after this time */
#define LIST_INTERVAL_MIN_S 2.5
#define CALLS_PER_LIST_PAGE 6    /* about one call in this many reads a page of the list */
#define LIST_OVERDUE_INTERVALS 4 /* after this many list intervals, a page takes precedence over new rentals */

/* State of the cloud's thread. */
static struct {
    const struct settings *settings;
    struct cloud_planner planner;
    struct sync_wakeup wakeup;
    struct timespec started_at, catalogue_read_at, list_read_at, returned_at;
} cloud;

void cloud_set_planner(struct cloud_planner planner) { cloud.planner = planner; }

/* The state that decides what a step does, read under store_lock. */
struct step_state {
    bool is_leader, catalogue_known;
    double list_interval_s;
};

static struct step_state read_step_state(void) {
    struct step_state state;
    store_lock();
    state.is_leader = membership_is_leader();
    state.catalogue_known = machine_types_known();
    state.list_interval_s = fmax(LIST_INTERVAL_MIN_S, CALLS_PER_LIST_PAGE * membership_live_controllers() /
                                                          cloud.settings->cloud_requests_per_s);
    store_unlock();
    return state;
}

static bool catalogue_due(const struct step_state *state) {
    if (!state->catalogue_known) return state->is_leader || clock_seconds_since(cloud.started_at) > CATALOGUE_WAIT_S;
    return state->is_leader && clock_seconds_since(cloud.catalogue_read_at) > CATALOGUE_INTERVAL_S;
}

static void read_catalogue(void) {
    if (!cloud_client_reserve_call(CALL_ORDINARY)) return;
    catalogue_read(cloud.settings);
    cloud.catalogue_read_at = clock_now();
}

static void read_list(void) {
    machine_list_read_page();
    cloud.list_read_at = clock_now();
}

/* Machines to return. */
struct returns {
    char ids[RETURNS_PER_CALL_MAX][MACHINE_ID_SIZE];
    int n, n_busy; /* number of ids, and number of these machines that hold tasks */
};

static void plan_returns(struct returns *returns) {
    store_lock();
    returns->n = cloud.planner.plan_returns(returns->ids, RETURNS_PER_CALL_MAX, &returns->n_busy);
    store_unlock();
}

/* Tells whether returns take precedence over rentals. Tasks on a silent machine can start elsewhere only after its
 * return, so it is returned at once. Other returns take precedence if one call returns many machines, or if they have
 * waited for long. */
static bool returns_are_urgent(const struct returns *returns) {
    return returns->n_busy > 0 || returns->n >= URGENT_RETURNS_MIN ||
           (returns->n > 0 && clock_seconds_since(cloud.returned_at) > RETURNS_WAIT_MAX_S);
}

static void return_machines(struct returns *returns) {
    rentals_return(returns->ids, returns->n);
    cloud.returned_at = clock_now();
}

/* Opens the rental that is needed most, if any. Returns the number of planned rentals. */
static int open_rental(void) {
    struct rental_request requests[RENTAL_REQUESTS_MAX];
    store_lock();
    int n_planned = cloud.planner.plan_rentals(requests, RENTAL_REQUESTS_MAX);
    store_unlock();
    if (n_planned > 0) rentals_open(&requests[0]);
    return n_planned;
}

/* Makes at most one call, the first of these that is due: urgent returns, the open rental, an overdue page of the list,
 * a new rental, other returns, a page of the list. */
static void return_rent_or_list(double list_interval_s) {
    struct returns returns;
    plan_returns(&returns);
    /* Planning rentals takes long, so it is done only if a call can be made. */
    if (!cloud_client_reserve_call(returns.n_busy > 0 ? CALL_URGENT : CALL_ORDINARY)) return;
    double list_age_s = clock_seconds_since(cloud.list_read_at);
    bool list_overdue = list_age_s > LIST_OVERDUE_INTERVALS * list_interval_s;
    bool urgent_returns = returns_are_urgent(&returns);
    int n_planned = 0;
    if (!rentals_has_open() && !urgent_returns && !list_overdue) n_planned = open_rental();
    if (returns.n > 0 && (urgent_returns || !(rentals_has_open() || list_overdue))) {
        return_machines(&returns);
    } else if (rentals_has_open()) {
        rentals_call();
        if (n_planned > 1) sync_wakeup_signal(&cloud.wakeup);
    } else if (list_age_s > list_interval_s) {
        read_list();
    } else {
        cloud_client_release_call();
    }
}

static void *cloud_main(void *unused) {
    (void)unused;
    cloud.started_at = cloud.returned_at = clock_now();
    for (;;) {
        sync_wakeup_wait(&cloud.wakeup, clock_from_seconds(STEP_INTERVAL_S));
        struct step_state state = read_step_state();
        if (catalogue_due(&state)) {
            read_catalogue();
        } else if (state.catalogue_known) {
            return_rent_or_list(state.list_interval_s);
        }
    }
    return NULL;
}

void cloud_init(const struct settings *settings) {
    cloud.settings = settings;
    capacity_init();
    cloud_client_init(settings);
    rentals_init(settings);
    sync_wakeup_init(&cloud.wakeup);
}

void cloud_start(void) { sync_start_thread(cloud_main, NULL); }
