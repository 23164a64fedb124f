/* This controller's state of the divided teams: the mirrored records `quota/TEAM`, and the measured demand of the
 * teams' jobs. Guarded by store_lock. Used inside the package only. */
#ifndef FF_QUOTA_STATE_H
#define FF_QUOTA_STATE_H
#include <stdbool.h>
#include <time.h>

#include "quota.h"
#include "record.h"

struct quota_team {
    int team, home_shard; /* the team's index in the settings, and its home shard */
    bool recorded;        /* the team has a valid record */
    bool unreadable;      /* the team has an invalid record: none of its tasks start */
    struct quota_record record;

    /* Filled by quota_measure_demand, in the order of the record's allotments. */
    bool measured;
    struct quota_amount used[QUOTA_SHARDS_MAX];
    struct quota_amount stopping[QUOTA_SHARDS_MAX]; /* the part of `used` by tasks whose stop is requested */
    struct quota_targets targets;

    char reserved_job_id[JOB_ID_SIZE]; /* the job that capacity is reserved for; empty: none */
    struct timespec reservation_started_at;
    int reserved_job_tasks; /* number of its allocated tasks when the reservation started */
};

extern const struct settings *quota_settings;

/* Called once, before the threads start. Keeps the pointer to the settings. */
void quota_state_init(const struct settings *settings);
/* Returns the team's state, or NULL if there is none, because no record of the team was read and
 * quota_team_find_or_create did not create it. */
struct quota_team *quota_team_find(int team);
/* As quota_team_find, but creates the state if this controller's settings divide the team. */
struct quota_team *quota_team_find_or_create(int team);
/* Returns whether there is state of any team or this controller's settings divide one. */
bool quota_in_use(void);
#endif
