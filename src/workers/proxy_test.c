/* Tests the answers to heartbeats on behalf of an owner that is unreachable from the zone. */
#include "workers/proxy.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>
#include <time.h>

#include "../../tests/standin/shard_owner.h"
#include "../../tests/standin/store.h"
#include "../../tests/standin/test_settings.h"
#include "../../tests/standin/worker_messages.h"
#include "clock/clock.h"
#include "membership/membership.h"
#include "workers/codec.h"

static struct settings settings;

/* The owner may have sent the start of a cancelled job before it learned of the cancellation. A proxy must not renew
 * the worker's lease while that start may still arrive. */
static void detects_start_that_may_be_in_flight(void **state) {
    (void)state;
    static const struct {
        const char *description, *tasks;
        bool cancelled, may_be_in_flight;
    } rows[] = {
        {"cancelled and listed as running", WORKER_LISTED_TASK("running"), true, false},
        {"cancelled and listed as ended", WORKER_LISTED_TASK("ended"), true, false},
        {"cancelled and not listed", "", true, true},
        {"cancelled and listed under another attempt", "{\"task\":\"req-10001/0\",\"try\":4,\"state\":\"running\"}",
         true, true},
        {"not cancelled and not listed", "", false, false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        char job_id[32], key[48], tasks[200], allocations[48], machine_id[32];
        g_snprintf(job_id, sizeof job_id, "req-1060%zu", i);
        g_snprintf(key, sizeof key, "job/%s", job_id);
        g_snprintf(machine_id, sizeof machine_id, "i-00099%zu", i);
        g_snprintf(allocations, sizeof allocations, "0@%s+0", machine_id);
        g_snprintf(tasks, sizeof tasks, "{\"tasks\":[%s]}", rows[i].tasks);
        char *job_id_in_tasks = strstr(tasks, "req-");
        if (job_id_in_tasks) memcpy(job_id_in_tasks, job_id, strlen(job_id));
        store_lock();
        char *record = test_replace_first(WORKER_JOB("req-10601", "batch", "2"), "req-10601", job_id);
        shard_owner_put(key, record);
        struct machine *machine = worker_add_machine(machine_id, job_id, allocations, true);
        if (rows[i].cancelled) worker_cancel_job(job_id, record);
        cJSON *message = cJSON_Parse(tasks);
        assert_non_null(message);
        bool may_be_in_flight =
            proxy_start_may_be_in_flight(machine, cJSON_GetObjectItemCaseSensitive(message, "tasks"));
        cJSON_Delete(message);
        worker_remove_machine(job_id);
        store_unlock();
        g_free(record);
        if (may_be_in_flight != rows[i].may_be_in_flight)
            fail_msg("%s: may be in flight is %d", rows[i].description, may_be_in_flight);
    }
}

/* When a zone is partitioned, a controller in it answers for owners outside the zone, but only while its own last read
 * of the store is recent enough. */
static void answers_for_an_owner_outside_the_zone(void **state) {
    (void)state;
    store_lock();
    shard_owner_put("share/1", "{\"owner\":\"n1\",\"inc\":\"x\",\"fence\":70}");
    shard_owner_put("fleet/1/0",
                    "{\"sku\":[\"g\"],\"site\":[\"za\",\"zb\"],\"m\":[[\"i-000960\",\"\",0,0,0,0,1,\"\"],"
                    "[\"i-000961\",\"\",0,1,0,0,1,\"\"]]}");
    struct machine *machine_in_zone = machines_find("i-000960"), *machine_outside_zone = machines_find("i-000961");
    shard_owner_put("job/req-10005", WORKER_JOB("req-10005", "batch", "2"));
    worker_cancel_job("req-10005", WORKER_JOB("req-10005", "batch", "2"));
    assert_false(proxy_may_answer(machine_in_zone)); /* the store is reachable */
    store_unlock();
    standin_store_inject(STANDIN_OUTAGE);
    struct timespec wait_start = clock_now();
    bool unreachable = false;
    while (!unreachable && clock_seconds_since(wait_start) < 8) {
        clock_sleep(clock_from_seconds(0.1));
        store_lock();
        unreachable = store_unreachable();
        store_unlock();
    }
    store_lock();
    assert_true(proxy_may_answer(machine_in_zone));
    assert_false(proxy_may_answer(machine_outside_zone));
    cJSON *message = cJSON_Parse(
        "{\"tasks\":[{\"task\":\"req-10005/0\",\"try\":4,\"state\":\"running\"},"
        "{\"task\":\"req-10001/0\",\"try\":4,\"state\":\"running\"}]}");
    struct heartbeat heartbeat = codec_read_heartbeat(message);
    cJSON *response = proxy_response(machine_in_zone, &heartbeat);
    cJSON *directives = cJSON_GetObjectItemCaseSensitive(response, "orders");
    assert_int_equal(json_get_double(response, "fence", 0), 70);
    assert_int_equal(cJSON_GetArraySize(directives), 1); /* only the stop of the cancelled task */
    assert_string_equal(json_get_string(cJSON_GetArrayItem(directives, 0), "verb"), "stop");
    assert_string_equal(json_get_string(cJSON_GetArrayItem(directives, 0), "task"), "req-10005/0");
    cJSON_Delete(response);
    heartbeat.fencing_token = 75; /* the owner has raised its token within its range */
    response = proxy_response(machine_in_zone, &heartbeat);
    assert_int_equal(json_get_double(response, "fence", 0), 75);
    cJSON_Delete(response);
    cJSON_Delete(message);
    struct settings settings_with_short_validity = settings;
    settings_with_short_validity.cancel_timeout = clock_from_seconds(clock_to_seconds(settings.worker_lease) + 1);
    membership_init(&settings_with_short_validity); /* the last read is now too old */
    assert_false(proxy_may_answer(machine_in_zone));
    store_unlock();
    standin_store_inject(STANDIN_NO_FAULT);
}

int main(void) {
    if (!shard_owner_start_with_store(&settings)) return 1;
    store_lock();
    shard_owner_put("job/req-10001", WORKER_JOB("req-10001", "batch", "2"));
    store_unlock();
    const struct CMUnitTest tests[] = {cmocka_unit_test(detects_start_that_may_be_in_flight),
                                       cmocka_unit_test(answers_for_an_owner_outside_the_zone)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
