/* The client and the mirror against a stand-in of the store. */
#include "store/store.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include "../../tests/standin/site.h"
#include "../../tests/standin/store.h"
#include "clock/clock.h"
#include "http/client.h"
#include "json/json.h"

static struct settings cfg;
static struct http_client *client;
static int applied;

static void count_applied(const char *rest, const cJSON *data, int64_t mod_revision) {
    (void)rest;
    (void)data;
    (void)mod_revision;
    applied++;
}

static enum store_result commit_put(const char *key, const char *json, int64_t mod_revision, int64_t lease,
                                    struct store_response *response) {
    struct store_txn txn;
    store_txn_init(&txn);
    store_txn_compare(&txn, key, mod_revision);
    store_txn_put(&txn, key, cJSON_Parse(json), lease);
    clock_sleep(clock_from_seconds(0.15)); /* the budget refills */
    enum store_result result = store_commit(client, STORE_PRIORITY_LEASE, &txn, response);
    store_txn_free(&txn);
    return result;
}

/* What each answer of the service means to the caller; an unknown outcome is never taken for a refusal. */
static void each_answer_of_the_store_has_its_result(void **state) {
    (void)state;
    static const struct {
        enum standin_store_fault trouble;
        int64_t mod_revision, lease;
        enum store_result want;
        bool there;
    } cases[] = {
        {STANDIN_OUTAGE, 0, 0, STORE_REJECTED, false},    {STANDIN_RATE_LIMITED, 0, 0, STORE_REJECTED, false},
        {STANDIN_NO_FAULT, 0, 99, STORE_INVALID, false},  {STANDIN_NO_FAULT, 7, 0, STORE_CONFLICT, false},
        {STANDIN_LOST_ANSWER, 0, 0, STORE_UNKNOWN, true}, {STANDIN_NO_FAULT, 0, 0, STORE_OK, true},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char key[16];
        struct store_response response;
        g_snprintf(key, sizeof key, "x/%zu", i);
        standin_store_inject(cases[i].trouble);
        assert_int_equal(commit_put(key, "{\"v\":1}", cases[i].mod_revision, cases[i].lease, &response), cases[i].want);
        if (cases[i].want == STORE_CONFLICT) assert_string_equal(response.conflicts->pdata[0], key);
        if (cases[i].want == STORE_OK) assert_true(response.revision > 0);
        store_response_clear(&response);
        standin_store_inject(STANDIN_NO_FAULT);
        char *value = standin_store_value(key);
        assert_int_equal(value != NULL, cases[i].there);
        g_free(value);
    }
}

/* A transaction that is applied late fails once the mod revision it names has moved. */
static void a_late_transaction_conflicts(void **state) {
    (void)state;
    struct store_response response;
    assert_int_equal(commit_put("y", "{\"owner\":\"old\"}", 0, 0, &response), STORE_OK);
    int64_t old = response.revision;
    assert_int_equal(commit_put("y", "{\"owner\":\"new\"}", old, 0, &response), STORE_OK);
    assert_int_equal(commit_put("y", "{\"owner\":\"old\"}", old, 0, &response), STORE_CONFLICT);
    store_response_clear(&response);
    char *value = standin_store_value("y");
    assert_string_equal(value, "{\"owner\":\"new\"}");
    g_free(value);
}

static bool mirrored(const char *key, bool there) {
    for (int i = 0; i < 60; i++) {
        store_lock();
        bool is = store_synced() && (store_key_revision(key) != 0) == there;
        store_unlock();
        if (is) return true;
        clock_sleep(clock_from_seconds(0.05));
    }
    return false;
}

/* The mirror follows, through an outage, and reads all again when the watch is told that it is too old. */
static void the_mirror_follows_through_an_outage_and_a_compaction(void **state) {
    (void)state;
    standin_store_put("z/1", "1");
    store_mirror_start();
    assert_true(mirrored("z/1", true));
    standin_store_put("z/2", "2");
    assert_true(mirrored("z/2", true));
    standin_store_inject(STANDIN_OUTAGE);
    standin_store_remove("z/1");
    clock_sleep(clock_from_seconds(0.4));
    store_lock();
    assert_true(store_key_revision("z/1") != 0);
    assert_true(clock_seconds_since(store_last_read()) > 0.3);
    store_unlock();
    standin_store_inject(STANDIN_NO_FAULT);
    assert_true(mirrored("z/1", false));
    int reads = standin_store_requests_of("/kv");
    standin_store_inject(STANDIN_WATCH_TOO_OLD);
    clock_sleep(clock_from_seconds(0.5));
    assert_true(standin_store_requests_of("/kv") > reads);
    assert_true(mirrored("z/2", true));
    assert_true(applied >= 3);
}

/* A refusal of a transaction without changes was over the rate of requests: it slows down requests, and changes not. */
static void a_refused_check_slows_down_requests_only(void **state) {
    (void)state;
    for (int changes = 0; changes < 2; changes++) {
        double before[] = {store_budget_rate_factor(STORE_RATE_REQUESTS), store_budget_rate_factor(STORE_RATE_CHANGES)};
        struct store_txn txn;
        struct store_response response;
        store_txn_init(&txn);
        store_txn_compare(&txn, "x/refused", 0);
        if (changes) store_txn_put(&txn, "x/refused", cJSON_CreateObject(), 0);
        clock_sleep(clock_from_seconds(0.3)); /* the budget refills */
        standin_store_inject(STANDIN_RATE_LIMITED);
        assert_int_equal(store_commit(client, STORE_PRIORITY_CANCEL, &txn, &response), STORE_REJECTED);
        standin_store_inject(STANDIN_NO_FAULT);
        store_response_clear(&response);
        store_txn_free(&txn);
        assert_true(store_budget_rate_factor(STORE_RATE_REQUESTS) < before[0]);
        assert_int_equal(store_budget_rate_factor(STORE_RATE_CHANGES) < before[1], changes);
    }
}

int main(void) {
    char *text = site_json();
    if (!settings_parse(text, "f.json", &cfg, NULL) || !standin_store_start(cfg.state)) return 1;
    g_free(text);
    store_init(&cfg);
    store_observe_prefix("z/", count_applied);
    client = http_client_new();
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(each_answer_of_the_store_has_its_result),
        cmocka_unit_test(a_late_transaction_conflicts),
        cmocka_unit_test(the_mirror_follows_through_an_outage_and_a_compaction),
        cmocka_unit_test(a_refused_check_slows_down_requests_only),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
