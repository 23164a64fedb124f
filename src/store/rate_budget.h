/* Rate budget: how many requests and changes this controller may send to the store now.
 *
 * The store bounds two rates, of requests and of changes (operations in transactions), for all controllers together.
 * Each controller keeps to its part, in a token bucket for either rate, and leaves a reserve for the more urgent
 * classes. Parts are not used evenly: each controller takes more than its own while the store does not refuse, and
 * falls back when it does.
 *
 * May be called from any thread, with or without store_lock; the budget has a lock of its own. Rates are a second. */
#ifndef FF_STORE_RATE_BUDGET_H
#define FF_STORE_RATE_BUDGET_H
#include <stdbool.h>

#include "../settings/settings.h"

/* Classes of requests, the most urgent first. The first is never held back. */
enum store_priority {
    STORE_PRIORITY_LEASE,
    STORE_PRIORITY_CANCEL,
    STORE_PRIORITY_ACCEPT,
    STORE_PRIORITY_ALLOCATE,
    STORE_PRIORITY_PROGRESS,
    STORE_PRIORITIES
};

/* What the store bounds the rate of. */
enum store_rate { STORE_RATE_REQUESTS, STORE_RATE_CHANGES };

/* Before any other function, once. The settings are kept. */
void store_budget_init(const struct settings *settings);
/* How many controllers are live, and this one's part of the changes, from 0 to 1. */
void store_budget_set_fraction(int controllers, double changes_part);

/* Takes one request with so many changes; false, and nothing taken, where the budget has too little for the class. */
bool store_budget_take(enum store_priority priority, int changes);
/* The store has refused a request as over this rate: slows down, and holds all classes but the first for a moment. */
void store_budget_refused(enum store_rate rate);

/* How many changes the budget allows to the class now. */
int store_budget_available(enum store_priority priority);
/* How many times its part of the rate this controller takes now. */
double store_budget_rate_factor(enum store_rate rate);
/* Whether requests should be gathered into fewer. */
bool store_budget_requests_scarce(void);
/* Since the start. */
unsigned store_budget_requests_sent(void);
#endif
