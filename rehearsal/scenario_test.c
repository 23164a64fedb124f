/* Tests that scenario files are checked against the schema, and that an error names the field that is wrong. */
#include "scenario.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "../tests/standin/test_settings.h"

#define HEAD "what = \"w\"\ncontrollers = 2\nmachines = 4\nstarved_most = 5.0\njobs_end_within = 20.0\n"
#define TEAM "teams = ( { name = \"red\", guarantee = 2, limit = 4, shares = 2 } )\n"

static void errors_name_the_wrong_field(void **state) {
    (void)state;
    static const struct {
        const char *text, *wrong_field; /* the field that the error must name; NULL: the file is valid */
    } rows[] = {
        {HEAD TEAM "steps = ( { at = 0, action = \"burst\", team = \"red\", count = 3 } )", NULL},
        {HEAD TEAM "steps = ( { at = 0.5, action = \"cut\", controller = 1 } )", NULL},
        {HEAD TEAM "command_copies_within = 8.0\nsteps = ( )", NULL},
        {HEAD TEAM "command_copies_within = -1.0\nsteps = ( )", "command_copies_within"},
        {HEAD TEAM "steps = ( { at = 0, action = \"burst\", team = \"red\" } )", "team"},
        {HEAD TEAM "steps = ( { at = 0, action = \"burst\", team = \"rot\", count = 3 } )", "team"},
        {HEAD TEAM "steps = ( { at = 0, action = \"explode\", controller = 1 } )", "action"},
        {HEAD TEAM "steps = ( { at = 0, action = \"end\", controller = 2 } )", "controller"},
        {HEAD TEAM "steps = ( { at = 0, action = \"end\", controller = 1, why = \"x\" } )", "why"},
        {HEAD TEAM "steps = ( { action = \"end\", controller = 1 } )", "at"},
        {HEAD TEAM "steps = ( { at = \"soon\", action = \"end\", controller = 1 } )", "at"},
        {HEAD TEAM "steps = ( 3 )", "entry"},
        {HEAD TEAM "steps = 3", "steps"},
        {HEAD "teams = ( { name = \"red\", guarantee = 9, limit = 4 } )\nsteps = ( )", "guarantee"},
        {HEAD "steps = ( )", "teams"},
        {TEAM "steps = ( )", "what"},
        {HEAD TEAM "steps = (", "line"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct scenario scenario;
        char err[256] = "", *path = NULL;
        int fd = g_file_open_tmp("fieldfield-scenario-XXXXXX", &path, NULL);
        assert_true(fd >= 0);
        close(fd);
        assert_true(g_file_set_contents(path, rows[i].text, -1, NULL));
        bool valid = scenario_read(path, &scenario, err, sizeof err);
        if (valid != (rows[i].wrong_field == NULL)) fail_msg("%s: %s", rows[i].text, err);
        if (rows[i].wrong_field && !strstr(err, rows[i].wrong_field)) fail_msg("%s: %s", rows[i].text, err);
        unlink(path);
        g_free(path);
    }
}

int main(void) {
    const struct CMUnitTest tests[] = {cmocka_unit_test(errors_name_the_wrong_field)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
