/* The owner's decisions, with no cloud or worker and only the stand-in of the store that assigns it a shard. */
#include <glib.h>
#include <stdbool.h>
#include <string.h>
#include <time.h>

#include "../../tests/standin/owned.h"
#include "../../tests/standin/site.h"
#include "../../tests/standin/store.h"
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
        writes += ((struct store_txn *)round->transactions->pdata[i])->writes;
    return writes;
}

static int largest_transaction(const struct scheduling_round *round) {
    int largest = 0;
    for (guint i = 0; i < round->transactions->len; i++)
        largest = MAX(largest, ((struct store_txn *)round->transactions->pdata[i])->writes);
    return largest;
}

/* Gangs: all in one zone or nothing, whole machines kept together for them, and room made only where it is enough. */
static void gang_is_placed_whole_or_not_at_all(void **state) {
    (void)state;
    static const struct {
        const char *what;
        int free[3], filled[3]; /* whole machines by zone, and machines with an array's task that is preempted */
        int tasks;
        bool single_zone;
        int allocated, stopped;
    } rows[] = {
        {"room in one zone", {1, 3, 0}, {0, 0, 0}, 3, true, 3, 0},
        {"room in all zones together is none", {1, 1, 1}, {0, 0, 0}, 3, true, 0, 0},
        {"but for one that may be in several", {1, 1, 1}, {0, 0, 0}, 3, false, 3, 0},
        {"room after a preemption", {0, 2, 0}, {0, 1, 0}, 3, true, 0, 1},
        {"no preemption that is not enough", {0, 1, 0}, {1, 1, 0}, 3, true, 0, 0},
    };
    store_lock();
    for (size_t row = 0; row < G_N_ELEMENTS(rows); row++) {
        struct machine *filled[9];
        int n = 0, id = 0;
        char name[32], job_id[32];
        for (int z = 0; z < 3; z++) {
            for (int i = 0; i < rows[row].free[z] + rows[row].filled[z]; i++) {
                g_snprintf(name, sizeof name, "i-%zu%02d", row + 1, id++);
                struct machine *machine = owned_machine(name, zones[z], false);
                if (i >= rows[row].free[z]) filled[n++] = machine;
            }
        }
        g_snprintf(job_id, sizeof job_id, "req-3%zu01", row);
        struct job *array = owned_job(job_id, "batch", "normal", 9, 6, 1, false, true, 200);
        if (n) owned_allocate(array, filled, n);
        g_snprintf(job_id, sizeof job_id, "req-3%zu02", row);
        struct job *gang = owned_job(job_id, "group", "high", rows[row].tasks, 14, 2, rows[row].single_zone, false, 5);
        struct scheduling_round *round = scheduling_round_decide(0, 20);
        if (owned_planned_tasks(round, job_id) != rows[row].allocated)
            fail_msg("%s: %d allocated", rows[row].what, owned_planned_tasks(round, job_id));
        int stopped = 0;
        for (guint i = 0; i < array->allocations->len; i++)
            stopped += ((struct allocation *)array->allocations->pdata[i])->stop_requested;
        if (stopped != rows[row].stopped) fail_msg("%s: %d stopped", rows[row].what, stopped);
        /* What gathers for the gang is not given to the array that comes after it. */
        if (rows[row].allocated == 0) {
            g_snprintf(job_id, sizeof job_id, "req-3%zu01", row);
            int others = 0, most = 0;
            for (int z = 0; z < 3; z++) {
                others += rows[row].free[z];
                most = MAX(most, rows[row].free[z]);
            }
            if (owned_planned_tasks(round, job_id) > (others - most) * 2 + n)
                fail_msg("%s: %d of the array on the gang's machines", rows[row].what,
                         owned_planned_tasks(round, job_id));
            assert_true(gang->unplaced);
        }
        scheduling_round_free(round);
        owned_clear();
    }
    store_unlock();
}

/* Large or late work does not step back for ever: what has waited beyond the bound goes first among those of its
 * priority. */
static void job_beyond_the_wait_bound_goes_first(void **state) {
    (void)state;
    store_lock();
    owned_machine("i-800", "za", false);
    struct job *late = owned_job("req-40001", "batch", "normal", 1, 16, 2, false, false, 120);
    owned_job("req-40002", "batch", "normal", 1, 16, 2, false, false, 1);
    late->spec.runtime_s = 5000; /* reaches none of its times */
    struct scheduling_round *round = scheduling_round_decide(0, 20);
    assert_int_equal(owned_planned_tasks(round, "req-40001"), 1);
    assert_int_equal(owned_planned_tasks(round, "req-40002"), 0);
    scheduling_round_free(round);
    owned_clear();
    store_unlock();
}

/* What the budget keeps out of a round waits for the next, and is known to be unplaced already. */
static void round_keeps_to_its_budget(void **state) {
    (void)state;
    char job_id[32];
    store_lock();
    owned_machine("i-810", "za", false);
    for (int i = 0; i < 10; i++) {
        g_snprintf(job_id, sizeof job_id, "req-5%04d", i);
        owned_job(job_id, "batch", "normal", 1, 8, 1, false, false, 10 - i);
    }
    static const struct { int left, most; } rows[] = {{0, 0}, {1, 0}, {2, 2}, {20, 20}};
    for (size_t row = 0; row < G_N_ELEMENTS(rows); row++) {
        struct scheduling_round *round = scheduling_round_decide(0, rows[row].left);
        if (round_writes(round) > rows[row].most) fail_msg("%d writes", round_writes(round));
        assert_true(owned_planned_tasks(round, NULL) <= 2);
        assert_true(largest_transaction(round) <= cfg.txn_ops);
        scheduling_round_free(round);
    }
    assert_true(jobs_find("req-50009")->unplaced);
    owned_clear();
    store_unlock();
}

/* What is requested: whole requests for what waits, at most a call's worth each, less what boots already. */
static void scale_out_orders_what_unplaced_tasks_need(void **state) {
    (void)state;
    struct rental_request out[16];
    store_lock();
    shard_states[0].owned_since = (struct timespec){0, 0};
    struct job *job = owned_job("req-60001", "batch", "normal", 300, 8, 1, false, false, 10);
    scheduling_round_free(scheduling_round_decide(0, 20));
    assert_true(job->unplaced);
    int n = scale_out_plan(out, 16), machines = 0;
    for (int i = 0; i < n; i++) {
        assert_in_range(out[i].count, 1, 50);
        assert_false(out[i].spot);
        machines += out[i].count;
        if (i) assert_true(out[i - 1].weight >= out[i].weight);
    }
    assert_in_range(machines, 50, 64); /* 128 tasks of a job are counted, two a machine */
    char id[32];
    for (int i = 0; i < 64; i++) {
        g_snprintf(id, sizeof id, "i-9%03d", i);
        machines_rented(0, id, "g16", "za", false);
    }
    assert_int_equal(scale_out_plan(out, 16), 0);
    g_hash_table_remove_all(machines_unregistered());
    owned_clear();
    store_unlock();
}

/* A shard to which gangs come keeps one whole machine in seven beyond what waits. */
static void shard_with_gangs_keeps_spare_machines(void **state) {
    (void)state;
    static const struct {
        const char *what;
        int busy, empty, gang_age, want;
    } rows[] = {
        {"all are taken", 14, 0, 30, 2},
        {"two are whole", 14, 2, 30, 0},
        {"one is", 20, 1, 30, 2},
        {"no gang came lately", 14, 0, 500, 0},
        {"too few machines to keep any", 5, 0, 30, 0},
    };
    store_lock();
    shard_states[0].owned_since = (struct timespec){0, 0};
    for (size_t row = 0; row < G_N_ELEMENTS(rows); row++) {
        struct machine *all[32];
        char id[32], one[32], two[32];
        g_snprintf(one, sizeof one, "req-6100%zu", row);
        g_snprintf(two, sizeof two, "req-6200%zu", row);
        int total = rows[row].busy + rows[row].empty, machines = 0;
        for (int n = 0; n < total; n++) {
            g_snprintf(id, sizeof id, "i-8%03d", n);
            all[n] = owned_machine(id, zones[n % 3], false);
        }
        struct job *gang = owned_job(one, "group", "high", 1, 14, 2, true, false, rows[row].gang_age);
        struct job *rest = owned_job(two, "standing", "high", rows[row].busy - 1, 14, 2, false, false, 600);
        owned_allocate(gang, all, 1);
        owned_allocate(rest, all + 1, rows[row].busy - 1);
        scheduling_round_free(scheduling_round_decide(0, 20));
        struct rental_request out[16];
        int n = scale_out_plan(out, 16);
        for (int o = 0; o < n; o++) machines += out[o].spot ? 1000 : out[o].count;
        owned_clear();
        if (machines != rows[row].want) {
            store_unlock();
            fail_msg("%s: %d", rows[row].what, machines);
        }
    }
    store_unlock();
}

static void last_heard_before(struct machine *machine, double s) {
    machine->liveness.last_heard = machine->liveness.last_heartbeat = clock_now_plus(clock_from_seconds(0));
    machine->liveness.last_heard.tv_sec -= (time_t)s;
    machine->liveness.last_heartbeat.tv_sec -= (time_t)s;
}

/* Which of the machines that are not heard are returned: one alone, one in a cut zone, one whose zone is just back.
 */
static void silent_machines_are_returned_unless_their_zone_is_cut(void **state) {
    (void)state;
    static const struct {
        const char *what;
        int here, there; /* machines in za and in zb */
        int silent;      /* of those in za */
        double s;
        int unanswered;
        bool allocated, seen;
        int want; /* returned */
    } rows[] = {
        {"two probes unanswered", 30, 30, 1, 6, 2, true, true, 1},
        {"one probe unanswered", 30, 30, 1, 6, 1, true, true, 0},
        {"not silent for long", 30, 30, 1, 4, 2, true, true, 0},
        {"a zone of few: its cut would not show before", 4, 30, 1, 6, 2, true, true, 0},
        {"silent beyond the limit", 4, 30, 1, 9, 0, true, true, 1},
        {"a third of a zone at once", 30, 30, 10, 6, 2, true, true, 10},
        {"a whole zone: it is cut, and its tasks run on", 30, 30, 30, 15, 9, true, true, 0},
        {"a cut zone, and nothing of what was sent there was seen", 30, 30, 30, 15, 9, true, false, 30},
        {"a cut zone, idle machines", 30, 30, 30, 15, 9, false, false, 0},
        {"a cut zone, past the time for which its tasks live", 30, 30, 30, 45, 9, true, true, 30},
        {"all zones: the controller is cut off itself", 30, 0, 30, 15, 9, true, true, 0},
    };
    for (size_t row = 0; row < G_N_ELEMENTS(rows); row++) {
        struct machine *all[64];
        char id[32], job_id[32];
        int total = rows[row].here + rows[row].there, back = 0;
        store_lock();
        for (int n = 0; n < total; n++) {
            g_snprintf(id, sizeof id, "i-7%zu%03d", row, n);
            all[n] = owned_machine(id, n < rows[row].here ? "za" : "zb", false);
        }
        g_snprintf(job_id, sizeof job_id, "req-7100%02zu", row);
        struct job *job = owned_job(job_id, "batch", "high", rows[row].silent, 1, 1, false, false, 100);
        if (rows[row].allocated) owned_allocate(job, all, rows[row].silent);
        for (int n = 0; n < rows[row].silent; n++) {
            last_heard_before(all[n], rows[row].s);
            all[n]->liveness.unanswered_probes = rows[row].unanswered;
            for (guint b = 0; b < all[n]->allocations->len; b++)
                ((struct allocation *)all[n]->allocations->pdata[b])->seen = rows[row].seen;
        }
        struct liveness_summary summary = liveness_summary();
        liveness_check_machines(0, &summary);
        for (int n = 0; n < total; n++) back += all[n]->retirement.return_wanted;
        /* The zone's first machine is heard again: the others get the time to be. */
        bool grace = true;
        if (rows[row].silent == rows[row].here && rows[row].there && rows[row].seen && rows[row].want == 0) {
            all[0]->liveness.last_heard = all[0]->liveness.last_heartbeat = clock_now();
            liveness_check_machines(0, &summary);
            for (int n = 0; n < total; n++) grace &= !all[n]->retirement.return_wanted;
        }
        for (int n = 0; n < total; n++) all[n]->retirement.return_wanted = false;
        owned_clear();
        store_unlock();
        if (back != rows[row].want) fail_msg("%s: %d", rows[row].what, back);
        if (!grace) fail_msg("%s: returned when the zone was back", rows[row].what);
        /* What liveness remembers of zones must not reach into the next row. */
        liveness_init(&cfg);
    }
}

/* A deployment of 4,500 machines and the matching jobs: what a round examines is what waits and where there is room,
 * counted in machines examined, not in time. */
static void planning_examines_only_machines_with_room(void **state) {
    (void)state;
    enum { FLEET = 4500, JOBS = 225, TASKS = 38 };
    char job_id[32];
    static struct machine *all[FLEET];
    store_lock();
    owned_machines(all, FLEET, true);
    for (int k = 0; k < JOBS; k++) {
        struct machine *on[TASKS];
        g_snprintf(job_id, sizeof job_id, "req-7%05d", k);
        struct job *job = owned_job(job_id, "batch", "normal", TASKS, 8, 1, false, true, 30);
        for (int t = 0; t < TASKS; t++) on[t] = all[(k * TASKS + t) / 2];
        owned_allocate(job, on, TASKS);
    }
    /* 4,275 machines are full; 225 have room, and there are 40 new tasks. */
    owned_job("req-790001", "batch", "normal", 40, 8, 1, false, true, 1);
    unsigned long before = placement_machines_examined();
    struct scheduling_round *round = scheduling_round_decide(0, 20);
    assert_int_equal(owned_planned_tasks(round, "req-790001"), 40);
    assert_int_equal(owned_planned_tasks(round, NULL), 40);
    if (placement_machines_examined() - before > 40 * 230)
        fail_msg("%lu machines examined", placement_machines_examined() - before);
    assert_int_equal(round_writes(round), 1); /* however many machines it touches */
    scheduling_round_free(round);
    /* With nothing waiting, no machine is examined. */
    owned_put("run/req-790001/0", NULL);
    struct job *job = jobs_find("req-790001");
    owned_allocate(job, all + 4275, 40);
    before = placement_machines_examined();
    round = scheduling_round_decide(0, 20);
    assert_int_equal(owned_planned_tasks(round, NULL), 0);
    assert_int_equal(placement_machines_examined() - before, 0);
    scheduling_round_free(round);
    owned_clear();
    store_unlock();
}

/* The largest arrays: a round's cost does not grow with tasks times machines, one write carries a whole chunk of
 * tasks, and no machine gets more tasks than a heartbeat of it can list. */
static void wide_array_is_planned_at_bounded_cost(void **state) {
    (void)state;
    enum { FLEET = 400 };
    static const struct {
        const char *what;
        int tasks;
        double cpus;
        int on_a_machine;
    } rows[] = {
        {"thousands of small tasks", 25000, 0.25, 64},
        {"as many as the protocol allows", JOB_TASKS_MAX, 0.25, 64},
        {"tiny ones: bound by what a heartbeat lists", 25000, 0.01, MACHINE_TASKS_MAX},
    };
    static struct machine *all[FLEET];
    for (size_t row = 0; row < G_N_ELEMENTS(rows); row++) {
        char job_id[32];
        g_snprintf(job_id, sizeof job_id, "req-8000%02zu", row);
        store_lock();
        owned_machines(all, FLEET, true);
        struct job *job = owned_job(job_id, "batch", "idle", rows[row].tasks, rows[row].cpus, 0, false, true, 1);
        job->spec.memory_gb = 0.1;
        unsigned long before = placement_machines_examined();
        struct scheduling_round *round = scheduling_round_decide(0, 20);
        int planned = owned_planned_tasks(round, job_id), writes = round_writes(round), most = 0;
        unsigned long machines_examined = placement_machines_examined() - before;
        for (int i = 0; i < FLEET; i++) most = MAX(most, all[i]->round.used_tasks);
        scheduling_round_free(round);
        owned_clear();
        store_unlock();
        if (planned < 400) fail_msg("%s: %d planned", rows[row].what, planned);
        if (writes * 100 > planned) fail_msg("%s: %d writes for %d tasks", rows[row].what, writes, planned);
        if (machines_examined > (unsigned long)FLEET * (unsigned long)(planned / rows[row].on_a_machine + 2))
            fail_msg("%s: %lu machines examined", rows[row].what, machines_examined);
        if (most > rows[row].on_a_machine) fail_msg("%s: %d on a machine", rows[row].what, most);
    }
}

/* A machine that should have come up by now is no supply: what waits gets another, a bounded number at a time. */
static void overdue_machines_are_replaced_a_few_at_a_time(void **state) {
    (void)state;
    static const struct {
        const char *what;
        int booting;
        double age_s;
        int up, least, most; /* ordered */
    } rows[] = {
        {"on their way", 10, 5, 0, 0, 0},
        {"overdue", 2, 60, 0, 2, 2},
        {"many at once: only some are replaced", 40, 60, 0, 1, 4},
        {"more of them in a larger fleet", 40, 60, 80, 8, 16},
    };
    for (size_t row = 0; row < G_N_ELEMENTS(rows); row++) {
        char id[32], job_id[32];
        struct rental_request out[16];
        store_lock();
        shard_states[0].owned_since = (struct timespec){0, 0};
        for (int i = 0; i < rows[row].booting + rows[row].up; i++) {
            g_snprintf(id, sizeof id, "i-6%zu%03d", row, i);
            struct machine *machine = owned_machine(id, "za", false);
            if (i < rows[row].booting) {
                machine->liveness.up = false;
                machine->created_at = clock_time_of_day() - rows[row].age_s;
            }
        }
        g_snprintf(job_id, sizeof job_id, "req-8100%02zu", row);
        struct job *full = owned_job("req-819999", "batch", "high", MAX(rows[row].up, 1), 16, 2, false, false, 300);
        for (int i = 0; i < rows[row].up; i++) {
            g_snprintf(id, sizeof id, "i-6%zu%03d", row, rows[row].booting + i);
            machines_find(id)->round.schedulable = false;
            machines_find(id)->liveness.preemption_notice_s = 100;
        }
        if (!rows[row].up) full->retry_at = clock_now_plus(clock_from_seconds(60));
        owned_job(job_id, "batch", "high", rows[row].booting, 16, 2, false, false, 10);
        full->retry_at = clock_now_plus(clock_from_seconds(60));
        scheduling_round_free(scheduling_round_decide(0, 20));
        int n = scale_out_plan(out, 16), machines = 0;
        for (int i = 0; i < n; i++) machines += out[i].count;
        owned_clear();
        store_unlock();
        if (machines < rows[row].least || machines > rows[row].most)
            fail_msg("%s: %d ordered", rows[row].what, machines);
    }
}

int main(void) {
    if (!owned_start_site(&cfg)) return 1;
    store_lock();
    owned_put_machine_type();
    store_unlock();
    const struct CMUnitTest tests[] = {cmocka_unit_test(gang_is_placed_whole_or_not_at_all),
                                       cmocka_unit_test(job_beyond_the_wait_bound_goes_first),
                                       cmocka_unit_test(round_keeps_to_its_budget),
                                       cmocka_unit_test(scale_out_orders_what_unplaced_tasks_need),
                                       cmocka_unit_test(shard_with_gangs_keeps_spare_machines),
                                       cmocka_unit_test(silent_machines_are_returned_unless_their_zone_is_cut),
                                       cmocka_unit_test(wide_array_is_planned_at_bounded_cost),
                                       cmocka_unit_test(overdue_machines_are_replaced_a_few_at_a_time),
                                       cmocka_unit_test(planning_examines_only_machines_with_room)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
