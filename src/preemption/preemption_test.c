/* Tests of which tasks are preempted and on which machine. */
#include "preemption/preemption.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>
#include <string.h>

#include "../../tests/standin/shard_owner.h"
#include "../../tests/standin/store.h"
#include "../../tests/standin/test_settings.h"
#include "clock/clock.h"
#include "placement/placement.h"
#include "store/store.h"

static struct settings cfg;

static void only_array_tasks_of_lower_priority_are_preempted(void **state) {
    (void)state;
    static const struct {
        const char *name;
        enum job_kind kind;
        enum job_priority priority;
        bool released, stop_requested, expected;
    } rows[] = {
        {"lower priority", JOB_ARRAY, PRIORITY_NORMAL, false, false, true},
        {"the same priority", JOB_ARRAY, PRIORITY_HIGH, false, false, false},
        {"higher priority", JOB_ARRAY, PRIORITY_PRODUCTION, false, false, false},
        {"a gang", JOB_GANG, PRIORITY_IDLE, false, false, false},
        {"a service", JOB_SERVICE, PRIORITY_IDLE, false, false, false},
        {"already stopping", JOB_ARRAY, PRIORITY_IDLE, false, true, false},
        {"released", JOB_ARRAY, PRIORITY_IDLE, true, false, false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct job running_job = {.spec = {.kind = rows[i].kind}, .effective_priority = rows[i].priority};
        struct job job = {.effective_priority = PRIORITY_HIGH};
        struct allocation allocation = {
            .job = &running_job, .released = rows[i].released, .stop_requested = rows[i].stop_requested};
        struct priority_entry entry = {.job = &job};
        if (preemption_allowed(&allocation, &entry) != rows[i].expected) fail_msg("%s", rows[i].name);
    }
}

static void checkpoint_is_granted_only_within_the_accepted_wait(void **state) {
    (void)state;
    static const struct {
        double checkpoint_s, flush_s, max_grace_s, expected;
    } rows[] = {{0, 2, 60, 0}, {15, 2, 60, 3}, {15, 59, 60, 0}, {15, 100, 60, 0}, {15, 100, INFINITY, 101}};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct job_spec spec = {.checkpoint_s = rows[i].checkpoint_s, .checkpoint_flush_s = rows[i].flush_s};
        assert_float_equal(preemption_grace_s(&spec, rows[i].max_grace_s), rows[i].expected, 1e-9);
    }
}

/* The task that has run for longer is preempted, whether the tasks run on two full machines or on the same one. */
static void task_that_counts_as_started_is_preempted_first(void **state) {
    (void)state;
    static const struct {
        const char *name;
        int n_machines, machine_index[2]; /* of each task of the array; task 1 has just started */
        double gpus; /* requested by the job: the free GPUs of a machine plus the GPUs of one task of the array */
    } rows[] = {{"on two machines", 2, {0, 1}, 2}, {"on one machine", 1, {0, 0}, 1}};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        char array_id[32], job_id[32];
        g_snprintf(array_id, sizeof array_id, "req-86%zu00", i);
        g_snprintf(job_id, sizeof job_id, "req-86%zu01", i);
        store_lock();
        struct machine *machines[] = {shard_owner_add_machine("i-860000", "za", false),
                                      shard_owner_add_machine("i-860001", "za", false)};
        struct machine *task_machines[] = {machines[rows[i].machine_index[0]], machines[rows[i].machine_index[1]]};
        struct job *array = shard_owner_add_job(array_id, "batch", "normal", 2, 8, 1, false, false, 200);
        shard_owner_allocate(array, task_machines, 2);
        for (guint k = 0; k < 2; k++) {
            struct allocation *allocation = array->allocations->pdata[k];
            allocation->state = TASK_RUNNING;
            if (allocation->task == 1) allocation->state_since = clock_now();
        }
        struct priority_entry entry = {.job = shard_owner_add_job(job_id, "batch", "high", 1, 8, 2, false, false, 5)};
        entry.job->spec.gpus = rows[i].gpus;
        placement_prepare_machines(0);
        struct team_usage usage[SETTINGS_TEAMS_MAX] = {{0, 0}};
        g_autoptr(GPtrArray) candidates = g_ptr_array_new();
        for (int k = rows[i].n_machines - 1; k >= 0; k--) g_ptr_array_add(candidates, machines[k]);
        bool made_room = preemption_make_room(&entry, candidates, NULL, usage);
        bool stopped[2] = {false, false};
        for (guint k = 0; k < 2; k++) {
            const struct allocation *allocation = array->allocations->pdata[k];
            stopped[allocation->task] = allocation->stop_requested;
        }
        shard_owner_clear();
        store_unlock();
        if (!made_room || !stopped[0] || stopped[1])
            fail_msg("%s: room made %d, tasks stopped %d %d", rows[i].name, made_room, stopped[0], stopped[1]);
    }
}

int main(void) {
    if (!shard_owner_start_with_store(&cfg)) return 1;
    store_lock();
    shard_owner_put_machine_type();
    store_unlock();
    const struct CMUnitTest tests[] = {cmocka_unit_test(only_array_tasks_of_lower_priority_are_preempted),
                                       cmocka_unit_test(checkpoint_is_granted_only_within_the_accepted_wait),
                                       cmocka_unit_test(task_that_counts_as_started_is_preempted_first)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
