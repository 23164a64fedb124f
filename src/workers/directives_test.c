/* Tests which directives a response to a heartbeat contains. */
#include "workers/directives.h"

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

static void stops_tasks_of_a_cancelled_job(void **state) {
    (void)state;
    int64_t fencing_token = membership_shard(0)->fencing_token;
    store_lock();
    shard_owner_put("job/req-10002", WORKER_JOB("req-10002", "batch", "2"));
    struct machine *machine = worker_add_machine("i-000902", "req-10002", "0@i-000902+0 1@i-000902+1", false);
    worker_apply_message(machine, 1, 1, fencing_token, "{\"task\":\"req-10002/0\",\"try\":5,\"state\":\"running\"}",
                         CHANNEL_HEARTBEAT);
    assert_int_equal(worker_count_directives(machine, "run"), 1);
    worker_cancel_job("req-10002", WORKER_JOB("req-10002", "batch", "2"));
    assert_int_equal(worker_count_directives(machine, "run"), 0);
    assert_int_equal(worker_count_directives(machine, "stop"), 1);
    /* Task 0 completes after the cancellation: the job stays cancelled. */
    worker_apply_message(machine, 1, 2, fencing_token,
                         "{\"task\":\"req-10002/0\",\"try\":5,\"state\":\"ended\",\"cause\":\"done\"}",
                         CHANNEL_HEARTBEAT);
    assert_int_equal(jobs_find("req-10002")->state, JOB_CANCELLED);
    assert_true(((struct allocation *)machine->allocations->pdata[1])->released);
    worker_remove_machine("req-10002");
    store_unlock();
}

/* When the owner changes every few seconds, each new owner's first response renews the worker's lease, so a cancelled
 * task would run on. The stop must therefore be in that first response, before the worker shows the new token. */
static void stops_cancelled_tasks_under_an_older_token(void **state) {
    (void)state;
    int64_t fencing_token = membership_shard(0)->fencing_token;
    store_lock();
    shard_owner_put("job/req-10004", WORKER_JOB("req-10004", "batch", "2"));
    struct machine *machine = worker_add_machine("i-000940", "req-10004", "0@i-000940+0 1@i-000940+1", true);
    static const char tasks[] =
        "{\"task\":\"req-10004/0\",\"try\":5,\"state\":\"running\"},"
        "{\"task\":\"req-10004/1\",\"try\":6,\"state\":\"ended\",\"cause\":\"done\"}";
    worker_apply_message(machine, 1, 1, fencing_token - 1, tasks, CHANNEL_HEARTBEAT);
    assert_int_equal(worker_count_directives(machine, "stop"), 0);
    worker_cancel_job("req-10004", WORKER_JOB("req-10004", "batch", "2"));
    worker_apply_message(machine, 1, 2, fencing_token - 1, tasks, CHANNEL_HEARTBEAT);
    assert_int_equal(worker_count_directives(machine, "stop"), 1);
    assert_int_equal(worker_count_directives(machine, "forget"), 0);
    assert_int_equal(worker_count_directives(machine, "run"), 0);
    worker_remove_machine("req-10004");
    store_unlock();
}

/* A task is allocated but not started when the store becomes unreachable. While the last read of the store is recent
 * enough, heartbeats are still answered, but the task is started only once the store can be read again. */
static void starts_need_a_recent_read(void **state) {
    (void)state;
    store_lock();
    int64_t fencing_token = membership_shard(0)->fencing_token;
    struct machine *machine = worker_add_machine("i-000981", "req-10001", WORKER_ALLOCATION("i-000981"), false);
    assert_true(worker_apply_message(machine, 1, 1, fencing_token, "", CHANNEL_HEARTBEAT));
    assert_int_equal(worker_count_directives(machine, "run"), 1);
    store_unlock();
    standin_store_inject(STANDIN_OUTAGE);
    struct timespec wait_start = clock_now();
    bool may_start = true, may_answer = true;
    while (may_start && clock_seconds_since(wait_start) < 8) {
        clock_sleep(clock_from_seconds(0.05));
        store_lock();
        may_start = membership_may_start_tasks();
        may_answer = membership_may_answer_workers();
        store_unlock();
    }
    assert_false(may_start);
    assert_true(may_answer);
    assert_true(clock_seconds_since(wait_start) < 4);
    store_lock();
    assert_int_equal(worker_count_directives(machine, "run"), 0);
    store_unlock();
    standin_store_inject(STANDIN_NO_FAULT);
    wait_start = clock_now();
    while (!may_start && clock_seconds_since(wait_start) < 8) {
        clock_sleep(clock_from_seconds(0.05));
        store_lock();
        may_start = membership_may_start_tasks();
        store_unlock();
    }
    store_lock();
    assert_int_equal(worker_count_directives(machine, "run"), 1);
    worker_remove_machine("req-10001");
    store_unlock();
}

int main(void) {
    if (!shard_owner_start_with_store(&settings)) return 1;
    store_lock();
    shard_owner_put("job/req-10001", WORKER_JOB("req-10001", "batch", "2"));
    store_unlock();
    const struct CMUnitTest tests[] = {cmocka_unit_test(stops_tasks_of_a_cancelled_job),
                                       cmocka_unit_test(stops_cancelled_tasks_under_an_older_token),
                                       cmocka_unit_test(starts_need_a_recent_read)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
