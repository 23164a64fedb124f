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

static void fail(struct reader *reader, const char *field, const char *fault) {
    if (reader->ok) snprintf(reader->err, reader->errlen, "%s: %s: %s", reader->file, field, fault);
    reader->ok = false;
}

/* The schema has one row for each field of a group. The row of a list names the function that reads its entries. */
enum field_kind { FIELD_NUMBER, FIELD_INTEGER, FIELD_TEXT, FIELD_LIST };
struct field {
    const char *name;
    enum field_kind kind;
    bool required;
    double min, max; /* bounds of a number; max is also the buffer size of a text, and the length limit of a list */
    size_t offset;   /* of the member in the struct that the group is read into */
    void (*read_group)(struct reader *reader, const config_setting_t *group, struct scenario *scenario);
};

static const struct field *find_field(const struct field *fields, const char *name) {
    for (; fields->name; fields++)
        if (strcmp(fields->name, name) == 0) return fields;
    return NULL;
}

static void read_text(struct reader *reader, const struct field *field, const config_setting_t *value, char *out) {
    const char *text = config_setting_get_string(value);
    if (!text || !*text || strlen(text) >= (size_t)field->max) {
        fail(reader, field->name, "not a string, or empty or too long");
    } else {
        g_strlcpy(out, text, (gsize)field->max);
    }
}

static void read_list(struct reader *reader, const struct field *field, const config_setting_t *value,
                      struct scenario *scenario) {
    if (!config_setting_is_list(value) || config_setting_length(value) > (int)field->max) {
        fail(reader, field->name, "not a list in round brackets, or too long");
        return;
    }
    for (int i = 0; i < config_setting_length(value); i++)
        field->read_group(reader, config_setting_get_elem(value, (unsigned)i), scenario);
}

static void read_number(struct reader *reader, const struct field *field, const config_setting_t *value, void *out) {
    bool is_integer = field->kind == FIELD_INTEGER;
    bool type_matches =
        is_integer ? config_setting_type(value) == CONFIG_TYPE_INT : config_setting_is_number(value) != 0;
    double number = type_matches ? config_setting_get_float(value) : 0;
    if (type_matches && is_integer) number = config_setting_get_int(value);
    if (!type_matches || number < field->min || number > field->max) {
        fail(reader, field->name, "not a number of the right type within its bounds");
    } else if (is_integer) {
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
        case FIELD_INTEGER:
            read_number(reader, field, value, member);
            break;
    }
}

/* Reads a group by its schema. Fails on an unknown field and on a missing required one. */
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
        if (fields->required && !config_setting_get_member(group, fields->name)) fail(reader, fields->name, "missing");
}

/* In the order of enum scenario_action. */
static const char *const actions[] = {"burst", "gang", "flood", "end", "begin", "stop", "continue", "cut", "heal"};

const char *scenario_action_name(enum scenario_action action) { return actions[action]; }

/* A step as the file gives it: action and team are still names. */
struct step_text {
    struct scenario_step step;
    char action[SCENARIO_NAME_BYTES], team[SCENARIO_NAME_BYTES];
};

#define MEMBER_OFFSET(type, member) offsetof(struct type, member)
static const struct field team_fields[] = {
    {"name", FIELD_TEXT, true, 0, SCENARIO_NAME_BYTES, MEMBER_OFFSET(scenario_team, name), NULL},
    {"guarantee", FIELD_NUMBER, false, 0, 1000, MEMBER_OFFSET(scenario_team, guarantee), NULL},
    {"limit", FIELD_NUMBER, false, 0, 1000, MEMBER_OFFSET(scenario_team, limit), NULL},
    {"shares", FIELD_INTEGER, false, 1, 5, MEMBER_OFFSET(scenario_team, shards), NULL},
    {NULL, FIELD_TEXT, false, 0, 0, 0, NULL},
};
static const struct field step_fields[] = {
    {"at", FIELD_NUMBER, true, 0, 600, MEMBER_OFFSET(step_text, step.at_s), NULL},
    {"action", FIELD_TEXT, true, 0, SCENARIO_NAME_BYTES, MEMBER_OFFSET(step_text, action), NULL},
    {"team", FIELD_TEXT, false, 0, SCENARIO_NAME_BYTES, MEMBER_OFFSET(step_text, team), NULL},
    {"count", FIELD_INTEGER, false, 1, 2000, MEMBER_OFFSET(step_text, step.count), NULL},
    {"controller", FIELD_INTEGER, false, 0, 4, MEMBER_OFFSET(step_text, step.controller), NULL},
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
    if (action == (int)G_N_ELEMENTS(actions)) fail(reader, "action", "no such action");
    step->action = (enum scenario_action)action;
    for (int i = 0; i < scenario->n_teams; i++)
        if (strcmp(scenario->teams[i].name, text.team) == 0) step->team = i;
    bool submits = action <= SCENARIO_FLOOD;
    if (submits && (step->team < 0 || step->count < 1))
        fail(reader, "team", "burst, gang and flood need a count and a team that is listed before the steps");
    if (!submits && step->team < 0 && (step->controller < 0 || step->controller >= scenario->controllers))
        fail(reader, "controller", "a controller of this scenario is required, or a team whose owner is chosen");
}

static const struct field scenario_fields[] = {
    {"what", FIELD_TEXT, true, 0, SCENARIO_DESCRIPTION_BYTES, MEMBER_OFFSET(scenario, description), NULL},
    {"controllers", FIELD_INTEGER, true, 1, 5, MEMBER_OFFSET(scenario, controllers), NULL},
    {"machines", FIELD_INTEGER, true, 1, 32, MEMBER_OFFSET(scenario, machines), NULL},
    {"starved_most", FIELD_NUMBER, true, 0, 600, MEMBER_OFFSET(scenario, starvation_limit_s), NULL},
    {"jobs_end_within", FIELD_NUMBER, true, 1, 600, MEMBER_OFFSET(scenario, jobs_end_within_s), NULL},
    {"command_copies_within", FIELD_NUMBER, false, 0, 600, MEMBER_OFFSET(scenario, copies_within_s), NULL},
    {"teams", FIELD_LIST, true, 0, SCENARIO_TEAMS_MAX, 0, read_team},
    {"steps", FIELD_LIST, true, 0, SCENARIO_STEPS_MAX, 0, read_step},
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
