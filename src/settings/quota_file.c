/* The operators' file of teams that are divided over several shards:
 *
 *     gather_s = 20
 *     divide = ( { team = "vision", shares = 3 }, { team = "*", shares = 2 } )
 *
 * The first entry that names a team holds for it; "*" names all. */
#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "../clock/clock.h"
#include "reader.h"

#define TEAM_SHARDS_MAX 16
#define RESERVATION_TIMEOUT_MIN_S 1.0
#define RESERVATION_TIMEOUT_MAX_S 300.0
#define ENTRY_MEMBERS 2
#define EVERY_TEAM "*"

const struct settings_quota settings_quota_defaults = {.reservation_timeout = {20, 0}};

/* One team, or all that no entry has named before. */
static void divide_teams(struct settings *settings, const char *team, int shards, bool *named) {
    for (int i = 0; i < settings->n_teams; i++) {
        if (named[i] || (strcmp(team, EVERY_TEAM) != 0 && strcmp(team, settings->teams[i].name) != 0)) continue;
        named[i] = true;
        settings->teams[i].shards = shards;
    }
}

/* A whole number; 0 where there is none. */
static int whole_number(const config_setting_t *entry, const char *name) {
    const config_setting_t *value = config_setting_get_member(entry, name);
    return value && config_setting_type(value) == CONFIG_TYPE_INT ? config_setting_get_int(value) : 0;
}

static void read_entry(struct settings_reader *reader, const config_setting_t *entry, struct settings *settings,
                       bool *named) {
    const char *team = NULL;
    if (!config_setting_is_group(entry) || config_setting_length(entry) != ENTRY_MEMBERS) {
        settings_reader_fail(reader, SETTINGS_ERROR_INVALID, "divide",
                             "an entry is not of the form { team = NAME, shares = NUMBER }");
        return;
    }
    int shards = whole_number(entry, "shares");
    if (!config_setting_lookup_string(entry, "team", &team)) {
        settings_reader_fail(reader, SETTINGS_ERROR_MISSING, "divide.team", "a name is needed");
    } else if (strcmp(team, EVERY_TEAM) != 0 && settings_team(settings, team) < 0) {
        settings_reader_fail(reader, SETTINGS_ERROR_UNKNOWN, "divide.team", "the settings name no such team");
    } else if (shards < 1 || shards > TEAM_SHARDS_MAX || shards > settings->size) {
        settings_reader_fail(reader, SETTINGS_ERROR_OUT_OF_RANGE, "divide.shares",
                             "not a whole number from 1 to 16, and to the number of shares there are");
    } else {
        divide_teams(settings, team, shards, named);
    }
}

static void read_divide(struct settings_reader *reader, const config_setting_t *list, struct settings *settings) {
    bool named[SETTINGS_TEAMS] = {false};
    if (!config_setting_is_list(list)) {
        settings_reader_fail(reader, SETTINGS_ERROR_INVALID, "divide", "a list in round brackets is needed");
        return;
    }
    for (int i = 0; i < config_setting_length(list) && !reader->failed; i++)
        read_entry(reader, config_setting_get_elem(list, (unsigned)i), settings, named);
}

static void read_gather(struct settings_reader *reader, const config_setting_t *value, struct settings *settings) {
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
        read_gather(reader, setting, settings);
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
