#include "token_raise.h"

#include <glib.h>

#include "../clock/clock.h"
#include "../events/events.h"
#include "../logging/logging.h"
#include "../machines/machines.h"
#include "directives.h"
#include "metrics.h"
#include "pending_starts.h"

#define FORGETS_PER_RAISE 64 /* with so many attempts waiting to be forgotten, the token is raised at once */

static const struct settings *settings;

void token_raise_init(const struct settings *new_settings) { settings = new_settings; }

/* Returns whether a start with unknown outcome may still be carried out under the machine's current token. */
static bool unknown_start_possible(const struct machine *machine) {
    return machine->commands.start_outcome_unknown && !directives_start_in_flight(machine) &&
           machines_current_token(machine) <= machine->commands.unknown_start_token;
}

static int count_waiting_forgets(const struct machine *machine) {
    int n = 0;
    for (guint i = 0; i < machine->agent.unknown_tasks->len; i++) {
        const struct unknown_task *unknown = &g_array_index(machine->agent.unknown_tasks, struct unknown_task, i);
        n += unknown->ended && !pending_starts_ruled_out(machine, unknown->attempt);
    }
    return n;
}

/* Returns whether the worker sends a heartbeat for a higher token at once. It does so once per half a lease. */
static bool worker_reports_raise(const struct machine *machine) {
    return clock_seconds_since(machine->commands.token_raised_at) > clock_to_seconds(settings->worker_lease) / 2;
}

void token_raise_for_waiting_attempts(struct machine *machine) {
    bool shows_current_token = machine->agent.reported_token >= machines_current_token(machine);
    if (!shows_current_token || machine->commands.in_flight) return;
    int forgets = count_waiting_forgets(machine);
    bool urgent = forgets >= FORGETS_PER_RAISE || machine->commands.release_needs_token_raise;
    if (!urgent && (forgets == 0 || !worker_reports_raise(machine))) return;
    if (!machines_raise_token(machine)) {
        if (urgent && !machine->commands.needs_token_raise) machines_request_tokens(machine);
        return;
    }
    metrics_count(METRIC_TOKEN_RAISES);
    log_info("machine %s: token raised to %lld, %d ended attempts wait to be forgotten", machine->id,
             (long long)machines_current_token(machine), forgets);
}

bool token_raise_rule_out_unknown_start(struct machine *machine) {
    if (!unknown_start_possible(machine)) return true;
    if (!machines_raise_token(machine)) {
        machines_request_tokens(machine);
        return false;
    }
    machine->commands.needs_token_probe = machine->commands.send_pending = true;
    events_publish(EVENT_DISPATCH);
    metrics_count(METRIC_TOKEN_RAISES);
    log_info("machine %s: token raised to %lld, the outcome of a start is unknown", machine->id,
             (long long)machines_current_token(machine));
    return true;
}
