#include "rate_budget.h"

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <time.h>

#include "../clock/clock.h"

/* Of either rate of the store, what one controller takes at most. */
static const double rate_part_max = 0.8;
/* Of the store's rate of changes, what the controllers divide among them. */
static const double changes_shared_part = 0.95;
/* Of a second's requests or changes, what the buckets hold at the start. */
static const double initial_part = 0.3;

static const double factor_min = 0.8;
static const double factor_max = 3.0; /* of changes: the number of controllers, where that is more */
static const double factor_growth_per_s = 0.08;
static const double factor_after_refusal = 0.8; /* of what it was */
static const double pause_after_refusal_s = 0.12;

/* Of a full bucket, what a class leaves to the more urgent ones. */
static const double reserve[STORE_PRIORITIES] = {
    [STORE_PRIORITY_LEASE] = -1e9, /* never held back */
    [STORE_PRIORITY_CANCEL] = 0,     [STORE_PRIORITY_ACCEPT] = 0.08,
    [STORE_PRIORITY_ALLOCATE] = 0.2, [STORE_PRIORITY_PROGRESS] = 0.3,
};

struct bucket {
    double level;  /* requests or changes that may be sent now; below 0: owed */
    double factor; /* how many times its part of the rate this controller takes */
};

static const struct settings *cfg;
static struct {
    pthread_mutex_t lock;
    struct bucket requests, changes;
    int controllers;
    double changes_part; /* this controller's part of the changes */
    struct timespec refilled_at, blocked_until;
    unsigned requests_sent;
} budget = {
    .lock = PTHREAD_MUTEX_INITIALIZER,
    .requests.factor = 1,
    .changes.factor = 1,
    .controllers = 1,
    .changes_part = 1,
};

void store_budget_init(const struct settings *settings) {
    cfg = settings;
    budget.refilled_at = clock_now();
    budget.requests.level = settings->state_rps * initial_part;
    budget.changes.level = settings->state_write_rps * initial_part;
}

void store_budget_set_fraction(int controllers, double changes_part) {
    pthread_mutex_lock(&budget.lock);
    budget.controllers = MAX(controllers, 1);
    budget.changes_part = changes_part;
    pthread_mutex_unlock(&budget.lock);
}

/* The following with the budget's lock held. */

static double request_rate(void) {
    return MIN(cfg->state_rps * rate_part_max, cfg->state_rps * budget.requests.factor / budget.controllers);
}

static double change_rate(void) {
    return MIN(cfg->state_write_rps * rate_part_max,
               cfg->state_write_rps * changes_shared_part * budget.changes.factor * budget.changes_part);
}

/* The bucket holds a whole transaction, however small the part is. */
static double changes_capacity(void) { return MIN(MAX(change_rate(), cfg->txn_ops), cfg->state_write_rps); }

static void refill(void) {
    struct timespec now = clock_now();
    double passed_s = clock_to_seconds(now) - clock_to_seconds(budget.refilled_at);
    budget.refilled_at = now;
    budget.requests.level = MIN(budget.requests.level + passed_s * request_rate(), request_rate());
    budget.changes.level = MIN(budget.changes.level + passed_s * change_rate(), changes_capacity());
    budget.requests.factor = MIN(budget.requests.factor + passed_s * factor_growth_per_s, factor_max);
    /* An owner of a flood of small jobs may take all that the others leave: with a third of that at most it once wrote
     * ten changes a second while twenty-five were allowed, and 200 machines were idle beside what waited. */
    budget.changes.factor =
        MIN(budget.changes.factor + passed_s * factor_growth_per_s, MAX(factor_max, budget.controllers));
}

static bool blocked(void) { return clock_to_seconds(budget.refilled_at) < clock_to_seconds(budget.blocked_until); }

static bool allows_request(enum store_priority priority) {
    return budget.requests.level - 1 >= reserve[priority] * request_rate();
}

static bool allows_changes(enum store_priority priority, int changes) {
    double capacity = changes_capacity();
    return changes == 0 || budget.changes.level >= reserve[priority] * capacity + MIN(changes, capacity * 0.5);
}

/* Without the budget's lock from here. */

bool store_budget_take(enum store_priority priority, int changes) {
    pthread_mutex_lock(&budget.lock);
    refill();
    bool taken = allows_request(priority) && allows_changes(priority, changes) &&
                 (priority == STORE_PRIORITY_LEASE || !blocked());
    if (taken) {
        budget.requests.level -= 1;
        budget.changes.level -= changes;
        budget.requests_sent++;
    }
    pthread_mutex_unlock(&budget.lock);
    return taken;
}

int store_budget_available(enum store_priority priority) {
    pthread_mutex_lock(&budget.lock);
    refill();
    double room = budget.changes.level - reserve[priority] * changes_capacity();
    bool open = !blocked() && allows_request(priority);
    pthread_mutex_unlock(&budget.lock);
    return open && room >= 0 ? (int)room : 0;
}

static void slow_down(struct bucket *bucket) {
    bucket->factor = MAX(bucket->factor * factor_after_refusal, factor_min);
}

/* A request without changes was over the rate of requests only: with many polls, slowing the changes down for it once
 * left hundreds of machines idle for minutes, while the rate of changes was half used. */
void store_budget_refused(enum store_rate rate) {
    pthread_mutex_lock(&budget.lock);
    budget.blocked_until = clock_now_plus(clock_from_seconds(pause_after_refusal_s));
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
    bool scarce = budget.requests.level < 0.5 * request_rate();
    pthread_mutex_unlock(&budget.lock);
    return scarce;
}

unsigned store_budget_requests_sent(void) {
    pthread_mutex_lock(&budget.lock);
    unsigned sent = budget.requests_sent;
    pthread_mutex_unlock(&budget.lock);
    return sent;
}
