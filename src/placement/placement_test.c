#include "placement/placement.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "../../tests/standin/site.h"

static struct machine_type type = {.type_name = "g4", .vcpus = 16, .gpus = 4, .memory_gb = 64};

static struct machine *machine(const char *site, bool spot, double gpu_used) {
    struct machine *m = g_new0(struct machine, 1);
    g_strlcpy(m->zone, site, sizeof m->zone);
    g_strlcpy(m->type_name, "g4", sizeof m->type_name);
    m->type = &type;
    m->spot = spot;
    m->round.schedulable = true;
    m->round.used_gpus = gpu_used;
    m->allocations = g_ptr_array_new();
    m->images = g_hash_table_new(g_str_hash, g_str_equal);
    return m;
}

static void machine_done(struct machine *m) {
    g_ptr_array_free(m->allocations, TRUE);
    g_hash_table_destroy(m->images);
    g_free(m);
}

static void ledger(void **state) {
    (void)state;
    static const struct {
        int n;
        double occupied, h;
    } rows[] = {{0, 0, 0}, {1, 0.3, 0.2}, {4, 2.3, 0.6}, {4, 1.5, 1.4}};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
        assert_float_equal(placement_headroom(rows[i].n, rows[i].occupied, 0.5, 0.8), rows[i].h, 1e-9);
}

static void occupancy(void **state) {
    (void)state;
    struct machine *m = machine("za", false, 0);
    assert_float_equal(placement_occupancy(m, 6), 0, 1e-9); /* no rows: it admits */
    for (int i = 0; i < 8; i++) {
        m->occupancy.samples[i][0] = i < 2 ? 1 : 0.25;
        m->occupancy.samples[i][2] = i < 5 ? 0.5 : 0;
        m->occupancy.n_samples++;
    }
    /* Averages over the last six first, then the largest: cpu 0.25, gpu 0.25. */
    assert_float_equal(placement_occupancy(m, 6), 0.25, 1e-9);
    assert_float_equal(placement_occupancy(m, 8), 0.4375, 1e-9);
    machine_done(m);
}

static void pick(void **state) {
    (void)state;
    static const struct {
        const char *what;
        bool allows_spot, spread, single_zone;
        const char *site;
        int tasks;
        double gpus;
        const char *booked_at; /* where a task of the job is already */
        int want;              /* index of the machine, -1: none */
    } rows[] = {
        /* machines: 0 reception za, 1 zb half used, 2 zb empty, 3 spot za, 4 zc full */
        {"reception first", false, false, false, NULL, 1, 1, NULL, 0},
        {"cheap first for those who may", true, false, false, NULL, 1, 1, NULL, 3},
        {"the only allowed zone; the empty one last", false, false, false, "zb", 1, 1, NULL, 1},
        {"only the empty one has room", false, false, false, "zb", 1, 3, NULL, 2},
        {"a full one takes nothing", false, false, false, "zc", 1, 1, NULL, -1},
        {"spread: half of two is one", false, true, false, NULL, 2, 1, "za", 1},
        {"together: where the others are", false, false, true, NULL, 2, 1, "zb", 1},
        {"together with a full zone", false, false, true, NULL, 2, 1, "zc", -1},
        {"no room for so much", false, false, false, NULL, 1, 5, NULL, -1},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        GPtrArray *ms = g_ptr_array_new();
        g_ptr_array_add(ms, machine("za", false, 1));
        g_ptr_array_add(ms, machine("zb", false, 2));
        g_ptr_array_add(ms, machine("zb", false, 0));
        g_ptr_array_add(ms, machine("za", true, 0));
        g_ptr_array_add(ms, machine("zc", false, 4));
        static const double occ[] = {0.25, 0.5, 0, 0, 1};
        for (int k = 0; k < 5; k++) ((struct machine *)ms->pdata[k])->round.occupancy = occ[k];
        struct job j;
        memset(&j, 0, sizeof j);
        j.spec = (struct job_spec){.image = (char *)"i",
                                   .tasks = rows[i].tasks,
                                   .vcpus = 1,
                                   .gpus = rows[i].gpus,
                                   .memory_gb = 1,
                                   .allows_spot = rows[i].allows_spot,
                                   .spread = rows[i].spread,
                                   .single_zone = rows[i].single_zone,
                                   .zone = (char *)rows[i].site};
        j.allocations = g_ptr_array_new();
        struct machine *there = machine(rows[i].booked_at ? rows[i].booked_at : "", false, 0);
        struct allocation b = {.job = &j, .machine = there};
        if (rows[i].booked_at) g_ptr_array_add(j.allocations, &b);
        struct placement_rules r = {0.5, 0.8, ms->pdata[0]};
        struct machine *m = placement_choose(ms, &j, NULL, &r, NULL);
        guint at = 99;
        if (m) g_ptr_array_find(ms, m, &at);
        if ((m ? (int)at : -1) != rows[i].want) fail_msg("%s: got %d", rows[i].what, m ? (int)at : -1);
        machine_done(there);
        g_ptr_array_free(j.allocations, TRUE);
        for (int k = 0; k < 5; k++) machine_done(ms->pdata[k]);
        g_ptr_array_free(ms, TRUE);
    }
}

int main(void) {
    const struct CMUnitTest tests[] = {cmocka_unit_test(ledger), cmocka_unit_test(occupancy), cmocka_unit_test(pick)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
