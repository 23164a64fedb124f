/* The checks of histories are shown to fail: each on a made-up log that breaks what it checks, and on none other. */
#include "history.h"

#include <glib.h>

#include "site.h"

enum what { COMES, GOES, ACCEPTED, CANCELLED };
struct step {
    double at;
    enum what what;
    const char *name;
    int tasks;
};

#define STEPS_MAX 12
#define LIMIT 2.0
#define GUARANTEE 2.0

static const struct {
    const char *what;
    struct step steps[STEPS_MAX];
    double peak, starved;
    int above, twice;
} rows[] = {
    {"within the limit",
     {{0, ACCEPTED, "a", 3}, {1, COMES, "a/0", 0}, {1, COMES, "a/1", 0}, {4, GOES, "a/0", 0}, {4, COMES, "a/2", 0}},
     2,
     1,
     0,
     0},
    {"one task too many",
     {{0, ACCEPTED, "a", 3}, {1, COMES, "a/0", 0}, {1, COMES, "a/1", 0}, {2, COMES, "a/2", 0}, {4, GOES, "a/0", 0}},
     3,
     1,
     1,
     0},
    {"too many for a moment only, told late",
     {{0, ACCEPTED, "a", 3}, {1, COMES, "a/0", 0}, {1, COMES, "a/1", 0}, {4, GOES, "a/0", 0}, {3.9, COMES, "a/2", 0}},
     3,
     1,
     1,
     0},
    {"a task on two machines",
     {{0, ACCEPTED, "a", 1}, {1, COMES, "a/0", 0}, {2, COMES, "a/0", 0}, {3, GOES, "a/0", 0}},
     2,
     1,
     0,
     1},
    {"a task that moves",
     {{0, ACCEPTED, "a", 1}, {1, COMES, "a/0", 0}, {2, GOES, "a/0", 0}, {2, COMES, "a/0", 0}},
     1,
     1,
     0,
     0},
    {"a starved guarantee",
     {{0, ACCEPTED, "a", 1}, {1, COMES, "a/0", 0}, {2, ACCEPTED, "b", 1}, {30, COMES, "b/0", 0}},
     2,
     28,
     0,
     0},
    {"starved to the end", {{0, ACCEPTED, "a", 1}, {5, ACCEPTED, "x", 1}, {40, COMES, "x/0", 0}}, 0, 40, 0, 0},
    {"work that was cancelled waits no more",
     {{0, ACCEPTED, "a", 1}, {3, CANCELLED, "a", 0}, {40, ACCEPTED, "x", 1}},
     0,
     3,
     0,
     0},
    {"work beyond the guarantee may wait",
     {{0, ACCEPTED, "a", 3}, {1, COMES, "a/0", 0}, {2, COMES, "a/1", 0}, {50, COMES, "a/2", 0}},
     3,
     1,
     1,
     0},
    {"another team's work", {{0, ACCEPTED, "x", 9}, {1, COMES, "x/0", 0}, {1, COMES, "x/1", 0}}, 0, 0, 0, 0},
};

static void histories(void **state) {
    (void)state;
    for (size_t r = 0; r < G_N_ELEMENTS(rows); r++) {
        struct history *h = history_new();
        for (int i = 0; i < STEPS_MAX && rows[r].steps[i].name; i++) {
            const struct step *s = &rows[r].steps[i];
            if (s->what == ACCEPTED)
                history_accepted(h, s->at, s->name, s->name[0] == 'x' ? "blue" : "red", s->tasks, 1);
            if (s->what == CANCELLED) history_cancelled(h, s->at, s->name);
            if (s->what == COMES || s->what == GOES) history_task(h, s->at, s->name, s->what == COMES);
        }
        if (history_peak(h, "red") != rows[r].peak) fail_msg("%s: peak %g", rows[r].what, history_peak(h, "red"));
        if (history_above(h, "red", LIMIT, 0) != rows[r].above) fail_msg("%s: above the limit", rows[r].what);
        if (history_twice(h) != rows[r].twice) fail_msg("%s: on two machines", rows[r].what);
        double starved = history_starved(h, "red", GUARANTEE);
        if (starved < rows[r].starved - 1e-9 || starved > rows[r].starved + 1e-9)
            fail_msg("%s: starved for %g s", rows[r].what, starved);
        double last = rows[r].steps[0].at;
        for (int i = 0; i < STEPS_MAX && rows[r].steps[i].name; i++) last = MAX(last, rows[r].steps[i].at);
        if (history_above(h, "red", LIMIT, last + 1) != 0) fail_msg("%s: above after its end", rows[r].what);
        history_free(h);
    }
}

/* What a team held least in a span, and when it held so much first. */
static void spans(void **state) {
    (void)state;
    struct history *h = history_new();
    history_accepted(h, 0, "a", "red", 3, 1);
    history_task(h, 1, "a/0", true);
    history_task(h, 2, "a/1", true);
    history_task(h, 5, "a/0", false);
    history_task(h, 6, "a/2", true);
    assert_true(history_least(h, "red", 2.5, 4) == 2);
    assert_true(history_least(h, "red", 2.5, 7) == 1);
    assert_true(history_reached(h, "red", 0, 2) == 2);
    assert_true(history_reached(h, "red", 3, 2) == 3);
    assert_true(history_reached(h, "red", 0, 3) < 0);
    history_accepted(h, 6, "b", "red", 1, 1);
    history_task(h, 9, "b/0", true);
    history_accepted(h, 20, "c", "red", 1, 1); /* nothing waited before */
    history_task(h, 21, "c/0", true);
    assert_true(history_pause(h, "red", 0, 30) == 4);
    assert_true(history_pause(h, "red", 5.5, 30) == 3);
    assert_true(history_mean(h, "red", 2, 6, 2) == 0.875);
    history_free(h);
}

int main(void) {
    const struct CMUnitTest tests[] = {cmocka_unit_test(histories), cmocka_unit_test(spans)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
