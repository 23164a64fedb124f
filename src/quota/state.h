/* What this controller mirrors of the divided teams: the records `quota/TEAM`, and what was measured of their jobs.
 * With store_lock held. Internal to this package. */
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

    /* Measured by quota_measure_demand, in the order of the record's allotments. */
    bool measured;
    struct quota_amount used[QUOTA_SHARDS_MAX];
    struct quota_amount stopping[QUOTA_SHARDS_MAX]; /* the part of it that was told to stop */
    struct quota_targets targets;

    /* The job that capacity is reserved for; an empty id: none. */
    char reservation_holder[JOB_ID_SIZE];
    struct timespec reservation_since;
    int reservation_holder_allocated; /* its tasks, when the reservation began */
};

extern const struct settings *quota_settings;

/* Once, before the threads start. The settings stay the caller's. */
void quota_state_init(const struct settings *settings);
struct quota_team *quota_team_at(int team);  /* NULL where the team was never divided here */
struct quota_team *quota_team_for(int team); /* the same, made where our own settings divide the team */
bool quota_in_use(void);                     /* a team is divided, or our settings divide one */
#endif
