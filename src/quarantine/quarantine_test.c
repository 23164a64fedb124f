/* Tests whether the job, the machine or neither is found to be at fault when tasks fail. */
#include "quarantine/quarantine.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include "../../tests/standin/shard_owner.h"
#include "../../tests/standin/store.h"
#include "../../tests/standin/test_settings.h"
#include "allocations/allocations.h"
#include "allocations/records.h"
#include "clock/clock.h"
#include "json/json.h"
#include "liveness/liveness.h"
#include "placement/placement.h"
#include "scheduler/round.h"

enum { MACHINES = 4, JOBS = 3 };

static struct settings cfg;
static struct machine *machines[MACHINES];
static struct job *jobs[JOBS];

static void create_machines_and_jobs(const char *shape, int tasks) {
    char name[32];
    for (int i = 0; i < MACHINES; i++) {
        g_snprintf(name, sizeof name, "i-%06d", 500 + i);
        machines[i] = shard_owner_add_machine(name, "za", false);
    }
    for (int i = 0; i < JOBS; i++) {
        static int next_job_number = 600000;
        g_snprintf(name, sizeof name, "req-%d", next_job_number++);
        jobs[i] = shard_owner_add_job(name, shape, "high", tasks, 1, 1, false, true, 10);
    }
}

/* Each step names a job and a machine: "0a" is a failure of job 0 on machine a, "0+" a success of job 0. */
static void failures_tell_suspect_jobs_from_faulty_machines(void **state) {
    (void)state;
    static const struct {
        const char *description, *steps;
        bool suspect; /* job 0 */
        bool faulty;  /* machine a */
        int failures; /* jobs whose failures count against machine a */
    } rows[] = {
        {"one failure", "0a", false, false, 1},
        {"one job repeatedly on one machine", "0a 0a 0a", false, false, 1},
        {"one job on two machines", "0a 0b", true, false, 0},
        {"three jobs on one machine", "0a 1a 2a", false, true, 3},
        {"two jobs on one machine", "0a 1a", false, true, 2},
        {"two jobs on one machine, one of them also on another machine", "0a 1a 1b", false, false, 1},
        {"two jobs on one machine, both also on other machines", "0a 1a 1b 0c", true, false, 0},
        {"a job that has completed a task is not suspect", "0a 0+ 0b", false, false, 1},
        {"a suspect job that completes a task is no longer suspect", "0a 0b 0+", false, false, 1},
        {"that job becomes suspect again only after failing on two more machines", "0a 0b 0+ 0c", false, false, 1},
    };
    store_lock();
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        create_machines_and_jobs("batch", 5);
        for (const char *step = rows[i].steps; *step; step += strcspn(step, " "), step += strspn(step, " ")) {
            struct job *job = jobs[step[0] - '0'];
            if (step[1] == '+')
                quarantine_record_success(job);
            else
                quarantine_record_failure(job, machines[step[1] - 'a']);
        }
        bool suspect = quarantine_job_suspect(jobs[0]), faulty = quarantine_machine_faulty(machines[0]);
        int failures = quarantine_machine_failures(machines[0]);
        shard_owner_clear();
        if (suspect != rows[i].suspect) fail_msg("%s: suspect is %d", rows[i].description, suspect);
        if (faulty != rows[i].faulty) fail_msg("%s: faulty is %d", rows[i].description, faulty);
        if (failures != rows[i].failures)
            fail_msg("%s: %d jobs count against the machine", rows[i].description, failures);
    }
    store_unlock();
}

static void retry_delays_grow_up_to_the_maximum(void **state) {
    (void)state;
    double previous_s = 0;
    for (int tries = 1; tries < 1000; tries++) {
        double delay_s = quarantine_retry_delay_s(tries);
        assert_true(delay_s >= previous_s && delay_s <= QUARANTINE_RETRY_DELAY_MAX_S);
        previous_s = delay_s;
    }
    assert_true(previous_s >= QUARANTINE_RETRY_DELAY_MAX_S);
    assert_true(quarantine_retry_delay_s(1) <= 2);
}

/* A suspect job is retried with one task, only after its retry delay and only on room that other jobs leave, and no
 * machine is rented for it. */
static void suspect_job_is_retried_with_one_task(void **state) {
    (void)state;
    store_lock();
    create_machines_and_jobs("batch", 30);
    for (int i = 0; i < MACHINES; i++) quarantine_record_failure(jobs[0], machines[i]);
    struct scheduling_round *waiting = scheduling_round_decide(0, 20);
    int planned_waiting = shard_owner_planned_tasks(waiting, jobs[0]->spec.job_id);
    scheduling_round_free(waiting);
    jobs[0]->retry_at = clock_now();
    /* The two other jobs need all the machines: the suspect job gets no task, and no machine is requested for it
     * either. */
    struct scheduling_round *full = scheduling_round_decide(0, 20);
    int planned_full = shard_owner_planned_tasks(full, jobs[0]->spec.job_id);
    bool unplaced = jobs[0]->unplaced;
    scheduling_round_free(full);
    jobs[1]->retry_at = jobs[2]->retry_at = clock_now_plus(clock_from_seconds(60));
    struct scheduling_round *tried = scheduling_round_decide(0, 20);
    int planned_tried = shard_owner_planned_tasks(tried, jobs[0]->spec.job_id);
    scheduling_round_free(tried);
    shard_owner_clear();
    store_unlock();
    assert_int_equal(planned_waiting, 0);
    assert_int_equal(planned_full, 0);
    assert_false(unplaced);
    assert_int_equal(planned_tried, 1);
}

/* The next owner reads the number of failed tries from the allocation record, even if nothing is allocated. This must
 * be the last test, because it gives the shard to another controller. */
static void failed_tries_survive_a_change_of_owner(void **state) {
    (void)state;
    store_lock();
    create_machines_and_jobs("batch", 30);
    struct job *job = jobs[0];
    quarantine_record_failure(job, machines[0]);
    assert_null(allocations_value(job, 0, chunks_size(job), NULL, ALLOCATIONS_OF_OPEN_JOB));
    quarantine_record_failure(job, machines[1]);
    assert_true(allocations_chunk_dirty(job, 0));
    cJSON *value = allocations_value(job, 0, chunks_size(job), NULL, ALLOCATIONS_OF_OPEN_JOB);
    int64_t tries = 0;
    assert_true(json_get_int64(value, "e", &tries));
    assert_int_equal(tries, 1);
    const struct store_key key = store_key_allocations(job->spec.job_id, 0);
    store_apply(key.text, value, shard_owner_next_revision());
    cJSON_Delete(value);
    assert_false(allocations_chunk_dirty(job, 0));
    /* Once another controller owns the shard, this one knows the number only from the record. */
    shard_owner_put("share/0", "{\"owner\":\"n1\",\"inc\":\"x\",\"fence\":77}");
    job->failed_tries = 0;
    shard_owner_put(key.text, "{\"e\":5}");
    int after_read = job->failed_tries;
    shard_owner_put(key.text, "{\"e\":-3}");
    int after_invalid = job->failed_tries;
    shard_owner_put(key.text, NULL);
    int after_deletion = job->failed_tries;
    assert_int_equal(after_read, 5);
    assert_int_equal(after_invalid, 0);
    assert_int_equal(after_deletion, 0);
    store_unlock();
}

/* A faulty machine immediately gets no new tasks. It is returned a while later, unless its jobs turn out to be at
 * fault. */
static void faulty_machine_is_returned(void **state) {
    (void)state;
    static const struct {
        const char *description;
        bool both_jobs_fail_elsewhere; /* on a second machine */
        double faulty_s;
        bool schedulable, returned;
    } rows[] = {
        {"just became faulty", false, 0, false, false},
        {"faulty for 10 s", false, 10, false, true},
        {"its jobs also fail on another machine", true, 10, true, false},
    };
    const struct liveness_summary all_machines_heard = {.up = MACHINES, .heard = MACHINES};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        store_lock();
        create_machines_and_jobs("batch", 5);
        for (int job = 0; job < 2; job++) quarantine_record_failure(jobs[job], machines[0]);
        liveness_check_machines(0, &all_machines_heard);
        for (int job = 0; rows[i].both_jobs_fail_elsewhere && job < 2; job++)
            quarantine_record_failure(jobs[job], machines[1]);
        if (machines[0]->faulty_since.tv_sec) machines[0]->faulty_since.tv_sec -= (time_t)rows[i].faulty_s;
        placement_prepare_machines(0);
        bool schedulable = machines[0]->round.schedulable;
        liveness_check_machines(0, &all_machines_heard);
        bool returned = machines[0]->retirement.return_wanted;
        shard_owner_clear();
        store_unlock();
        if (schedulable != rows[i].schedulable) fail_msg("%s: schedulable is %d", rows[i].description, schedulable);
        if (returned != rows[i].returned) fail_msg("%s: returned is %d", rows[i].description, returned);
    }
}

int main(void) {
    if (!shard_owner_start_with_store(&cfg)) return 1;
    store_lock();
    shard_owner_put_machine_type();
    store_unlock();
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(failures_tell_suspect_jobs_from_faulty_machines),
        cmocka_unit_test(retry_delays_grow_up_to_the_maximum), cmocka_unit_test(suspect_job_is_retried_with_one_task),
        cmocka_unit_test(faulty_machine_is_returned), cmocka_unit_test(failed_tries_survive_a_change_of_owner)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
