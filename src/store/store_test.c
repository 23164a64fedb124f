/* Tests the client, the mirror and the rate budget against a fake store. */
#include "store/store.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include "../../tests/standin/store.h"
#include "../../tests/standin/test_settings.h"
#include "clock/clock.h"
#include "http/client.h"
#include "json/json.h"

static struct settings cfg;
static struct http_client *client;
static int n_applied;

static void count_applied(const char *key_suffix, const cJSON *data, int64_t mod_revision) {
    (void)key_suffix;
    (void)data;
    (void)mod_revision;
    n_applied++;
}

static enum store_result commit_put(const char *key, const char *json, int64_t mod_revision, int64_t lease,
                                    struct store_response *response) {
    struct store_txn txn;
    store_txn_init(&txn);
    store_txn_compare(&txn, key, mod_revision);
    store_txn_put(&txn, key, cJSON_Parse(json), lease);
    clock_sleep(clock_from_seconds(0.15)); /* until the budget is refilled */
    enum store_result result = store_commit(client, STORE_PRIORITY_LEASE, &txn, response);
    store_txn_free(&txn);
    return result;
}

/* Each answer of the store has its own result. A lost answer must not be reported as a rejection, because the
 * transaction may have been carried out. */
static void each_answer_of_the_store_maps_to_its_result(void **state) {
    (void)state;
    static const struct {
        enum standin_store_fault fault;
        int64_t mod_revision, lease;
        enum store_result expected;
        bool written;
    } cases[] = {
        {STANDIN_OUTAGE, 0, 0, STORE_REJECTED, false},    {STANDIN_RATE_LIMITED, 0, 0, STORE_REJECTED, false},
        {STANDIN_NO_FAULT, 0, 99, STORE_INVALID, false},  {STANDIN_NO_FAULT, 7, 0, STORE_CONFLICT, false},
        {STANDIN_LOST_ANSWER, 0, 0, STORE_UNKNOWN, true}, {STANDIN_NO_FAULT, 0, 0, STORE_OK, true},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char key[16];
        struct store_response response;
        g_snprintf(key, sizeof key, "x/%zu", i);
        standin_store_inject(cases[i].fault);
        assert_int_equal(commit_put(key, "{\"v\":1}", cases[i].mod_revision, cases[i].lease, &response),
                         cases[i].expected);
        if (cases[i].expected == STORE_CONFLICT) assert_string_equal(response.conflicts->pdata[0], key);
        if (cases[i].expected == STORE_OK) assert_true(response.revision > 0);
        store_response_clear(&response);
        standin_store_inject(STANDIN_NO_FAULT);
        char *value = standin_store_value(key);
        assert_int_equal(value != NULL, cases[i].written);
        g_free(value);
    }
}

/* A transaction that is carried out late conflicts if the mod revision of a compared key has changed meanwhile. */
static void late_transaction_conflicts(void **state) {
    (void)state;
    struct store_response response;
    assert_int_equal(commit_put("y", "{\"owner\":\"old\"}", 0, 0, &response), STORE_OK);
    int64_t old_revision = response.revision;
    assert_int_equal(commit_put("y", "{\"owner\":\"new\"}", old_revision, 0, &response), STORE_OK);
    assert_int_equal(commit_put("y", "{\"owner\":\"old\"}", old_revision, 0, &response), STORE_CONFLICT);
    store_response_clear(&response);
    char *value = standin_store_value("y");
    assert_string_equal(value, "{\"owner\":\"new\"}");
    g_free(value);
}

/* Waits for at most 3 s until the key exists, or does not exist, in the synced mirror. Returns whether that
 * happened. */
static bool wait_until_mirrored(const char *key, bool exists) {
    for (int i = 0; i < 60; i++) {
        store_lock();
        bool mirrored = store_synced() && (store_key_revision(key) != 0) == exists;
        store_unlock();
        if (mirrored) return true;
        clock_sleep(clock_from_seconds(0.05));
    }
    return false;
}

/* The mirror recovers after an outage of the store. It reads the store in full again when the store no longer has the
 * events that the watch requests. */
static void mirror_recovers_from_an_outage_and_a_compaction(void **state) {
    (void)state;
    standin_store_put("z/1", "1");
    store_mirror_start();
    assert_true(wait_until_mirrored("z/1", true));
    standin_store_put("z/2", "2");
    assert_true(wait_until_mirrored("z/2", true));
    standin_store_inject(STANDIN_OUTAGE);
    standin_store_remove("z/1");
    clock_sleep(clock_from_seconds(0.4));
    store_lock();
    assert_true(store_key_revision("z/1") != 0);
    assert_true(clock_seconds_since(store_last_read_sent()) > 0.3);
    store_unlock();
    standin_store_inject(STANDIN_NO_FAULT);
    assert_true(wait_until_mirrored("z/1", false));
    int kv_requests = standin_store_requests_of("/kv");
    standin_store_inject(STANDIN_WATCH_TOO_OLD);
    clock_sleep(clock_from_seconds(0.5));
    assert_true(standin_store_requests_of("/kv") > kv_requests);
    assert_true(wait_until_mirrored("z/2", true));
    assert_true(n_applied >= 3);
}

/* A rejected transaction without changes exceeded the rate of requests, so it slows down requests but not changes. */
static void rejected_check_slows_down_requests_only(void **state) {
    (void)state;
    for (int n_changes = 0; n_changes < 2; n_changes++) {
        double old_factors[] = {store_budget_rate_factor(STORE_RATE_REQUESTS),
                                store_budget_rate_factor(STORE_RATE_CHANGES)};
        struct store_txn txn;
        struct store_response response;
        store_txn_init(&txn);
        store_txn_compare(&txn, "x/rejected", 0);
        if (n_changes) store_txn_put(&txn, "x/rejected", cJSON_CreateObject(), 0);
        clock_sleep(clock_from_seconds(0.3)); /* until the budget is refilled */
        standin_store_inject(STANDIN_RATE_LIMITED);
        assert_int_equal(store_commit(client, STORE_PRIORITY_CANCEL, &txn, &response), STORE_REJECTED);
        standin_store_inject(STANDIN_NO_FAULT);
        store_response_clear(&response);
        store_txn_free(&txn);
        assert_true(store_budget_rate_factor(STORE_RATE_REQUESTS) < old_factors[0]);
        assert_int_equal(store_budget_rate_factor(STORE_RATE_CHANGES) < old_factors[1], n_changes);
    }
}

int main(void) {
    char *settings_json = test_settings_json();
    if (!settings_parse(settings_json, "f.json", &cfg, NULL) || !standin_store_start(cfg.store_address)) return 1;
    g_free(settings_json);
    store_init(&cfg);
    store_observe_prefix("z/", count_applied);
    client = http_client_new();
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(each_answer_of_the_store_maps_to_its_result),
        cmocka_unit_test(late_transaction_conflicts),
        cmocka_unit_test(mirror_recovers_from_an_outage_and_a_compaction),
        cmocka_unit_test(rejected_check_slows_down_requests_only),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
