#include "scenario.h"

#include <glib.h>
#include <libconfig.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

struct reader {
    const char *file;
    char *err;
    size_t errlen;
    bool ok;
};

static void fail(struct reader *r, const char *field, const char *what) {
    if (r->ok) snprintf(r->err, r->errlen, "%s: %s: %s", r->file, field, what);
    r->ok = false;
}

/* The schema: one row a field of a group. A list row names the function that reads its groups. */
enum field_kind { FIELD_NUMBER, FIELD_WHOLE, FIELD_TEXT, FIELD_LIST };
struct field {
    const char *name;
    enum field_kind kind;
    bool needed;
    double least, most; /* of a number; of a text or list: how long it may be */
    size_t offset;
    void (*read_group)(struct reader *r, const config_setting_t *group, struct scenario *s);
};

static const struct field *find_field(const struct field *fields, const char *name) {
    for (; fields->name; fields++)
        if (strcmp(fields->name, name) == 0) return fields;
    return NULL;
}

static void read_field(struct reader *r, const struct field *f, const config_setting_t *value, void *out,
                       struct scenario *s) {
    char *to = (char *)out + f->offset;
    if (f->kind == FIELD_TEXT) {
        const char *text = config_setting_get_string(value);
        if (!text || !*text || strlen(text) >= (size_t)f->most)
            fail(r, f->name, "not a text, or too long");
        else
            g_strlcpy(to, text, (gsize)f->most);
    } else if (f->kind == FIELD_LIST) {
        bool list = config_setting_is_list(value) && config_setting_length(value) <= (int)f->most;
        if (!list) fail(r, f->name, "not a list in round brackets, or too long");
        for (int i = 0; list && i < config_setting_length(value); i++)
            f->read_group(r, config_setting_get_elem(value, (unsigned)i), s);
    } else {
        bool fits = f->kind == FIELD_WHOLE ? config_setting_type(value) == CONFIG_TYPE_INT
                                           : (bool)config_setting_is_number(value);
        double v = fits ? f->kind == FIELD_WHOLE ? config_setting_get_int(value) : config_setting_get_float(value) : 0;
        if (!fits || v < f->least || v > f->most)
            fail(r, f->name, "not a number of its kind within its bounds");
        else if (f->kind == FIELD_WHOLE)
            *(int *)(void *)to = (int)v;
        else
            *(double *)(void *)to = v;
    }
}

/* Reads a group by its schema: no field that is unknown, none missing. */
static void read_group(struct reader *r, const config_setting_t *group, const struct field *fields, void *out,
                       struct scenario *s) {
    if (!config_setting_is_group(group)) {
        fail(r, "entry", "not a group in curly brackets");
        return;
    }
    for (int i = 0; i < config_setting_length(group) && r->ok; i++) {
        const config_setting_t *value = config_setting_get_elem(group, (unsigned)i);
        const struct field *f = find_field(fields, config_setting_name(value));
        if (f)
            read_field(r, f, value, out, s);
        else
            fail(r, config_setting_name(value), "no such field");
    }
    for (; fields->name; fields++)
        if (fields->needed && !config_setting_get_member(group, fields->name)) fail(r, fields->name, "missing");
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

static void read_team(struct reader *r, const config_setting_t *group, struct scenario *s) {
    struct scenario_team *t = &s->teams[s->n_teams++];
    t->shards = 1;
    read_group(r, group, team_fields, t, s);
    if (t->limit > 0 && t->guarantee > t->limit) fail(r, "guarantee", "above the limit");
}

static void read_step(struct reader *r, const config_setting_t *group, struct scenario *s) {
    struct step_text text = {.step = {.team = -1, .controller = -1}};
    read_group(r, group, step_fields, &text, s);
    struct scenario_step *step = &s->steps[s->n_steps++];
    *step = text.step;
    int action = 0;
    while (action < (int)G_N_ELEMENTS(actions) && strcmp(actions[action], text.action) != 0) action++;
    if (action == (int)G_N_ELEMENTS(actions)) fail(r, "action", "there is no such action");
    step->action = (enum scenario_action)action;
    for (int i = 0; i < s->n_teams; i++)
        if (strcmp(s->teams[i].name, text.team) == 0) step->team = i;
    bool work = action <= SCENARIO_FLOOD;
    if (work && (step->team < 0 || step->count < 1)) fail(r, "team", "work needs a team named before, and a count");
    if (!work && step->team < 0 && (step->controller < 0 || step->controller >= s->controllers))
        fail(r, "controller", "one of the scenario's is needed, or a team whose owner is meant");
}

static const struct field scenario_fields[] = {
    {"what", FIELD_TEXT, true, 0, 128, AT(scenario, what), NULL},
    {"controllers", FIELD_WHOLE, true, 1, 5, AT(scenario, controllers), NULL},
    {"machines", FIELD_WHOLE, true, 1, 32, AT(scenario, machines), NULL},
    {"starved_most", FIELD_NUMBER, true, 0, 600, AT(scenario, starved_most), NULL},
    {"jobs_end_within", FIELD_NUMBER, true, 1, 600, AT(scenario, jobs_end_within), NULL},
    {"teams", FIELD_LIST, true, 0, SCENARIO_TEAMS, 0, read_team},
    {"steps", FIELD_LIST, true, 0, SCENARIO_STEPS, 0, read_step},
    {NULL, FIELD_TEXT, false, 0, 0, 0, NULL},
};

bool scenario_read(const char *path, struct scenario *out, char *err, size_t errlen) {
    struct reader r = {path, err, errlen, true};
    config_t c;
    memset(out, 0, sizeof *out);
    config_init(&c);
    config_set_options(&c, CONFIG_OPTION_AUTOCONVERT);
    if (!config_read_file(&c, path)) {
        char at[32];
        snprintf(at, sizeof at, "line %d", config_error_line(&c));
        fail(&r, at, config_error_text(&c));
    } else {
        read_group(&r, config_root_setting(&c), scenario_fields, out, out);
    }
    config_destroy(&c);
    return r.ok;
}
