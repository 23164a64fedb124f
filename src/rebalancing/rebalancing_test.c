/* Tests of transferring machines between shards. */
#include "rebalancing/rebalancing.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "../../tests/standin/shard_owner.h"
#include "../../tests/standin/store.h"
#include "../../tests/standin/test_settings.h"
#include "clock/clock.h"
#include "jobs/jobs.h"
#include "placement/placement.h"
#include "store/store.h"

static struct settings cfg;

/* Each condition by itself keeps a machine from being transferred to another shard. */
static void machine_is_transferred_only_if_no_operation_is_pending(void **state) {
    (void)state;
    static const struct {
        int to_shard;
        bool dirty, outcome_unknown, in_flight, needs_token_raise, return_wanted, expected;
    } rows[] = {
        {1, false, false, false, false, false, true}, {-1, false, false, false, false, false, false},
        {1, true, false, false, false, false, false}, /* the round allocates on the machine */
        {1, false, true, false, false, false, false}, {1, false, false, true, false, false, false},
        {1, false, false, false, true, false, false}, {1, false, false, false, false, true, false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct machine machine;
        memset(&machine, 0, sizeof machine);
        machine.allocations = g_ptr_array_new();
        machine.rebalance.target_shard = rows[i].to_shard;
        machine.round.dirty = rows[i].dirty;
        machine.commands.start_outcome_unknown = rows[i].outcome_unknown;
        machine.commands.in_flight = rows[i].in_flight;
        machine.commands.needs_token_raise = rows[i].needs_token_raise;
        machine.retirement.return_wanted = rows[i].return_wanted;
        assert_int_equal(rebalancing_transfer_allowed(&machine), rows[i].expected);
        g_ptr_array_free(machine.allocations, TRUE);
    }
}

/* A job of team blue, whose home is shard 1, waits for a machine. Shard 0 has two machines; the older one is its
 * reception machine, which it keeps. */
static void spare_machine_is_transferred_to_a_waiting_job(void **state) {
    (void)state;
    static const struct {
        const char *name, *priority;
        bool eligible, own_job_waits;
        int expected; /* shard to which the second machine is transferred; -1: none */
    } rows[] = {
        {"the spare machine is idle", "normal", true, false, 1},
        {"the job has just become eligible", "normal", false, false, -1},
        {"a job of the same priority waits in shard 0", "normal", true, true, -1},
        {"the job has a higher priority than the job that waits in shard 0", "high", true, true, 1},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        char job_id[32], own_id[32], key[64];
        g_snprintf(job_id, sizeof job_id, "req-87%zu00", i);
        g_snprintf(own_id, sizeof own_id, "req-87%zu01", i);
        g_snprintf(key, sizeof key, "job/%s", job_id);
        g_autofree char *record = g_strdup_printf(
            "{\"spec\":{\"uid\":\"%s\",\"jobclass\":\"c\",\"owner\":\"blue\",\"shape\":\"batch\",\"rank\":\"%s\","
            "\"tasks\":1,\"vcpus\":1,\"gpus\":0,\"memory_gb\":4,\"image\":\"i\",\"pull_gb\":1,\"together\":false,"
            "\"spread\":false,\"reclaimable\":false,\"runtime_s\":50,\"checkpoint_s\":15,\"flush_s\":2},"
            "\"state\":\"queued\",\"at\":%f}",
            job_id, rows[i].priority, clock_time_of_day() - 10);
        store_lock();
        struct machine *reception_machine = shard_owner_add_machine("i-870000", "za", false);
        struct machine *spare_machine = shard_owner_add_machine("i-870001", "za", false);
        reception_machine->created_at = spare_machine->created_at - 1;
        g_strlcpy(reception_machine->address, "10.0.0.1:9000", sizeof reception_machine->address);
        g_strlcpy(spare_machine->address, "10.0.0.2:9000", sizeof spare_machine->address);
        reception_machine->owned_since = spare_machine->owned_since = (struct timespec){0, 0};
        shard_owner_put(key, record);
        struct job *job = jobs_find(job_id);
        assert_non_null(job);
        assert_int_equal(jobs_shard(job), 1);
        if (rows[i].eligible) job->eligible_since = (struct timespec){0, 0};
        if (rows[i].own_job_waits)
            shard_owner_add_job(own_id, "batch", "normal", 1, 1, 0, false, false, 5)->unplaced = true;
        placement_prepare_machines(0);
        owned_shard_states[0].rebalance_searched_at = (struct timespec){0, 0};
        rebalancing_plan(0);
        int reception_to = reception_machine->rebalance.target_shard, spare_to = spare_machine->rebalance.target_shard;
        shard_owner_put(key, NULL);
        shard_owner_clear();
        store_unlock();
        if (reception_to >= 0 || spare_to != rows[i].expected)
            fail_msg("%s: spare machine to shard %d, reception machine to %d", rows[i].name, spare_to, reception_to);
    }
}

int main(void) {
    if (!shard_owner_start_with_store(&cfg)) return 1;
    store_lock();
    shard_owner_put_machine_type();
    store_unlock();
    const struct CMUnitTest tests[] = {cmocka_unit_test(machine_is_transferred_only_if_no_operation_is_pending),
                                       cmocka_unit_test(spare_machine_is_transferred_to_a_waiting_job)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
