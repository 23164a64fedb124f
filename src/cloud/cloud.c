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
#define RETURNS_MAX 100          /* machines of a call */
#define RETURNS_MANY 20          /* so many go before rentals */
#define RETURNS_WAIT_MAX_S 12    /* then they go before rentals, however few */
#define RENTAL_REQUESTS_MAX 128  /* by shard, type, zone and kind; a controller may own all shards. More come later */
#define CATALOGUE_INTERVAL_S 120 /* at which the leader reads it */
#define CATALOGUE_WAIT_S 6       /* then any controller reads it, if there is none */
#define LIST_INTERVAL_MIN_S 2.5
#define LIST_CALLS 6             /* one call of so many reads a page of the list */
#define LIST_OVERDUE_INTERVALS 4 /* then the list goes before rentals */

/* The cloud's thread. */
static struct {
    const struct settings *settings;
    struct cloud_planner planner;
    struct sync_wakeup wakeup;
    struct timespec started_at, catalogue_read_at, list_read_at, returned_at;
} cloud;

void cloud_set_planner(struct cloud_planner planner) { cloud.planner = planner; }

/* What a step goes by. */
struct situation {
    bool leads, catalogue_known;
    double list_interval_s;
};

static struct situation read_situation(void) {
    struct situation situation;
    store_lock();
    situation.leads = membership_is_leader();
    situation.catalogue_known = machine_types_known();
    situation.list_interval_s =
        fmax(LIST_INTERVAL_MIN_S, LIST_CALLS * membership_live_controllers() / cloud.settings->cloud_rps);
    store_unlock();
    return situation;
}

static bool catalogue_due(const struct situation *situation) {
    if (!situation->catalogue_known)
        return situation->leads || clock_seconds_since(cloud.started_at) > CATALOGUE_WAIT_S;
    return situation->leads && clock_seconds_since(cloud.catalogue_read_at) > CATALOGUE_INTERVAL_S;
}

static void read_catalogue(void) {
    if (!cloud_client_take_call(CALL_ORDINARY)) return;
    catalogue_read(cloud.settings);
    cloud.catalogue_read_at = clock_now();
}

static void read_list(void) {
    machine_list_read_page();
    cloud.list_read_at = clock_now();
}

/* Machines to return. */
struct returns {
    char ids[RETURNS_MAX][MACHINE_ID_SIZE];
    int n, n_busy; /* busy: with tasks */
};

static void plan_returns(struct returns *returns) {
    store_lock();
    returns->n = cloud.planner.plan_returns(returns->ids, RETURNS_MAX, &returns->n_busy);
    store_unlock();
}

/* Returns are few calls for many machines; they must not wait for rentals without end, and tasks that can start
 * elsewhere only once their silent machine is returned wait for nothing. */
static bool returns_first(const struct returns *returns) {
    return returns->n_busy > 0 || returns->n >= RETURNS_MANY ||
           (returns->n > 0 && clock_seconds_since(cloud.returned_at) > RETURNS_WAIT_MAX_S);
}

static void return_machines(struct returns *returns) {
    rentals_return(returns->ids, returns->n);
    cloud.returned_at = clock_now();
}

/* Opens the most pressing rental; how many are wanted. */
static int open_rental(void) {
    struct rental_request requests[RENTAL_REQUESTS_MAX];
    store_lock();
    int n_wanted = cloud.planner.plan_rentals(requests, RENTAL_REQUESTS_MAX);
    store_unlock();
    if (n_wanted > 0) rentals_open(&requests[0]);
    return n_wanted;
}

/* One call, if any is due: urgent returns, an overdue list, a rental, other returns, the list. */
static void return_rent_or_list(double list_interval_s) {
    struct returns returns;
    plan_returns(&returns);
    /* A rental plan for a whole shard is worth its time only when a call can be made. */
    if (!cloud_client_take_call(returns.n_busy > 0 ? CALL_URGENT : CALL_ORDINARY)) return;
    double list_age_s = clock_seconds_since(cloud.list_read_at);
    bool list_overdue = list_age_s > LIST_OVERDUE_INTERVALS * list_interval_s;
    bool urgent_returns = returns_first(&returns);
    int n_wanted = 0;
    if (!rentals_any_open() && !urgent_returns && !list_overdue) n_wanted = open_rental();
    if (returns.n > 0 && (urgent_returns || !(rentals_any_open() || list_overdue))) {
        return_machines(&returns);
    } else if (rentals_any_open()) {
        rentals_call();
        if (n_wanted > 1) sync_wakeup_signal(&cloud.wakeup);
    } else if (list_age_s > list_interval_s) {
        read_list();
    } else {
        cloud_client_put_call_back();
    }
}

static void *cloud_main(void *unused) {
    (void)unused;
    cloud.started_at = cloud.returned_at = clock_now();
    for (;;) {
        sync_wakeup_wait(&cloud.wakeup, clock_from_seconds(STEP_INTERVAL_S));
        struct situation situation = read_situation();
        if (catalogue_due(&situation)) {
            read_catalogue();
        } else if (situation.catalogue_known) {
            return_rent_or_list(situation.list_interval_s);
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
