#include "scenario.h"

#include <glib.h>
#include <libconfig.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#define LINE_NAME_BYTES 32

struct reader {
    const char *file;
    char *err;
    size_t errlen;
    bool ok;
};

static void fail(struct reader *reader, const char *field, const char *what) {
    if (reader->ok) snprintf(reader->err, reader->errlen, "%s: %s: %s", reader->file, field, what);
    reader->ok = false;
}

/* The schema: one row a field of a group. A list row names the function that reads its groups. */
enum field_kind { FIELD_NUMBER, FIELD_WHOLE, FIELD_TEXT, FIELD_LIST };
struct field {
    const char *name;
    enum field_kind kind;
    bool needed;
    double least, most; /* of a number; of a text or list: how long it may be */
    size_t offset;
    void (*read_group)(struct reader *reader, const config_setting_t *group, struct scenario *scenario);
};

static const struct field *find_field(const struct field *fields, const char *name) {
    for (; fields->name; fields++)
        if (strcmp(fields->name, name) == 0) return fields;
    return NULL;
}

static void read_text(struct reader *reader, const struct field *field, const config_setting_t *value, char *out) {
    const char *text = config_setting_get_string(value);
    if (!text || !*text || strlen(text) >= (size_t)field->most) {
        fail(reader, field->name, "not a text, or too long");
    } else {
        g_strlcpy(out, text, (gsize)field->most);
    }
}

static void read_list(struct reader *reader, const struct field *field, const config_setting_t *value,
                      struct scenario *scenario) {
    if (!config_setting_is_list(value) || config_setting_length(value) > (int)field->most) {
        fail(reader, field->name, "not a list in round brackets, or too long");
        return;
    }
    for (int i = 0; i < config_setting_length(value); i++)
        field->read_group(reader, config_setting_get_elem(value, (unsigned)i), scenario);
}

static void read_number(struct reader *reader, const struct field *field, const config_setting_t *value, void *out) {
    bool whole = field->kind == FIELD_WHOLE;
    bool fits = whole ? config_setting_type(value) == CONFIG_TYPE_INT : config_setting_is_number(value) != 0;
    double number = fits ? config_setting_get_float(value) : 0;
    if (fits && whole) number = config_setting_get_int(value);
    if (!fits || number < field->least || number > field->most) {
        fail(reader, field->name, "not a number of its kind within its bounds");
    } else if (whole) {
        *(int *)out = (int)number;
    } else {
        *(double *)out = number;
    }
}

static void read_field(struct reader *reader, const struct field *field, const config_setting_t *value, void *group,
                       struct scenario *scenario) {
    void *member = (char *)group + field->offset;
    switch (field->kind) {
        case FIELD_TEXT:
            read_text(reader, field, value, member);
            break;
        case FIELD_LIST:
            read_list(reader, field, value, scenario);
            break;
        case FIELD_NUMBER:
        case FIELD_WHOLE:
            read_number(reader, field, value, member);
            break;
    }
}

/* Reads a group by its schema: no field that is unknown, none missing. */
static void read_group(struct reader *reader, const config_setting_t *group, const struct field *fields, void *out,
                       struct scenario *scenario) {
    if (!config_setting_is_group(group)) {
        fail(reader, "entry", "not a group in curly brackets");
        return;
    }
    for (int i = 0; i < config_setting_length(group) && reader->ok; i++) {
        const config_setting_t *value = config_setting_get_elem(group, (unsigned)i);
        const struct field *field = find_field(fields, config_setting_name(value));
        if (field) {
            read_field(reader, field, value, out, scenario);
        } else {
            fail(reader, config_setting_name(value), "no such field");
        }
    }
    for (; fields->name; fields++)
        if (fields->needed && !config_setting_get_member(group, fields->name)) fail(reader, fields->name, "missing");
}

static const char *const actions[] = {"burst", "gang", "flood", "end", "begin", "stop", "continue", "cut", "heal"};

const char *scenario_action_name(enum scenario_action action) { return actions[action]; }

struct step_text {
    struct scenario_step step;
    char action[SCENARIO_NAME], team[SCENARIO_NAME];
};

#define AT(type, member) offsetof(struct type, member)
static const struct field team_fields[] = {
    {"name", FIELD_TEXT, true, 0, SCENARIO_NAME, AT(scenario_team, name), NULL},
    {"guarantee", FIELD_NUMBER, false, 0, 1000, AT(scenario_team, guarantee), NULL},
    {"limit", FIELD_NUMBER, false, 0, 1000, AT(scenario_team, limit), NULL},
    {"shares", FIELD_WHOLE, false, 1, 5, AT(scenario_team, shards), NULL},
    {NULL, FIELD_TEXT, false, 0, 0, 0, NULL},
};
static const struct field step_fields[] = {
    {"at", FIELD_NUMBER, true, 0, 600, AT(step_text, step.at), NULL},
    {"action", FIELD_TEXT, true, 0, SCENARIO_NAME, AT(step_text, action), NULL},
    {"team", FIELD_TEXT, false, 0, SCENARIO_NAME, AT(step_text, team), NULL},
    {"count", FIELD_WHOLE, false, 1, 2000, AT(step_text, step.count), NULL},
    {"controller", FIELD_WHOLE, false, 0, 4, AT(step_text, step.controller), NULL},
    {NULL, FIELD_TEXT, false, 0, 0, 0, NULL},
};

static void read_team(struct reader *reader, const config_setting_t *group, struct scenario *scenario) {
    struct scenario_team *team = &scenario->teams[scenario->n_teams++];
    team->shards = 1;
    read_group(reader, group, team_fields, team, scenario);
    if (team->limit > 0 && team->guarantee > team->limit) fail(reader, "guarantee", "above the limit");
}

static void read_step(struct reader *reader, const config_setting_t *group, struct scenario *scenario) {
    struct step_text text = {.step = {.team = -1, .controller = -1}};
    read_group(reader, group, step_fields, &text, scenario);
    struct scenario_step *step = &scenario->steps[scenario->n_steps++];
    *step = text.step;
    int action = 0;
    while (action < (int)G_N_ELEMENTS(actions) && strcmp(actions[action], text.action) != 0) action++;
    if (action == (int)G_N_ELEMENTS(actions)) fail(reader, "action", "there is no such action");
    step->action = (enum scenario_action)action;
    for (int i = 0; i < scenario->n_teams; i++)
        if (strcmp(scenario->teams[i].name, text.team) == 0) step->team = i;
    bool work = action <= SCENARIO_FLOOD;
    if (work && (step->team < 0 || step->count < 1))
        fail(reader, "team", "work needs a team named before, and a count");
    if (!work && step->team < 0 && (step->controller < 0 || step->controller >= scenario->controllers))
        fail(reader, "controller", "one of the scenario's is needed, or a team whose owner is meant");
}

static const struct field scenario_fields[] = {
    {"what", FIELD_TEXT, true, 0, SCENARIO_DESCRIPTION_BYTES, AT(scenario, what), NULL},
    {"controllers", FIELD_WHOLE, true, 1, 5, AT(scenario, controllers), NULL},
    {"machines", FIELD_WHOLE, true, 1, 32, AT(scenario, machines), NULL},
    {"starved_most", FIELD_NUMBER, true, 0, 600, AT(scenario, starved_most), NULL},
    {"jobs_end_within", FIELD_NUMBER, true, 1, 600, AT(scenario, jobs_end_within), NULL},
    {"teams", FIELD_LIST, true, 0, SCENARIO_TEAMS, 0, read_team},
    {"steps", FIELD_LIST, true, 0, SCENARIO_STEPS, 0, read_step},
    {NULL, FIELD_TEXT, false, 0, 0, 0, NULL},
};

bool scenario_read(const char *path, struct scenario *out, char *err, size_t errlen) {
    struct reader reader = {path, err, errlen, true};
    config_t config;
    memset(out, 0, sizeof *out);
    config_init(&config);
    config_set_options(&config, CONFIG_OPTION_AUTOCONVERT);
    if (!config_read_file(&config, path)) {
        char line[LINE_NAME_BYTES];
        snprintf(line, sizeof line, "line %d", config_error_line(&config));
        fail(&reader, line, config_error_text(&config));
    } else {
        read_group(&reader, config_root_setting(&config), scenario_fields, out, out);
    }
    config_destroy(&config);
    return reader.ok;
}
