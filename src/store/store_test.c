#include "store/store.h"

#include <arpa/inet.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../../tests/standin/site.h"
#include "../../tests/standin/state.h"
#include "clock/clock.h"
#include "http/client.h"
#include "http/server.h"
#include "json/json.h"
#include "sync/sync.h"

static struct settings cfg;
static struct http_client *c;
static int applied;

static void count_applied(const char *rest, const cJSON *data, int64_t mod_revision) {
    (void)rest;
    (void)data;
    (void)mod_revision;
    applied++;
}

static enum store_result set(const char *key, const char *json, int64_t mod_revision, int64_t lease,
                             struct store_response *a) {
    struct store_txn t;
    store_txn_init(&t);
    store_txn_compare(&t, key, mod_revision);
    store_txn_put(&t, key, cJSON_Parse(json), lease);
    clock_sleep(clock_from_seconds(0.15)); /* the budget refills */
    enum store_result r = store_commit(c, STORE_PRIORITY_LEASE, &t, a);
    store_txn_free(&t);
    return r;
}

/* What each answer of the service means to the caller; an unknown outcome is never taken for a refusal. */
static void results(void **state) {
    (void)state;
    static const struct {
        enum standin_trouble trouble;
        int64_t mod_revision, lease;
        enum store_result want;
        bool there;
    } rows[] = {
        {STANDIN_OUTAGE, 0, 0, STORE_REJECTED, false},    {STANDIN_BUDGET, 0, 0, STORE_REJECTED, false},
        {STANDIN_NONE, 0, 99, STORE_INVALID, false},      {STANDIN_NONE, 7, 0, STORE_CONFLICT, false},
        {STANDIN_LOST_ANSWER, 0, 0, STORE_UNKNOWN, true}, {STANDIN_NONE, 0, 0, STORE_OK, true},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        char key[16];
        struct store_response a;
        g_snprintf(key, sizeof key, "x/%zu", i);
        standin_state_trouble(rows[i].trouble);
        assert_int_equal(set(key, "{\"v\":1}", rows[i].mod_revision, rows[i].lease, &a), rows[i].want);
        if (rows[i].want == STORE_CONFLICT) assert_string_equal(a.conflicts->pdata[0], key);
        if (rows[i].want == STORE_OK) assert_true(a.revision > 0);
        store_response_clear(&a);
        standin_state_trouble(STANDIN_NONE);
        char *v = standin_state_value(key);
        assert_int_equal(v != NULL, rows[i].there);
        g_free(v);
    }
}

/* A transaction that is applied late fails once the mod revision it names has moved. */
static void late_transaction(void **state) {
    (void)state;
    struct store_response a;
    assert_int_equal(set("y", "{\"owner\":\"old\"}", 0, 0, &a), STORE_OK);
    int64_t old = a.revision;
    assert_int_equal(set("y", "{\"owner\":\"new\"}", old, 0, &a), STORE_OK);
    assert_int_equal(set("y", "{\"owner\":\"old\"}", old, 0, &a), STORE_CONFLICT);
    store_response_clear(&a);
    char *v = standin_state_value("y");
    assert_string_equal(v, "{\"owner\":\"new\"}");
    g_free(v);
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
static void mirror(void **state) {
    (void)state;
    standin_state_put("z/1", "1");
    store_mirror_start();
    assert_true(mirrored("z/1", true));
    standin_state_put("z/2", "2");
    assert_true(mirrored("z/2", true));
    standin_state_trouble(STANDIN_OUTAGE);
    standin_state_remove("z/1");
    clock_sleep(clock_from_seconds(0.4));
    store_lock();
    assert_true(store_key_revision("z/1") != 0);
    assert_true(clock_seconds_since(store_last_read()) > 0.3);
    store_unlock();
    standin_state_trouble(STANDIN_NONE);
    assert_true(mirrored("z/1", false));
    int reads = standin_state_calls("/kv");
    standin_state_trouble(STANDIN_GONE_410);
    clock_sleep(clock_from_seconds(0.5));
    assert_true(standin_state_calls("/kv") > reads);
    assert_true(mirrored("z/2", true));
    assert_true(applied >= 3);
}

static void *swallow(void *arg) {
    /* Accepts one connection, answers its first request, and is silent after the second. */
    int at = accept(*(int *)arg, NULL, NULL);
    char buf[4096];
    static const char ok[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    if (at >= 0 && read(at, buf, sizeof buf) > 0 && write(at, ok, sizeof ok - 1) > 0) (void)!read(at, buf, sizeof buf);
    clock_sleep(clock_from_seconds(1));
    if (at >= 0) close(at);
    return NULL;
}

/* What was sent and not answered is unknown, also on a kept connection; what found no listener was not sent. */
static void sent_or_not(void **state) {
    (void)state;
    struct sockaddr_in sa = {.sin_family = AF_INET, .sin_port = htons(18186), .sin_addr = {htonl(INADDR_LOOPBACK)}};
    int one = 1, fd = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    assert_int_equal(bind(fd, (struct sockaddr *)&sa, sizeof sa), 0);
    assert_int_equal(listen(fd, 4), 0);
    assert_int_equal(sync_start_thread(swallow, &fd), 0);
    struct http_client *h = http_client_new();
    long status;
    assert_int_equal(http_call(h, "POST", "http://127.0.0.1:18186/a", "{}", 500, &status, NULL), HTTP_ANSWERED);
    assert_int_equal(http_call(h, "POST", "http://127.0.0.1:18186/a", "{}", 300, &status, NULL), HTTP_UNKNOWN);
    assert_int_equal(http_call(h, "POST", "http://127.0.0.1:18187/a", "{}", 300, &status, NULL), HTTP_NOT_SENT);
    http_client_free(h);
    close(fd);
}

/* Workers' connections are closed while there is still room for everybody else. */
static void crowded(void **state) {
    (void)state;
    static const struct {
        unsigned open, most;
        bool want;
    } rows[] = {{0, 1594, false}, {797, 1594, false}, {798, 1594, true}, {1594, 1594, true}, {1, 1, true}};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
        assert_int_equal(http_crowded(rows[i].open, rows[i].most), rows[i].want);
}

/* A refusal of a transaction without changes was over the rate of requests: it slows down requests, and changes not. */
static void refusals(void **state) {
    (void)state;
    for (int changes = 0; changes < 2; changes++) {
        double before[] = {store_budget_rate_factor(false), store_budget_rate_factor(true)};
        struct store_txn t;
        struct store_response a;
        store_txn_init(&t);
        store_txn_compare(&t, "x/refused", 0);
        if (changes) store_txn_put(&t, "x/refused", cJSON_CreateObject(), 0);
        clock_sleep(clock_from_seconds(0.3)); /* the budget refills */
        standin_state_trouble(STANDIN_BUDGET);
        assert_int_equal(store_commit(c, STORE_PRIORITY_CANCEL, &t, &a), STORE_REJECTED);
        standin_state_trouble(STANDIN_NONE);
        store_response_clear(&a);
        store_txn_free(&t);
        assert_true(store_budget_rate_factor(false) < before[0]);
        assert_int_equal(store_budget_rate_factor(true) < before[1], changes);
    }
}

int main(void) {
    char *text = site_json();
    if (!settings_parse(text, "f.json", &cfg, NULL) || !standin_state_start(cfg.state)) return 1;
    g_free(text);
    store_init(&cfg);
    store_observe_prefix("z/", count_applied);
    c = http_client_new();
    const struct CMUnitTest tests[] = {cmocka_unit_test(results), cmocka_unit_test(late_transaction),
                                       cmocka_unit_test(mirror),  cmocka_unit_test(sent_or_not),
                                       cmocka_unit_test(crowded), cmocka_unit_test(refusals)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
