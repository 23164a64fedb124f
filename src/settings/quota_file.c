/* Reads the operators' file of the teams that are divided over several shards:
 *
 *     gather_s = 20
 *     divide = ( { team = "vision", shares = 3 }, { team = "*", shares = 2 } )
 *
 * For each team, the first entry that names it applies; "*" names all teams. */
#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "../clock/clock.h"
#include "reader.h"

#define TEAM_SHARDS_MAX 16
#define RESERVATION_TIMEOUT_MIN_S 1.0
#define RESERVATION_TIMEOUT_MAX_S 300.0
#define ENTRY_MEMBERS 2 /* team and shares */
#define ALL_TEAMS "*"

const struct settings_quota settings_quota_defaults = {.reservation_timeout = {20, 0}};

/* Sets the number of shards of the named team, or of all teams, except for teams that an earlier entry has named. */
static void set_team_shards(struct settings *settings, const char *team, int n_shards, bool *already_named) {
    for (int i = 0; i < settings->n_teams; i++) {
        if (already_named[i] || (strcmp(team, ALL_TEAMS) != 0 && strcmp(team, settings->teams[i].name) != 0)) continue;
        already_named[i] = true;
        settings->teams[i].n_shards = n_shards;
    }
}

/* Returns the entry's integer member of this name, or 0 if the member is absent or has another type. */
static int integer_member(const config_setting_t *entry, const char *name) {
    const config_setting_t *value = config_setting_get_member(entry, name);
    return value && config_setting_type(value) == CONFIG_TYPE_INT ? config_setting_get_int(value) : 0;
}

static void read_entry(struct settings_reader *reader, const config_setting_t *entry, struct settings *settings,
                       bool *already_named) {
    const char *team = NULL;
    if (!config_setting_is_group(entry) || config_setting_length(entry) != ENTRY_MEMBERS) {
        settings_reader_fail(reader, SETTINGS_ERROR_INVALID, "divide",
                             "an entry is not of the form { team = NAME, shares = NUMBER }");
        return;
    }
    int n_shards = integer_member(entry, "shares");
    if (!config_setting_lookup_string(entry, "team", &team)) {
        settings_reader_fail(reader, SETTINGS_ERROR_MISSING, "divide.team", "a name is needed");
    } else if (strcmp(team, ALL_TEAMS) != 0 && settings_team(settings, team) < 0) {
        settings_reader_fail(reader, SETTINGS_ERROR_UNKNOWN, "divide.team", "the settings name no such team");
    } else if (n_shards < 1 || n_shards > TEAM_SHARDS_MAX || n_shards > settings->n_shards) {
        settings_reader_fail(reader, SETTINGS_ERROR_OUT_OF_RANGE, "divide.shares",
                             "not a whole number from 1 to 16, and to the number of shares there are");
    } else {
        set_team_shards(settings, team, n_shards, already_named);
    }
}

static void read_divide(struct settings_reader *reader, const config_setting_t *list, struct settings *settings) {
    bool already_named[SETTINGS_TEAMS_MAX] = {false};
    if (!config_setting_is_list(list)) {
        settings_reader_fail(reader, SETTINGS_ERROR_INVALID, "divide", "a list in round brackets is needed");
        return;
    }
    for (int i = 0; i < config_setting_length(list) && !reader->failed; i++)
        read_entry(reader, config_setting_get_elem(list, (unsigned)i), settings, already_named);
}

static void read_reservation_timeout(struct settings_reader *reader, const config_setting_t *value,
                                     struct settings *settings) {
    double seconds = config_setting_is_number(value) ? config_setting_get_float(value) : -1;
    if (seconds >= RESERVATION_TIMEOUT_MIN_S && seconds <= RESERVATION_TIMEOUT_MAX_S) {
        settings->quota.reservation_timeout = clock_from_seconds(seconds);
    } else {
        settings_reader_fail(reader, SETTINGS_ERROR_OUT_OF_RANGE, "gather_s", "not a number within its bounds");
    }
}

static void read_setting(struct settings_reader *reader, const config_setting_t *setting, struct settings *settings) {
    const char *name = config_setting_name(setting);
    if (strcmp(name, "divide") == 0) {
        read_divide(reader, setting, settings);
    } else if (strcmp(name, "gather_s") == 0) {
        read_reservation_timeout(reader, setting, settings);
    } else {
        settings_reader_fail(reader, SETTINGS_ERROR_UNKNOWN, name, "no such setting");
    }
}

bool settings_parse_quota(const char *hcl, const char *file, struct settings *settings, GError **error) {
    struct settings_reader reader = {file, error, false};
    config_t config;
    config_init(&config);
    if (!settings_reader_parse_hcl(&reader, &config, hcl)) return false;
    const config_setting_t *root = config_root_setting(&config);
    for (int i = 0; i < config_setting_length(root) && !reader.failed; i++)
        read_setting(&reader, config_setting_get_elem(root, (unsigned)i), settings);
    config_destroy(&config);
    return !reader.failed;
}
