/* The operators' file of divided teams:
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

#define SHARES_MAX 16
#define GATHER_LEAST_S 1.0
#define GATHER_MAX_S 300.0
#define EVERY_TEAM "*"

const struct settings_quota settings_quota_defaults = {.gather = {20, 0}};

/* One team, or all that no entry has named before. */
static void divide_teams(struct settings *s, const char *team, int shards, bool *named) {
    for (int i = 0; i < s->n_teams; i++) {
        if (named[i] || (strcmp(team, EVERY_TEAM) != 0 && strcmp(team, s->teams[i].name) != 0)) continue;
        named[i] = true;
        s->teams[i].shards = shards;
    }
}

/* A whole number; 0 where there is none. */
static int whole_number(const config_setting_t *entry, const char *name) {
    const config_setting_t *value = config_setting_get_member(entry, name);
    return value && config_setting_type(value) == CONFIG_TYPE_INT ? config_setting_get_int(value) : 0;
}

static void read_entry(struct reader *r, const config_setting_t *entry, struct settings *s, bool *named) {
    const char *team = NULL;
    if (!config_setting_is_group(entry) || config_setting_length(entry) != 2) {
        settings_fail(r, "divide", "an entry is not of the form { team = NAME, shares = NUMBER }");
        return;
    }
    int shards = whole_number(entry, "shares");
    if (!config_setting_lookup_string(entry, "team", &team)) {
        settings_fail(r, "divide.team", "a name is needed");
    } else if (strcmp(team, EVERY_TEAM) != 0 && settings_team(s, team) < 0) {
        settings_fail(r, "divide.team", "the settings name no such team");
    } else if (shards < 1 || shards > SHARES_MAX || shards > s->size) {
        settings_fail(r, "divide.shares", "not a whole number from 1 to 16, and to the number of shares there are");
    } else {
        divide_teams(s, team, shards, named);
    }
}

static void read_divide(struct reader *r, const config_setting_t *list, struct settings *s) {
    bool named[SETTINGS_TEAMS] = {false};
    if (!config_setting_is_list(list)) {
        settings_fail(r, "divide", "a list in round brackets is needed");
        return;
    }
    for (int i = 0; i < config_setting_length(list) && r->ok; i++)
        read_entry(r, config_setting_get_elem(list, (unsigned)i), s, named);
}

static void read_gather(struct reader *r, const config_setting_t *value, struct settings *s) {
    double seconds = config_setting_is_number(value) ? config_setting_get_float(value) : -1;
    if (seconds >= GATHER_LEAST_S && seconds <= GATHER_MAX_S)
        s->quota.gather = clock_from_seconds(seconds);
    else
        settings_fail(r, "gather_s", "not a number within its bounds");
}

bool settings_parse_quota(const char *hcl, const char *name, struct settings *s, char *err, size_t errlen) {
    struct reader r = {name, err, errlen, true};
    config_t c;
    config_init(&c);
    if (!settings_read_hcl(&r, &c, hcl)) return false;
    const config_setting_t *top = config_root_setting(&c);
    for (int i = 0; i < config_setting_length(top) && r.ok; i++) {
        const config_setting_t *entry = config_setting_get_elem(top, (unsigned)i);
        if (strcmp(config_setting_name(entry), "divide") == 0)
            read_divide(&r, entry, s);
        else if (strcmp(config_setting_name(entry), "gather_s") == 0)
            read_gather(&r, entry, s);
        else
            settings_fail(&r, config_setting_name(entry), "no such setting");
    }
    config_destroy(&c);
    return r.ok;
}
