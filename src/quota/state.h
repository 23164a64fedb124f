/* What this controller mirrors of the divided teams: their records, and every controller's view of them. With
 * store_lock held. Internal to this slice. */
#ifndef FF_QUOTA_STATE_H
#define FF_QUOTA_STATE_H
#include <stdbool.h>
#include <time.h>

#include "quota.h"
#include "record.h"

struct quota_team {
    int team, home; /* index in the settings; its first shard */
    bool recorded;  /* there is a record, and it can be read */
    bool damaged;   /* there is one that can't be read: nothing starts */
    struct quota_record record;
    /* As of the last look at its jobs. */
    struct quota_amount used[QUOTA_SHARES_MAX];     /* in the order of the record's parts */
    struct quota_amount stopping[QUOTA_SHARES_MAX]; /* part of it that was told to end */
    struct quota_targets targets;
    bool looked;
    char reservation_holder[64]; /* the job that room is held back for; empty: none */
    struct timespec reservation_since;
    int reservation_holder_allocated;
};

extern const struct settings *quota_settings;

struct quota_team *quota_team_at(int team);  /* NULL where the team was never divided here */
struct quota_team *quota_team_for(int team); /* the same, made where our own settings divide the team */
bool quota_in_use(void);                     /* a team is divided, or our settings divide one */
void quota_state_init(const struct settings *s);
/* What this controller's own settings say. */
struct quota_view quota_view_own(int team);
/* What all controllers of the settings agree on: the lowest limit and guarantee of all views, and the number of shards,
 * 0 while they differ. False while one of them has not recorded its view. */
bool quota_view_agreed(int team, struct quota_view *out);
/* The lowest limit that any known view names. */
struct quota_amount quota_view_least_limit(int team);
#endif
