#include "scale_in.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>

#include "../clock/clock.h"
#include "../logging/logging.h"
#include "../placement/placement.h"
#include "../provisioning/provisioning.h"
#include "commanded_moves.h"
#include "internal.h"

#define ROUNDING 1e-9 /* a quotient that is above a whole number by less is that number */

enum { MACHINES_PER_DRAIN = 16 }; /* one in so many drains at a time */

const struct settings *autoscaler_settings;

void scale_in_init(const struct settings *settings) { autoscaler_settings = settings; }

/* Each drain takes its machine's part out of the capacity, and the next needs the margin anew. */
int scale_in_drains(int n, double headroom, double margin, double admission, int draining) {
    double surplus = headroom - margin * admission;
    int allowed = headroom > margin * admission ? (int)ceil(surplus / admission - ROUNDING) : 0;
    int at_a_time = MAX(n / MACHINES_PER_DRAIN, 1);
    return CLAMP(at_a_time - draining, 0, allowed);
}

/* A machine that may drain. */
struct candidate {
    struct machine *machine;
    double occupancy;
};

/* Occupancy of a shard's machines of one kind, spot or on-demand: headroom on spot machines is none for work that may
 * not use them. */
struct occupancy_summary {
    GArray *candidates; /* struct candidate */
    double occupied;    /* sum of occupancies */
    int n;              /* machines that are up and don't drain */
    int n_unsteady;     /* of these, without a full window of samples yet */
    int n_draining;
};

/* One that was rented for waiting tasks stays until it has had its first. */
static bool awaits_first_task(const struct machine *machine) {
    return !machine->had_task && clock_time_of_day() - machine->created_at < provisioning_boot_timeout_s(machine);
}

static void count_machine(struct occupancy_summary *summary, struct machine *machine,
                          const struct machine *reception_machine) {
    int window = (int)autoscaler_settings->tuning.occupancy_window;
    struct candidate candidate = {machine, placement_occupancy(machine, window)};
    summary->occupied += candidate.occupancy;
    if (machine->retirement.draining) {
        summary->n_draining++;
        return;
    }
    bool unsteady = machine->occupancy.n_samples < window;
    summary->n++;
    summary->n_unsteady += unsteady;
    if (machine != reception_machine && !unsteady && machine->liveness.preemption_notice_s < 0 &&
        !awaits_first_task(machine))
        g_array_append_val(summary->candidates, candidate);
}

static struct occupancy_summary summarize_occupancy(int shard, bool spot) {
    struct occupancy_summary summary = {.candidates = g_array_new(FALSE, FALSE, sizeof(struct candidate))};
    const struct machine *reception_machine = placement_reception(shard);
    for (guint i = 0; i < machines_of_shard(shard)->len; i++) {
        struct machine *machine = machines_of_shard(shard)->pdata[i];
        if (machine->spot == spot && machines_owned(machine) && machine->liveness.up && !machines_leaving(machine))
            count_machine(&summary, machine, reception_machine);
    }
    return summary;
}

static int least_occupied_first(gconstpointer left, gconstpointer right) {
    double difference = ((const struct candidate *)left)->occupancy - ((const struct candidate *)right)->occupancy;
    return difference < 0 ? -1 : difference > 0;
}

static void drain(struct machine *machine) {
    machine->retirement.draining = true;
    machine->retirement.drain_since = clock_now();
    if (!machine->spot) commanded_moves_empty(machine);
}

/* Nothing is returned before each machine shows a full window; in a large fleet some have always just booted, and while
 * they are few only they wait for their own. */
static bool may_drain(int shard, const struct occupancy_summary *summary) {
    return summary->n_unsteady * MACHINES_PER_DRAIN <= summary->n && !shard_states[shard].has_unplaced_tasks;
}

static void run_kind(int shard, bool spot) {
    const struct settings_tuning *tuning = &autoscaler_settings->tuning;
    struct occupancy_summary summary = summarize_occupancy(shard, spot);
    double headroom = placement_headroom(summary.n, summary.occupied,
                                         spot ? tuning->admission_threshold : tuning->reception_threshold,
                                         tuning->admission_threshold);
    int n_drains =
        scale_in_drains(summary.n, headroom, tuning->headroom_margin, tuning->admission_threshold, summary.n_draining);
    if (n_drains > 0 && may_drain(shard, &summary)) {
        g_array_sort(summary.candidates, least_occupied_first);
        for (guint i = 0; i < summary.candidates->len && (int)i < n_drains; i++) {
            struct machine *machine = g_array_index(summary.candidates, struct candidate, i).machine;
            drain(machine);
            log_info("machine %s: draining (shard %d, %s, machines %d, occupancy %.2f, headroom %.2f)", machine->id,
                     shard, spot ? "spot" : "on-demand", summary.n - (int)i, summary.occupied, headroom);
            headroom -= tuning->admission_threshold;
        }
    }
    g_array_free(summary.candidates, TRUE);
}

void scale_in_run(int shard) {
    run_kind(shard, false);
    run_kind(shard, true);
}
