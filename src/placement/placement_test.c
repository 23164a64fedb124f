/* Tests of headroom, occupancy and the choice of a machine. */
#include "placement/placement.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "../../tests/standin/test_settings.h"

static struct machine_type type = {.type_name = "g4", .vcpus = 16, .gpus = 4, .memory_gb = 64};

static struct machine *new_machine(const char *zone, bool spot, double used_gpus) {
    struct machine *machine = g_new0(struct machine, 1);
    g_strlcpy(machine->zone, zone, sizeof machine->zone);
    g_strlcpy(machine->type_name, "g4", sizeof machine->type_name);
    machine->type = &type;
    machine->spot = spot;
    machine->round.schedulable = true;
    machine->round.used_gpus = used_gpus;
    machine->allocations = g_ptr_array_new();
    machine->images = g_hash_table_new(g_str_hash, g_str_equal);
    return machine;
}

static void free_machine(void *pointer) {
    struct machine *machine = pointer;
    g_ptr_array_free(machine->allocations, TRUE);
    g_hash_table_destroy(machine->images);
    g_free(machine);
}

static void headroom_is_capacity_less_occupancy(void **state) {
    (void)state;
    static const struct {
        int n;
        double occupied, headroom;
    } rows[] = {{0, 0, 0}, {1, 0.3, 0.2}, {4, 2.3, 0.6}, {4, 1.5, 1.4}};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
        assert_float_equal(placement_headroom(rows[i].n, rows[i].occupied, 0.5, 0.8), rows[i].headroom, 1e-9);
}

static void occupancy_is_the_largest_mean_over_the_window(void **state) {
    (void)state;
    struct machine *machine = new_machine("za", false, 0);
    assert_float_equal(placement_occupancy(machine, 6), 0, 1e-9); /* no samples */
    for (int i = 0; i < 8; i++) {
        machine->occupancy.samples[i][0] = i < 2 ? 1 : 0.25;
        machine->occupancy.samples[i][2] = i < 5 ? 0.5 : 0;
        machine->occupancy.n_samples++;
    }
    /* The mean over the window comes first, then the maximum: over 6 samples vcpus 0.25, gpus 0.25; over 8 vcpus
     * 0.4375. */
    assert_float_equal(placement_occupancy(machine, 6), 0.25, 1e-9);
    assert_float_equal(placement_occupancy(machine, 8), 0.4375, 1e-9);
    free_machine(machine);
}

static GPtrArray *five_machines(void) {
    static const struct {
        const char *zone;
        bool spot;
        double used_gpus, occupancy;
    } rows[] = {
        {"za", false, 1, 0.25}, {"zb", false, 2, 0.5}, {"zb", false, 0, 0}, {"za", true, 0, 0}, {"zc", false, 4, 1}};
    GPtrArray *machines = g_ptr_array_new_with_free_func(free_machine);
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct machine *machine = new_machine(rows[i].zone, rows[i].spot, rows[i].used_gpus);
        machine->round.occupancy = rows[i].occupancy;
        g_ptr_array_add(machines, machine);
    }
    return machines;
}

static void best_machine_is_chosen(void **state) {
    (void)state;
    static const struct {
        const char *name;
        bool allows_spot, spread, single_zone;
        const char *zone;
        int tasks;
        double gpus;
        const char *allocated_in; /* zone in which the job already has a task */
        int expected_index;       /* index of the chosen machine; -1: none */
    } rows[] = {
        /* five_machines(): 0 reception, za; 1 half used, zb; 2 empty, zb; 3 empty spot machine, za; 4 full, zc */
        {"reception machine is preferred", false, false, false, NULL, 1, 1, NULL, 0},
        {"spot machine is preferred if the job allows spot", true, false, false, NULL, 1, 1, NULL, 3},
        {"only zone zb is allowed; its empty machine comes last", false, false, false, "zb", 1, 1, NULL, 1},
        {"only the empty machine has room", false, false, false, "zb", 1, 3, NULL, 2},
        {"the only machine of the zone is full", false, false, false, "zc", 1, 1, NULL, -1},
        {"spread: at most one of two tasks in a zone", false, true, false, NULL, 2, 1, "za", 1},
        {"single zone: the zone of the job's other task", false, false, true, NULL, 2, 1, "zb", 1},
        {"single zone: the zone is full", false, false, true, NULL, 2, 1, "zc", -1},
        {"the task needs more than any machine has", false, false, false, NULL, 1, 5, NULL, -1},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        g_autoptr(GPtrArray) machines = five_machines();
        struct job job;
        memset(&job, 0, sizeof job);
        job.spec = (struct job_spec){.image = (char *)"i",
                                     .tasks = rows[i].tasks,
                                     .vcpus = 1,
                                     .gpus = rows[i].gpus,
                                     .memory_gb = 1,
                                     .allows_spot = rows[i].allows_spot,
                                     .spread = rows[i].spread,
                                     .single_zone = rows[i].single_zone,
                                     .zone = (char *)rows[i].zone};
        job.allocations = g_ptr_array_new();
        struct machine *other_machine = new_machine(rows[i].allocated_in ? rows[i].allocated_in : "", false, 0);
        struct allocation allocation = {.job = &job, .machine = other_machine};
        if (rows[i].allocated_in) g_ptr_array_add(job.allocations, &allocation);
        struct placement_rules rules = {0.5, 0.8, machines->pdata[0]};
        struct machine *chosen = placement_choose_machine(machines, &job, NULL, &rules, NULL);
        guint chosen_index = 99;
        if (chosen) g_ptr_array_find(machines, chosen, &chosen_index);
        if ((chosen ? (int)chosen_index : -1) != rows[i].expected_index)
            fail_msg("%s: got %d", rows[i].name, chosen ? (int)chosen_index : -1);
        free_machine(other_machine);
        g_ptr_array_free(job.allocations, TRUE);
    }
}

int main(void) {
    const struct CMUnitTest tests[] = {cmocka_unit_test(headroom_is_capacity_less_occupancy),
                                       cmocka_unit_test(occupancy_is_the_largest_mean_over_the_window),
                                       cmocka_unit_test(best_machine_is_chosen)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
