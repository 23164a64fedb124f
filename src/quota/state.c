#include "state.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../json/json.h"
#include "../logging/logging.h"

const struct settings *quota_settings;
static struct quota_team *teams[SETTINGS_TEAMS_MAX];

struct quota_team *quota_team_find(int team) {
    return team < 0 ? NULL : teams[team];
}

static struct quota_team *find_or_create(int team) {
    if (teams[team]) return teams[team];
    struct quota_team *team_quota = g_new0(struct quota_team, 1);
    team_quota->team = team;
    team_quota->home_shard = settings_home_shard(quota_settings, team);
    team_quota->record.n_shards = 1;
    teams[team] = team_quota;
    return team_quota;
}

struct quota_team *quota_team_find_or_create(int team) {
    return teams[team] || quota_settings->teams[team].n_shards <= 1 ? teams[team] : find_or_create(team);
}

bool quota_in_use(void) {
    for (int team = 0; team < quota_settings->n_teams; team++)
        if (quota_team_find_or_create(team)) return true;
    return false;
}

static void log_allotments(const struct quota_team *team_quota) {
    const struct quota_record *record = &team_quota->record;
    GString *allotments = g_string_new("");
    for (int i = 0; i < record->n_allotments; i++) {
        g_string_append_printf(allotments, " shard %d %.0f/%.0f", record->allotments[i].shard,
                               quota_amount_units(record->allotments[i].limit, QUOTA_VCPUS),
                               quota_amount_units(record->allotments[i].limit, QUOTA_GPUS));
    }
    log_debug("quota: team %s, epoch %lld:%s, unassigned %.0f/%.0f (vcpus/gpus)",
              quota_settings->teams[team_quota->team].name, (long long)record->epoch, allotments->str,
              quota_amount_units(record->unassigned, QUOTA_VCPUS), quota_amount_units(record->unassigned, QUOTA_GPUS));
    g_string_free(allotments, TRUE);
}

static void apply_record(const char *name, const cJSON *data, int64_t mod_revision) {
    (void)mod_revision;
    int team = settings_team(quota_settings, name);
    if (team < 0) {
        log_error("quota/%s: the settings name no such team", name);
        return;
    }
    struct quota_team *team_quota = find_or_create(team);
    bool was_recorded = team_quota->recorded;
    int64_t previous_epoch = team_quota->record.epoch;
    const char *fault = NULL;
    team_quota->measured = false;
    team_quota->recorded = team_quota->unreadable = false;
    if (!data) {
        team_quota->record = (struct quota_record){.n_shards = 1};
        if (was_recorded) log_info("quota: team %s is no longer divided", name);
        return;
    }
    team_quota->recorded = quota_record_read(data, quota_settings->n_shards, &team_quota->record, &fault);
    team_quota->unreadable = !team_quota->recorded;
    if (team_quota->unreadable) {
        log_error("quota/%s: can't be read (%s), nothing of the team starts", name, fault);
        return;
    }
    if (!was_recorded || team_quota->record.epoch != previous_epoch) {
        log_info("quota: team %s is divided over %d shards, epoch %lld, limit %.0f vcpus %.0f gpus", name,
                 team_quota->record.n_shards, (long long)team_quota->record.epoch,
                 quota_amount_units(team_quota->record.limit, QUOTA_VCPUS),
                 quota_amount_units(team_quota->record.limit, QUOTA_GPUS));
    }
    log_allotments(team_quota);
}

void quota_state_init(const struct settings *settings) {
    quota_settings = settings;
    store_observe_prefix(STORE_PREFIX_QUOTA, apply_record);
}
