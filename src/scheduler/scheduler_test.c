/* Tests of the owner's decisions for a shard, without cloud and workers. A stand-in for the store makes this controller
 * the owner. */
#include <glib.h>
#include <stdbool.h>
#include <string.h>
#include <time.h>

#include "../../tests/standin/shard_owner.h"
#include "../../tests/standin/store.h"
#include "../../tests/standin/test_settings.h"
#include "allocations/allocations.h"
#include "autoscaler/scale_out.h"
#include "clock/clock.h"
#include "liveness/liveness.h"
#include "placement/placement.h"
#include "scheduler/round.h"

static struct settings cfg;
static const char *const zones[] = {"za", "zb", "zc"};

static int round_writes(const struct scheduling_round *round) {
    int writes = 0;
    for (guint i = 0; i < round->transactions->len; i++)
        writes += ((struct store_txn *)round->transactions->pdata[i])->n_operations;
    return writes;
}

static int largest_transaction(const struct scheduling_round *round) {
    int largest = 0;
    for (guint i = 0; i < round->transactions->len; i++)
        largest = MAX(largest, ((struct store_txn *)round->transactions->pdata[i])->n_operations);
    return largest;
}

/* A gang is placed as a whole or not at all, and in one zone if it is bound to one. If it does not fit, free room is
 * reserved for it, and tasks are preempted only if that makes enough room. */
static void gang_is_placed_whole_or_not_at_all(void **state) {
    (void)state;
    static const struct {
        const char *description;
        int empty[3], occupied[3]; /* machines by zone: empty, and with one preemptible task of an array */
        int tasks;
        bool single_zone;
        int planned, stopped;
    } rows[] = {
        {"room in one zone", {1, 3, 0}, {0, 0, 0}, 3, true, 3, 0},
        {"room only across zones", {1, 1, 1}, {0, 0, 0}, 3, true, 0, 0},
        {"room across zones, for a gang not bound to one", {1, 1, 1}, {0, 0, 0}, 3, false, 3, 0},
        {"room after one preemption", {0, 2, 0}, {0, 1, 0}, 3, true, 0, 1},
        {"preemption would not make enough room", {0, 1, 0}, {1, 1, 0}, 3, true, 0, 0},
    };
    store_lock();
    for (size_t row = 0; row < G_N_ELEMENTS(rows); row++) {
        struct machine *occupied[9];
        int n_occupied = 0, n_machines = 0;
        char machine_id[32], job_id[32];
        for (int zone = 0; zone < 3; zone++) {
            for (int i = 0; i < rows[row].empty[zone] + rows[row].occupied[zone]; i++) {
                g_snprintf(machine_id, sizeof machine_id, "i-%zu%02d", row + 1, n_machines++);
                struct machine *machine = shard_owner_add_machine(machine_id, zones[zone], false);
                if (i >= rows[row].empty[zone]) occupied[n_occupied++] = machine;
            }
        }
        g_snprintf(job_id, sizeof job_id, "req-3%zu01", row);
        struct job *array = shard_owner_add_job(job_id, "batch", "normal", 9, 6, 1, false, true, 200);
        if (n_occupied) shard_owner_allocate(array, occupied, n_occupied);
        g_snprintf(job_id, sizeof job_id, "req-3%zu02", row);
        struct job *gang =
            shard_owner_add_job(job_id, "group", "high", rows[row].tasks, 14, 2, rows[row].single_zone, false, 5);
        struct scheduling_round *round = scheduling_round_decide(0, 20);
        if (shard_owner_planned_tasks(round, job_id) != rows[row].planned)
            fail_msg("%s: %d gang tasks planned", rows[row].description, shard_owner_planned_tasks(round, job_id));
        int stopped = 0;
        for (guint i = 0; i < array->allocations->len; i++)
            stopped += ((struct allocation *)array->allocations->pdata[i])->stop_requested;
        if (stopped != rows[row].stopped) fail_msg("%s: %d tasks asked to stop", rows[row].description, stopped);
        /* Room reserved for the gang is not given to the array, which comes later in the order. */
        if (rows[row].planned == 0) {
            g_snprintf(job_id, sizeof job_id, "req-3%zu01", row);
            int empty_in_all = 0, most_in_a_zone = 0;
            for (int zone = 0; zone < 3; zone++) {
                empty_in_all += rows[row].empty[zone];
                most_in_a_zone = MAX(most_in_a_zone, rows[row].empty[zone]);
            }
            if (shard_owner_planned_tasks(round, job_id) > (empty_in_all - most_in_a_zone) * 2 + n_occupied)
                fail_msg("%s: %d array tasks planned, some on the gang's machines", rows[row].description,
                         shard_owner_planned_tasks(round, job_id));
            assert_true(gang->unplaced);
        }
        scheduling_round_free(round);
        shard_owner_clear();
    }
    store_unlock();
}

/* A large or late job must not wait forever: once it has waited too long for its first task, it precedes the other jobs
 * of its priority. */
static void job_past_its_wait_limit_goes_first(void **state) {
    (void)state;
    store_lock();
    shard_owner_add_machine("i-800", "za", false);
    struct job *late = shard_owner_add_job("req-40001", "batch", "normal", 1, 16, 2, false, false, 120);
    shard_owner_add_job("req-40002", "batch", "normal", 1, 16, 2, false, false, 1);
    late->spec.runtime_s = 5000; /* too long to meet any objective */
    struct scheduling_round *round = scheduling_round_decide(0, 20);
    assert_int_equal(shard_owner_planned_tasks(round, "req-40001"), 1);
    assert_int_equal(shard_owner_planned_tasks(round, "req-40002"), 0);
    scheduling_round_free(round);
    shard_owner_clear();
    store_unlock();
}

/* A round stays within its write budget, and marks jobs that it could not plan as unplaced. */
static void round_stays_within_write_budget(void **state) {
    (void)state;
    char job_id[32];
    store_lock();
    shard_owner_add_machine("i-810", "za", false);
    for (int i = 0; i < 10; i++) {
        g_snprintf(job_id, sizeof job_id, "req-5%04d", i);
        shard_owner_add_job(job_id, "batch", "normal", 1, 8, 1, false, false, 10 - i);
    }
    static const struct { int budget, writes_max; } rows[] = {{0, 0}, {1, 0}, {2, 2}, {20, 20}};
    for (size_t row = 0; row < G_N_ELEMENTS(rows); row++) {
        struct scheduling_round *round = scheduling_round_decide(0, rows[row].budget);
        if (round_writes(round) > rows[row].writes_max) fail_msg("%d writes", round_writes(round));
        assert_true(shard_owner_planned_tasks(round, NULL) <= 2);
        assert_true(largest_transaction(round) <= cfg.txn_operations_max);
        scheduling_round_free(round);
    }
    assert_true(jobs_find("req-50009")->unplaced);
    shard_owner_clear();
    store_unlock();
}

/* Guards against a shard that writes nothing for minutes, because the store, whose rate of changes is used up, rejects
 * each transaction of its arriving machines and allocations. */
static void transactions_are_small_while_machines_arrive(void **state) {
    (void)state;
    enum { ARRIVALS = 8, JOBS = 6, SMALL_TRANSACTION_WRITES = 4 };
    char key[32], job_id[32];
    store_lock();
    for (int i = 0; i < JOBS; i++) {
        g_snprintf(key, sizeof key, "i-82%d", i);
        shard_owner_add_machine(key, "za", false);
        g_snprintf(job_id, sizeof job_id, "req-51%03d", i);
        shard_owner_add_job(job_id, "batch", "normal", 1, 8, 1, false, false, 10);
    }
    for (int i = 0; i < ARRIVALS; i++) {
        g_snprintf(key, sizeof key, "machine/i-%06d", 830 + i);
        shard_owner_put(key,
                        "{\"share\":0,\"fence\":1,\"address\":\"127.0.0.1:9\",\"flavour\":\"g16\",\"site\":\"za\","
                        "\"spot\":false,\"born\":1}");
    }
    struct scheduling_round *round = scheduling_round_decide(0, 20);
    int writes = round_writes(round), largest = largest_transaction(round);
    scheduling_round_free(round);
    for (int i = 0; i < ARRIVALS; i++) {
        g_snprintf(key, sizeof key, "machine/i-%06d", 830 + i);
        shard_owner_put(key, NULL);
    }
    shard_owner_clear();
    store_unlock();
    assert_in_range(writes, 1 + JOBS, 20);
    assert_in_range(largest, 1, SMALL_TRANSACTION_WRITES);
}

/* Scale-out requests machines for unplaced tasks, at most 50 in a request, and none while enough are booting. */
static void scale_out_requests_machines_for_unplaced_tasks(void **state) {
    (void)state;
    struct rental_request requests[16];
    store_lock();
    owned_shard_states[0].owned_since = (struct timespec){0, 0};
    struct job *job = shard_owner_add_job("req-60001", "batch", "normal", 300, 8, 1, false, false, 10);
    scheduling_round_free(scheduling_round_decide(0, 20));
    assert_true(job->unplaced);
    int n_requests = scale_out_plan(requests, 16), n_requested = 0;
    for (int i = 0; i < n_requests; i++) {
        assert_in_range(requests[i].count, 1, 50);
        assert_false(requests[i].spot);
        n_requested += requests[i].count;
        if (i) assert_true(requests[i - 1].weight >= requests[i].weight);
    }
    assert_in_range(n_requested, 50, 64); /* at most 128 tasks of a job are counted, two per machine */
    char id[32];
    for (int i = 0; i < 64; i++) {
        g_snprintf(id, sizeof id, "i-9%03d", i);
        machines_add_rented(0, id, "g16", "za", false);
    }
    assert_int_equal(scale_out_plan(requests, 16), 0);
    g_hash_table_remove_all(machines_unregistered());
    shard_owner_clear();
    store_unlock();
}

/* A shard with recent gangs keeps one machine in seven empty, beyond what waiting tasks need. */
static void shard_with_gangs_keeps_spare_machines(void **state) {
    (void)state;
    static const struct {
        const char *description;
        int busy, empty, gang_age_s, requested;
    } rows[] = {
        {"all machines are busy", 14, 0, 30, 2},
        {"two machines are empty", 14, 2, 30, 0},
        {"one machine is empty", 20, 1, 30, 2},
        {"no recent gang", 14, 0, 500, 0},
        {"too few machines to keep one empty", 5, 0, 30, 0},
    };
    store_lock();
    owned_shard_states[0].owned_since = (struct timespec){0, 0};
    for (size_t row = 0; row < G_N_ELEMENTS(rows); row++) {
        struct machine *fleet[32];
        char id[32], gang_id[32], service_id[32];
        g_snprintf(gang_id, sizeof gang_id, "req-6100%zu", row);
        g_snprintf(service_id, sizeof service_id, "req-6200%zu", row);
        int total = rows[row].busy + rows[row].empty, n_requested = 0;
        for (int n = 0; n < total; n++) {
            g_snprintf(id, sizeof id, "i-8%03d", n);
            fleet[n] = shard_owner_add_machine(id, zones[n % 3], false);
        }
        struct job *gang = shard_owner_add_job(gang_id, "group", "high", 1, 14, 2, true, false, rows[row].gang_age_s);
        struct job *service =
            shard_owner_add_job(service_id, "standing", "high", rows[row].busy - 1, 14, 2, false, false, 600);
        shard_owner_allocate(gang, fleet, 1);
        shard_owner_allocate(service, fleet + 1, rows[row].busy - 1);
        scheduling_round_free(scheduling_round_decide(0, 20));
        struct rental_request requests[16];
        int n = scale_out_plan(requests, 16);
        /* 1000 makes any request for spot machines fail the row. */
        for (int i = 0; i < n; i++) n_requested += requests[i].spot ? 1000 : requests[i].count;
        shard_owner_clear();
        if (n_requested != rows[row].requested) {
            store_unlock();
            fail_msg("%s: %d machines requested", rows[row].description, n_requested);
        }
    }
    store_unlock();
}

static void set_last_heard(struct machine *machine, double seconds_ago) {
    machine->liveness.last_heard = machine->liveness.last_heartbeat = clock_now_plus(clock_from_seconds(0));
    machine->liveness.last_heard.tv_sec -= (time_t)seconds_ago;
    machine->liveness.last_heartbeat.tv_sec -= (time_t)seconds_ago;
}

/* Silent machines are returned, but not while their whole zone is unreachable, nor as soon as it is reachable again. */
static void silent_machines_are_returned_unless_their_zone_is_unreachable(void **state) {
    (void)state;
    static const struct {
        const char *description;
        int n_za, n_zb; /* machines in zones za and zb */
        int n_silent;   /* of the machines in za */
        double silence_s;
        int unanswered_probes;
        bool has_tasks, was_listed;
        int returned; /* expected number of machines returned */
    } rows[] = {
        {"two probes unanswered", 30, 30, 1, 6, 2, true, true, 1},
        {"one probe unanswered", 30, 30, 1, 6, 1, true, true, 0},
        {"silent for too short a time", 30, 30, 1, 4, 2, true, true, 0},
        {"small zone: the whole zone may be unreachable", 4, 30, 1, 6, 2, true, true, 0},
        {"silent for longer than the limit", 4, 30, 1, 9, 0, true, true, 1},
        {"a third of a zone at once", 30, 30, 10, 6, 2, true, true, 10},
        {"whole zone unreachable, its tasks keep running", 30, 30, 30, 15, 9, true, true, 0},
        {"unreachable zone, its tasks were never listed", 30, 30, 30, 15, 9, true, false, 30},
        {"unreachable zone, idle machines", 30, 30, 30, 15, 9, false, false, 0},
        {"zone unreachable for longer than its tasks run on", 30, 30, 30, 45, 9, true, true, 30},
        {"all zones unreachable: the controller is isolated", 30, 0, 30, 15, 9, true, true, 0},
    };
    for (size_t row = 0; row < G_N_ELEMENTS(rows); row++) {
        struct machine *fleet[64];
        char id[32], job_id[32];
        int total = rows[row].n_za + rows[row].n_zb, n_returned = 0;
        store_lock();
        for (int n = 0; n < total; n++) {
            g_snprintf(id, sizeof id, "i-7%zu%03d", row, n);
            fleet[n] = shard_owner_add_machine(id, n < rows[row].n_za ? "za" : "zb", false);
        }
        g_snprintf(job_id, sizeof job_id, "req-7100%02zu", row);
        struct job *job = shard_owner_add_job(job_id, "batch", "high", rows[row].n_silent, 1, 1, false, false, 100);
        if (rows[row].has_tasks) shard_owner_allocate(job, fleet, rows[row].n_silent);
        for (int n = 0; n < rows[row].n_silent; n++) {
            set_last_heard(fleet[n], rows[row].silence_s);
            fleet[n]->liveness.unanswered_probes = rows[row].unanswered_probes;
            for (guint k = 0; k < fleet[n]->allocations->len; k++)
                ((struct allocation *)fleet[n]->allocations->pdata[k])->was_listed = rows[row].was_listed;
        }
        struct liveness_summary summary = liveness_summary();
        liveness_check_machines(0, &summary);
        for (int n = 0; n < total; n++) n_returned += fleet[n]->retirement.return_wanted;
        /* Once one machine of the zone is heard again, the others must get time to send heartbeats as well. */
        bool grace_kept = true;
        if (rows[row].n_silent == rows[row].n_za && rows[row].n_zb && rows[row].was_listed && rows[row].returned == 0) {
            fleet[0]->liveness.last_heard = fleet[0]->liveness.last_heartbeat = clock_now();
            liveness_check_machines(0, &summary);
            for (int n = 0; n < total; n++) grace_kept &= !fleet[n]->retirement.return_wanted;
        }
        for (int n = 0; n < total; n++) fleet[n]->retirement.return_wanted = false;
        shard_owner_clear();
        store_unlock();
        if (n_returned != rows[row].returned) fail_msg("%s: %d machines returned", rows[row].description, n_returned);
        if (!grace_kept) fail_msg("%s: machines returned after the zone is reachable again", rows[row].description);
        /* Marks all zones as reachable for the next row. */
        liveness_init(&cfg);
    }
}

/* In a deployment of 4,500 machines, a round examines only machines with room, and only for missing tasks. The cost is
 * measured in machines examined, not in time. */
static void planning_examines_only_machines_with_room(void **state) {
    (void)state;
    enum { FLEET = 4500, JOBS = 225, TASKS = 38 };
    char job_id[32];
    static struct machine *fleet[FLEET];
    store_lock();
    shard_owner_add_machines(fleet, FLEET, true);
    for (int job_index = 0; job_index < JOBS; job_index++) {
        struct machine *hosts[TASKS];
        g_snprintf(job_id, sizeof job_id, "req-7%05d", job_index);
        struct job *job = shard_owner_add_job(job_id, "batch", "normal", TASKS, 8, 1, false, true, 30);
        for (int task = 0; task < TASKS; task++) hosts[task] = fleet[(job_index * TASKS + task) / 2];
        shard_owner_allocate(job, hosts, TASKS);
    }
    /* 4,275 machines are full, 225 have room, and 40 tasks are new. */
    shard_owner_add_job("req-790001", "batch", "normal", 40, 8, 1, false, true, 1);
    unsigned long examined_before = placement_machines_examined();
    struct scheduling_round *round = scheduling_round_decide(0, 20);
    assert_int_equal(shard_owner_planned_tasks(round, "req-790001"), 40);
    assert_int_equal(shard_owner_planned_tasks(round, NULL), 40);
    if (placement_machines_examined() - examined_before > 40 * 230)
        fail_msg("%lu machines examined", placement_machines_examined() - examined_before);
    assert_int_equal(round_writes(round), 1); /* the record of one chunk, however many machines it names */
    scheduling_round_free(round);
    /* Without missing tasks, no machine is examined. */
    shard_owner_put("run/req-790001/0", NULL);
    struct job *job = jobs_find("req-790001");
    shard_owner_allocate(job, fleet + 4275, 40);
    examined_before = placement_machines_examined();
    round = scheduling_round_decide(0, 20);
    assert_int_equal(shard_owner_planned_tasks(round, NULL), 0);
    assert_int_equal(placement_machines_examined() - examined_before, 0);
    scheduling_round_free(round);
    shard_owner_clear();
    store_unlock();
}

/* The largest arrays: the cost of a round does not grow with tasks times machines, one write holds a whole chunk of
 * tasks, and no machine gets more tasks than its heartbeat can list. */
static void wide_array_is_planned_at_bounded_cost(void **state) {
    (void)state;
    enum { FLEET = 400 };
    static const struct {
        const char *description;
        int tasks;
        double vcpus;
        int tasks_per_machine_max;
    } rows[] = {
        {"thousands of small tasks", 25000, 0.25, 64},
        {"the most tasks that a job may have", JOB_TASKS_MAX, 0.25, 64},
        {"tiny tasks: the heartbeat limits their number", 25000, 0.01, MACHINE_TASKS_MAX},
    };
    static struct machine *fleet[FLEET];
    for (size_t row = 0; row < G_N_ELEMENTS(rows); row++) {
        char job_id[32];
        g_snprintf(job_id, sizeof job_id, "req-8000%02zu", row);
        store_lock();
        shard_owner_add_machines(fleet, FLEET, true);
        struct job *job =
            shard_owner_add_job(job_id, "batch", "idle", rows[row].tasks, rows[row].vcpus, 0, false, true, 1);
        job->spec.memory_gb = 0.1;
        unsigned long examined_before = placement_machines_examined();
        struct scheduling_round *round = scheduling_round_decide(0, 20);
        int planned = shard_owner_planned_tasks(round, job_id), writes = round_writes(round), most_on_a_machine = 0;
        unsigned long machines_examined = placement_machines_examined() - examined_before;
        for (int i = 0; i < FLEET; i++) most_on_a_machine = MAX(most_on_a_machine, fleet[i]->round.used_tasks);
        scheduling_round_free(round);
        shard_owner_clear();
        store_unlock();
        if (planned < 400) fail_msg("%s: %d tasks planned", rows[row].description, planned);
        if (writes * 100 > planned) fail_msg("%s: %d writes for %d tasks", rows[row].description, writes, planned);
        if (machines_examined > (unsigned long)FLEET * (unsigned long)(planned / rows[row].tasks_per_machine_max + 2))
            fail_msg("%s: %lu machines examined", rows[row].description, machines_examined);
        if (most_on_a_machine > rows[row].tasks_per_machine_max)
            fail_msg("%s: %d tasks on a machine", rows[row].description, most_on_a_machine);
    }
}

/* A booting machine that is overdue does not count as supply: waiting tasks get a replacement, but only a limited
 * number of machines is replaced at a time. */
static void overdue_machines_are_replaced_a_few_at_a_time(void **state) {
    (void)state;
    static const struct {
        const char *description;
        int booting;
        double age_s;
        int up, requested_min, requested_max; /* expected number of machines requested */
    } rows[] = {
        {"booting, not yet overdue", 10, 5, 0, 0, 0},
        {"overdue", 2, 60, 0, 2, 2},
        {"many overdue: only some are replaced", 40, 60, 0, 1, 4},
        {"larger fleet: more are replaced", 40, 60, 80, 8, 16},
    };
    for (size_t row = 0; row < G_N_ELEMENTS(rows); row++) {
        char id[32], job_id[32];
        struct rental_request requests[16];
        store_lock();
        owned_shard_states[0].owned_since = (struct timespec){0, 0};
        for (int i = 0; i < rows[row].booting + rows[row].up; i++) {
            g_snprintf(id, sizeof id, "i-6%zu%03d", row, i);
            struct machine *machine = shard_owner_add_machine(id, "za", false);
            if (i < rows[row].booting) {
                machine->liveness.up = false;
                machine->created_at = clock_time_of_day() - rows[row].age_s;
            }
        }
        g_snprintf(job_id, sizeof job_id, "req-8100%02zu", row);
        struct job *other_job =
            shard_owner_add_job("req-819999", "batch", "high", MAX(rows[row].up, 1), 16, 2, false, false, 300);
        for (int i = 0; i < rows[row].up; i++) {
            g_snprintf(id, sizeof id, "i-6%zu%03d", row, rows[row].booting + i);
            machines_find(id)->round.schedulable = false;
            machines_find(id)->liveness.preemption_notice_s = 100;
        }
        if (!rows[row].up) other_job->retry_at = clock_now_plus(clock_from_seconds(60));
        shard_owner_add_job(job_id, "batch", "high", rows[row].booting, 16, 2, false, false, 10);
        other_job->retry_at = clock_now_plus(clock_from_seconds(60));
        scheduling_round_free(scheduling_round_decide(0, 20));
        int n_requests = scale_out_plan(requests, 16), n_requested = 0;
        for (int i = 0; i < n_requests; i++) n_requested += requests[i].count;
        shard_owner_clear();
        store_unlock();
        if (n_requested < rows[row].requested_min || n_requested > rows[row].requested_max)
            fail_msg("%s: %d machines requested", rows[row].description, n_requested);
    }
}

int main(void) {
    if (!shard_owner_start_with_store(&cfg)) return 1;
    store_lock();
    shard_owner_put_machine_type();
    store_unlock();
    const struct CMUnitTest tests[] = {cmocka_unit_test(gang_is_placed_whole_or_not_at_all),
                                       cmocka_unit_test(job_past_its_wait_limit_goes_first),
                                       cmocka_unit_test(round_stays_within_write_budget),
                                       cmocka_unit_test(transactions_are_small_while_machines_arrive),
                                       cmocka_unit_test(scale_out_requests_machines_for_unplaced_tasks),
                                       cmocka_unit_test(shard_with_gangs_keeps_spare_machines),
                                       cmocka_unit_test(silent_machines_are_returned_unless_their_zone_is_unreachable),
                                       cmocka_unit_test(wide_array_is_planned_at_bounded_cost),
                                       cmocka_unit_test(overdue_machines_are_replaced_a_few_at_a_time),
                                       cmocka_unit_test(planning_examines_only_machines_with_room)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
