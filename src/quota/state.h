/* This controller's state of the divided teams: the records `quota/TEAM` as mirrored from the store, and the measured
 * demand of their jobs. With store_lock held. Internal to this package. */
#ifndef FF_QUOTA_STATE_H
#define FF_QUOTA_STATE_H
#include <stdbool.h>
#include <time.h>

#include "quota.h"
#include "record.h"

struct quota_team {
    int team, home_shard; /* the team's index in the settings, and its first shard */
    bool recorded;        /* the team has a valid record */
    bool unreadable;      /* the team has an invalid record: none of its tasks start */
    struct quota_record record;

    /* Filled by quota_measure_demand, in the order of the record's allotments. */
    bool measured;
    struct quota_amount used[QUOTA_SHARDS_MAX];
    struct quota_amount stopping[QUOTA_SHARDS_MAX]; /* the part of `used` that was told to stop */
    struct quota_targets targets;

    char reserved_job_id[JOB_ID_SIZE]; /* the job that capacity is reserved for; empty: none */
    struct timespec reservation_started_at;
    int reserved_job_tasks; /* how many tasks the job had when the reservation started */
};

extern const struct settings *quota_settings;

/* Called once, before the threads start. The settings stay owned by the caller. */
void quota_state_init(const struct settings *settings);
/* Returns NULL if this controller has no state of the team, which then was never divided. */
struct quota_team *quota_team_find(int team);
/* As quota_team_find, but creates the state if this controller's settings divide the team. */
struct quota_team *quota_team_find_or_create(int team);
/* Whether there is state of any team, created if this controller's settings divide the team. */
bool quota_in_use(void);
#endif
