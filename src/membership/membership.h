/* Who lives, who leads, who owns which share. */
#ifndef FF_MEMBERSHIP_H
#define FF_MEMBERSHIP_H
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "../store/store.h"

struct share {
    char owner[64], inc[40];
    int64_t mod_revision, fence;
    struct timespec changed;
};

void membership_init(const struct settings *s);
void membership_start(void);

/* All of these with store_lock held. */
const struct share *membership_share(int k);
bool membership_mine(int k);     /* share K is ours, and the mirror holds all that its former owner wrote */
double membership_bound(void);   /* for how many seconds a look at the store entitles to answer workers */
bool membership_verified(void);  /* recent enough to answer workers: a cancellation told elsewhere can still be kept */
bool membership_may_start(void); /* recent enough to start tasks: few can have been cancelled elsewhere since */
int membership_live(void);       /* live controllers */
int64_t membership_fence(void);  /* the counter as mirrored */
const char *membership_inc(void);
bool membership_leads(void); /* this node is the leader */

/* A controller that no longer hears the workers says so in its record; its shares go to those who may hear them. */
void membership_set_workers_lost(bool lost);
bool membership_workers_lost(void);

/* Pure: after how long a controller that has lost the workers so many times lately tries whether they are back. */
double membership_workers_retry_s(int times_lost);

/* Pure: the part of the store's changes that is due to a controller with so many shares. */
double membership_writing_part(int live, int size, int owned);

/* Pure: the share to move and where, so that the owned counts differ by one at most. -1: nothing to move. */
int membership_plan(int size, const int *owner, int nodes, int *to);
#endif
