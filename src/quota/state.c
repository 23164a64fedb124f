#include "state.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../json/json.h"
#include "../logging/logging.h"

#define VIEW_PREFIX "quota-view/"

const struct settings *quota_settings;
static struct quota_team *teams[SETTINGS_TEAMS];

/* A controller's views, of the teams that it names. */
struct node_views {
    bool recorded;
    struct quota_view of[SETTINGS_TEAMS];
};
static struct node_views *views; /* ours, then those of the seeds */
static char *own_text;           /* our record as it stands; NULL: none */

struct quota_team *quota_team_at(int team) {
    return team < 0 ? NULL : teams[team];
}

static struct quota_team *team_here(int team) {
    if (teams[team]) return teams[team];
    struct quota_team *t = g_new0(struct quota_team, 1);
    t->team = team;
    t->home = team % quota_settings->size;
    t->record.shards = 1;
    teams[team] = t;
    return t;
}

struct quota_team *quota_team_for(int team) {
    return teams[team] || quota_settings->teams[team].shards <= 1 ? teams[team] : team_here(team);
}

bool quota_in_use(void) {
    for (int team = 0; team < quota_settings->n_teams; team++)
        if (quota_team_for(team)) return true;
    return false;
}

static void tell(const struct quota_team *t) {
    const struct quota_record *r = &t->record;
    GString *allotments = g_string_new("");
    for (int i = 0; i < r->n_allotments; i++)
        g_string_append_printf(allotments, " shard %d %.0f/%.0f", r->allotments[i].shard,
                               (double)r->allotments[i].limit.of[QUOTA_VCPUS] / QUOTA_UNIT,
                               (double)r->allotments[i].limit.of[QUOTA_GPUS] / QUOTA_UNIT);
    log_debug("quota: team %s, epoch %lld:%s, unassigned %.0f/%.0f (vcpus/gpus)", quota_settings->teams[t->team].name,
              (long long)r->epoch, allotments->str, (double)r->unassigned.of[QUOTA_VCPUS] / QUOTA_UNIT,
              (double)r->unassigned.of[QUOTA_GPUS] / QUOTA_UNIT);
    g_string_free(allotments, TRUE);
}

static void apply_record(const char *name, const cJSON *data, int64_t mod_revision) {
    (void)mod_revision;
    int team = settings_team(quota_settings, name);
    if (team < 0) {
        log_error("quota/%s: the settings name no such team", name);
        return;
    }
    struct quota_team *t = team_here(team);
    bool was = t->recorded;
    int64_t epoch = t->record.epoch;
    const char *fault = NULL;
    t->looked = false;
    t->recorded = t->damaged = false;
    if (!data) {
        t->record = (struct quota_record){.shards = 1};
        if (was) log_info("quota: team %s is undivided", name);
        return;
    }
    t->recorded = quota_record_read(data, quota_settings->size, &t->record, &fault);
    t->damaged = !t->recorded;
    if (t->damaged) {
        log_error("quota/%s: can't be read (%s), nothing of the team starts", name, fault);
        return;
    }
    if (!was || t->record.epoch != epoch)
        log_info("quota: team %s is divided over %d shards, epoch %lld, limit %.0f vcpus %.0f gpus", name,
                 t->record.shards, (long long)t->record.epoch, (double)t->record.limit.of[QUOTA_VCPUS] / QUOTA_UNIT,
                 (double)t->record.limit.of[QUOTA_GPUS] / QUOTA_UNIT);
    tell(t);
}

static int node_index(const char *node) {
    if (strcmp(node, quota_settings->node) == 0) return 0;
    for (int i = 0; i < quota_settings->n_seeds; i++)
        if (strcmp(node, quota_settings->seeds[i].node) == 0) return i + 1;
    return -1;
}

static void apply_view(const char *node, const cJSON *data, int64_t mod_revision) {
    (void)mod_revision;
    int n = node_index(node);
    if (n < 0) return;
    views[n].recorded = data != NULL;
    for (int team = 0; team < quota_settings->n_teams; team++)
        quota_view_read(data, quota_settings->teams[team].name, &views[n].of[team]);
    if (n > 0) return;
    free(own_text);
    own_text = data ? cJSON_PrintUnformatted(data) : NULL;
}

struct quota_view quota_view_own(int team) {
    const struct settings_team *t = &quota_settings->teams[team];
    return (struct quota_view){.shards = MIN(t->shards, MIN(quota_settings->size, QUOTA_SHARES_MAX)),
                               .limit = quota_amount_granted(t->cpus_max, t->gpus_max),
                               .guarantee = quota_amount_granted(t->cpus, t->gpus)};
}

/* The lower of two limits; 0 stands for none. */
static struct quota_amount lower_limit(struct quota_amount a, struct quota_amount b) {
    for (int d = 0; d < QUOTA_DIMENSIONS; d++)
        if (a.of[d] == 0 || (b.of[d] > 0 && b.of[d] < a.of[d])) a.of[d] = b.of[d];
    return a;
}

bool quota_view_agreed(int team, struct quota_view *out) {
    *out = quota_view_own(team);
    bool same = true;
    for (int n = 0; n <= quota_settings->n_seeds; n++) {
        const struct quota_view *v = &views[n].of[team];
        if (!views[n].recorded || v->shards == 0) return false;
        same &= v->shards == out->shards;
        out->limit = lower_limit(out->limit, v->limit);
        out->guarantee = quota_amount_least(out->guarantee, v->guarantee);
    }
    if (!same) out->shards = 0;
    return true;
}

struct quota_amount quota_view_least_limit(int team) {
    struct quota_amount least = quota_view_own(team).limit;
    for (int n = 1; n <= quota_settings->n_seeds; n++)
        if (views[n].of[team].shards > 0) least = lower_limit(least, views[n].of[team].limit);
    return least;
}

/* A team is in our view where our settings divide it, or where it is divided already. */
static cJSON *own_views(void) {
    cJSON *o = cJSON_CreateObject();
    for (int team = 0; team < quota_settings->n_teams; team++) {
        const struct quota_view own = quota_view_own(team);
        bool divided = teams[team] && (teams[team]->recorded || teams[team]->damaged);
        if (own.shards > 1 || divided) quota_view_add(o, quota_settings->teams[team].name, &own);
    }
    return o;
}

bool quota_announce(struct store_txn *t) {
    cJSON *value = own_views();
    char *text = cJSON_PrintUnformatted(value), key[96];
    bool silent = !own_text && cJSON_GetArraySize(value) == 0, same = own_text && strcmp(own_text, text) == 0;
    free(text);
    if (silent || same) {
        cJSON_Delete(value);
        return false;
    }
    snprintf(key, sizeof key, VIEW_PREFIX "%s", quota_settings->node);
    store_txn_compare(t, key, store_key_revision(key));
    store_txn_put(t, key, value, 0);
    log_info("quota: recording what our settings say of divided teams");
    return true;
}

void quota_state_init(const struct settings *s) {
    quota_settings = s;
    views = g_new0(struct node_views, (gsize)s->n_seeds + 1);
    store_observe_prefix(STORE_PREFIX_QUOTA, apply_record);
    store_observe_prefix(VIEW_PREFIX, apply_view);
}
