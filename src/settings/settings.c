#include "settings.h"

#include <glib.h>
#include <libconfig.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "../clock/clock.h"
#include "../json/json.h"
#include "reader.h"

static const struct settings_tuning tuning_defaults = {
    .reception = 0.5,
    .admission = 0.8,
    .margin = 1.5,
    .window = 6,
    .drain_reopen = {60, 0},
    .silent_return = {8, 0},
    .node_lease = {2, 500000000},
    .watch_gap = {0, 80000000},
    .machines_per_shard = 5000, /* one team may hold nearly all of a fleet, with room for one twice as large */
    .dear_backlog = 1.5,
};

void settings_fail(struct reader *r, const char *field, const char *what) {
    if (r->ok) snprintf(r->err, r->errlen, "%s: %s: %s", r->file, field, what);
    r->ok = false;
}

static char *need_str(struct reader *r, const cJSON *o, const char *at, const char *name) {
    const char *v = json_get_string(o, name);
    char field[128];
    snprintf(field, sizeof field, "%s%s", at, name);
    if (!v || !*v) settings_fail(r, field, "a non-empty string is needed");
    return g_strdup(v ? v : "");
}

static double need_num(struct reader *r, const cJSON *o, const char *at, const char *name, double least, double most) {
    double v = json_get_double(o, name, -1);
    char field[128];
    snprintf(field, sizeof field, "%s%s", at, name);
    if (!(v >= least && v <= most)) settings_fail(r, field, "missing or out of range");
    return v;
}

static void check_address(struct reader *r, const char *field, const char *v) {
    const char *colon = strrchr(v, ':');
    if (!colon || colon == v || g_ascii_strtoll(colon + 1, NULL, 10) < 1 ||
        g_ascii_strtoll(colon + 1, NULL, 10) > 65535)
        settings_fail(r, field, "not of the form address:port");
}

static void read_teams(struct reader *r, const cJSON *list, struct settings *s) {
    const cJSON *t;
    if (!cJSON_IsArray(list) || cJSON_GetArraySize(list) < 1 || cJSON_GetArraySize(list) > SETTINGS_TEAMS) {
        settings_fail(r, "settings.teams", "a list of 1 to 256 teams is needed");
        return;
    }
    cJSON_ArrayForEach(t, list) {
        struct settings_team *x = &s->teams[s->n_teams++];
        x->name = need_str(r, t, "settings.teams.", "name");
        x->shards = 1;
        x->cpus = need_num(r, t, "settings.teams.", "cpus", 0, 1e9);
        x->cpus_max = need_num(r, t, "settings.teams.", "cpus_max", 0, 1e9);
        x->gpus = need_num(r, t, "settings.teams.", "gpus", 0, 1e9);
        x->gpus_max = need_num(r, t, "settings.teams.", "gpus_max", 0, 1e9);
        if (x->gpus_max > 0 && x->gpus > x->gpus_max) settings_fail(r, "settings.teams.gpus", "above gpus_max");
        if (x->cpus_max > 0 && x->cpus > x->cpus_max) settings_fail(r, "settings.teams.cpus", "above cpus_max");
        for (int i = 0; i + 1 < s->n_teams; i++)
            if (strcmp(s->teams[i].name, x->name) == 0)
                settings_fail(r, "settings.teams.name", "a team is named twice");
    }
}

/* A limit of `state.next`, which may be left out; the smaller of it and the present one. */
static double next_limit(struct reader *r, const cJSON *next, const char *name, double least, double present) {
    const cJSON *given = cJSON_GetObjectItemCaseSensitive(next, name);
    if (!given || cJSON_IsNull(given)) return present;
    return MIN(present, need_num(r, next, "settings.state.next.", name, least, 1e6));
}

static void read_state_limits(struct reader *r, const cJSON *state, struct settings *s) {
    s->state_rps = need_num(r, state, "settings.state.", "rps", 1, 1e6);
    s->state_write_rps = need_num(r, state, "settings.state.", "write_rps", 1, 1e6);
    s->value_kb = need_num(r, state, "settings.state.", "value_kb", 1, 1e6);
    s->txn_ops = (int)need_num(r, state, "settings.state.", "txn_ops", 2, 10000);
    const cJSON *next = cJSON_GetObjectItemCaseSensitive(state, "next");
    if (next && !cJSON_IsNull(next) && !cJSON_IsObject(next))
        settings_fail(r, "settings.state.next", "an object is needed");
    s->state_rps = next_limit(r, next, "rps", 1, s->state_rps);
    s->state_write_rps = next_limit(r, next, "write_rps", 1, s->state_write_rps);
    s->next_value_kb = next_limit(r, next, "value_kb", 1, s->value_kb);
    s->txn_ops = (int)next_limit(r, next, "txn_ops", 2, s->txn_ops);
}

bool settings_parse(const char *json, const char *name, struct settings *s, char *err, size_t errlen) {
    struct reader r = {name, err, errlen, true};
    memset(s, 0, sizeof *s);
    s->tuning = tuning_defaults;
    s->quota = settings_quota_defaults;
    cJSON *root = cJSON_Parse(json);
    if (!cJSON_IsObject(root)) {
        settings_fail(&r, "(whole file)", "not a JSON object");
        cJSON_Delete(root);
        return false;
    }
    s->node = need_str(&r, root, "", "node");
    s->area = need_str(&r, root, "", "area");
    s->bind = need_str(&r, root, "", "bind");
    s->cluster_listen = need_str(&r, root, "", "cluster_listen");
    check_address(&r, "bind", s->bind);
    check_address(&r, "cluster_listen", s->cluster_listen);
    const cJSON *services = cJSON_GetObjectItemCaseSensitive(root, "services");
    s->cloud = need_str(&r, services, "services.", "cloud");
    s->state = need_str(&r, services, "services.", "state");
    check_address(&r, "services.cloud", s->cloud);
    check_address(&r, "services.state", s->state);
    const cJSON *seeds = cJSON_GetObjectItemCaseSensitive(root, "seeds"), *x;
    if (seeds && (!cJSON_IsArray(seeds) || cJSON_GetArraySize(seeds) > SETTINGS_SEEDS))
        settings_fail(&r, "seeds", "not a list of at most 16");
    if (r.ok) cJSON_ArrayForEach(x, seeds) {
            struct settings_seed *d = &s->seeds[s->n_seeds++];
            d->node = need_str(&r, x, "seeds.", "node");
            d->area = need_str(&r, x, "seeds.", "area");
            d->address = need_str(&r, x, "seeds.", "address");
            check_address(&r, "seeds.address", d->address);
            if (strcmp(d->node, s->node) == 0) settings_fail(&r, "seeds.node", "names this node itself");
        }
    const cJSON *p = cJSON_GetObjectItemCaseSensitive(root, "settings");
    if (!cJSON_IsObject(p)) settings_fail(&r, "settings", "an object is needed");
    s->size = (int)need_num(&r, p, "settings.", "size", 1, 64);
    const cJSON *zones = cJSON_GetObjectItemCaseSensitive(p, "zones");
    if (!cJSON_IsArray(zones) || cJSON_GetArraySize(zones) > SETTINGS_ZONES)
        settings_fail(&r, "settings.zones", "a list of at most 32 is needed");
    if (r.ok) cJSON_ArrayForEach(x, zones) {
            if (!cJSON_IsString(x))
                settings_fail(&r, "settings.zones", "not a list of names");
            else
                s->zones[s->n_zones++] = g_strdup(x->valuestring);
        }
    read_teams(&r, cJSON_GetObjectItemCaseSensitive(p, "teams"), s);
    /* Aims of kinds not known here are passed over: new ones may be added. */
    cJSON_ArrayForEach(x, cJSON_GetObjectItemCaseSensitive(p, "objectives")) {
        static const char *const kinds[] = {"wait", "finished", "guarantee", "deadline"};
        const char *kind = json_get_string(x, "kind"), *cls = json_get_string(x, "class");
        for (int i = 0; i < (int)G_N_ELEMENTS(kinds) && kind; i++)
            if (strcmp(kind, kinds[i]) == 0 && s->n_objectives < SETTINGS_OBJECTIVES)
                s->objectives[s->n_objectives++] =
                    (struct settings_objective){(enum settings_aim)i, g_strdup(cls ? cls : ""),
                                                json_get_double(x, "within_s", 60), json_get_double(x, "share", 1)};
    }
    const cJSON *w = cJSON_GetObjectItemCaseSensitive(p, "workers");
    s->heartbeat_interval = clock_from_seconds(need_num(&r, w, "settings.workers.", "report_s", 0.01, 3600));
    s->lease = clock_from_seconds(need_num(&r, w, "settings.workers.", "lease_s", 0.1, 86400));
    s->gang_wait = clock_from_seconds(need_num(&r, w, "settings.workers.", "gang_wait_s", 0, 86400));
    s->gang_peer = clock_from_seconds(need_num(&r, w, "settings.workers.", "gang_peer_s", 0, 86400));
    s->cancel = clock_from_seconds(need_num(&r, w, "settings.workers.", "cancel_s", 0.1, 86400));
    if (r.ok && clock_to_seconds(s->cancel) <= clock_to_seconds(s->lease))
        settings_fail(&r, "settings.workers.cancel_s", "must be above lease_s");
    read_state_limits(&r, cJSON_GetObjectItemCaseSensitive(p, "state"), s);
    const cJSON *c = cJSON_GetObjectItemCaseSensitive(p, "cloud");
    s->cloud_rps = need_num(&r, c, "settings.cloud.", "rps", 0.01, 1e6);
    s->list_lag = clock_from_seconds(need_num(&r, c, "settings.cloud.", "list_lag_s", 0, 3600));
    const cJSON *l = cJSON_GetObjectItemCaseSensitive(p, "machine_limits");
    s->sockets = (int)json_get_double(l, "sockets", 1000);
    if (s->sockets < 64) settings_fail(&r, "settings.machine_limits.sockets", "below 64");
    cJSON_Delete(root);
    return r.ok;
}

/* One row a setting: its name, bounds, and where it goes. */
struct tuning_field {
    const char *name;
    double least, most;
    size_t offset;
    bool span;
};
#define FIELD(name, member, lo, hi, sp) \
    { name, lo, hi, offsetof(struct settings_tuning, member), sp }
static const struct tuning_field tuning_fields[] = {
    FIELD("reception", reception, 0, 1, false),
    FIELD("admission", admission, 0.05, 1.01, false),
    FIELD("margin", margin, 0.5, 20, false),
    FIELD("window", window, 1, 60, false),
    FIELD("drain_reopen", drain_reopen, 5, 3600, true),
    FIELD("silent_return", silent_return, 2, 3600, true),
    FIELD("node_lease", node_lease, 1, 60, true),
    FIELD("watch_gap", watch_gap, 0, 5, true),
    FIELD("machines_per_share", machines_per_shard, 1, 10000, false),
    FIELD("dear_backlog", dear_backlog, 0, 100, false),
};

/* HCL's `name = value` lines, read by libconfig: no HCL reader is packaged for C, and this is its nearest kin. */
bool settings_read_hcl(struct reader *r, config_t *c, const char *hcl) {
    config_set_options(c, CONFIG_OPTION_AUTOCONVERT);
    if (config_read_string(c, hcl)) return true;
    char at[32];
    snprintf(at, sizeof at, "line %d", config_error_line(c));
    settings_fail(r, at, config_error_text(c));
    config_destroy(c);
    return false;
}

bool settings_parse_tuning(const char *hcl, const char *name, struct settings_tuning *out, char *err, size_t errlen) {
    struct reader r = {name, err, errlen, true};
    config_t c;
    *out = tuning_defaults;
    config_init(&c);
    if (!settings_read_hcl(&r, &c, hcl)) return false;
    config_setting_t *top = config_root_setting(&c);
    for (int n = 0; n < config_setting_length(top) && r.ok; n++) {
        config_setting_t *o = config_setting_get_elem(top, (unsigned)n);
        const struct tuning_field *k = NULL;
        for (size_t i = 0; i < G_N_ELEMENTS(tuning_fields); i++)
            if (strcmp(tuning_fields[i].name, config_setting_name(o)) == 0) k = &tuning_fields[i];
        bool number = config_setting_is_number(o);
        double v = number ? config_setting_get_float(o) : 0;
        if (!k)
            settings_fail(&r, config_setting_name(o), "no such setting");
        else if (!number || !(v >= k->least && v <= k->most))
            settings_fail(&r, k->name, "not a number within its bounds");
        else if (k->span)
            *(struct timespec *)(void *)((char *)out + k->offset) = clock_from_seconds(v);
        else
            *(double *)(void *)((char *)out + k->offset) = v;
    }
    config_destroy(&c);
    return r.ok;
}

static char *read_file(const char *path, char *err, size_t errlen) {
    char *text = NULL;
    if (!g_file_get_contents(path, &text, NULL, NULL)) snprintf(err, errlen, "%s: cannot be read", path);
    return text;
}

bool settings_load(const char *path, struct settings *s, char *err, size_t errlen) {
    const char *tuning = g_getenv("FIELDFIELD_TUNING"), *quota = g_getenv("FIELDFIELD_QUOTA");
    char *text = read_file(path, err, errlen);
    bool ok = text && settings_parse(text, path, s, err, errlen);
    g_free(text);
    if (ok && tuning) {
        text = read_file(tuning, err, errlen);
        ok = text && settings_parse_tuning(text, tuning, &s->tuning, err, errlen);
        g_free(text);
    }
    if (ok && quota) {
        text = read_file(quota, err, errlen);
        ok = text && settings_parse_quota(text, quota, s, err, errlen);
        g_free(text);
    }
    return ok;
}

int settings_zone(const struct settings *s, const char *name) {
    for (int i = 0; i < s->n_zones; i++)
        if (strcmp(s->zones[i], name) == 0) return i;
    return -1;
}

int settings_team(const struct settings *s, const char *name) {
    for (int i = 0; i < s->n_teams; i++)
        if (strcmp(s->teams[i].name, name) == 0) return i;
    return -1;
}

double settings_within(const struct settings *s, enum settings_aim kind, const char *job_class, double otherwise) {
    double best = -1;
    for (int i = 0; i < s->n_objectives; i++) {
        const struct settings_objective *o = &s->objectives[i];
        if (o->kind != kind || (o->job_class[0] && strcmp(o->job_class, job_class ? job_class : "") != 0)) continue;
        if (best < 0 || o->within_s < best) best = o->within_s;
    }
    return best < 0 ? otherwise : best;
}

bool settings_has_aim(const struct settings *s, enum settings_aim kind, const char *job_class) {
    for (int i = 0; i < s->n_objectives; i++)
        if (s->objectives[i].kind == kind && strcmp(s->objectives[i].job_class, job_class) == 0) return true;
    return false;
}

void settings_clear(struct settings *s) {
    char **own[] = {&s->node, &s->area, &s->bind, &s->cluster_listen, &s->cloud, &s->state};
    for (size_t i = 0; i < G_N_ELEMENTS(own); i++) g_free(*own[i]);
    for (int i = 0; i < s->n_seeds; i++) {
        g_free(s->seeds[i].node);
        g_free(s->seeds[i].area);
        g_free(s->seeds[i].address);
    }
    for (int i = 0; i < s->n_objectives; i++) g_free(s->objectives[i].job_class);
    for (int i = 0; i < s->n_zones; i++) g_free(s->zones[i]);
    for (int i = 0; i < s->n_teams; i++) g_free(s->teams[i].name);
    memset(s, 0, sizeof *s);
}
