/* Tests of all kinds of transactions that an owner writes, under the store's next limits: 2 KiB per value and 4
 * operations per transaction, where the first version had 4 KiB and 8. No write exceeds the next limits, whatever
 * records the first version left, and all changes are recorded within a few rounds. */
#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "../../tests/standin/shard_owner.h"
#include "../../tests/standin/store.h"
#include "../../tests/standin/test_settings.h"
#include "allocations/allocations.h"
#include "clock/clock.h"
#include "json/json.h"
#include "machines/page_migration.h"
#include "placement/placement.h"
#include "scheduler/round.h"
#include "schema_version/schema_version.h"

#define NEXT_TXN_OPS 4
#define NEXT_VALUE_BYTES 2048
#define ROUNDS_MAX 40        /* all changes have to be recorded within this many rounds */
#define WIDE_ARRAY_TASKS 160 /* tasks in one record of the first version */
#define OLD_PAGE_MACHINES 31 /* machines on a page that the first version filled */

static struct settings cfg;

static void check_limits(const char *description, const struct store_txn *transaction) {
    const cJSON *operation;
    if (transaction->n_operations > NEXT_TXN_OPS || cJSON_GetArraySize(transaction->comparisons) > 4 * NEXT_TXN_OPS)
        fail_msg("%s: %d operations, %d comparisons", description, transaction->n_operations,
                 cJSON_GetArraySize(transaction->comparisons));
    cJSON_ArrayForEach(operation, transaction->operations) {
        char *text = cJSON_PrintUnformatted(cJSON_GetObjectItem(operation, "data"));
        if (text && strlen(text) > NEXT_VALUE_BYTES)
            fail_msg("%s: %s, %zu bytes", description, json_get_string(operation, "set"), strlen(text));
        free(text);
    }
}

/* Runs rounds until nothing is left to write, and applies all transactions as if the store had committed them. */
static void run_rounds_until_settled(const char *description) {
    for (int i = 0; i < ROUNDS_MAX; i++) {
        owned_shard_states[0].deferred_writes_at.tv_sec = 0;
        struct scheduling_round *round = scheduling_round_decide(0, 12);
        const GPtrArray *transactions = round->transactions;
        bool wrote = false;
        for (guint k = 0; k < transactions->len; k++) {
            const struct store_txn *transaction = transactions->pdata[k];
            check_limits(description, transaction);
            wrote |= transaction->n_operations > 0;
            scheduling_round_apply(round, transaction, shard_owner_next_revision());
        }
        scheduling_round_free(round);
        if (!wrote) return;
    }
    fail_msg("%s: changes are left to write after the last round", description);
}

/* Makes the machine look as if it had been up for a while. */
static void make_steady(struct machine *machine) {
    machine->liveness.up = true;
    machine->agent.reported_token = machines_fencing_token(machine);
    machine->liveness.last_heartbeat = machine->liveness.last_heard = clock_now();
    machine->occupancy.n_samples = 6;
}

/* Puts n machines of the shard on pages that are as full as pages of the first version. Returns n. */
static int put_old_pages(struct machine **machines, int n) {
    char id[32], key[32];
    for (int page = 0; page * OLD_PAGE_MACHINES < n; page++) {
        GString *text = g_string_new("{\"sku\":[\"g16\"],\"site\":[\"za\"],\"img\":[],\"m\":[");
        for (int i = page * OLD_PAGE_MACHINES; i < MIN(n, (page + 1) * OLD_PAGE_MACHINES); i++)
            g_string_append_printf(text, "%s[\"i-%06d\",\"10.1.200.%d:9000\",0,0,0,1,1764600000,\"\"]",
                                   i % OLD_PAGE_MACHINES ? "," : "", i, i);
        g_string_append(text, "]}");
        g_snprintf(key, sizeof key, "fleet/0/%d", page);
        shard_owner_put(key, text->str);
        g_string_free(text, TRUE);
    }
    for (int i = 0; i < n; i++) {
        g_snprintf(id, sizeof id, "i-%06d", i);
        machines[i] = machines_find(id);
        assert_non_null(machines[i]);
        assert_true(machines_owned(machines[i]));
        make_steady(machines[i]);
    }
    return n;
}

/* Puts an array whose record is as wide and as large as the first version wrote it. */
static struct job *put_old_wide_array(const char *job_id, struct machine **hosts, int n) {
    struct job *job = shard_owner_add_job(job_id, "batch", "normal", WIDE_ARRAY_TASKS, 0.1, 0, false, true, 10);
    GString *text = g_string_new("{\"f\":100,\"b\":\"");
    for (int task = 0; task < WIDE_ARRAY_TASKS; task++)
        g_string_append_printf(text, "%s%d@%s+%d", task ? " " : "", task, hosts[task % n]->id, 1000000 + task);
    g_string_append(text, "\"}");
    assert_true(text->len > NEXT_VALUE_BYTES);
    shard_owner_put(store_key_allocations(job->spec.job_id, 0).text, text->str);
    g_string_free(text, TRUE);
    for (guint i = 0; i < job->allocations->len; i++) {
        struct allocation *allocation = job->allocations->pdata[i];
        allocation->inherited = false;
        allocation->was_listed = true;
        allocation->state = TASK_RUNNING;
    }
    assert_int_equal(allocations_count(job), WIDE_ARRAY_TASKS);
    return job;
}

/* Ends every `step`-th allocation, as a heartbeat would. */
static void end_allocations(struct job *job, guint step) {
    for (guint i = 0; i < job->allocations->len; i += step) {
        struct allocation *allocation = job->allocations->pdata[i];
        allocation->released = true;
        if (job->state == JOB_QUEUED) jobs_mark_done(job, allocation->task);
        chunks_mark_dirty(job, allocation->task);
    }
}

static void first_allocations_fit_the_next_limits(void **state) {
    (void)state;
    static const struct {
        const char *description, *kind;
        int tasks;
    } rows[] = {{"a gang", "group", 8},
                {"a wide array", "batch", WIDE_ARRAY_TASKS},
                {"a service", "standing", 8},
                {"an array too wide for one round", "batch", 400}};
    store_lock();
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        char id[32];
        for (int machine = 0; machine < 40; machine++) {
            g_snprintf(id, sizeof id, "i-%06d", machine);
            shard_owner_add_machine(id, "za", false);
        }
        char job_id[32];
        g_snprintf(job_id, sizeof job_id, "req-%zu", 20000 + i); /* a new id, since a job's final state never changes */
        struct job *job = shard_owner_add_job(job_id, rows[i].kind, "high", rows[i].tasks, 0.1, 0, false, false, 5);
        run_rounds_until_settled(rows[i].description);
        if (allocations_count(job) != rows[i].tasks)
            fail_msg("%s: %d tasks allocated", rows[i].description, allocations_count(job));
        shard_owner_clear();
    }
    store_unlock();
}

/* A record of the first version that exceeds the next limit is replaced by smaller records in one transaction. Its job
 * keeps all allocations, and the records are removed when the job ends. */
static void wide_record_is_replaced_by_smaller_records(void **state) {
    (void)state;
    struct machine *hosts[OLD_PAGE_MACHINES];
    store_lock();
    int n = put_old_pages(hosts, OLD_PAGE_MACHINES);
    struct job *job = put_old_wide_array("req-10010", hosts, n);
    for (int i = 0; i < 5; i++) { /* a few tasks are done */
        struct allocation *allocation = job->allocations->pdata[i];
        allocation->released = true;
        jobs_mark_done(job, allocation->task);
    }
    run_rounds_until_settled("a wide record");
    assert_int_equal(allocations_count(job), WIDE_ARRAY_TASKS - 5);
    assert_int_equal(job->n_done, 5);
    assert_int_equal(chunks_size(job), 72);
    assert_int_equal(job->n_recorded_chunks, 3);
    assert_int_equal(job->n_dirty_chunks, 0);
    end_allocations(job, 1);
    run_rounds_until_settled("the end of a wide array");
    assert_int_equal(job->state, JOB_DONE);
    assert_int_equal(job->n_recorded_chunks, 0);
    assert_int_equal(job->allocations->len, 0);
    /* The records of an array that is cancelled before its tasks end are removed as well. */
    struct job *cancelled_job = put_old_wide_array("req-10011", hosts, n);
    /* The record of a cancelled job needs only the id in its spec. */
    shard_owner_put("job/req-10011", "{\"spec\":{\"uid\":\"req-10011\"},\"state\":\"cancelled\",\"at\":1}");
    assert_int_equal(cancelled_job->state, JOB_CANCELLED);
    end_allocations(cancelled_job, 2);
    run_rounds_until_settled("the end of half of a cancelled array");
    assert_int_equal(allocations_count(cancelled_job), WIDE_ARRAY_TASKS / 2);
    end_allocations(cancelled_job, 1);
    run_rounds_until_settled("the end of a cancelled array");
    assert_int_equal(cancelled_job->n_recorded_chunks, 0);
    shard_owner_clear();
    store_unlock();
}

/* Pages that exceed the next limit are emptied, while tokens of their machines are raised and machines are returned and
 * transferred. No machine is lost, and tasks on these machines stay allocated. */
static void oversized_pages_are_emptied_without_losing_a_machine(void **state) {
    (void)state;
    enum { MACHINES = 3 * OLD_PAGE_MACHINES, RETURNED_INDEX = 50, TRANSFERRED_INDEX = 52 };
    struct machine *hosts[MACHINES];
    bool oversized[MACHINE_PAGES_MAX];
    store_lock();
    int n = put_old_pages(hosts, MACHINES);
    struct job *job = shard_owner_add_job("req-10020", "standing", "high", 8, 1, 0, false, false, 10);
    shard_owner_allocate(job, hosts, 8);
    machines_find_oversized_pages(0, oversized);
    assert_true(oversized[0] && oversized[1] && oversized[2]);
    for (int i = 0; i < n; i++) {
        hosts[i]->commands.needs_token_raise = i % 3 == 0;
        hosts[i]->commands.unknown_start_token = machines_fencing_token(hosts[i]);
    }
    hosts[RETURNED_INDEX]->retirement.return_wanted = true;
    hosts[TRANSFERRED_INDEX]->rebalance.target_shard = 1;
    hosts[TRANSFERRED_INDEX]->rebalance.chosen_at = clock_now();
    run_rounds_until_settled("oversized pages");
    machines_find_oversized_pages(0, oversized);
    for (int page = 0; page < MACHINE_PAGES_MAX; page++) {
        assert_false(oversized[page]);
        assert_false(machines_page_is_stale(0, page));
    }
    for (int i = 0; i < n; i++) {
        char id[32];
        g_snprintf(id, sizeof id, "i-%06d", i);
        const struct machine *machine = machines_find(id);
        if (!machine || machine->shard != (i == TRANSFERRED_INDEX))
            fail_msg("machine %d is lost or in the wrong shard", i);
        assert_false(machine->commands.needs_token_raise);
    }
    assert_true(hosts[RETURNED_INDEX]->retirement.returning);
    assert_int_equal(allocations_count(job), 8);
    shard_owner_clear();
    shard_owner_put("machine/i-000052", NULL);
    store_unlock();
}

/* Machines that arrive from another shard are assigned to a page. */
static void transferred_machines_get_a_page(void **state) {
    (void)state;
    char key[64], id[32];
    store_lock();
    for (int i = 0; i < 9; i++) {
        g_snprintf(key, sizeof key, "machine/i-%06d", 500 + i);
        shard_owner_put(
            key,
            "{\"share\":0,\"fence\":3,\"address\":\"10.0.0.1:9000\",\"flavour\":\"g16\",\"site\":\"za\",\"spot\":"
            "false,\"born\":1}");
    }
    run_rounds_until_settled("arrivals");
    for (int i = 0; i < 9; i++) {
        g_snprintf(id, sizeof id, "i-%06d", 500 + i);
        const struct machine *machine = machines_find(id);
        assert_non_null(machine);
        assert_true(machine->page >= 0);
    }
    shard_owner_clear();
    store_unlock();
}

int main(void) {
    char *text = test_settings_json();
    char *next_limits =
        test_replace_first(text, "\"txn_ops\":8", "\"txn_ops\":8,\"next\":{\"value_kb\":2,\"txn_ops\":4}");
    if (!settings_parse(next_limits, "f.json", &cfg, NULL) || !standin_store_start(cfg.store_address)) return 1;
    g_free(text);
    g_free(next_limits);
    shard_owner_start(&cfg);
    store_lock();
    shard_owner_put(
        "types",
        "{\"flavours\":[{\"sku\":\"g16\",\"vcpus\":16,\"gpus\":2,\"memory_gb\":640,\"hourly\":7,\"market_price\":2,"
        "\"startup_s\":25,\"sites\":[\"za\",\"zb\",\"zc\"]}]}");
    shard_owner_put("format/n0", "{\"version\":2}");
    shard_owner_put("format/n1", "{\"version\":2}");
    store_unlock();
    const struct CMUnitTest tests[] = {cmocka_unit_test(first_allocations_fit_the_next_limits),
                                       cmocka_unit_test(wide_record_is_replaced_by_smaller_records),
                                       cmocka_unit_test(oversized_pages_are_emptied_without_losing_a_machine),
                                       cmocka_unit_test(transferred_machines_get_a_page)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
