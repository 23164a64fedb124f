#include "rate_budget.h"

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <time.h>

#include "../clock/clock.h"

/* The largest fraction of each of the store's rates that one controller uses. */
static const double max_rate_fraction = 0.8;
/* The fraction of the store's rate of changes that is divided among the controllers. */
static const double divided_change_fraction = 0.95;
/* The initial contents of the buckets, as seconds of the store's rates. */
static const double initial_fill_s = 0.3;

static const double factor_min = 0.8;
static const double factor_max = 3.0; /* for changes, the number of live controllers applies if it is higher */
static const double factor_growth_per_s = 0.08;
static const double factor_multiplier_after_rejection = 0.8;
static const double pause_after_rejection_s = 0.12;

/* The fraction of a full bucket that a priority leaves for the more urgent priorities. */
static const double reserve_fraction[STORE_PRIORITY_COUNT] = {
    [STORE_PRIORITY_LEASE] = -1e9, /* never held back */
    [STORE_PRIORITY_CANCEL] = 0,     [STORE_PRIORITY_ACCEPT] = 0.08,
    [STORE_PRIORITY_ALLOCATE] = 0.2, [STORE_PRIORITY_PROGRESS] = 0.3,
};

struct bucket {
    double tokens; /* requests or changes that may be sent now; negative if more were sent than the rate allows */
    double factor; /* multiple of its share of the rate that this controller may use */
};

static const struct settings *cfg;
static struct {
    pthread_mutex_t lock;
    struct bucket requests, changes;
    int n_live;             /* live controllers */
    double change_fraction; /* of the store's rate of changes that this controller may use */
    struct timespec refilled_at, paused_until;
    unsigned requests_sent;
} budget = {
    .lock = PTHREAD_MUTEX_INITIALIZER,
    .requests.factor = 1,
    .changes.factor = 1,
    .n_live = 1,
    .change_fraction = 1,
};

void store_budget_init(const struct settings *settings) {
    cfg = settings;
    budget.refilled_at = clock_now();
    budget.requests.tokens = settings->store_requests_per_s * initial_fill_s;
    budget.changes.tokens = settings->store_changes_per_s * initial_fill_s;
}

void store_budget_set_change_fraction(int n_live, double change_fraction) {
    pthread_mutex_lock(&budget.lock);
    budget.n_live = MAX(n_live, 1);
    budget.change_fraction = change_fraction;
    pthread_mutex_unlock(&budget.lock);
}

/* The functions below are called with the budget's lock held. */

static double request_rate(void) {
    return MIN(cfg->store_requests_per_s * max_rate_fraction,
               cfg->store_requests_per_s * budget.requests.factor / budget.n_live);
}

static double change_rate(void) {
    return MIN(cfg->store_changes_per_s * max_rate_fraction,
               cfg->store_changes_per_s * divided_change_fraction * budget.changes.factor * budget.change_fraction);
}

/* Returns the capacity of the bucket of changes. It fits a whole transaction even if this controller's share of the
 * rate is smaller, but is at most one second of the store's rate. */
static double change_capacity(void) {
    return MIN(MAX(change_rate(), cfg->txn_operations_max), cfg->store_changes_per_s);
}

static void refill(void) {
    struct timespec now = clock_now();
    double elapsed_s = clock_to_seconds(now) - clock_to_seconds(budget.refilled_at);
    budget.refilled_at = now;
    budget.requests.tokens = MIN(budget.requests.tokens + elapsed_s * request_rate(), request_rate());
    budget.changes.tokens = MIN(budget.changes.tokens + elapsed_s * change_rate(), change_capacity());
    budget.requests.factor = MIN(budget.requests.factor + elapsed_s * factor_growth_per_s, factor_max);
    /* The owner of a flood of small jobs may use all of the rate that the other controllers leave. When the factor
     * allowed only a third of that, the owner wrote 10 of the 25 allowed changes per second, and 200 machines were
     * idle while jobs waited. */
    budget.changes.factor =
        MIN(budget.changes.factor + elapsed_s * factor_growth_per_s, MAX(factor_max, budget.n_live));
}

static bool is_paused(void) { return clock_to_seconds(budget.refilled_at) < clock_to_seconds(budget.paused_until); }

static bool allows_request(enum store_priority priority) {
    return budget.requests.tokens - 1 >= reserve_fraction[priority] * request_rate();
}

/* A transaction of more than half the capacity is allowed once the tokens beyond the reserve are half the capacity. */
static bool allows_changes(enum store_priority priority, int n_changes) {
    double capacity = change_capacity();
    return n_changes == 0 ||
           budget.changes.tokens >= reserve_fraction[priority] * capacity + MIN(n_changes, capacity * 0.5);
}

/* The functions below are called without the budget's lock, except slow_down. */

bool store_budget_take(enum store_priority priority, int n_changes) {
    pthread_mutex_lock(&budget.lock);
    refill();
    bool taken = allows_request(priority) && allows_changes(priority, n_changes) &&
                 (priority == STORE_PRIORITY_LEASE || !is_paused());
    if (taken) {
        budget.requests.tokens -= 1;
        budget.changes.tokens -= n_changes;
        budget.requests_sent++;
    }
    pthread_mutex_unlock(&budget.lock);
    return taken;
}

int store_budget_available(enum store_priority priority) {
    pthread_mutex_lock(&budget.lock);
    refill();
    double available = budget.changes.tokens - reserve_fraction[priority] * change_capacity();
    bool allowed = !is_paused() && allows_request(priority);
    pthread_mutex_unlock(&budget.lock);
    return allowed && available >= 0 ? (int)available : 0;
}

static void slow_down(struct bucket *bucket) {
    bucket->factor = MAX(bucket->factor * factor_multiplier_after_rejection, factor_min);
}

/* A rejected request without changes exceeded only the rate of requests, so the rate of changes stays as it is. When
 * that rate was reduced as well, many polls left hundreds of machines idle for minutes, while only half of the rate of
 * changes was used. */
void store_budget_record_rejection(enum store_rate rate) {
    pthread_mutex_lock(&budget.lock);
    budget.paused_until = clock_now_plus(clock_from_seconds(pause_after_rejection_s));
    slow_down(&budget.requests);
    if (rate == STORE_RATE_CHANGES) slow_down(&budget.changes);
    pthread_mutex_unlock(&budget.lock);
}

double store_budget_rate_factor(enum store_rate rate) {
    pthread_mutex_lock(&budget.lock);
    double factor = rate == STORE_RATE_CHANGES ? budget.changes.factor : budget.requests.factor;
    pthread_mutex_unlock(&budget.lock);
    return factor;
}

bool store_budget_requests_scarce(void) {
    pthread_mutex_lock(&budget.lock);
    refill();
    bool scarce = budget.requests.tokens < 0.5 * request_rate();
    pthread_mutex_unlock(&budget.lock);
    return scarce;
}

unsigned store_budget_requests_sent(void) {
    pthread_mutex_lock(&budget.lock);
    unsigned sent = budget.requests_sent;
    pthread_mutex_unlock(&budget.lock);
    return sent;
}
