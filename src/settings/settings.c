#include "settings.h"

#include <string.h>

#include "reader.h"

/* Returns the file's text, which the caller frees. If the file cannot be read, sets *error and returns NULL. */
static char *read_file(const char *path, GError **error) {
    char *text = NULL;
    if (!g_file_get_contents(path, &text, NULL, NULL))
        g_set_error(error, SETTINGS_ERROR, SETTINGS_ERROR_UNREADABLE, "%s: cannot be read", path);
    return text;
}

static bool load_platform(const char *path, struct settings *out, GError **error) {
    g_autofree char *text = read_file(path, error);
    return text && settings_parse(text, path, out, error);
}

static bool load_tuning(const char *path, struct settings *out, GError **error) {
    if (!path) return true;
    g_autofree char *text = read_file(path, error);
    return text && settings_parse_tuning(text, path, &out->tuning, error);
}

static bool load_quota(const char *path, struct settings *out, GError **error) {
    if (!path) return true;
    g_autofree char *text = read_file(path, error);
    return text && settings_parse_quota(text, path, out, error);
}

bool settings_load(const char *path, struct settings *out, GError **error) {
    return load_platform(path, out, error) && load_tuning(g_getenv("FIELDFIELD_TUNING"), out, error) &&
           load_quota(g_getenv("FIELDFIELD_QUOTA"), out, error);
}

int settings_home_shard(const struct settings *settings, int team) { return team % settings->n_shards; }

int settings_zone(const struct settings *settings, const char *name) {
    for (int i = 0; i < settings->n_zones; i++)
        if (strcmp(settings->zones[i], name) == 0) return i;
    return -1;
}

int settings_team(const struct settings *settings, const char *name) {
    for (int i = 0; i < settings->n_teams; i++)
        if (strcmp(settings->teams[i].name, name) == 0) return i;
    return -1;
}

/* Returns whether the objective is of this kind and applies to the class. One without a class applies to all. */
static bool applies_to(const struct settings_objective *objective, enum settings_objective_kind kind,
                       const char *job_class) {
    if (objective->kind != kind) return false;
    return !objective->job_class[0] || strcmp(objective->job_class, job_class ? job_class : "") == 0;
}

double settings_shortest_objective_s(const struct settings *settings, enum settings_objective_kind kind,
                                     const char *job_class, double default_s) {
    double shortest_s = -1;
    for (int i = 0; i < settings->n_objectives; i++) {
        const struct settings_objective *objective = &settings->objectives[i];
        if (!applies_to(objective, kind, job_class)) continue;
        if (shortest_s < 0 || objective->within_s < shortest_s) shortest_s = objective->within_s;
    }
    return shortest_s < 0 ? default_s : shortest_s;
}

bool settings_has_objective(const struct settings *settings, enum settings_objective_kind kind, const char *job_class) {
    for (int i = 0; i < settings->n_objectives; i++) {
        const struct settings_objective *objective = &settings->objectives[i];
        if (objective->kind == kind && strcmp(objective->job_class, job_class) == 0) return true;
    }
    return false;
}

void settings_clear(struct settings *settings) {
    char *const texts[] = {settings->node,           settings->zone,
                           settings->listen_address, settings->peer_listen_address,
                           settings->cloud_address,  settings->store_address};
    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) g_free(texts[i]);
    for (int i = 0; i < settings->n_peers; i++) {
        g_free(settings->peers[i].node);
        g_free(settings->peers[i].zone);
        g_free(settings->peers[i].address);
    }
    for (int i = 0; i < settings->n_objectives; i++) g_free(settings->objectives[i].job_class);
    for (int i = 0; i < settings->n_zones; i++) g_free(settings->zones[i]);
    for (int i = 0; i < settings->n_teams; i++) g_free(settings->teams[i].name);
    memset(settings, 0, sizeof *settings);
}
