/* Reads the platform's settings file (JSON): maps its field names to the members of struct settings. */
#include <stdio.h>
#include <string.h>

#include "../clock/clock.h"
#include "../json/json.h"
#include "../json/reader.h"
#include "reader.h"

#define FIELD_NAME_BYTES 128
#define TEAM_AMOUNT_MAX 1e9 /* processors or GPUs of a team */
#define RATE_OR_SIZE_MAX 1e6
#define HOUR_S 3600
#define DAY_S 86400
#define PORT_MAX 65535
#define CLUSTER_SHARDS_MAX 64
#define TRANSACTION_OPERATIONS_MIN 2
#define TRANSACTION_OPERATIONS_MAX 10000
#define SOCKETS_MIN 64
#define SOCKETS_DEFAULT 1000
#define HEARTBEAT_INTERVAL_MIN_S 0.01
#define LEASE_MIN_S 0.1
#define CLOUD_RPS_MIN 0.01
#define OBJECTIVE_WITHIN_DEFAULT_S 60

/* An object of the file, and the prefix of its members' names in messages, such as "settings.state.". */
struct section {
    const cJSON *object;
    const char *prefix;
};

static struct section subsection(struct section parent, const char *name, const char *prefix) {
    return (struct section){cJSON_GetObjectItemCaseSensitive(parent.object, name), prefix};
}

static void fail_member(struct settings_reader *reader, enum settings_error code, struct section section,
                        const char *name, const char *problem) {
    char field[FIELD_NAME_BYTES];
    snprintf(field, sizeof field, "%s%s", section.prefix, name);
    settings_reader_fail(reader, code, field, problem);
}

/* Returns a copy of the string. Reports an error if it is absent or empty, and then returns an empty copy. */
static char *read_string(struct settings_reader *reader, struct section section, const char *name) {
    const char *value = json_get_string(section.object, name);
    if (!value || !*value) fail_member(reader, SETTINGS_ERROR_MISSING, section, name, "a non-empty string is needed");
    return g_strdup(value ? value : "");
}

static double read_number(struct settings_reader *reader, struct section section, const char *name, double minimum,
                          double maximum) {
    double value = json_get_double(section.object, name, -1);
    if (!(value >= minimum && value <= maximum))
        fail_member(reader, SETTINGS_ERROR_OUT_OF_RANGE, section, name, "missing or out of range");
    return value;
}

static struct timespec read_duration(struct settings_reader *reader, struct section section, const char *name,
                                     double minimum, double maximum) {
    return clock_from_seconds(read_number(reader, section, name, minimum, maximum));
}

static void check_address(struct settings_reader *reader, const char *field, const char *address) {
    const char *colon = strrchr(address, ':');
    gint64 port = colon ? g_ascii_strtoll(colon + 1, NULL, 10) : 0;
    if (!colon || colon == address || port < 1 || port > PORT_MAX)
        settings_reader_fail(reader, SETTINGS_ERROR_INVALID, field, "not of the form address:port");
}

static void read_node(struct settings_reader *reader, struct section root, struct settings *settings) {
    settings->node = read_string(reader, root, "node");
    settings->zone = read_string(reader, root, "area");
    settings->listen_address = read_string(reader, root, "bind");
    settings->peer_listen_address = read_string(reader, root, "cluster_listen");
    check_address(reader, "bind", settings->listen_address);
    check_address(reader, "cluster_listen", settings->peer_listen_address);
    struct section services = subsection(root, "services", "services.");
    settings->cloud_address = read_string(reader, services, "cloud");
    settings->store_address = read_string(reader, services, "state");
    check_address(reader, "services.cloud", settings->cloud_address);
    check_address(reader, "services.state", settings->store_address);
}

static void read_peer(struct settings_reader *reader, const cJSON *object, struct settings *settings) {
    struct section section = {object, "seeds."};
    struct settings_peer *peer = &settings->peers[settings->n_peers++];
    peer->node = read_string(reader, section, "node");
    peer->zone = read_string(reader, section, "area");
    peer->address = read_string(reader, section, "address");
    check_address(reader, "seeds.address", peer->address);
    if (strcmp(peer->node, settings->node) == 0)
        settings_reader_fail(reader, SETTINGS_ERROR_CONFLICT, "seeds.node", "names this node itself");
}

static void read_peers(struct settings_reader *reader, const cJSON *list, struct settings *settings) {
    const cJSON *peer;
    if (list && (!cJSON_IsArray(list) || cJSON_GetArraySize(list) > SETTINGS_PEERS_MAX))
        settings_reader_fail(reader, SETTINGS_ERROR_INVALID, "seeds", "not a list of at most 16");
    if (reader->failed) return;
    cJSON_ArrayForEach(peer, list) read_peer(reader, peer, settings);
}

static void read_zones(struct settings_reader *reader, const cJSON *list, struct settings *settings) {
    const cJSON *zone;
    if (!cJSON_IsArray(list) || cJSON_GetArraySize(list) > SETTINGS_ZONES_MAX)
        settings_reader_fail(reader, SETTINGS_ERROR_INVALID, "settings.zones", "a list of at most 32 is needed");
    if (reader->failed) return;
    cJSON_ArrayForEach(zone, list) {
        if (cJSON_IsString(zone)) {
            settings->zones[settings->n_zones++] = g_strdup(zone->valuestring);
        } else {
            settings_reader_fail(reader, SETTINGS_ERROR_INVALID, "settings.zones", "not a list of names");
        }
    }
}

static void check_team(struct settings_reader *reader, const struct settings *settings,
                       const struct settings_team *team) {
    if (team->gpus_max > 0 && team->guaranteed_gpus > team->gpus_max)
        settings_reader_fail(reader, SETTINGS_ERROR_CONFLICT, "settings.teams.gpus", "above gpus_max");
    if (team->cpus_max > 0 && team->guaranteed_cpus > team->cpus_max)
        settings_reader_fail(reader, SETTINGS_ERROR_CONFLICT, "settings.teams.cpus", "above cpus_max");
    for (const struct settings_team *other = settings->teams; other < team; other++) {
        if (strcmp(other->name, team->name) == 0)
            settings_reader_fail(reader, SETTINGS_ERROR_CONFLICT, "settings.teams.name", "a team is named twice");
    }
}

static void read_team(struct settings_reader *reader, const cJSON *object, struct settings *settings) {
    struct section section = {object, "settings.teams."};
    struct settings_team *team = &settings->teams[settings->n_teams++];
    team->name = read_string(reader, section, "name");
    team->n_shards = 1;
    team->guaranteed_cpus = read_number(reader, section, "cpus", 0, TEAM_AMOUNT_MAX);
    team->cpus_max = read_number(reader, section, "cpus_max", 0, TEAM_AMOUNT_MAX);
    team->guaranteed_gpus = read_number(reader, section, "gpus", 0, TEAM_AMOUNT_MAX);
    team->gpus_max = read_number(reader, section, "gpus_max", 0, TEAM_AMOUNT_MAX);
    check_team(reader, settings, team);
}

static void read_teams(struct settings_reader *reader, const cJSON *list, struct settings *settings) {
    const cJSON *team;
    if (!cJSON_IsArray(list) || cJSON_GetArraySize(list) < 1 || cJSON_GetArraySize(list) > SETTINGS_TEAMS_MAX) {
        settings_reader_fail(reader, SETTINGS_ERROR_INVALID, "settings.teams", "a list of 1 to 256 teams is needed");
        return;
    }
    cJSON_ArrayForEach(team, list) read_team(reader, team, settings);
}

/* Objectives of an unknown kind are skipped, because the platform may add new kinds. */
static void read_objective(const cJSON *object, struct settings *settings) {
    static const char *const kinds[] = {
        [OBJECTIVE_WAIT] = "wait",
        [OBJECTIVE_FINISHED] = "finished",
        [OBJECTIVE_GUARANTEE] = "guarantee",
        [OBJECTIVE_DEADLINE] = "deadline",
    };
    const char *kind = json_get_string(object, "kind"), *job_class = json_get_string(object, "class");
    size_t kind_index = 0;
    while (kind_index < G_N_ELEMENTS(kinds) && g_strcmp0(kind, kinds[kind_index]) != 0) kind_index++;
    if (kind_index == G_N_ELEMENTS(kinds) || settings->n_objectives == SETTINGS_OBJECTIVES_MAX) return;
    struct settings_objective *objective = &settings->objectives[settings->n_objectives++];
    objective->kind = (enum settings_objective_kind)kind_index;
    objective->job_class = g_strdup(job_class ? job_class : "");
    objective->within_s = json_get_double(object, "within_s", OBJECTIVE_WITHIN_DEFAULT_S);
    objective->job_fraction = json_get_double(object, "share", 1);
}

static void read_workers(struct settings_reader *reader, struct section workers, struct settings *settings) {
    settings->heartbeat_interval = read_duration(reader, workers, "report_s", HEARTBEAT_INTERVAL_MIN_S, HOUR_S);
    settings->worker_lease = read_duration(reader, workers, "lease_s", LEASE_MIN_S, DAY_S);
    settings->gang_wait = read_duration(reader, workers, "gang_wait_s", 0, DAY_S);
    settings->gang_peer = read_duration(reader, workers, "gang_peer_s", 0, DAY_S);
    settings->cancel_timeout = read_duration(reader, workers, "cancel_s", LEASE_MIN_S, DAY_S);
    if (clock_to_seconds(settings->cancel_timeout) <= clock_to_seconds(settings->worker_lease))
        settings_reader_fail(reader, SETTINGS_ERROR_CONFLICT, "settings.workers.cancel_s", "must be above lease_s");
}

/* Reads an optional limit of `state.next`. Returns that limit or the current one, whichever is lower. */
static double read_next_limit(struct settings_reader *reader, struct section next, const char *name, double minimum,
                              double current) {
    const cJSON *value = cJSON_GetObjectItemCaseSensitive(next.object, name);
    if (!value || cJSON_IsNull(value)) return current;
    double next_limit = read_number(reader, next, name, minimum, RATE_OR_SIZE_MAX);
    return MIN(current, next_limit);
}

static void read_state_limits(struct settings_reader *reader, struct section state, struct settings *settings) {
    settings->store_requests_per_s = read_number(reader, state, "rps", 1, RATE_OR_SIZE_MAX);
    settings->store_changes_per_s = read_number(reader, state, "write_rps", 1, RATE_OR_SIZE_MAX);
    settings->value_max_kb = read_number(reader, state, "value_kb", 1, RATE_OR_SIZE_MAX);
    settings->txn_operations_max =
        (int)read_number(reader, state, "txn_ops", TRANSACTION_OPERATIONS_MIN, TRANSACTION_OPERATIONS_MAX);
    struct section next = subsection(state, "next", "settings.state.next.");
    if (next.object && !cJSON_IsNull(next.object) && !cJSON_IsObject(next.object))
        settings_reader_fail(reader, SETTINGS_ERROR_INVALID, "settings.state.next", "an object is needed");
    settings->store_requests_per_s = read_next_limit(reader, next, "rps", 1, settings->store_requests_per_s);
    settings->store_changes_per_s = read_next_limit(reader, next, "write_rps", 1, settings->store_changes_per_s);
    settings->next_value_max_kb = read_next_limit(reader, next, "value_kb", 1, settings->value_max_kb);
    settings->txn_operations_max =
        (int)read_next_limit(reader, next, "txn_ops", TRANSACTION_OPERATIONS_MIN, settings->txn_operations_max);
}

static void read_limits(struct settings_reader *reader, struct section section, struct settings *settings) {
    read_state_limits(reader, subsection(section, "state", "settings.state."), settings);
    struct section cloud = subsection(section, "cloud", "settings.cloud.");
    settings->cloud_requests_per_s = read_number(reader, cloud, "rps", CLOUD_RPS_MIN, RATE_OR_SIZE_MAX);
    settings->machine_list_lag = read_duration(reader, cloud, "list_lag_s", 0, HOUR_S);
    struct section machine = subsection(section, "machine_limits", "settings.machine_limits.");
    settings->sockets_max = (int)json_get_double(machine.object, "sockets", SOCKETS_DEFAULT);
    if (settings->sockets_max < SOCKETS_MIN)
        settings_reader_fail(reader, SETTINGS_ERROR_OUT_OF_RANGE, "settings.machine_limits.sockets", "below 64");
}

static void read_cluster(struct settings_reader *reader, struct section section, struct settings *settings) {
    const cJSON *objective;
    if (!cJSON_IsObject(section.object))
        settings_reader_fail(reader, SETTINGS_ERROR_MISSING, "settings", "an object is needed");
    settings->n_shards = (int)read_number(reader, section, "size", 1, CLUSTER_SHARDS_MAX);
    read_zones(reader, cJSON_GetObjectItemCaseSensitive(section.object, "zones"), settings);
    read_teams(reader, cJSON_GetObjectItemCaseSensitive(section.object, "teams"), settings);
    cJSON_ArrayForEach(objective, cJSON_GetObjectItemCaseSensitive(section.object, "objectives"))
        read_objective(objective, settings);
    read_workers(reader, subsection(section, "workers", "settings.workers."), settings);
    read_limits(reader, section, settings);
}

bool settings_parse(const char *json, const char *file, struct settings *out, GError **error) {
    struct settings_reader reader = {file, error, false};
    memset(out, 0, sizeof *out);
    out->tuning = settings_tuning_defaults;
    out->quota = settings_quota_defaults;
    cJSON *object = json_read(json, strlen(json));
    if (cJSON_IsObject(object)) {
        struct section root = {object, ""};
        read_node(&reader, root, out);
        read_peers(&reader, cJSON_GetObjectItemCaseSensitive(object, "seeds"), out);
        read_cluster(&reader, subsection(root, "settings", "settings."), out);
    } else {
        settings_reader_fail(&reader, SETTINGS_ERROR_SYNTAX, "(whole file)", "not a JSON object");
    }
    cJSON_Delete(object);
    return !reader.failed;
}
