/* Assignment of shards, records in any order, and parts of the write rate. */
#include "membership/membership.h"

#include <glib.h>
#include <stdint.h>
#include <string.h>

#include "../../tests/standin/site.h"
#include "json/json.h"

static void the_leader_assigns_orphans_first_and_levels_differences_of_two(void **state) {
    (void)state;
    static const struct {
        int size, owner[6], nodes, shard, to;
    } cases[] = {
        {3, {0, 1, 2}, 3, -1, 0},   /* even: nothing moves */
        {3, {0, 0, 0}, 2, 0, 1},    /* one has all, a new one gets one */
        {3, {0, 0, 1}, 2, -1, 0},   /* a difference of one stays: no flapping */
        {3, {0, -1, 0}, 2, 1, 1},   /* an orphan goes first, to who has least */
        {3, {-1, -1, -1}, 1, 0, 0}, /* the last one takes all */
        {3, {0, 0, 0}, 0, -1, 0},   /* nobody lives */
        {6, {0, 0, 0, 1, 1, 2}, 3, 0, 2},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        int to = -1, shard = membership_plan_assignment(cases[i].size, cases[i].owner, cases[i].nodes, &to);
        assert_int_equal(shard, cases[i].shard);
        if (shard >= 0) assert_int_equal(to, cases[i].to);
    }
}

static void apply(const char *key, const char *json, int64_t mod_revision) {
    cJSON *data = cJSON_Parse(json);
    store_lock();
    store_apply(key, data, mod_revision);
    store_unlock();
    cJSON_Delete(data);
}

/* What a late watch brings must not undo what a newer write has shown. */
static void a_late_watch_does_not_undo_a_newer_record(void **state) {
    (void)state;
    apply("share/0", "{\"owner\":\"n1\",\"inc\":\"x\",\"fence\":5}", 10);
    apply("share/0", "{\"owner\":\"n0\",\"inc\":\"y\",\"fence\":4}", 9);
    assert_string_equal(membership_shard(0)->owner, "n1");
    assert_int_equal(membership_shard(0)->fencing_token, 5);
    store_lock();
    store_apply("share/0", NULL, 11);
    store_apply("share/0", NULL, 10);
    assert_int_equal(store_key_revision("share/0"), 0);
    store_unlock();
    apply("share/0", "{\"owner\":\"n0\",\"inc\":\"y\",\"fence\":4}", 10);
    assert_int_equal(membership_shard(0)->mod_revision, 0);
}

/* Nothing is owned before the store was read in full, whatever a record says. */
static void nothing_is_owned_before_the_store_was_read_in_full(void **state) {
    (void)state;
    char json[128];
    g_snprintf(json, sizeof json, "{\"owner\":\"n0\",\"inc\":\"%s\",\"fence\":9}", membership_incarnation());
    apply("share/1", json, 20);
    store_lock();
    assert_false(membership_owns(1));
    assert_false(membership_may_answer());
    store_unlock();
}

/* Changes go with the shards: together all of them, and a controller without shards has enough to accept jobs. */
static void parts_of_the_changes_follow_the_shards(void **state) {
    (void)state;
    static const struct {
        int live, size, owned[3];
    } cases[] = {{3, 3, {1, 1, 1}}, {3, 3, {2, 1, 0}}, {2, 3, {3, 0, 0}}, {1, 7, {7, 0, 0}}};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        double sum = 0;
        for (int n = 0; n < cases[i].live; n++) {
            double part = membership_write_fraction(cases[i].live, cases[i].size, cases[i].owned[n]);
            assert_true(part > 0 && part >= cases[i].owned[n] * 0.8 / cases[i].size);
            sum += part;
        }
        assert_true(sum > 0.99 && sum < 1.01);
    }
}

/* A controller that loses the workers again and again stays without shards ever longer, but not for ever. */
static void the_wait_before_a_probe_doubles_up_to_two_minutes(void **state) {
    (void)state;
    static const struct {
        int times;
        double want;
    } cases[] = {{0, 15}, {1, 15}, {2, 30}, {3, 60}, {4, 120}, {90, 120}};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
        assert_true(membership_workers_retry_s(cases[i].times) == cases[i].want);
}

int main(void) {
    static struct settings cfg;
    if (!settings_parse(SITE_JSON, "f.json", &cfg, NULL)) return 1;
    store_init(&cfg);
    membership_init(&cfg);
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(the_leader_assigns_orphans_first_and_levels_differences_of_two),
        cmocka_unit_test(a_late_watch_does_not_undo_a_newer_record),
        cmocka_unit_test(nothing_is_owned_before_the_store_was_read_in_full),
        cmocka_unit_test(parts_of_the_changes_follow_the_shards),
        cmocka_unit_test(the_wait_before_a_probe_doubles_up_to_two_minutes),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
