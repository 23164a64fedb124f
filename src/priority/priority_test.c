/* The order of a shard's jobs. */
#include "priority/priority.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "../../tests/standin/owned.h"
#include "../../tests/standin/site.h"
#include "../../tests/standin/store.h"
#include "jobs/jobs.h"
#include "store/store.h"

static struct settings cfg;

static void higher_priority_then_earlier_due_time_goes_first(void **state) {
    (void)state;
    static const struct {
        const char *what, *first_priority, *second_priority;
        double first_age, second_age;
    } rows[] = {
        {"higher priority, though younger", "high", "normal", 1, 20},
        {"production before all others", "production", "high", 1, 20},
        {"idle last", "normal", "idle", 1, 20},
        {"of one priority the one that is due first", "normal", "normal", 20, 1},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        char first_id[32], second_id[32];
        g_snprintf(first_id, sizeof first_id, "req-84%zu01", i); /* where all else is equal the lower id goes first */
        g_snprintf(second_id, sizeof second_id, "req-84%zu00", i);
        store_lock();
        struct job *first =
            owned_job(first_id, "batch", rows[i].first_priority, 1, 1, 0, false, false, rows[i].first_age);
        struct job *second =
            owned_job(second_id, "batch", rows[i].second_priority, 1, 1, 0, false, false, rows[i].second_age);
        GArray *order = priority_order_shard(0);
        guint n = order->len;
        bool in_order = n == 2 && g_array_index(order, struct priority_entry, 0).job == first &&
                        g_array_index(order, struct priority_entry, 1).job == second;
        g_array_free(order, TRUE);
        owned_clear();
        store_unlock();
        if (!in_order) fail_msg("%s: not in this order, %u jobs", rows[i].what, n);
    }
}

/* Work that somebody expects by a time goes before work of its priority that nobody does, however old that is. */
static void job_with_objective_goes_first(void **state) {
    (void)state;
    static const struct {
        const char *what;
        double age, expected_age; /* of the job without an objective, and of the one that is to be done within 400 s */
        bool expected_first;
    } rows[] = {
        {"came together", 10, 10, true},
        {"the one without an objective is older", 200, 10, true},
        {"so old that its turn has come", 590, 10, false},
        {"it has missed that and steps back, like all late work", 900, 10, true},
    };
    cfg.objectives[0] = (struct settings_objective){OBJECTIVE_FINISHED, (char *)"expected", 400, 0.9};
    cfg.n_objectives = 1;
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        char plain_id[32], expected_id[32];
        g_snprintf(plain_id, sizeof plain_id, "req-83%zu00", i);
        g_snprintf(expected_id, sizeof expected_id, "req-83%zu01", i);
        store_lock();
        struct job *plain = owned_job(plain_id, "batch", "idle", 2, 16, 2, false, false, rows[i].age);
        struct job *expected = owned_job(expected_id, "batch", "idle", 1, 16, 2, false, false, rows[i].expected_age);
        g_free(expected->spec.job_class);
        expected->spec.job_class = g_strdup("expected");
        plain->n_reported_done = 1; /* it has begun */
        GArray *order = priority_order_shard(0);
        bool first = g_array_index(order, struct priority_entry, 0).job == expected;
        g_array_free(order, TRUE);
        owned_clear();
        store_unlock();
        if (first != rows[i].expected_first) fail_msg("%s: %d", rows[i].what, first);
    }
    cfg.n_objectives = 0;
}

int main(void) {
    if (!owned_start_site(&cfg)) return 1;
    const struct CMUnitTest tests[] = {cmocka_unit_test(higher_priority_then_earlier_due_time_goes_first),
                                       cmocka_unit_test(job_with_objective_goes_first)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
