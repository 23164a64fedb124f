/* Records of divided teams and what follows from them, by tables of cases. */
#include "quota/quota.h"

#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "../../tests/standin/site.h"
#include "json/json.h"
#include "quota/record.h"

#define HOME 1
#define SIZE 3

static struct quota_amount gpus(int n) { return (struct quota_amount){{0, n * 1000}}; }

/* Forms of the record that must not be taken for one. */
static void record_whose_sums_do_not_hold_is_refused(void **state) {
    (void)state;
    static const struct {
        const char *what, *text;
        bool good;
    } rows[] = {
        {"as written",
         "{\"epoch\":2,\"shares\":2,\"limit\":[0,12000],\"guarantee\":[0,4000],\"unassigned\":[0,2000],"
         "\"guarantee_unassigned\":[0,0],\"parts\":[[1,0,7000,0,2000],[2,0,3000,0,2000]]}",
         true},
        {"parts that are not the limit",
         "{\"epoch\":2,\"shares\":2,\"limit\":[0,12000],\"guarantee\":[0,4000],\"unassigned\":[0,3000],"
         "\"guarantee_unassigned\":[0,0],\"parts\":[[1,0,7000,0,2000],[2,0,3000,0,2000]]}",
         false},
        {"parts that are not the guarantee",
         "{\"epoch\":2,\"shares\":2,\"limit\":[0,12000],\"guarantee\":[0,4000],\"unassigned\":[0,2000],"
         "\"guarantee_unassigned\":[0,0],\"parts\":[[1,0,7000,0,2000],[2,0,3000,0,1000]]}",
         false},
        {"a negative part",
         "{\"epoch\":2,\"shares\":2,\"limit\":[0,12000],\"guarantee\":[0,0],\"unassigned\":[0,6000],"
         "\"guarantee_unassigned\":[0,0],\"parts\":[[1,0,7000,0,0],[2,0,-1000,0,0]]}",
         false},
        {"a share named twice",
         "{\"epoch\":2,\"shares\":2,\"limit\":[0,10000],\"guarantee\":[0,0],\"unassigned\":[0,0],"
         "\"guarantee_unassigned\":[0,0],\"parts\":[[1,0,7000,0,0],[1,0,3000,0,0]]}",
         false},
        {"a share that there is not",
         "{\"epoch\":2,\"shares\":1,\"limit\":[0,7000],\"guarantee\":[0,0],\"unassigned\":[0,0],"
         "\"guarantee_unassigned\":[0,0],\"parts\":[[3,0,7000,0,0]]}",
         false},
        {"an amount that is no number",
         "{\"epoch\":2,\"shares\":1,\"limit\":[0,\"7\"],\"guarantee\":[0,0],\"unassigned\":[0,0],"
         "\"guarantee_unassigned\":[0,0],\"parts\":[[1,0,7000,0,0]]}",
         false},
        {"no object", "[]", false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        cJSON *value = cJSON_Parse(rows[i].text);
        struct quota_record r;
        const char *fault = NULL;
        if (quota_record_read(value, SIZE, &r, &fault) != rows[i].good) fail_msg("%s", rows[i].what);
        if (!rows[i].good && !fault) fail_msg("%s: no fault named", rows[i].what);
        cJSON *again = rows[i].good ? quota_record_value(&r) : NULL;
        char *text = again ? cJSON_PrintUnformatted(again) : NULL;
        if (text) assert_string_equal(text, rows[i].text);
        free(text);
        cJSON_Delete(again);
        cJSON_Delete(value);
    }
}

/* The largest record stays far below the smallest value that a store may take. */
static void largest_record_fits_the_smallest_value(void **state) {
    (void)state;
    struct quota_amount much = quota_amount_granted(1e9, 1e9);
    struct quota_record r = quota_record_create(0, 64, QUOTA_SHARDS_MAX, much, much);
    for (int i = 1; i < r.n_allotments; i++) {
        assert_true(quota_record_move(&r, 0, quota_amount_difference((struct quota_amount){{0}}, gpus(1000))));
        assert_true(quota_record_move(&r, i, gpus(1000)));
    }
    cJSON *value = quota_record_value(&r);
    char *text = cJSON_PrintUnformatted(value);
    assert_true(strlen(text) <= 1024);
    free(text);
    cJSON_Delete(value);
}

/* Allotments move by demand: what uses, waits and is due, of a limit of 12 of which the home holds all at first. */
static void allotments_move_by_demand(void **state) {
    (void)state;
    static const struct {
        const char *what;
        int used[2]; /* by home and second shard */
        struct {
            int part, tasks, each;
            bool whole;
        } waits[3]; /* in order */
        int due[2];
        int allotments[2]; /* after each owner has had two turns */
        int reservation_holder;
    } rows[] = {
        {"nobody waits", {3, 0}, {{0, 0, 0, false}}, {3, 0}, {12, 0}, -1},
        {"the second has work", {3, 0}, {{1, 5, 1, false}}, {3, 5}, {7, 5}, -1},
        {"a small want, and no more", {3, 0}, {{1, 1, 1, false}}, {3, 1}, {11, 1}, -1},
        {"both want more than there is, the home first",
         {3, 0},
         {{0, 8, 1, false}, {1, 8, 1, false}},
         {11, 1},
         {11, 1},
         -1},
        {"the second first", {3, 0}, {{1, 8, 1, false}, {0, 8, 1, false}}, {4, 8}, {4, 8}, -1},
        {"nothing below what is used", {12, 0}, {{1, 1, 1, false}}, {12, 1}, {12, 0}, 0},
        {"a gang that fits", {3, 0}, {{1, 8, 1, true}}, {3, 8}, {4, 8}, -1},
        {"room is held back for one that does not", {6, 0}, {{1, 8, 1, true}, {0, 6, 1, false}}, {6, 8}, {6, 6}, 0},
        {"not for the second of two", {6, 0}, {{1, 8, 1, true}, {0, 8, 1, true}}, {6, 8}, {6, 6}, 0},
        {"a large task that does not fit", {10, 0}, {{1, 2, 4, false}, {0, 2, 1, false}}, {10, 4}, {10, 2}, 0},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct quota_record r = quota_record_create(HOME, SIZE, 2, gpus(12), gpus(4));
        struct quota_amount used[2] = {gpus(rows[i].used[0]), gpus(rows[i].used[1])};
        struct quota_demand waits[3];
        int n = 0;
        for (; n < 3 && rows[i].waits[n].tasks; n++)
            waits[n] = (struct quota_demand){quota_shard_at(HOME, SIZE, rows[i].waits[n].part), rows[i].waits[n].tasks,
                                             gpus(rows[i].waits[n].each), rows[i].waits[n].whole, true};
        struct quota_targets t = quota_targets(&r, used, (struct quota_amount){{0}}, waits, n);
        for (int turn = 0; turn < 4; turn++) {
            bool owned[2] = {turn % 2 == 0, turn % 2 == 1};
            quota_rebalance(&r, HOME, SIZE, used, &t, owned);
            assert_null(quota_record_fault(&r));
        }
        if (t.reservation_holder != rows[i].reservation_holder)
            fail_msg("%s: gatherer %d", rows[i].what, t.reservation_holder);
        for (int p = 0; p < 2; p++) {
            if (t.of[p].of[QUOTA_GPUS] != rows[i].due[p] * 1000)
                fail_msg("%s: part %d is due %lld", rows[i].what, p, (long long)t.of[p].of[QUOTA_GPUS]);
            if (r.allotments[p].limit.of[QUOTA_GPUS] != rows[i].allotments[p] * 1000)
                fail_msg("%s: part %d is %lld", rows[i].what, p, (long long)r.allotments[p].limit.of[QUOTA_GPUS]);
        }
    }
}

/* A lower limit binds at once, whatever the allotments are; what runs beyond it is nobody's to start again. */
static void lowered_limit_binds_at_once(void **state) {
    (void)state;
    struct quota_record r = quota_record_create(HOME, SIZE, 2, gpus(12), gpus(4));
    struct quota_amount less = quota_amount_difference((struct quota_amount){{0}}, gpus(5));
    assert_true(quota_record_move(&r, 1, less));
    assert_true(quota_record_move(&r, 2, gpus(5)));
    static const struct {
        const char *what;
        int record, view; /* limits: on record, and of another controller's settings */
        int used, other;  /* by the home, and by the other shard */
        int allowed;      /* to the home */
    } rows[] = {
        {"as it was", 12, 12, 3, 5, 7},
        {"another controller names less", 12, 8, 3, 5, 3},
        {"the record names less", 8, 12, 3, 5, 3},
        {"less than the other part alone", 4, 4, 3, 0, 0},
        {"another names no limit", 12, 0, 3, 5, 7},
        {"the other started more while there was no limit", 12, 12, 3, 7, 5},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct quota_record now = r;
        if (rows[i].record != 12) quota_record_change(&now, HOME, SIZE, 2, gpus(rows[i].record), gpus(4));
        assert_null(quota_record_fault(&now));
        struct quota_amount used[2] = {gpus(rows[i].used), gpus(rows[i].other)};
        struct quota_amount may = quota_allowance(&now, 0, gpus(rows[i].view), used, NULL, false);
        if (may.of[QUOTA_GPUS] != rows[i].allowed * 1000)
            fail_msg("%s: %lld", rows[i].what, (long long)may.of[QUOTA_GPUS]);
        assert_true(may.of[QUOTA_VCPUS] == INT64_MAX); /* no limit of these */
    }
}

/* Fewer shards: the others close, give back what they do not use, and go. */
static void closing_shards_give_back_what_they_do_not_use(void **state) {
    (void)state;
    struct quota_record r = quota_record_create(HOME, SIZE, 3, gpus(12), gpus(5));
    struct quota_amount used[3] = {gpus(2), gpus(0), gpus(3)};
    struct quota_targets t = quota_targets(&r, used, (struct quota_amount){{0}}, NULL, 0);
    bool all[3] = {true, true, true};
    assert_true(quota_record_move(&r, 1, quota_amount_difference((struct quota_amount){{0}}, gpus(8))));
    assert_true(quota_record_move(&r, 0, gpus(5)) && quota_record_move(&r, 2, gpus(3)));
    quota_record_change(&r, HOME, SIZE, 1, gpus(12), gpus(5));
    assert_int_equal(r.epoch, 2);
    assert_true(quota_rebalance(&r, HOME, SIZE, used, &t, all));
    assert_true(quota_record_prune(&r, HOME, SIZE, used));
    assert_int_equal(r.n_allotments, 2); /* one shard still runs tasks */
    assert_int_equal(quota_allotment_of(&r, 0)->limit.of[QUOTA_GPUS], 3000);
    assert_int_equal(quota_allotment_of(&r, HOME)->guarantee.of[QUOTA_GPUS], 5000);
    assert_null(quota_record_fault(&r));
}

/* Ids spread over the shards, and each always comes to the same. */
static void job_ids_spread_over_the_shards(void **state) {
    (void)state;
    int n[SIZE] = {0};
    for (int i = 0; i < 3000; i++) {
        char job_id[32];
        g_snprintf(job_id, sizeof job_id, "req-%06d", i);
        int shard = quota_shard_for(job_id, HOME, SIZE, 3);
        assert_in_range(shard, 0, SIZE - 1);
        assert_int_equal(shard, quota_shard_for(job_id, HOME, SIZE, 3));
        assert_int_equal(quota_shard_for(job_id, HOME, SIZE, 1), HOME);
        n[shard]++;
    }
    for (int k = 0; k < SIZE; k++) assert_in_range(n[k], 800, 1200);
}

int main(void) {
    const struct CMUnitTest tests[] = {cmocka_unit_test(record_whose_sums_do_not_hold_is_refused),
                                       cmocka_unit_test(largest_record_fits_the_smallest_value),
                                       cmocka_unit_test(allotments_move_by_demand),
                                       cmocka_unit_test(lowered_limit_binds_at_once),
                                       cmocka_unit_test(closing_shards_give_back_what_they_do_not_use),
                                       cmocka_unit_test(job_ids_spread_over_the_shards)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
