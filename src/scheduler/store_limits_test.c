/* Every shape of transaction that an owner writes, under the next limits of the store: 2 KiB a value and 4
 * operations, where 4 KiB and 8 were the first version's. Nothing exceeds them, whatever the first version has left on
 * record, and what was asked for is on record after a few rounds. */
#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "../../tests/standin/owned.h"
#include "../../tests/standin/site.h"
#include "../../tests/standin/store.h"
#include "allocations/allocations.h"
#include "clock/clock.h"
#include "json/json.h"
#include "machines/page_migration.h"
#include "placement/placement.h"
#include "scheduler/round.h"
#include "schema_version/schema_version.h"

#define NEXT_OPS 4
#define NEXT_BYTES 2048
#define ROUNDS 40 /* a day's worth of nothing else to do */
#define WIDE 160  /* tasks that one record of the first version holds */
#define OLD_PAGE 31

static struct settings cfg;

static void check_limits(const char *what, const struct store_txn *transaction) {
    const cJSON *op;
    if (transaction->writes > NEXT_OPS || cJSON_GetArraySize(transaction->comparisons) > 4 * NEXT_OPS)
        fail_msg("%s: %d operations, %d comparisons", what, transaction->writes,
                 cJSON_GetArraySize(transaction->comparisons));
    cJSON_ArrayForEach(op, transaction->operations) {
        char *text = cJSON_PrintUnformatted(cJSON_GetObjectItem(op, "data"));
        if (text && strlen(text) > NEXT_BYTES)
            fail_msg("%s: %s, %zu bytes", what, json_get_string(op, "set"), strlen(text));
        free(text);
    }
}

/* Rounds until nothing is written any more; all that is written is applied as the store would. */
static void settle(const char *what) {
    for (int i = 0; i < ROUNDS; i++) {
        shard_states[0].compacted_at.tv_sec = 0;
        struct scheduling_round *round = scheduling_round_decide(0, 12);
        const GPtrArray *txns = round->transactions;
        bool wrote = false;
        for (guint t = 0; t < txns->len; t++) {
            const struct store_txn *transaction = txns->pdata[t];
            check_limits(what, transaction);
            wrote |= transaction->writes > 0;
            scheduling_round_apply(round, transaction, owned_next_revision());
        }
        scheduling_round_free(round);
        if (!wrote) return;
    }
    fail_msg("%s: does not settle", what);
}

static void keep_steady(struct machine *machine) {
    machine->liveness.up = true;
    machine->agent.seen_token = machines_fencing_token(machine);
    machine->liveness.last_heartbeat = machine->liveness.last_heard = clock_now();
    machine->occupancy.n_samples = 6;
}

/* Machines of the shard on pages as full as the first version filled them. */
static int old_pages(struct machine **out, int n) {
    char id[32], key[32];
    for (int page = 0; page * OLD_PAGE < n; page++) {
        GString *text = g_string_new("{\"sku\":[\"g16\"],\"site\":[\"za\"],\"img\":[],\"m\":[");
        for (int i = page * OLD_PAGE; i < MIN(n, (page + 1) * OLD_PAGE); i++)
            g_string_append_printf(text, "%s[\"i-%06d\",\"10.1.200.%d:9000\",0,0,0,1,1764600000,\"\"]",
                                   i % OLD_PAGE ? "," : "", i, i);
        g_string_append(text, "]}");
        g_snprintf(key, sizeof key, "fleet/0/%d", page);
        owned_put(key, text->str);
        g_string_free(text, TRUE);
    }
    for (int i = 0; i < n; i++) {
        g_snprintf(id, sizeof id, "i-%06d", i);
        out[i] = machines_find(id);
        assert_non_null(out[i]);
        assert_true(machines_owned(out[i]));
        keep_steady(out[i]);
    }
    return n;
}

/* An array whose record is as wide and as large as the first version made it. */
static struct job *old_wide_array(const char *job_id, struct machine **on, int n) {
    struct job *job = owned_job(job_id, "batch", "normal", WIDE, 0.1, 0, false, true, 10);
    GString *text = g_string_new("{\"f\":100,\"b\":\"");
    for (int t = 0; t < WIDE; t++)
        g_string_append_printf(text, "%s%d@%s+%d", t ? " " : "", t, on[t % n]->id, 1000000 + t);
    g_string_append(text, "\"}");
    assert_true(text->len > NEXT_BYTES);
    owned_put(store_key_allocations(job->spec.job_id, 0).text, text->str);
    g_string_free(text, TRUE);
    for (guint i = 0; i < job->allocations->len; i++) {
        struct allocation *allocation = job->allocations->pdata[i];
        allocation->inherited = false;
        allocation->seen = true;
        allocation->state = TASK_RUNNING;
    }
    assert_int_equal(allocations_count(job), WIDE);
    return job;
}

/* As a heartbeat shows that every n-th allocation is over. */
static void end_allocations(struct job *job, guint every) {
    for (guint i = 0; i < job->allocations->len; i += every) {
        struct allocation *allocation = job->allocations->pdata[i];
        allocation->released = true;
        if (job->state == JOB_QUEUED) jobs_mark_done(job, allocation->task);
        chunks_mark_dirty(job, allocation->task);
    }
}

static void first_allocations_fit_the_next_limits(void **state) {
    (void)state;
    static const struct {
        const char *what, *kind;
        int tasks;
    } rows[] = {{"a gang", "group", 8},
                {"a wide array", "batch", WIDE},
                {"a service", "standing", 8},
                {"more than one round's", "batch", 400}};
    store_lock();
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        char id[32];
        for (int m = 0; m < 40; m++) {
            g_snprintf(id, sizeof id, "i-%06d", m);
            owned_machine(id, "za", false);
        }
        char job_id[32];
        g_snprintf(job_id, sizeof job_id, "req-%zu", 20000 + i); /* a final state never goes back: an id a row */
        struct job *job = owned_job(job_id, rows[i].kind, "high", rows[i].tasks, 0.1, 0, false, false, 5);
        settle(rows[i].what);
        if (allocations_count(job) != rows[i].tasks) fail_msg("%s: %d allocated", rows[i].what, allocations_count(job));
        owned_clear();
    }
    store_unlock();
}

/* A record of the first version that the next limit would refuse is replaced by shorter ones in one transaction; its
 * job loses nothing, runs as wide as before, and goes from the records when it ends. */
static void wide_record_is_replaced_by_shorter_ones(void **state) {
    (void)state;
    struct machine *on[OLD_PAGE];
    store_lock();
    int n = old_pages(on, OLD_PAGE);
    struct job *job = old_wide_array("req-10010", on, n);
    for (int t = 0; t < 5; t++) { /* a few tasks end */
        struct allocation *allocation = job->allocations->pdata[t];
        allocation->released = true;
        jobs_mark_done(job, allocation->task);
    }
    settle("a wide record");
    assert_int_equal(allocations_count(job), WIDE - 5);
    assert_int_equal(job->n_done, 5);
    assert_int_equal(chunks_size(job), 72);
    assert_int_equal(job->n_recorded_chunks, 3);
    assert_int_equal(job->n_dirty_chunks, 0);
    end_allocations(job, 1);
    settle("the end of a wide array");
    assert_int_equal(job->state, JOB_DONE);
    assert_int_equal(job->n_recorded_chunks, 0);
    assert_int_equal(job->allocations->len, 0);
    /* One that is cancelled meanwhile. */
    struct job *other = old_wide_array("req-10011", on, n);
    owned_put("job/req-10011",
              "{\"spec\":{\"uid\":\"req-10011\"},\"state\":\"cancelled\",\"at\":1}"); /* a final state needs no spec */
    assert_int_equal(other->state, JOB_CANCELLED);
    end_allocations(other, 2);
    settle("half of a cancelled array is gone");
    assert_int_equal(allocations_count(other), WIDE / 2);
    end_allocations(other, 1);
    settle("all of it");
    assert_int_equal(other->n_recorded_chunks, 0);
    owned_clear();
    store_unlock();
}

/* Machines of pages that are too large for the next limit: raised, returned, transferred, and the pages themselves. No
 * machine is lost, and what runs there stays allocated. */
static void large_pages_are_emptied_without_losing_a_machine(void **state) {
    (void)state;
    enum { FLEET = 3 * OLD_PAGE, RETURNED = 50, TRANSFERRED = 52 };
    struct machine *on[FLEET];
    bool large[MACHINE_PAGES_MAX];
    store_lock();
    int n = old_pages(on, FLEET);
    struct job *job = owned_job("req-10020", "standing", "high", 8, 1, 0, false, false, 10);
    owned_allocate(job, on, 8);
    machines_oversized_pages(0, large);
    assert_true(large[0] && large[1] && large[2]);
    for (int i = 0; i < n; i++) {
        on[i]->commands.needs_token_raise = i % 3 == 0;
        on[i]->commands.unknown_token = machines_fencing_token(on[i]);
    }
    on[RETURNED]->retirement.return_wanted = true;
    on[TRANSFERRED]->rebalance.to = 1;
    on[TRANSFERRED]->rebalance.since = clock_now();
    settle("large pages");
    machines_oversized_pages(0, large);
    for (int p = 0; p < MACHINE_PAGES_MAX; p++) {
        assert_false(large[p]);
        assert_false(machines_page_stale(0, p));
    }
    for (int i = 0; i < n; i++) {
        char id[32];
        g_snprintf(id, sizeof id, "i-%06d", i);
        const struct machine *machine = machines_find(id);
        if (!machine || machine->shard != (i == TRANSFERRED)) fail_msg("machine %d is lost", i);
        assert_false(machine->commands.needs_token_raise);
    }
    assert_true(on[RETURNED]->retirement.returning);
    assert_int_equal(allocations_count(job), 8);
    owned_clear();
    owned_put("machine/i-000052", NULL);
    store_unlock();
}

/* Machines that come from another shard. */
static void transferred_machines_get_a_page(void **state) {
    (void)state;
    char key[64], id[32];
    store_lock();
    for (int i = 0; i < 9; i++) {
        g_snprintf(key, sizeof key, "machine/i-%06d", 500 + i);
        owned_put(key,
                  "{\"share\":0,\"fence\":3,\"address\":\"10.0.0.1:9000\",\"flavour\":\"g16\",\"site\":\"za\",\"spot\":"
                  "false,\"born\":1}");
    }
    settle("arrivals");
    for (int i = 0; i < 9; i++) {
        g_snprintf(id, sizeof id, "i-%06d", 500 + i);
        const struct machine *machine = machines_find(id);
        assert_non_null(machine);
        assert_true(machine->page >= 0);
    }
    owned_clear();
    store_unlock();
}

int main(void) {
    char *text = site_json();
    char *next = site_with(text, "\"txn_ops\":8", "\"txn_ops\":8,\"next\":{\"value_kb\":2,\"txn_ops\":4}");
    if (!settings_parse(next, "f.json", &cfg, NULL) || !standin_store_start(cfg.state)) return 1;
    g_free(text);
    g_free(next);
    owned_start(&cfg);
    store_lock();
    owned_put(
        "types",
        "{\"flavours\":[{\"sku\":\"g16\",\"vcpus\":16,\"gpus\":2,\"memory_gb\":640,\"hourly\":7,\"market_price\":2,"
        "\"startup_s\":25,\"sites\":[\"za\",\"zb\",\"zc\"]}]}");
    owned_put("format/n0", "{\"version\":2}");
    owned_put("format/n1", "{\"version\":2}");
    store_unlock();
    const struct CMUnitTest tests[] = {cmocka_unit_test(first_allocations_fit_the_next_limits),
                                       cmocka_unit_test(wide_record_is_replaced_by_shorter_ones),
                                       cmocka_unit_test(large_pages_are_emptied_without_losing_a_machine),
                                       cmocka_unit_test(transferred_machines_get_a_page)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
