/* The owner's decisions, with no store, cloud or worker beside them but the one that gives us a shard. */
#include "scheduler/scheduler.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>
#include <time.h>

#include "../../tests/standin/owned.h"
#include "../../tests/standin/site.h"
#include "../../tests/standin/state.h"
#include "allocations/allocations.h"
#include "autoscaler/scale_out.h"
#include "clock/clock.h"
#include "cloud/cloud.h"
#include "liveness/liveness.h"
#include "membership/membership.h"
#include "placement/placement.h"
#include "preemption/preemption.h"
#include "priority/priority.h"
#include "rebalancing/rebalancing.h"
#include "workers/workers.h"

static struct settings cfg;
static const char *const zones[] = {"za", "zb", "zc"};

/* Gangs: all in one zone or nothing, whole machines kept together for them, and room made only where it is enough. */
static void gangs(void **state) {
    (void)state;
    static const struct {
        const char *what;
        int free[3], filled[3]; /* whole machines by zone, and machines with an array's task that makes way */
        int tasks;
        bool single_zone;
        int booked, stopped;
    } rows[] = {
        {"room in one zone", {1, 3, 0}, {0, 0, 0}, 3, true, 3, 0},
        {"room in all zones together is none", {1, 1, 1}, {0, 0, 0}, 3, true, 0, 0},
        {"but for one that may be in several", {1, 1, 1}, {0, 0, 0}, 3, false, 3, 0},
        {"room after a preemption", {0, 2, 0}, {0, 1, 0}, 3, true, 0, 1},
        {"no preemption that is not enough", {0, 1, 0}, {1, 1, 0}, 3, true, 0, 0},
    };
    store_lock();
    for (size_t r = 0; r < G_N_ELEMENTS(rows); r++) {
        struct machine *filled[9];
        int n = 0, id = 0;
        char name[32], job_id[32];
        for (int z = 0; z < 3; z++) {
            for (int i = 0; i < rows[r].free[z] + rows[r].filled[z]; i++) {
                g_snprintf(name, sizeof name, "i-%zu%02d", r + 1, id++);
                struct machine *m = owned_machine(name, zones[z], false);
                if (i >= rows[r].free[z]) filled[n++] = m;
            }
        }
        g_snprintf(job_id, sizeof job_id, "req-3%zu01", r);
        struct job *array = owned_job(job_id, "batch", "normal", 9, 6, 1, false, true, 200);
        if (n) owned_book(array, filled, n);
        g_snprintf(job_id, sizeof job_id, "req-3%zu02", r);
        struct job *gang = owned_job(job_id, "group", "high", rows[r].tasks, 14, 2, rows[r].single_zone, false, 5);
        struct scheduling_round *scheduling_round = scheduler_decide(0, 20);
        if (scheduler_planned_tasks(scheduling_round, job_id) != rows[r].booked)
            fail_msg("%s: %d booked", rows[r].what, scheduler_planned_tasks(scheduling_round, job_id));
        int stopped = 0;
        for (guint i = 0; i < array->allocations->len; i++)
            stopped += ((struct allocation *)array->allocations->pdata[i])->stop_requested;
        if (stopped != rows[r].stopped) fail_msg("%s: %d stopped", rows[r].what, stopped);
        /* What gathers for the gang is not given to the array that comes after it. */
        if (rows[r].booked == 0) {
            g_snprintf(job_id, sizeof job_id, "req-3%zu01", r);
            int others = 0, most = 0;
            for (int z = 0; z < 3; z++) {
                others += rows[r].free[z];
                most = MAX(most, rows[r].free[z]);
            }
            if (scheduler_planned_tasks(scheduling_round, job_id) > (others - most) * 2 + n)
                fail_msg("%s: %d of the array on the gang's machines", rows[r].what,
                         scheduler_planned_tasks(scheduling_round, job_id));
            assert_true(gang->unplaced);
        }
        scheduler_round_free(scheduling_round);
        owned_clear();
    }
    store_unlock();
}

/* Large or late work does not step back for ever: what has waited beyond the bound goes first in its rank. */
static void waiting_bound(void **state) {
    (void)state;
    store_lock();
    owned_machine("i-800", "za", false);
    struct job *late = owned_job("req-40001", "batch", "normal", 1, 16, 2, false, false, 120);
    owned_job("req-40002", "batch", "normal", 1, 16, 2, false, false, 1);
    late->spec.runtime_s = 5000; /* reaches none of its times */
    struct scheduling_round *scheduling_round = scheduler_decide(0, 20);
    assert_int_equal(scheduler_planned_tasks(scheduling_round, "req-40001"), 1);
    assert_int_equal(scheduler_planned_tasks(scheduling_round, "req-40002"), 0);
    scheduler_round_free(scheduling_round);
    owned_clear();
    store_unlock();
}

/* The budget: what does not go into a round waits for the next, and is known to be unplaced already. */
static void budget(void **state) {
    (void)state;
    char job_id[32];
    store_lock();
    owned_machine("i-810", "za", false);
    for (int i = 0; i < 10; i++) {
        g_snprintf(job_id, sizeof job_id, "req-5%04d", i);
        owned_job(job_id, "batch", "normal", 1, 8, 1, false, false, 10 - i);
    }
    static const struct { int left, most; } rows[] = {{0, 0}, {1, 0}, {2, 2}, {20, 20}};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct scheduling_round *scheduling_round = scheduler_decide(0, rows[i].left);
        if (scheduler_round_writes(scheduling_round) > rows[i].most)
            fail_msg("%d changes", scheduler_round_writes(scheduling_round));
        assert_true(scheduler_planned_tasks(scheduling_round, NULL) <= 2);
        assert_true(scheduler_largest_transaction(scheduling_round) <= cfg.txn_ops);
        scheduler_round_free(scheduling_round);
    }
    assert_true(jobs_find("req-50009")->unplaced);
    owned_clear();
    store_unlock();
}

/* What is ordered: whole orders for what waits, at most a call's worth each, less what boots already. */
static void rentals(void **state) {
    (void)state;
    struct rental_request out[16];
    store_lock();
    shard_states[0].since = (struct timespec){0, 0};
    struct job *j = owned_job("req-60001", "batch", "normal", 300, 8, 1, false, false, 10);
    scheduler_round_free(scheduler_decide(0, 20));
    assert_true(j->unplaced);
    int n = scale_out_plan(out, 16), machines = 0;
    for (int i = 0; i < n; i++) {
        assert_in_range(out[i].count, 1, 50);
        assert_false(out[i].spot);
        machines += out[i].count;
        if (i) assert_true(out[i - 1].weight >= out[i].weight);
    }
    assert_in_range(machines, 50, 64); /* 128 tasks of a job are looked at, two a machine */
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
static void spares(void **state) {
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
    shard_states[0].since = (struct timespec){0, 0};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct machine *all[32];
        char id[32], one[32], two[32];
        g_snprintf(one, sizeof one, "req-6100%zu", i);
        g_snprintf(two, sizeof two, "req-6200%zu", i);
        int total = rows[i].busy + rows[i].empty, machines = 0;
        for (int n = 0; n < total; n++) {
            g_snprintf(id, sizeof id, "i-8%03d", n);
            all[n] = owned_machine(id, zones[n % 3], false);
        }
        struct job *gang = owned_job(one, "group", "high", 1, 14, 2, true, false, rows[i].gang_age);
        struct job *rest = owned_job(two, "standing", "high", rows[i].busy - 1, 14, 2, false, false, 600);
        owned_book(gang, all, 1);
        owned_book(rest, all + 1, rows[i].busy - 1);
        scheduler_round_free(scheduler_decide(0, 20));
        struct rental_request out[16];
        int n = scale_out_plan(out, 16);
        for (int o = 0; o < n; o++) machines += out[o].spot ? 1000 : out[o].count;
        owned_clear();
        if (machines != rows[i].want) {
            store_unlock();
            fail_msg("%s: %d", rows[i].what, machines);
        }
    }
    store_unlock();
}

static void ago(struct machine *m, double s) {
    m->liveness.last_heard = m->liveness.last_heartbeat = clock_instant_in(clock_from_seconds(0));
    m->liveness.last_heard.tv_sec -= (time_t)s;
    m->liveness.last_heartbeat.tv_sec -= (time_t)s;
}

/* Which of the machines that are not heard are given back: one alone, one in a cut zone, one whose zone is just back.
 */
static void silence(void **state) {
    (void)state;
    static const struct {
        const char *what;
        int here, there; /* machines in za and in zb */
        int silent;      /* of those in za */
        double s;
        int unanswered;
        bool booked, seen;
        int want; /* given back */
    } rows[] = {
        {"two questions unanswered", 30, 30, 1, 6, 2, true, true, 1},
        {"one question unanswered", 30, 30, 1, 6, 1, true, true, 0},
        {"not silent for long", 30, 30, 1, 4, 2, true, true, 0},
        {"a zone of few: its cut would not show before", 4, 30, 1, 6, 2, true, true, 0},
        {"silent beyond the limit", 4, 30, 1, 9, 0, true, true, 1},
        {"a third of a zone at once", 30, 30, 10, 6, 2, true, true, 10},
        {"a whole zone: it is cut, and its tasks run on", 30, 30, 30, 15, 9, true, true, 0},
        {"a cut zone, and nothing of what was ordered there was seen", 30, 30, 30, 15, 9, true, false, 30},
        {"a cut zone, idle machines", 30, 30, 30, 15, 9, false, false, 0},
        {"a cut zone, past the time for which its tasks live", 30, 30, 30, 45, 9, true, true, 30},
        {"all zones: it is us", 30, 0, 30, 15, 9, true, true, 0},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct machine *all[64];
        char id[32], job_id[32];
        int total = rows[i].here + rows[i].there, back = 0;
        store_lock();
        for (int n = 0; n < total; n++) {
            g_snprintf(id, sizeof id, "i-7%zu%03d", i, n);
            all[n] = owned_machine(id, n < rows[i].here ? "za" : "zb", false);
        }
        g_snprintf(job_id, sizeof job_id, "req-7100%02zu", i);
        struct job *j = owned_job(job_id, "batch", "high", rows[i].silent, 1, 1, false, false, 100);
        if (rows[i].booked) owned_book(j, all, rows[i].silent);
        for (int n = 0; n < rows[i].silent; n++) {
            ago(all[n], rows[i].s);
            all[n]->liveness.unanswered_probes = rows[i].unanswered;
            for (guint b = 0; b < all[n]->allocations->len; b++)
                ((struct allocation *)all[n]->allocations->pdata[b])->seen = rows[i].seen;
        }
        struct liveness_summary h = liveness_summary();
        liveness_check_machines(0, &h);
        for (int n = 0; n < total; n++) back += all[n]->retirement.return_wanted;
        /* The zone's first machine is heard again: the others get the time to be. */
        bool grace = true;
        if (rows[i].silent == rows[i].here && rows[i].there && rows[i].seen && rows[i].want == 0) {
            all[0]->liveness.last_heard = all[0]->liveness.last_heartbeat = clock_now();
            liveness_check_machines(0, &h);
            for (int n = 0; n < total; n++) grace &= !all[n]->retirement.return_wanted;
        }
        for (int n = 0; n < total; n++) all[n]->retirement.return_wanted = false;
        owned_clear();
        store_unlock();
        if (back != rows[i].want) fail_msg("%s: %d", rows[i].what, back);
        if (!grace) fail_msg("%s: returned when the zone was back", rows[i].what);
        /* What the watch remembers of zones must not reach into the next row. */
        liveness_init(&cfg);
    }
}

/* A fleet of 4,500 machines and the matching jobs: what a round looks at is what waits and where there is room, counted
 * in looks, not in time. */
static void fleet(void **state) {
    (void)state;
    enum { FLEET = 4500, JOBS = 225, TASKS = 38 };
    char job_id[32];
    static struct machine *all[FLEET];
    store_lock();
    owned_fleet(all, FLEET, true);
    for (int k = 0; k < JOBS; k++) {
        struct machine *on[TASKS];
        g_snprintf(job_id, sizeof job_id, "req-7%05d", k);
        struct job *j = owned_job(job_id, "batch", "normal", TASKS, 8, 1, false, true, 30);
        for (int t = 0; t < TASKS; t++) on[t] = all[(k * TASKS + t) / 2];
        owned_book(j, on, TASKS);
    }
    /* 4,275 machines are full; 225 have room, and there are 40 new tasks. */
    owned_job("req-790001", "batch", "normal", 40, 8, 1, false, true, 1);
    unsigned long before = placement_machines_examined();
    struct scheduling_round *scheduling_round = scheduler_decide(0, 20);
    assert_int_equal(scheduler_planned_tasks(scheduling_round, "req-790001"), 40);
    assert_int_equal(scheduler_planned_tasks(scheduling_round, NULL), 40);
    if (placement_machines_examined() - before > 40 * 230)
        fail_msg("%lu looks", placement_machines_examined() - before);
    assert_int_equal(scheduler_round_writes(scheduling_round), 1); /* however many machines it touches */
    scheduler_round_free(scheduling_round);
    /* With nothing waiting, nothing is looked at. */
    owned_put("run/req-790001/0", NULL);
    struct job *j = jobs_find("req-790001");
    owned_book(j, all + 4275, 40);
    before = placement_machines_examined();
    scheduling_round = scheduler_decide(0, 20);
    assert_int_equal(scheduler_planned_tasks(scheduling_round, NULL), 0);
    assert_int_equal(placement_machines_examined() - before, 0);
    scheduler_round_free(scheduling_round);
    owned_clear();
    store_unlock();
}

/* The largest arrays: a round's cost does not grow with tasks times machines, one write carries a whole chunk size of
 * tasks, and no machine gets more tasks than a report of it can list. */
static void wide_arrays(void **state) {
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
        {"tiny ones: bound by what a report lists", 25000, 0.01, MACHINE_TASKS_MAX},
    };
    static struct machine *all[FLEET];
    for (size_t r = 0; r < G_N_ELEMENTS(rows); r++) {
        char job_id[32];
        g_snprintf(job_id, sizeof job_id, "req-8000%02zu", r);
        store_lock();
        owned_fleet(all, FLEET, true);
        struct job *j = owned_job(job_id, "batch", "idle", rows[r].tasks, rows[r].cpus, 0, false, true, 1);
        j->spec.memory_gb = 0.1;
        unsigned long before = placement_machines_examined();
        struct scheduling_round *scheduling_round = scheduler_decide(0, 20);
        int planned = scheduler_planned_tasks(scheduling_round, job_id),
            changes = scheduler_round_writes(scheduling_round), most = 0;
        unsigned long machines_examined = placement_machines_examined() - before;
        for (int i = 0; i < FLEET; i++) most = MAX(most, all[i]->round.used_tasks);
        scheduler_round_free(scheduling_round);
        owned_clear();
        store_unlock();
        if (planned < 400) fail_msg("%s: %d planned", rows[r].what, planned);
        if (changes * 100 > planned) fail_msg("%s: %d changes for %d tasks", rows[r].what, changes, planned);
        if (machines_examined > (unsigned long)FLEET * (unsigned long)(planned / rows[r].on_a_machine + 2))
            fail_msg("%s: %lu looks", rows[r].what, machines_examined);
        if (most > rows[r].on_a_machine) fail_msg("%s: %d on a machine", rows[r].what, most);
    }
}

/* Work that somebody expects by a time goes before work of its rank that nobody does, however old that is. */
static void aims_go_first(void **state) {
    (void)state;
    static const struct {
        const char *what;
        double age, expected_age; /* of the job without an aim, and of the one that is to be done within 400 s */
        bool expected_first;
    } rows[] = {
        {"came together", 10, 10, true},
        {"the one without an aim is older", 200, 10, true},
        {"so old that its turn has come", 590, 10, false},
        {"it has missed that and steps back, like all late work", 900, 10, true},
    };
    cfg.objectives[0] = (struct settings_objective){OBJECTIVE_FINISHED, (char *)"expected", 400, 0.9};
    cfg.n_objectives = 1;
    for (size_t r = 0; r < G_N_ELEMENTS(rows); r++) {
        char job_id[2][32];
        for (int i = 0; i < 2; i++) g_snprintf(job_id[i], sizeof job_id[i], "req-83%zu0%d", r, i);
        store_lock();
        struct machine *m = owned_machine("i-830000", "za", false);
        struct job *plain = owned_job(job_id[0], "batch", "idle", 2, 16, 2, false, false, rows[r].age);
        struct job *expected = owned_job(job_id[1], "batch", "idle", 1, 16, 2, false, false, rows[r].expected_age);
        g_free(expected->spec.job_class);
        expected->spec.job_class = g_strdup("expected");
        plain->n_reported_done = 1; /* it has begun */
        (void)m;
        GArray *order = priority_order_shard(0);
        bool first = g_array_index(order, struct ranked_job, 0).job == expected;
        g_array_free(order, TRUE);
        owned_clear();
        store_unlock();
        if (first != rows[r].expected_first) fail_msg("%s: %d", rows[r].what, first);
    }
    cfg.n_objectives = 0;
}

/* A machine that should have come up by now is no supply: what waits gets another, a bounded number at a time. */
static void overdue_boots(void **state) {
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
    for (size_t r = 0; r < G_N_ELEMENTS(rows); r++) {
        char id[32], job_id[32];
        struct rental_request out[16];
        store_lock();
        shard_states[0].since = (struct timespec){0, 0};
        for (int i = 0; i < rows[r].booting + rows[r].up; i++) {
            g_snprintf(id, sizeof id, "i-6%zu%03d", r, i);
            struct machine *m = owned_machine(id, "za", false);
            if (i < rows[r].booting) {
                m->liveness.up = false;
                m->created_at = clock_time_of_day() - rows[r].age_s;
            }
        }
        g_snprintf(job_id, sizeof job_id, "req-8100%02zu", r);
        struct job *full = owned_job("req-819999", "batch", "high", MAX(rows[r].up, 1), 16, 2, false, false, 300);
        for (int i = 0; i < rows[r].up; i++) {
            g_snprintf(id, sizeof id, "i-6%zu%03d", r, rows[r].booting + i);
            machines_find(id)->round.schedulable = false;
            machines_find(id)->liveness.preemption_notice_s = 100;
        }
        if (!rows[r].up) full->retry_at = clock_instant_in(clock_from_seconds(60));
        owned_job(job_id, "batch", "high", rows[r].booting, 16, 2, false, false, 10);
        full->retry_at = clock_instant_in(clock_from_seconds(60));
        scheduler_round_free(scheduler_decide(0, 20));
        int n = scale_out_plan(out, 16), machines = 0;
        for (int i = 0; i < n; i++) machines += out[i].count;
        owned_clear();
        store_unlock();
        if (machines < rows[r].least || machines > rows[r].most) fail_msg("%s: %d ordered", rows[r].what, machines);
    }
}

int main(void) {
    char *text = site_json();
    if (!settings_parse(text, "f.json", &cfg, NULL) || !standin_state_start(cfg.state)) return 1;
    g_free(text);
    owned_start(&cfg);
    store_lock();
    owned_put(
        "types",
        "{\"flavours\":[{\"sku\":\"g16\",\"vcpus\":16,\"gpus\":2,\"memory_gb\":64,\"hourly\":7,\"market_price\":2,"
        "\"startup_s\":25,\"sites\":[\"za\",\"zb\",\"zc\"]}]}");
    store_unlock();
    const struct CMUnitTest tests[] = {cmocka_unit_test(gangs),         cmocka_unit_test(waiting_bound),
                                       cmocka_unit_test(budget),        cmocka_unit_test(rentals),
                                       cmocka_unit_test(spares),        cmocka_unit_test(silence),
                                       cmocka_unit_test(wide_arrays),   cmocka_unit_test(aims_go_first),
                                       cmocka_unit_test(overdue_boots), cmocka_unit_test(fleet)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
