/* Tests the assignment of shards, records that are read out of order or too early, the division of the write rate, and
 * the delay of worker probes. */
#include "membership/membership.h"

#include <glib.h>
#include <stdint.h>
#include <string.h>

#include "../../tests/standin/test_settings.h"
#include "json/json.h"

static void leader_assigns_orphans_first_then_balances_differences_of_two(void **state) {
    (void)state;
    static const struct {
        int n_shards, owners[6], n_nodes, shard, new_owner;
    } cases[] = {
        {3, {0, 1, 2}, 3, -1, 0},         /* balanced: nothing moves */
        {3, {0, 0, 0}, 2, 0, 1},          /* a new node gets one shard */
        {3, {0, 0, 1}, 2, -1, 0},         /* a difference of one stays, so that shards do not move back and forth */
        {3, {0, -1, 0}, 2, 1, 1},         /* an orphan goes first, to the node with the fewest shards */
        {3, {-1, -1, -1}, 1, 0, 0},       /* the only node takes all shards, one at a time */
        {3, {0, 0, 0}, 0, -1, 0},         /* there is no live node */
        {6, {0, 0, 0, 1, 1, 2}, 3, 0, 2}, /* a shard moves from the node with the most to the one with the fewest */
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        int new_owner = -1,
            shard = membership_plan_assignment(cases[i].n_shards, cases[i].owners, cases[i].n_nodes, &new_owner);
        assert_int_equal(shard, cases[i].shard);
        if (shard >= 0) assert_int_equal(new_owner, cases[i].new_owner);
    }
}

static void apply_record(const char *key, const char *json, int64_t mod_revision) {
    cJSON *data = cJSON_Parse(json);
    store_lock();
    store_apply(key, data, mod_revision);
    store_unlock();
    cJSON_Delete(data);
}

/* An older version of a record, read by a watch that is answered late, must not replace a newer one, which this
 * controller has written and applied meanwhile. */
static void late_watch_does_not_replace_a_newer_record(void **state) {
    (void)state;
    apply_record("share/0", "{\"owner\":\"n1\",\"inc\":\"x\",\"fence\":5}", 10);
    apply_record("share/0", "{\"owner\":\"n0\",\"inc\":\"y\",\"fence\":4}", 9);
    assert_string_equal(membership_shard(0)->owner, "n1");
    assert_int_equal(membership_shard(0)->fencing_token, 5);
    store_lock();
    store_apply("share/0", NULL, 11);
    store_apply("share/0", NULL, 10);
    assert_int_equal(store_key_revision("share/0"), 0);
    store_unlock();
    apply_record("share/0", "{\"owner\":\"n0\",\"inc\":\"y\",\"fence\":4}", 10);
    assert_int_equal(membership_shard(0)->mod_revision, 0);
}

/* A controller owns no shard before it has read the store in full, even if a record contains its incarnation. */
static void no_shard_is_owned_before_the_first_full_read(void **state) {
    (void)state;
    char json[128];
    g_snprintf(json, sizeof json, "{\"owner\":\"n0\",\"inc\":\"%s\",\"fence\":9}", membership_incarnation());
    apply_record("share/1", json, 20);
    store_lock();
    assert_false(membership_owns(1));
    assert_false(membership_may_answer_workers());
    store_unlock();
}

/* The fractions of all controllers add up to 1, follow the numbers of shards, and leave a controller without shards
 * enough to accept jobs. */
static void write_fractions_follow_the_numbers_of_shards(void **state) {
    (void)state;
    static const struct {
        int n_live, n_shards, n_owned[3];
    } cases[] = {{3, 3, {1, 1, 1}}, {3, 3, {2, 1, 0}}, {2, 3, {3, 0, 0}}, {1, 7, {7, 0, 0}}};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        double sum = 0;
        for (int n = 0; n < cases[i].n_live; n++) {
            double fraction = membership_write_fraction(cases[i].n_live, cases[i].n_shards, cases[i].n_owned[n]);
            assert_true(fraction > 0 && fraction >= cases[i].n_owned[n] * 0.8 / cases[i].n_shards);
            sum += fraction;
        }
        assert_true(sum > 0.99 && sum < 1.01);
    }
}

/* A controller that loses the workers repeatedly waits longer each time before it probes them, up to a limit. */
static void probe_delay_doubles_up_to_two_minutes(void **state) {
    (void)state;
    static const struct {
        int consecutive_losses;
        double expected_s;
    } cases[] = {{0, 15}, {1, 15}, {2, 30}, {3, 60}, {4, 120}, {90, 120}};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
        assert_true(membership_worker_probe_delay_s(cases[i].consecutive_losses) == cases[i].expected_s);
}

int main(void) {
    static struct settings cfg;
    if (!settings_parse(TEST_SETTINGS_JSON, "f.json", &cfg, NULL)) return 1;
    store_init(&cfg);
    membership_init(&cfg);
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(leader_assigns_orphans_first_then_balances_differences_of_two),
        cmocka_unit_test(late_watch_does_not_replace_a_newer_record),
        cmocka_unit_test(no_shard_is_owned_before_the_first_full_read),
        cmocka_unit_test(write_fractions_follow_the_numbers_of_shards),
        cmocka_unit_test(probe_delay_doubles_up_to_two_minutes),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
