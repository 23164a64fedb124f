#include "scale_in.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>

#include "../clock/clock.h"
#include "../logging/logging.h"
#include "../placement/placement.h"
#include "../provisioning/provisioning.h"
#include "drain_eviction.h"
#include "internal.h"

#define ROUNDING_TOLERANCE 1e-9 /* a quotient that exceeds a whole number by less is rounded down */

enum { MACHINES_PER_DRAIN = 16 }; /* at most one machine in 16 drains at a time */

const struct settings *autoscaler_settings;

void scale_in_init(const struct settings *settings) { autoscaler_settings = settings; }

/* Each drain reduces the capacity by the admission threshold, and the next one needs the full margin again. */
int scale_in_drains_to_start(int n_machines, double headroom, double margin, double admission_threshold,
                             int n_draining) {
    double surplus = headroom - margin * admission_threshold;
    int n_allowed =
        headroom > margin * admission_threshold ? (int)ceil(surplus / admission_threshold - ROUNDING_TOLERANCE) : 0;
    int n_at_a_time = MAX(n_machines / MACHINES_PER_DRAIN, 1);
    return CLAMP(n_at_a_time - n_draining, 0, n_allowed);
}

/* A machine that may drain. */
struct drain_candidate {
    struct machine *machine;
    double occupancy;
};

/* Occupancy of a shard's machines of one kind, spot or on-demand. The kinds are kept apart because headroom on spot
 * machines is of no use to jobs that do not allow spot machines. */
struct occupancy_summary {
    GArray *candidates;        /* struct drain_candidate */
    double occupied;           /* sum of occupancies */
    int n_machines;            /* machines that are up and not draining */
    int n_without_full_window; /* counted in n_machines, but without a full window of samples */
    int n_draining;
};

/* Returns whether the machine was rented recently and has had no task yet. It is kept for the waiting tasks. */
static bool awaits_first_task(const struct machine *machine) {
    return !machine->had_task && clock_time_of_day() - machine->created_at < provisioning_boot_timeout_s(machine);
}

static void count_machine(struct occupancy_summary *summary, struct machine *machine,
                          const struct machine *reception_machine) {
    int window = (int)autoscaler_settings->tuning.occupancy_window_heartbeats;
    struct drain_candidate candidate = {machine, placement_occupancy(machine, window)};
    summary->occupied += candidate.occupancy;
    if (machine->retirement.draining) {
        summary->n_draining++;
        return;
    }
    bool window_incomplete = machine->occupancy.n_samples < window;
    summary->n_machines++;
    summary->n_without_full_window += window_incomplete;
    if (machine != reception_machine && !window_incomplete && machine->liveness.preemption_notice_s < 0 &&
        !awaits_first_task(machine))
        g_array_append_val(summary->candidates, candidate);
}

static struct occupancy_summary summarize_occupancy(int shard, bool spot) {
    struct occupancy_summary summary = {.candidates = g_array_new(FALSE, FALSE, sizeof(struct drain_candidate))};
    const struct machine *reception_machine = placement_reception_machine(shard);
    for (guint i = 0; i < machines_of_shard(shard)->len; i++) {
        struct machine *machine = machines_of_shard(shard)->pdata[i];
        if (machine->spot == spot && machines_owned(machine) && machine->liveness.up && !machines_leaving(machine))
            count_machine(&summary, machine, reception_machine);
    }
    return summary;
}

static int least_occupied_first(gconstpointer left, gconstpointer right) {
    double difference =
        ((const struct drain_candidate *)left)->occupancy - ((const struct drain_candidate *)right)->occupancy;
    return difference < 0 ? -1 : difference > 0;
}

static void start_drain(struct machine *machine) {
    machine->retirement.draining = true;
    machine->retirement.drain_since = clock_now();
    if (!machine->spot) drain_eviction_stop_tasks(machine);
}

/* Returns whether drains may start in the shard: all tasks found a place, and at most one machine in MACHINES_PER_DRAIN
 * lacks a full window of samples. In a large fleet, some machines have booted recently at any time; while such machines
 * are few, they do not keep other machines from draining. */
static bool may_drain(int shard, const struct occupancy_summary *summary) {
    return summary->n_without_full_window * MACHINES_PER_DRAIN <= summary->n_machines &&
           !owned_shard_states[shard].has_unplaced_tasks;
}

static void drain_surplus(int shard, bool spot) {
    const struct settings_tuning *tuning = &autoscaler_settings->tuning;
    struct occupancy_summary summary = summarize_occupancy(shard, spot);
    double headroom = placement_headroom(summary.n_machines, summary.occupied,
                                         spot ? tuning->admission_threshold : tuning->reception_threshold,
                                         tuning->admission_threshold);
    int n_drains = scale_in_drains_to_start(summary.n_machines, headroom, tuning->headroom_margin,
                                            tuning->admission_threshold, summary.n_draining);
    if (n_drains > 0 && may_drain(shard, &summary)) {
        g_array_sort(summary.candidates, least_occupied_first);
        for (guint i = 0; i < summary.candidates->len && (int)i < n_drains; i++) {
            struct machine *machine = g_array_index(summary.candidates, struct drain_candidate, i).machine;
            start_drain(machine);
            log_info("machine %s: draining (shard %d, %s, machines %d, occupancy %.2f, headroom %.2f)", machine->id,
                     shard, spot ? "spot" : "on-demand", summary.n_machines - (int)i, summary.occupied, headroom);
            headroom -= tuning->admission_threshold;
        }
    }
    g_array_free(summary.candidates, TRUE);
}

void scale_in_run(int shard) {
    drain_surplus(shard, false);
    drain_surplus(shard, true);
}
