/* Tests of the order of a shard's jobs. */
#include "priority/priority.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "../../tests/standin/shard_owner.h"
#include "../../tests/standin/store.h"
#include "../../tests/standin/test_settings.h"
#include "jobs/jobs.h"
#include "store/store.h"

static struct settings cfg;

static void higher_priority_then_earlier_due_time_goes_first(void **state) {
    (void)state;
    static const struct {
        const char *description, *first_priority, *second_priority;
        double first_age_s, second_age_s;
    } rows[] = {
        {"higher priority goes first, although younger", "high", "normal", 1, 20},
        {"production goes before high", "production", "high", 1, 20},
        {"idle goes last", "normal", "idle", 1, 20},
        {"same priority: the earlier due time goes first", "normal", "normal", 20, 1},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        char first_id[32], second_id[32];
        g_snprintf(first_id, sizeof first_id, "req-84%zu01", i); /* jobs equal in all else are ordered by id */
        g_snprintf(second_id, sizeof second_id, "req-84%zu00", i);
        store_lock();
        struct job *first =
            shard_owner_add_job(first_id, "batch", rows[i].first_priority, 1, 1, 0, false, false, rows[i].first_age_s);
        struct job *second = shard_owner_add_job(second_id, "batch", rows[i].second_priority, 1, 1, 0, false, false,
                                                 rows[i].second_age_s);
        GArray *order = priority_order_shard(0);
        guint n_entries = order->len;
        bool in_order = n_entries == 2 && g_array_index(order, struct priority_entry, 0).job == first &&
                        g_array_index(order, struct priority_entry, 1).job == second;
        g_array_free(order, TRUE);
        shard_owner_clear();
        store_unlock();
        if (!in_order) fail_msg("%s: wrong order of %u jobs", rows[i].description, n_entries);
    }
}

/* A job with an objective goes before a job of the same priority without one, even if that one is older, unless the
 * default due time of the job without an objective comes first. */
static void job_with_objective_goes_first(void **state) {
    (void)state;
    static const struct {
        const char *description;
        double other_age_s, objective_age_s; /* ages of the jobs without and with an objective */
        bool objective_job_first;
    } rows[] = {
        {"both jobs are equally old", 10, 10, true},
        {"the job without an objective is older", 200, 10, true},
        {"the job without an objective is due first", 590, 10, false},
        {"the job without an objective has missed its due time", 900, 10, true},
    };
    cfg.objectives[0] = (struct settings_objective){OBJECTIVE_FINISHED, (char *)"expected", 400, 0.9};
    cfg.n_objectives = 1;
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        char other_id[32], objective_id[32];
        g_snprintf(other_id, sizeof other_id, "req-83%zu00", i);
        g_snprintf(objective_id, sizeof objective_id, "req-83%zu01", i);
        store_lock();
        struct job *other_job =
            shard_owner_add_job(other_id, "batch", "idle", 2, 16, 2, false, false, rows[i].other_age_s);
        struct job *objective_job =
            shard_owner_add_job(objective_id, "batch", "idle", 1, 16, 2, false, false, rows[i].objective_age_s);
        g_free(objective_job->spec.job_class);
        objective_job->spec.job_class = g_strdup("expected");
        other_job->n_reported_done = 1; /* has started, so its wait for the first task does not count */
        GArray *order = priority_order_shard(0);
        bool ranked_first = g_array_index(order, struct priority_entry, 0).job == objective_job;
        g_array_free(order, TRUE);
        shard_owner_clear();
        store_unlock();
        if (ranked_first != rows[i].objective_job_first)
            fail_msg("%s: job with an objective goes first: %d", rows[i].description, ranked_first);
    }
    cfg.n_objectives = 0;
}

int main(void) {
    if (!shard_owner_start_with_store(&cfg)) return 1;
    const struct CMUnitTest tests[] = {cmocka_unit_test(higher_priority_then_earlier_due_time_goes_first),
                                       cmocka_unit_test(job_with_objective_goes_first)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
