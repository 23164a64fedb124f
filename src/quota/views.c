#include "views.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "../logging/logging.h"
#include "../store/keys.h"
#include "record.h"

/* A controller's views, of the teams that it names. */
struct node_views {
    bool recorded;
    struct quota_view of[SETTINGS_TEAMS];
};
static struct node_views *views; /* ours, then those of the seeds */
static char *own_text;           /* our record as it stands; NULL: none */

static int node_index(const char *node) {
    if (strcmp(node, quota_settings->node) == 0) return 0;
    for (int i = 0; i < quota_settings->n_seeds; i++)
        if (strcmp(node, quota_settings->seeds[i].node) == 0) return i + 1;
    return -1;
}

static void apply_view(const char *node, const cJSON *data, int64_t mod_revision) {
    (void)mod_revision;
    int index = node_index(node);
    if (index < 0) return;
    views[index].recorded = data != NULL;
    for (int team = 0; team < quota_settings->n_teams; team++)
        quota_view_read(data, quota_settings->teams[team].name, &views[index].of[team]);
    if (index > 0) return;
    free(own_text);
    own_text = data ? cJSON_PrintUnformatted(data) : NULL;
}

struct quota_view quota_view_own(int team) {
    const struct settings_team *team_settings = &quota_settings->teams[team];
    return (struct quota_view){.shards = MIN(team_settings->shards, MIN(quota_settings->size, QUOTA_SHARDS_MAX)),
                               .limit = quota_amount_granted(team_settings->cpus_max, team_settings->gpus_max),
                               .guarantee = quota_amount_granted(team_settings->cpus, team_settings->gpus)};
}

/* The lower of two limits; 0 stands for none. */
static struct quota_amount lower_limit(struct quota_amount left, struct quota_amount right) {
    for (int dimension = 0; dimension < QUOTA_DIMENSIONS; dimension++) {
        if (left.of[dimension] == 0 || (right.of[dimension] > 0 && right.of[dimension] < left.of[dimension]))
            left.of[dimension] = right.of[dimension];
    }
    return left;
}

bool quota_view_agreed(int team, struct quota_view *out) {
    *out = quota_view_own(team);
    bool same = true;
    for (int n = 0; n <= quota_settings->n_seeds; n++) {
        const struct quota_view *view = &views[n].of[team];
        if (!views[n].recorded || view->shards == 0) return false;
        same &= view->shards == out->shards;
        out->limit = lower_limit(out->limit, view->limit);
        out->guarantee = quota_amount_least(out->guarantee, view->guarantee);
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
    cJSON *list = cJSON_CreateObject();
    for (int team = 0; team < quota_settings->n_teams; team++) {
        const struct quota_view own = quota_view_own(team);
        const struct quota_team *known = quota_team_at(team);
        bool divided = known && (known->recorded || known->damaged);
        if (own.shards > 1 || divided) quota_view_add(list, quota_settings->teams[team].name, &own);
    }
    return list;
}

/* Whether the record says the same already; without a record, whether there is nothing to say. */
static bool is_recorded(const cJSON *views_value) {
    if (!own_text) return cJSON_GetArraySize(views_value) == 0;
    char *text = cJSON_PrintUnformatted(views_value);
    bool same = strcmp(own_text, text) == 0;
    free(text);
    return same;
}

bool quota_announce(struct store_txn *txn) {
    cJSON *value = own_views();
    if (is_recorded(value)) {
        cJSON_Delete(value);
        return false;
    }
    struct store_key key = store_key_quota_view(quota_settings->node);
    store_txn_compare(txn, key.text, store_key_revision(key.text));
    store_txn_put(txn, key.text, value, 0);
    log_info("quota: recording what our settings say of divided teams");
    return true;
}

void quota_views_init(void) {
    views = g_new0(struct node_views, (gsize)quota_settings->n_seeds + 1);
    store_observe_prefix(STORE_PREFIX_QUOTA_VIEW, apply_view);
}
