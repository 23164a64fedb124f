#include "machines.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include "../clock/clock.h"
#include "../events/events.h"
#include "../logging/logging.h"
#include "../membership/membership.h"
#include "internal.h"
#include "page_migration.h"
#include "records.h"

#define UNRECORDED_MIN_S 5.0 /* a page or transfer record that was written reaches the mirror in less time */

const struct settings *machines_settings;
struct shard_state owned_shard_states[SHARDS_MAX];

static struct {
    GHashTable *by_id;               /* id -> struct machine, including stubs */
    GPtrArray *all;                  /* struct machine, including stubs */
    GPtrArray *by_shard[SHARDS_MAX]; /* struct machine */
    GHashTable *unregistered;        /* id -> struct unregistered_machine */
    GHashTable *removed_ids; /* ids of machines that were removed, so that an outdated list does not add them again */
    machines_returned_observer returned_observer;
} registry;

void machines_on_returned(machines_returned_observer observer) { registry.returned_observer = observer; }

/* ---- finding ---- */

struct machine *machines_find(const char *id) {
    struct machine *machine = g_hash_table_lookup(registry.by_id, id);
    return machine && machine->recorded ? machine : NULL;
}

GPtrArray *machines_all(void) { return registry.all; }

GPtrArray *machines_of_shard(int shard) { return registry.by_shard[shard]; }

int machines_shard_for_id(const char *id) {
    const struct machine *machine = g_hash_table_lookup(registry.by_id, id);
    if (machine && !machine->recorded && machine->allocations->len > 0) {
        const struct allocation *allocation = machine->allocations->pdata[0];
        return jobs_shard(allocation->job);
    }
    const char *dash = strrchr(id, '-');
    return dash ? (int)(g_ascii_strtoull(dash + 1, NULL, 10) % (guint64)machines_settings->n_shards) : 0;
}

struct machine *machines_find_or_stub(const char *id) {
    struct machine *machine = g_hash_table_lookup(registry.by_id, id);
    if (machine) return machine;
    machine = g_new0(struct machine, 1);
    g_strlcpy(machine->id, id, sizeof machine->id);
    machine->allocations = g_ptr_array_new();
    machine->agent.unknown_tasks = g_array_new(FALSE, FALSE, sizeof(struct unknown_task));
    machine->commands.pending_starts = g_array_new(FALSE, FALSE, sizeof(struct pending_start));
    machine->images = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    machine->liveness.preemption_notice_s = -1;
    machine->shard = machine->rebalance.target_shard = machine->page = machine->round.next_page = -1;
    machine->unrecorded_since = clock_now();
    g_hash_table_insert(registry.by_id, machine->id, machine);
    g_ptr_array_add(registry.all, machine);
    return machine;
}

/* ---- changes by records ---- */

static void set_shard(struct machine *machine, int shard) {
    if (machine->shard == shard) return;
    if (machine->shard >= 0) g_ptr_array_remove_fast(registry.by_shard[machine->shard], machine);
    machine->shard = shard;
    machine->owned_token = 0;
    machine->rebalance.target_shard = machine->round.next_page = -1;
    machine->round.leaves_page = false;
    if (shard >= 0) g_ptr_array_add(registry.by_shard[shard], machine);
}

void machines_free_unreferenced(struct machine *machine) {
    if (machine->recorded || machine->allocations->len) return;
    set_shard(machine, -1);
    g_hash_table_remove(registry.by_id, machine->id);
    g_ptr_array_remove_fast(registry.all, machine);
    g_ptr_array_free(machine->allocations, TRUE);
    g_array_free(machine->agent.unknown_tasks, TRUE);
    g_array_free(machine->commands.pending_starts, TRUE);
    g_hash_table_destroy(machine->images);
    if (machine->failed_jobs) g_ptr_array_free(machine->failed_jobs, TRUE);
    g_free(machine);
}

/* Releases all allocations of a machine whose return the cloud has confirmed. */
static void release_allocations(struct machine *machine) {
    if (machine->allocations->len > 0)
        log_info("machine %s: returned, %u allocations on it are released", machine->id, machine->allocations->len);
    for (guint i = 0; i < machine->allocations->len; i++) {
        struct allocation *allocation = machine->allocations->pdata[i];
        allocation->released = true;
        chunks_mark_dirty(allocation->job, allocation->task);
    }
}

struct machine *machines_set_location(const char *id, int shard, int page) {
    struct machine *machine = machines_find_or_stub(id);
    if (!machine->recorded)
        machine->retirement.released = machine->retirement.returning = machine->retirement.return_wanted = false;
    /* The previous page still lists the machine, unless the same transaction writes that page without it. */
    bool is_moved = machine->shard != shard || machine->page != page;
    if (machine->recorded && machine->shard >= 0 && is_moved) machines_page_mark_stale(machine->shard, machine->page);
    g_hash_table_remove(registry.unregistered, id);
    g_hash_table_remove(registry.removed_ids, id);
    machine->recorded = true;
    machine->page = page;
    set_shard(machine, shard);
    return machine;
}

void machines_remove(struct machine *machine) {
    g_hash_table_add(registry.removed_ids, g_strdup(machine->id));
    if (registry.returned_observer) registry.returned_observer(machine);
    machine->recorded = false;
    machine->retirement.released = true;
    machine->unrecorded_since = clock_now();
    release_allocations(machine);
    set_shard(machine, -1);
    machines_free_unreferenced(machine);
    events_publish(EVENT_SCHEDULE);
}

/* ---- return to the cloud ---- */

bool machines_leaving(const struct machine *machine) {
    return machine->retirement.returning || machine->retirement.return_wanted || machine->retirement.released;
}

void machines_mark_returned(const char *id) {
    struct machine *machine = g_hash_table_lookup(registry.by_id, id);
    if (!machine) return;
    machine->retirement.released = true;
    release_allocations(machine);
    events_publish(EVENT_SCHEDULE);
}

/* ---- ownership ---- */

struct token_range machines_tokens(const struct machine *machine) {
    struct token_range own = {machine->fencing_token, machine->last_token};
    if (machine->shard < 0) return own;
    const struct membership_shard_state *shard = membership_shard(machine->shard);
    return own.first > shard->fencing_token ? own : (struct token_range){shard->fencing_token, shard->last_token};
}

int64_t machines_fencing_token(const struct machine *machine) { return machines_tokens(machine).first; }

int64_t machines_current_token(const struct machine *machine) {
    struct token_range tokens = machines_tokens(machine);
    int64_t raised = machine->commands.raised_token;
    return token_range_contains(tokens, raised) ? raised : tokens.first;
}

bool machines_raise_token(struct machine *machine) {
    int64_t current = machines_current_token(machine);
    if (current >= machines_tokens(machine).last) return false;
    machine->commands.raised_token = current + 1;
    machine->commands.token_raised_at = clock_now();
    return true;
}

void machines_request_tokens(struct machine *machine) {
    machine->commands.needs_token_raise = true;
    machine->commands.token_raise_above = machines_current_token(machine);
    events_publish(EVENT_SCHEDULE);
}

static void reset_allocation(struct allocation *allocation) {
    allocation->was_listed = allocation->released = allocation->stop_sent = false;
    /* Only a heartbeat under the present fencing token tells whether the start was ever sent and whether the task has
     * ended since. The start is not sent again: the previous owner may have known of the task's end without recording
     * it, and allocated another task in its place. */
    allocation->inherited = true;
    allocation->state = TASK_NOT_LISTED;
    allocation->stop_requested = allocation->job->state != JOB_QUEUED;
    allocation->grace_s = 0;
}

/* Resets the state that was collected under another fencing token of the shard. The silence of the machine is measured
 * from now on. */
static void reset_ownership(struct machine *machine, int64_t fencing_token) {
    machine->owned_token = fencing_token;
    machine->owned_since = clock_now();
    machine->agent.reported_token = 0;

    struct machine_liveness *liveness = &machine->liveness;
    liveness->last_heard = liveness->last_heartbeat = machine->owned_since;
    liveness->heartbeat_acknowledged = false;
    liveness->ignored_responses = liveness->unanswered_probes = 0;
    liveness->up = machine->allocations->len > 0;

    struct machine_commands *commands = &machine->commands;
    commands->start_outcome_unknown = commands->needs_token_raise = commands->release_needs_token_raise = false;
    commands->response_start_incarnation = commands->response_start_sequence = 0;
    commands->needs_token_probe = commands->send_pending = machine->address[0] != 0;

    machine->retirement.draining = machine->retirement.return_wanted = machine->retirement.released = false;
    machine->rebalance.target_shard = -1;
    machine->occupancy.n_samples = 0;
    for (guint i = 0; i < machine->allocations->len; i++) reset_allocation(machine->allocations->pdata[i]);
}

bool machines_owned(struct machine *machine) {
    if (machine->shard < 0 || !membership_owns(machine->shard)) return false;
    int64_t fencing_token = membership_shard(machine->shard)->fencing_token;
    if (machine->owned_token != fencing_token) reset_ownership(machine, fencing_token);
    return true;
}

bool machines_is_unrecorded(const struct machine *machine) {
    if (machine->recorded || clock_seconds_since(machine->unrecorded_since) < UNRECORDED_MIN_S ||
        g_hash_table_contains(registry.unregistered, machine->id))
        return false;
    for (guint i = 0; i < machine->allocations->len; i++) {
        const struct allocation *allocation = machine->allocations->pdata[i];
        int shard = jobs_shard(allocation->job);
        if (!allocation->released && membership_owns(shard) &&
            clock_seconds_since(owned_shard_states[shard].owned_since) > UNRECORDED_MIN_S)
            return true;
    }
    return false;
}

/* ---- unregistered machines ---- */

GHashTable *machines_unregistered(void) { return registry.unregistered; }

bool machines_is_known_id(const char *id) {
    return machines_find(id) || g_hash_table_contains(registry.unregistered, id) ||
           g_hash_table_contains(registry.removed_ids, id);
}

static void add_unregistered(int shard, const char *id, const char *address, const char *type_name, const char *zone,
                             bool spot) {
    struct unregistered_machine *machine = g_new0(struct unregistered_machine, 1);
    g_strlcpy(machine->id, id, sizeof machine->id);
    g_strlcpy(machine->address, address, sizeof machine->address);
    g_strlcpy(machine->type_name, type_name, sizeof machine->type_name);
    g_strlcpy(machine->zone, zone, sizeof machine->zone);
    machine->spot = spot;
    machine->shard = shard;
    machine->page = -1;
    machine->created_at = clock_time_of_day();
    g_hash_table_replace(registry.unregistered, machine->id, machine);
    events_publish(EVENT_SCHEDULE);
}

void machines_adopt(const char *id, const char *address, const char *type_name, const char *zone, bool spot) {
    int shard = machines_shard_for_id(id);
    if (machines_is_known_id(id) || !membership_owns(shard)) return;
    log_info("machine %s: unregistered, adopting it into shard %d", id, shard);
    add_unregistered(shard, id, address, type_name, zone, spot);
}

void machines_add_rented(int shard, const char *id, const char *type_name, const char *zone, bool spot) {
    if (!machines_find(id)) add_unregistered(shard, id, "", type_name, zone, spot);
}

void machines_init(const struct settings *settings) {
    machines_settings = settings;
    registry.by_id = g_hash_table_new(g_str_hash, g_str_equal);
    registry.all = g_ptr_array_new();
    for (int shard = 0; shard < SHARDS_MAX; shard++) registry.by_shard[shard] = g_ptr_array_new();
    registry.unregistered = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    registry.removed_ids = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    machines_records_init();
}
