/* Tests of divided teams: reading records, moving allotments, limits, closing shards, and the shards of new jobs. */
#include "quota/quota.h"

#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "../../tests/standin/test_settings.h"
#include "json/json.h"
#include "quota/record.h"

#define HOME_SHARD 1
#define CLUSTER_SHARDS 3

static struct quota_amount gpus(int count) { return (struct quota_amount){{0, count * 1000}}; }

/* A record of another form, or a record that violates the invariant, is rejected. A valid record is written as it was
 * read. */
static void invalid_record_is_rejected(void **state) {
    (void)state;
    static const struct {
        const char *name, *text;
        bool valid;
    } rows[] = {
        {"valid record",
         "{\"epoch\":2,\"shares\":2,\"limit\":[0,12000],\"guarantee\":[0,4000],\"unassigned\":[0,2000],"
         "\"guarantee_unassigned\":[0,0],\"parts\":[[1,0,7000,0,2000],[2,0,3000,0,2000]]}",
         true},
        {"allotments and unassigned amount do not add up to the limit",
         "{\"epoch\":2,\"shares\":2,\"limit\":[0,12000],\"guarantee\":[0,4000],\"unassigned\":[0,3000],"
         "\"guarantee_unassigned\":[0,0],\"parts\":[[1,0,7000,0,2000],[2,0,3000,0,2000]]}",
         false},
        {"allotments and unassigned amount do not add up to the guarantee",
         "{\"epoch\":2,\"shares\":2,\"limit\":[0,12000],\"guarantee\":[0,4000],\"unassigned\":[0,2000],"
         "\"guarantee_unassigned\":[0,0],\"parts\":[[1,0,7000,0,2000],[2,0,3000,0,1000]]}",
         false},
        {"negative allotment",
         "{\"epoch\":2,\"shares\":2,\"limit\":[0,12000],\"guarantee\":[0,0],\"unassigned\":[0,6000],"
         "\"guarantee_unassigned\":[0,0],\"parts\":[[1,0,7000,0,0],[2,0,-1000,0,0]]}",
         false},
        {"two allotments of one shard",
         "{\"epoch\":2,\"shares\":2,\"limit\":[0,10000],\"guarantee\":[0,0],\"unassigned\":[0,0],"
         "\"guarantee_unassigned\":[0,0],\"parts\":[[1,0,7000,0,0],[1,0,3000,0,0]]}",
         false},
        {"shard outside the cluster",
         "{\"epoch\":2,\"shares\":1,\"limit\":[0,7000],\"guarantee\":[0,0],\"unassigned\":[0,0],"
         "\"guarantee_unassigned\":[0,0],\"parts\":[[3,0,7000,0,0]]}",
         false},
        {"amount is not a number",
         "{\"epoch\":2,\"shares\":1,\"limit\":[0,\"7\"],\"guarantee\":[0,0],\"unassigned\":[0,0],"
         "\"guarantee_unassigned\":[0,0],\"parts\":[[1,0,7000,0,0]]}",
         false},
        {"not an object", "[]", false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        cJSON *value = cJSON_Parse(rows[i].text);
        struct quota_record record;
        const char *fault = NULL;
        if (quota_record_read(value, CLUSTER_SHARDS, &record, &fault) != rows[i].valid) fail_msg("%s", rows[i].name);
        if (!rows[i].valid && !fault) fail_msg("%s: no fault was returned", rows[i].name);
        cJSON *written = rows[i].valid ? quota_record_value(&record) : NULL;
        char *text = written ? cJSON_PrintUnformatted(written) : NULL;
        if (text) assert_string_equal(text, rows[i].text);
        free(text);
        cJSON_Delete(written);
        cJSON_Delete(value);
    }
}

/* The largest record fits into 1 KiB, the smallest maximum size of a value that the settings allow. */
static void largest_record_fits_the_smallest_value_limit(void **state) {
    (void)state;
    struct quota_amount large_limit = quota_amount_rounded_down(1e9, 1e9);
    struct quota_record record = quota_record_create(0, 64, QUOTA_SHARDS_MAX, large_limit, large_limit);
    for (int i = 1; i < record.n_allotments; i++) {
        assert_true(
            quota_record_resize_allotment(&record, 0, quota_amount_difference((struct quota_amount){{0}}, gpus(1000))));
        assert_true(quota_record_resize_allotment(&record, i, gpus(1000)));
    }
    cJSON *value = quota_record_value(&record);
    char *text = cJSON_PrintUnformatted(value);
    assert_true(strlen(text) <= 1024);
    free(text);
    cJSON_Delete(value);
}

/* Allotments follow the demand. The limit is 12 GPUs, and at first the home shard holds all of it. */
static void allotments_move_by_demand(void **state) {
    (void)state;
    static const struct {
        const char *name;
        int used[2]; /* by the home shard and the second shard */
        struct {
            int shard_index, tasks, per_task; /* shard_index: 0 for the home shard, 1 for the second */
            bool all_or_nothing;
        } demands[3]; /* in the order in which they are served */
        int targets[2];
        int allotments[2]; /* after each owner has rebalanced twice */
        int reserved_demand_index;
    } rows[] = {
        {"no demand", {3, 0}, {{0, 0, 0, false}}, {3, 0}, {12, 0}, -1},
        {"demand in the second shard", {3, 0}, {{1, 5, 1, false}}, {3, 5}, {7, 5}, -1},
        {"small demand: the allotment changes by one GPU", {3, 0}, {{1, 1, 1, false}}, {3, 1}, {11, 1}, -1},
        {"more demand than the limit in both shards, the home shard is first",
         {3, 0},
         {{0, 8, 1, false}, {1, 8, 1, false}},
         {11, 1},
         {11, 1},
         -1},
        {"more demand than the limit in both shards, the second shard is first",
         {3, 0},
         {{1, 8, 1, false}, {0, 8, 1, false}},
         {4, 8},
         {4, 8},
         -1},
        {"an allotment is not lowered below what is used", {12, 0}, {{1, 1, 1, false}}, {12, 1}, {12, 0}, 0},
        {"gang that fits", {3, 0}, {{1, 8, 1, true}}, {3, 8}, {4, 8}, -1},
        {"capacity is reserved for a gang that does not fit",
         {6, 0},
         {{1, 8, 1, true}, {0, 6, 1, false}},
         {6, 8},
         {6, 6},
         0},
        {"capacity is reserved for the first of two gangs",
         {6, 0},
         {{1, 8, 1, true}, {0, 8, 1, true}},
         {6, 8},
         {6, 6},
         0},
        {"capacity is reserved for a large task that does not fit",
         {10, 0},
         {{1, 2, 4, false}, {0, 2, 1, false}},
         {10, 4},
         {10, 2},
         0},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct quota_record record = quota_record_create(HOME_SHARD, CLUSTER_SHARDS, 2, gpus(12), gpus(4));
        struct quota_amount used[2] = {gpus(rows[i].used[0]), gpus(rows[i].used[1])};
        struct quota_demand demands[3];
        int n_demands = 0;
        for (; n_demands < 3 && rows[i].demands[n_demands].tasks; n_demands++)
            demands[n_demands] = (struct quota_demand){
                quota_shard_by_index(HOME_SHARD, CLUSTER_SHARDS, rows[i].demands[n_demands].shard_index),
                rows[i].demands[n_demands].tasks, gpus(rows[i].demands[n_demands].per_task),
                rows[i].demands[n_demands].all_or_nothing, true};
        struct quota_targets targets = quota_targets(&record, used, (struct quota_amount){{0}}, demands, n_demands);
        for (int turn = 0; turn < 4; turn++) {
            bool owned[2] = {turn % 2 == 0, turn % 2 == 1};
            quota_rebalance(&record, HOME_SHARD, CLUSTER_SHARDS, used, &targets, owned);
            assert_null(quota_record_violation(&record));
        }
        if (targets.reserved_demand_index != rows[i].reserved_demand_index)
            fail_msg("%s: reserved demand %d", rows[i].name, targets.reserved_demand_index);
        for (int index = 0; index < 2; index++) {
            if (targets.amounts[index].thousandths[QUOTA_GPUS] != rows[i].targets[index] * 1000)
                fail_msg("%s: target of allotment %d is %lld", rows[i].name, index,
                         (long long)targets.amounts[index].thousandths[QUOTA_GPUS]);
            if (record.allotments[index].limit.thousandths[QUOTA_GPUS] != rows[i].allotments[index] * 1000)
                fail_msg("%s: allotment %d is %lld", rows[i].name, index,
                         (long long)record.allotments[index].limit.thousandths[QUOTA_GPUS]);
        }
    }
}

/* A lowered limit applies at once, before the allotments shrink. The other shard's use beyond its allotment reduces the
 * allowance as well. */
static void lowered_limit_applies_at_once(void **state) {
    (void)state;
    struct quota_record record = quota_record_create(HOME_SHARD, CLUSTER_SHARDS, 2, gpus(12), gpus(4));
    struct quota_amount decrease = quota_amount_difference((struct quota_amount){{0}}, gpus(5));
    assert_true(quota_record_resize_allotment(&record, 1, decrease));
    assert_true(quota_record_resize_allotment(&record, 2, gpus(5)));
    static const struct {
        const char *name;
        int record_limit, view_limit; /* limits: in the record, and in another controller's settings */
        int used, used_by_other;      /* used by the home shard and by the other shard */
        int allowed;                  /* allowance of the home shard */
    } rows[] = {
        {"limit unchanged", 12, 12, 3, 5, 7},
        {"lower limit in another controller's settings", 12, 8, 3, 5, 3},
        {"lower limit in the record", 8, 12, 3, 5, 3},
        {"limit below the other shard's allotment", 4, 4, 3, 0, 0},
        {"no limit in another controller's settings", 12, 0, 3, 5, 7},
        {"the other shard uses more than its allotment", 12, 12, 3, 7, 5},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct quota_record changed = record;
        if (rows[i].record_limit != 12)
            quota_record_reconfigure(&changed, HOME_SHARD, CLUSTER_SHARDS, 2, gpus(rows[i].record_limit), gpus(4));
        assert_null(quota_record_violation(&changed));
        struct quota_amount used[2] = {gpus(rows[i].used), gpus(rows[i].used_by_other)};
        struct quota_amount allowance = quota_allowance(&changed, 0, gpus(rows[i].view_limit), used, NULL, false);
        if (allowance.thousandths[QUOTA_GPUS] != rows[i].allowed * 1000)
            fail_msg("%s: %lld", rows[i].name, (long long)allowance.thousandths[QUOTA_GPUS]);
        assert_true(allowance.thousandths[QUOTA_VCPUS] == INT64_MAX); /* no limit in this dimension */
    }
}

/* After a team's number of shards was lowered, its other shards close: their allotments shrink to the amount in use. An
 * allotment that reaches zero is removed. */
static void closing_shards_release_what_they_do_not_use(void **state) {
    (void)state;
    struct quota_record record = quota_record_create(HOME_SHARD, CLUSTER_SHARDS, 3, gpus(12), gpus(5));
    struct quota_amount used[3] = {gpus(2), gpus(0), gpus(3)};
    struct quota_targets targets = quota_targets(&record, used, (struct quota_amount){{0}}, NULL, 0);
    bool owned[3] = {true, true, true};
    assert_true(
        quota_record_resize_allotment(&record, 1, quota_amount_difference((struct quota_amount){{0}}, gpus(8))));
    assert_true(quota_record_resize_allotment(&record, 0, gpus(5)) &&
                quota_record_resize_allotment(&record, 2, gpus(3)));
    quota_record_reconfigure(&record, HOME_SHARD, CLUSTER_SHARDS, 1, gpus(12), gpus(5));
    assert_int_equal(record.epoch, 2);
    assert_true(quota_rebalance(&record, HOME_SHARD, CLUSTER_SHARDS, used, &targets, owned));
    assert_true(quota_record_prune(&record, HOME_SHARD, CLUSTER_SHARDS, used));
    assert_int_equal(record.n_allotments, 2); /* one closing shard still runs tasks */
    assert_int_equal(quota_find_allotment(&record, 0)->limit.thousandths[QUOTA_GPUS], 3000);
    assert_int_equal(quota_find_allotment(&record, HOME_SHARD)->guarantee.thousandths[QUOTA_GPUS], 5000);
    assert_null(quota_record_violation(&record));
}

/* Job ids spread evenly over the shards, and each id always maps to the same shard. */
static void job_ids_spread_over_the_shards(void **state) {
    (void)state;
    int count[CLUSTER_SHARDS] = {0};
    for (int i = 0; i < 3000; i++) {
        char job_id[32];
        g_snprintf(job_id, sizeof job_id, "req-%06d", i);
        int shard = quota_shard_for_job(job_id, HOME_SHARD, CLUSTER_SHARDS, 3);
        assert_in_range(shard, 0, CLUSTER_SHARDS - 1);
        assert_int_equal(shard, quota_shard_for_job(job_id, HOME_SHARD, CLUSTER_SHARDS, 3));
        assert_int_equal(quota_shard_for_job(job_id, HOME_SHARD, CLUSTER_SHARDS, 1), HOME_SHARD);
        count[shard]++;
    }
    for (int shard = 0; shard < CLUSTER_SHARDS; shard++) assert_in_range(count[shard], 800, 1200);
}

int main(void) {
    const struct CMUnitTest tests[] = {cmocka_unit_test(invalid_record_is_rejected),
                                       cmocka_unit_test(largest_record_fits_the_smallest_value_limit),
                                       cmocka_unit_test(allotments_move_by_demand),
                                       cmocka_unit_test(lowered_limit_applies_at_once),
                                       cmocka_unit_test(closing_shards_release_what_they_do_not_use),
                                       cmocka_unit_test(job_ids_spread_over_the_shards)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
