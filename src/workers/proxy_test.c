/* Answers for an owner that the zone has lost. */
#include "workers/proxy.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>
#include <time.h>

#include "../../tests/standin/owned.h"
#include "../../tests/standin/site.h"
#include "../../tests/standin/store.h"
#include "../../tests/standin/worker_messages.h"
#include "clock/clock.h"
#include "membership/membership.h"
#include "workers/codec.h"

static struct settings cfg;

/* A start of a cancelled job that the owner may have sent before it knew: a proxy must not keep the incarnation
 * alive for it. */
static void start_in_doubt_is_not_kept_alive(void **state) {
    (void)state;
    static const struct {
        const char *what, *tasks;
        bool cancelled, doubt;
    } rows[] = {
        {"runs", LISTED("running"), true, false},
        {"ended, on record still", LISTED("ended"), true, false},
        {"not listed", "", true, true},
        {"listed under another attempt", "{\"task\":\"req-10001/0\",\"try\":4,\"state\":\"running\"}", true, true},
        {"not cancelled", "", false, false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        char job_id[32], key[48], tasks[200], allocated[48], id[32];
        g_snprintf(job_id, sizeof job_id, "req-1060%zu", i);
        g_snprintf(key, sizeof key, "job/%s", job_id);
        g_snprintf(id, sizeof id, "i-00099%zu", i);
        g_snprintf(allocated, sizeof allocated, "0@%s+0", id);
        g_snprintf(tasks, sizeof tasks, "{\"tasks\":[%s]}", rows[i].tasks);
        char *at = strstr(tasks, "req-");
        if (at) memcpy(at, job_id, strlen(job_id));
        store_lock();
        char *spec = site_with(WORKER_JOB("req-10601", "batch", "2"), "req-10601", job_id);
        owned_put(key, spec);
        struct machine *machine = worker_machine(id, job_id, allocated, true);
        if (rows[i].cancelled) worker_cancel_job(job_id, spec);
        cJSON *message = cJSON_Parse(tasks);
        assert_non_null(message);
        bool doubt = proxy_start_in_doubt(machine, cJSON_GetObjectItemCaseSensitive(message, "tasks"));
        cJSON_Delete(message);
        worker_machine_gone(job_id);
        store_unlock();
        g_free(spec);
        if (doubt != rows[i].doubt) fail_msg("%s: %d", rows[i].what, doubt);
    }
}

/* A zone that lost the others: a controller in there answers for owners outside, as long as its last read is good. */
static void answers_for_an_owner_outside_the_zone(void **state) {
    (void)state;
    store_lock();
    owned_put("share/1", "{\"owner\":\"n1\",\"inc\":\"x\",\"fence\":70}");
    owned_put("fleet/1/0",
              "{\"sku\":[\"g\"],\"site\":[\"za\",\"zb\"],\"m\":[[\"i-000960\",\"\",0,0,0,0,1,\"\"],"
              "[\"i-000961\",\"\",0,1,0,0,1,\"\"]]}");
    struct machine *here = machines_find("i-000960"), *there = machines_find("i-000961");
    owned_put("job/req-10005", WORKER_JOB("req-10005", "batch", "2"));
    worker_cancel_job("req-10005", WORKER_JOB("req-10005", "batch", "2"));
    assert_false(proxy_allowed(here)); /* the store is in reach */
    store_unlock();
    standin_store_inject(STANDIN_OUTAGE);
    struct timespec start = clock_now();
    bool away = false;
    while (!away && clock_seconds_since(start) < 8) {
        clock_sleep(clock_from_seconds(0.1));
        store_lock();
        away = store_unreachable();
        store_unlock();
    }
    store_lock();
    assert_true(proxy_allowed(here));
    assert_false(proxy_allowed(there));
    cJSON *message = cJSON_Parse(
        "{\"tasks\":[{\"task\":\"req-10005/0\",\"try\":4,\"state\":\"running\"},"
        "{\"task\":\"req-10001/0\",\"try\":4,\"state\":\"running\"}]}");
    cJSON *response = proxy_response(here, cJSON_GetObjectItemCaseSensitive(message, "tasks"));
    cJSON *directives = cJSON_GetObjectItemCaseSensitive(response, "orders");
    assert_int_equal(json_get_double(response, "fence", 0), 70);
    assert_int_equal(cJSON_GetArraySize(directives), 1); /* the cancelled one is stopped, nothing else is directed */
    assert_string_equal(json_get_string(cJSON_GetArrayItem(directives, 0), "verb"), "stop");
    assert_string_equal(json_get_string(cJSON_GetArrayItem(directives, 0), "task"), "req-10005/0");
    cJSON_Delete(response);
    cJSON_Delete(message);
    struct settings short_of = cfg;
    short_of.cancel = clock_from_seconds(clock_to_seconds(cfg.lease) + 1);
    membership_init(&short_of); /* a read as old as this is no longer good */
    assert_false(proxy_allowed(here));
    store_unlock();
    standin_store_inject(STANDIN_NO_FAULT);
}

int main(void) {
    if (!owned_start_site(&cfg)) return 1;
    store_lock();
    owned_put("job/req-10001", WORKER_JOB("req-10001", "batch", "2"));
    store_unlock();
    const struct CMUnitTest tests[] = {cmocka_unit_test(start_in_doubt_is_not_kept_alive),
                                       cmocka_unit_test(answers_for_an_owner_outside_the_zone)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
