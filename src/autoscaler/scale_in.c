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

/* The design's ledger of a shard's machines of one kind: headroom on spot machines is none for work that may not use
 * them. */
struct ledger {
    GArray *candidates; /* struct candidate */
    double occupied;    /* sum of occupancies */
    int n;              /* machines that are up and don't drain */
    int n_unsteady;     /* of these, without a full window of samples yet */
    int n_draining;
};

/* One that was rented for waiting tasks stays until it has had its first. */
static bool awaits_first_task(const struct machine *machine) {
    return !machine->had_task && clock_time_of_day() - machine->created_at < provisioning_give_up_s(machine);
}

static void count_machine(struct ledger *ledger, struct machine *machine, const struct machine *reception_machine) {
    int window = (int)autoscaler_settings->tuning.window;
    struct candidate candidate = {machine, placement_occupancy(machine, window)};
    ledger->occupied += candidate.occupancy;
    if (machine->retirement.draining) {
        ledger->n_draining++;
        return;
    }
    bool unsteady = machine->occupancy.n_samples < window;
    ledger->n++;
    ledger->n_unsteady += unsteady;
    if (machine != reception_machine && !unsteady && machine->liveness.preemption_notice_s < 0 &&
        !awaits_first_task(machine))
        g_array_append_val(ledger->candidates, candidate);
}

static struct ledger read_ledger(int shard, bool spot) {
    struct ledger ledger = {.candidates = g_array_new(FALSE, FALSE, sizeof(struct candidate))};
    const struct machine *reception_machine = placement_reception(shard);
    for (guint i = 0; i < machines_of_shard(shard)->len; i++) {
        struct machine *machine = machines_of_shard(shard)->pdata[i];
        if (machine->spot == spot && machines_owned(machine) && machine->liveness.up && !machines_leaving(machine))
            count_machine(&ledger, machine, reception_machine);
    }
    return ledger;
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
static bool may_drain(int shard, const struct ledger *ledger) {
    return ledger->n_unsteady * MACHINES_PER_DRAIN <= ledger->n && !shard_states[shard].fit_nowhere;
}

static void run_kind(int shard, bool spot) {
    const struct settings_tuning *tuning = &autoscaler_settings->tuning;
    struct ledger ledger = read_ledger(shard, spot);
    double headroom =
        placement_headroom(ledger.n, ledger.occupied, spot ? tuning->admission : tuning->reception, tuning->admission);
    int n_drains = scale_in_drains(ledger.n, headroom, tuning->margin, tuning->admission, ledger.n_draining);
    if (n_drains > 0 && may_drain(shard, &ledger)) {
        g_array_sort(ledger.candidates, least_occupied_first);
        for (guint i = 0; i < ledger.candidates->len && (int)i < n_drains; i++) {
            struct machine *machine = g_array_index(ledger.candidates, struct candidate, i).machine;
            drain(machine);
            log_info("machine %s: draining (shard %d, %s, machines %d, occupancy %.2f, headroom %.2f)", machine->id,
                     shard, spot ? "spot" : "on-demand", ledger.n - (int)i, ledger.occupied, headroom);
            headroom -= tuning->admission;
        }
    }
    g_array_free(ledger.candidates, TRUE);
}

void scale_in_run(int shard) {
    run_kind(shard, false);
    run_kind(shard, true);
}
