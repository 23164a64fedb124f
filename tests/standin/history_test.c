/* Tests that each check of a history reports a made-up history that violates it, and no other. */
#include "history.h"

#include <glib.h>

#include "test_settings.h"

enum event_kind { STARTED, GONE, ACCEPTED, CANCELLED };
struct event {
    double at;
    enum event_kind kind;
    const char *name;
    int tasks;
};

#define EVENTS_MAX 12
#define LIMIT 2.0
#define GUARANTEE 2.0

static const struct {
    const char *description;
    struct event events[EVENTS_MAX];
    double peak_gpus, longest_starvation_s;
    int starts_above_limit, duplicate_starts;
} rows[] = {
    {"within the limit",
     {{0, ACCEPTED, "a", 3},
      {1, STARTED, "a/0", 0},
      {1, STARTED, "a/1", 0},
      {4, GONE, "a/0", 0},
      {4, STARTED, "a/2", 0}},
     2,
     1,
     0,
     0},
    {"one task too many",
     {{0, ACCEPTED, "a", 3},
      {1, STARTED, "a/0", 0},
      {1, STARTED, "a/1", 0},
      {2, STARTED, "a/2", 0},
      {4, GONE, "a/0", 0}},
     3,
     1,
     1,
     0},
    {"one task too many for 0.1 s, reported out of order",
     {{0, ACCEPTED, "a", 3},
      {1, STARTED, "a/0", 0},
      {1, STARTED, "a/1", 0},
      {4, GONE, "a/0", 0},
      {3.9, STARTED, "a/2", 0}},
     3,
     1,
     1,
     0},
    {"a task on two machines",
     {{0, ACCEPTED, "a", 1}, {1, STARTED, "a/0", 0}, {2, STARTED, "a/0", 0}, {3, GONE, "a/0", 0}},
     2,
     1,
     0,
     1},
    {"a task moves to another machine",
     {{0, ACCEPTED, "a", 1}, {1, STARTED, "a/0", 0}, {2, GONE, "a/0", 0}, {2, STARTED, "a/0", 0}},
     1,
     1,
     0,
     0},
    {"a task within the guarantee waits",
     {{0, ACCEPTED, "a", 1}, {1, STARTED, "a/0", 0}, {2, ACCEPTED, "b", 1}, {30, STARTED, "b/0", 0}},
     2,
     28,
     0,
     0},
    {"starved to the end of the history",
     {{0, ACCEPTED, "a", 1}, {5, ACCEPTED, "x", 1}, {40, STARTED, "x/0", 0}},
     0,
     40,
     0,
     0},
    {"a cancelled job no longer waits",
     {{0, ACCEPTED, "a", 1}, {3, CANCELLED, "a", 0}, {40, ACCEPTED, "x", 1}},
     0,
     3,
     0,
     0},
    {"a task beyond the guarantee may wait",
     {{0, ACCEPTED, "a", 3}, {1, STARTED, "a/0", 0}, {2, STARTED, "a/1", 0}, {50, STARTED, "a/2", 0}},
     3,
     1,
     1,
     0},
    {"tasks of another team", {{0, ACCEPTED, "x", 9}, {1, STARTED, "x/0", 0}, {1, STARTED, "x/1", 0}}, 0, 0, 0, 0},
};

static void checks_report_violations(void **state) {
    (void)state;
    for (size_t row = 0; row < G_N_ELEMENTS(rows); row++) {
        struct history *history = history_new();
        for (int i = 0; i < EVENTS_MAX && rows[row].events[i].name; i++) {
            const struct event *event = &rows[row].events[i];
            if (event->kind == ACCEPTED)
                history_add_accepted_job(history, event->at, event->name, event->name[0] == 'x' ? "blue" : "red",
                                         event->tasks, 1);
            if (event->kind == CANCELLED) history_add_cancelled_job(history, event->at, event->name);
            if (event->kind == STARTED || event->kind == GONE)
                history_add_task_event(history, event->at, event->name, event->kind == STARTED);
        }
        if (history_peak_gpus(history, "red") != rows[row].peak_gpus)
            fail_msg("%s: peak %g", rows[row].description, history_peak_gpus(history, "red"));
        if (history_starts_above_limit(history, "red", LIMIT, 0) != rows[row].starts_above_limit)
            fail_msg("%s: starts above the limit", rows[row].description);
        if (history_duplicate_starts(history) != rows[row].duplicate_starts)
            fail_msg("%s: duplicate starts", rows[row].description);
        double starved = history_longest_starvation_s(history, "red", GUARANTEE);
        if (starved < rows[row].longest_starvation_s - 1e-9 || starved > rows[row].longest_starvation_s + 1e-9)
            fail_msg("%s: starved for %g s", rows[row].description, starved);
        double last = rows[row].events[0].at;
        for (int i = 0; i < EVENTS_MAX && rows[row].events[i].name; i++) last = MAX(last, rows[row].events[i].at);
        if (history_starts_above_limit(history, "red", LIMIT, last + 1) != 0)
            fail_msg("%s: starts above the limit after the last event", rows[row].description);
        history_free(history);
    }
}

/* Tests the figures of a period: minimum, time to reach, longest gap between starts, and mean. */
static void figures_of_a_period(void **state) {
    (void)state;
    struct history *history = history_new();
    history_add_accepted_job(history, 0, "a", "red", 3, 1);
    history_add_task_event(history, 1, "a/0", true);
    history_add_task_event(history, 2, "a/1", true);
    history_add_task_event(history, 5, "a/0", false);
    history_add_task_event(history, 6, "a/2", true);
    assert_true(history_min_gpus(history, "red", 2.5, 4) == 2);
    assert_true(history_min_gpus(history, "red", 2.5, 7) == 1);
    assert_true(history_time_to_reach_s(history, "red", 0, 2) == 2);
    assert_true(history_time_to_reach_s(history, "red", 3, 2) == 3);
    assert_true(history_time_to_reach_s(history, "red", 0, 3) < 0);
    history_add_accepted_job(history, 6, "b", "red", 1, 1);
    history_add_task_event(history, 9, "b/0", true);
    history_add_accepted_job(history, 20, "c", "red", 1, 1); /* no task waited between 9 and 20 */
    history_add_task_event(history, 21, "c/0", true);
    assert_true(history_longest_start_gap_s(history, "red", 0, 30) == 4);
    assert_true(history_longest_start_gap_s(history, "red", 5.5, 30) == 3);
    assert_true(history_mean_utilisation(history, "red", 2, 6, 2) == 0.875);
    history_free(history);
}

int main(void) {
    const struct CMUnitTest tests[] = {cmocka_unit_test(checks_report_violations),
                                       cmocka_unit_test(figures_of_a_period)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
