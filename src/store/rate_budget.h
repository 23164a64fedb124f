/* Rate budget: limits the requests and changes that this controller sends to the store.
 *
 * The store limits two rates, of requests and of changes (operations in transactions), for all controllers together.
 * Each controller keeps a token bucket for each rate, refilled at its share of the rate. Less urgent priorities leave a
 * reserve in the buckets for the more urgent priorities. Since the load is uneven, a controller may use a multiple of
 * its share: this factor grows with time, and is reduced when the store rejects a request as over the rate.
 *
 * The functions may be called from any thread, with or without store_lock; the budget has its own lock. All rates are
 * per second. */
#ifndef FF_STORE_RATE_BUDGET_H
#define FF_STORE_RATE_BUDGET_H
#include <stdbool.h>

#include "../settings/settings.h"

/* Priorities of requests, the most urgent first. Requests of the first are never held back. */
enum store_priority {
    STORE_PRIORITY_LEASE,
    STORE_PRIORITY_CANCEL,
    STORE_PRIORITY_ACCEPT,
    STORE_PRIORITY_ALLOCATE,
    STORE_PRIORITY_PROGRESS,
    STORE_PRIORITY_COUNT
};

/* The rates that the store limits. */
enum store_rate { STORE_RATE_REQUESTS, STORE_RATE_CHANGES };

/* Called once, before any other function of this file. Keeps the pointer to the settings. */
void store_budget_init(const struct settings *settings);
/* Sets the number of live controllers, by which the rate of requests is divided, and the fraction (0 to 1) of the rate
 * of changes that this controller may use. */
void store_budget_set_change_fraction(int n_live, double change_fraction);

/* Takes one request with this number of changes from the budget. Returns false, and takes nothing, if the budget
 * does not allow the request for the priority. */
bool store_budget_take(enum store_priority priority, int n_changes);
/* Records that the store has rejected a request as over this rate: reduces the factor for requests, for
 * STORE_RATE_CHANGES also that for changes, and briefly holds back all priorities but the first. */
void store_budget_record_rejection(enum store_rate rate);

/* Returns how many changes the budget currently allows for the priority. */
int store_budget_available(enum store_priority priority);
/* Returns the multiple of its share of the rate that this controller may currently use. */
double store_budget_rate_factor(enum store_rate rate);
/* Returns whether few requests are left in the budget, so that callers should combine theirs. */
bool store_budget_requests_scarce(void);
/* Returns the number of requests taken from the budget since the start. */
unsigned store_budget_requests_sent(void);
#endif
