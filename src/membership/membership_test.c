#include "membership/membership.h"

#include <glib.h>
#include <stdint.h>
#include <string.h>

#include "../../tests/standin/site.h"
#include "json/json.h"

static void plan(void **state) {
    (void)state;
    static const struct {
        int size, owner[6], nodes, shard, to;
    } rows[] = {
        {3, {0, 1, 2}, 3, -1, 0},   /* even: nothing moves */
        {3, {0, 0, 0}, 2, 0, 1},    /* one has all, a new one gets one */
        {3, {0, 0, 1}, 2, -1, 0},   /* a difference of one stays: no flapping */
        {3, {0, -1, 0}, 2, 1, 1},   /* an orphan goes first, to who has least */
        {3, {-1, -1, -1}, 1, 0, 0}, /* the last one takes all */
        {3, {0, 0, 0}, 0, -1, 0},   /* nobody lives */
        {6, {0, 0, 0, 1, 1, 2}, 3, 0, 2},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        int to = -1, k = membership_plan_assignment(rows[i].size, rows[i].owner, rows[i].nodes, &to);
        assert_int_equal(k, rows[i].shard);
        if (k >= 0) assert_int_equal(to, rows[i].to);
    }
}

static void set(const char *key, const char *json, int64_t mod_revision) {
    cJSON *x = cJSON_Parse(json);
    store_lock();
    store_apply(key, x, mod_revision);
    store_unlock();
    cJSON_Delete(x);
}

/* What a late watch brings must not undo what a newer write has shown. */
static void mirror_order(void **state) {
    (void)state;
    set("share/0", "{\"owner\":\"n1\",\"inc\":\"x\",\"fence\":5}", 10);
    set("share/0", "{\"owner\":\"n0\",\"inc\":\"y\",\"fence\":4}", 9);
    assert_string_equal(membership_shard(0)->owner, "n1");
    assert_int_equal(membership_shard(0)->fencing_token, 5);
    store_lock();
    store_apply("share/0", NULL, 11);
    store_apply("share/0", NULL, 10);
    assert_int_equal(store_key_revision("share/0"), 0);
    store_unlock();
    set("share/0", "{\"owner\":\"n0\",\"inc\":\"y\",\"fence\":4}", 10);
    assert_int_equal(membership_shard(0)->mod_revision, 0);
}

/* Nothing is ours before the mirror was read in full, whatever a record says. */
static void not_ours_unread(void **state) {
    (void)state;
    char json[128];
    g_snprintf(json, sizeof json, "{\"owner\":\"n0\",\"inc\":\"%s\",\"fence\":9}", membership_incarnation());
    set("share/1", json, 20);
    store_lock();
    assert_false(membership_owns(1));
    assert_false(membership_may_answer());
    store_unlock();
}

/* Changes go with the shards: together all of them, and a controller without shards has enough to accept jobs. */
static void writing_part(void **state) {
    (void)state;
    static const struct {
        int live, size, owned[3];
    } rows[] = {{3, 3, {1, 1, 1}}, {3, 3, {2, 1, 0}}, {2, 3, {3, 0, 0}}, {1, 7, {7, 0, 0}}};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        double sum = 0;
        for (int n = 0; n < rows[i].live; n++) {
            double part = membership_write_fraction(rows[i].live, rows[i].size, rows[i].owned[n]);
            assert_true(part > 0 && part >= rows[i].owned[n] * 0.8 / rows[i].size);
            sum += part;
        }
        assert_true(sum > 0.99 && sum < 1.01);
    }
}

/* A controller that loses the workers again and again stays without shards ever longer, but not for ever. */
static void workers_retry(void **state) {
    (void)state;
    static const struct {
        int times;
        double want;
    } rows[] = {{0, 15}, {1, 15}, {2, 30}, {3, 60}, {4, 120}, {90, 120}};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
        assert_true(membership_workers_retry_s(rows[i].times) == rows[i].want);
}

int main(void) {
    static struct settings s;
    if (!settings_parse(SITE_JSON, "f.json", &s, NULL)) return 1;
    store_init(&s);
    membership_init(&s);
    const struct CMUnitTest tests[] = {cmocka_unit_test(plan), cmocka_unit_test(mirror_order),
                                       cmocka_unit_test(not_ours_unread), cmocka_unit_test(writing_part),
                                       cmocka_unit_test(workers_retry)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
