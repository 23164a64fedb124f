#include "views.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "../logging/logging.h"
#include "../store/keys.h"
#include "record.h"

/* The views that one controller has recorded. */
struct node_views {
    bool recorded;
    struct quota_view by_team[SETTINGS_TEAMS_MAX];
};
static struct node_views *views; /* of this controller, then of the peers in the order of the settings */
static char *own_record_text;    /* this controller's record in the store, as JSON; NULL: none */

/* Returns the index of the node in `views`, or -1 if the settings name no such node. */
static int node_index(const char *node) {
    if (strcmp(node, quota_settings->node) == 0) return 0;
    for (int i = 0; i < quota_settings->n_peers; i++)
        if (strcmp(node, quota_settings->peers[i].node) == 0) return i + 1;
    return -1;
}

static void apply_view(const char *node, const cJSON *data, int64_t mod_revision) {
    (void)mod_revision;
    int index = node_index(node);
    if (index < 0) return;
    views[index].recorded = data != NULL;
    for (int team = 0; team < quota_settings->n_teams; team++)
        quota_view_read(data, quota_settings->teams[team].name, &views[index].by_team[team]);
    if (index > 0) return;
    free(own_record_text);
    own_record_text = data ? cJSON_PrintUnformatted(data) : NULL;
}

struct quota_view quota_view_own(int team) {
    const struct settings_team *team_settings = &quota_settings->teams[team];
    return (struct quota_view){
        .n_shards = MIN(team_settings->n_shards, MIN(quota_settings->n_shards, QUOTA_SHARDS_MAX)),
        .limit = quota_amount_rounded_down(team_settings->cpus_max, team_settings->gpus_max),
        .guarantee = quota_amount_rounded_down(team_settings->guaranteed_cpus, team_settings->guaranteed_gpus)};
}

/* Returns the lower of two limits in each dimension; 0 means no limit. */
static struct quota_amount lower_limit(struct quota_amount left, struct quota_amount right) {
    for (int dimension = 0; dimension < QUOTA_DIMENSIONS; dimension++) {
        if (left.thousandths[dimension] == 0 ||
            (right.thousandths[dimension] > 0 && right.thousandths[dimension] < left.thousandths[dimension]))
            left.thousandths[dimension] = right.thousandths[dimension];
    }
    return left;
}

bool quota_view_agreed(int team, struct quota_view *out) {
    *out = quota_view_own(team);
    bool same_n_shards = true;
    for (int node = 0; node <= quota_settings->n_peers; node++) {
        const struct quota_view *view = &views[node].by_team[team];
        if (!views[node].recorded || view->n_shards == 0) return false;
        same_n_shards &= view->n_shards == out->n_shards;
        out->limit = lower_limit(out->limit, view->limit);
        out->guarantee = quota_amount_min(out->guarantee, view->guarantee);
    }
    if (!same_n_shards) out->n_shards = 0;
    return true;
}

struct quota_amount quota_view_lowest_limit(int team) {
    struct quota_amount lowest = quota_view_own(team).limit;
    for (int node = 1; node <= quota_settings->n_peers; node++)
        if (views[node].by_team[team].n_shards > 0) lowest = lower_limit(lowest, views[node].by_team[team].limit);
    return lowest;
}

/* Returns this controller's views, of each team that its settings divide or that is already divided, as JSON. */
static cJSON *own_views(void) {
    cJSON *views_value = cJSON_CreateObject();
    for (int team = 0; team < quota_settings->n_teams; team++) {
        const struct quota_view own = quota_view_own(team);
        const struct quota_team *known = quota_team_find(team);
        bool divided = known && (known->recorded || known->unreadable);
        if (own.n_shards > 1 || divided) quota_view_add(views_value, quota_settings->teams[team].name, &own);
    }
    return views_value;
}

/* Returns whether this controller's record holds these views. A missing record counts as one without views. */
static bool is_recorded(const cJSON *views_value) {
    if (!own_record_text) return cJSON_GetArraySize(views_value) == 0;
    char *text = cJSON_PrintUnformatted(views_value);
    bool same = strcmp(own_record_text, text) == 0;
    free(text);
    return same;
}

bool quota_publish_views(struct store_txn *txn) {
    cJSON *value = own_views();
    if (is_recorded(value)) {
        cJSON_Delete(value);
        return false;
    }
    struct store_key key = store_key_quota_view(quota_settings->node);
    store_txn_compare(txn, key.text, store_key_revision(key.text));
    store_txn_put(txn, key.text, value, 0);
    log_info("quota: recording the divided teams of this controller's settings");
    return true;
}

void quota_views_init(void) {
    views = g_new0(struct node_views, (gsize)quota_settings->n_peers + 1);
    store_observe_prefix(STORE_PREFIX_QUOTA_VIEW, apply_view);
}
