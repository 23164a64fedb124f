/* Stages the records of machines, which are grouped into pages, in a scheduling round. */
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "../clock/clock.h"
#include "../json/json.h"
#include "../machines/machines.h"
#include "../machines/page_assignment.h"
#include "../machines/page_migration.h"
#include "../machines/records.h"
#include "../membership/membership.h"
#include "../rebalancing/rebalancing.h"
#include "round.h"
#include "transactions.h"

#define MIGRATION_TARGET_PAGES_MAX 2 /* pages that one round may fill with machines from oversized pages */
#define DEFERRED_WRITE_INTERVAL_S 2  /* time between deferred writes */

/* Flags: when and how a round writes a page. */
enum page_need {
    PAGE_WRITE_DEFERRED = 1, /* written once deferred writes are due */
    PAGE_WRITE_NOW = 2,
    PAGE_RAISE_TOKENS = 4, /* written in the transaction that changes the fencing counter */
};

/* The page writes of a shard in a round. */
struct page_plan {
    int shard;
    bool write_deferred;               /* deferred writes are due */
    uint8_t needs[MACHINE_PAGES_MAX];  /* enum page_need, for each page */
    bool oversized[MACHINE_PAGES_MAX]; /* the page is too large for the store's next limit */
    struct shard_page_usage usage;
    struct token_range tokens; /* granted to the machines that are raised or transferred */
    int raise_writes;          /* writes of the transaction that raises tokens, including the fencing counter */
    bool has_raises;
};

static bool is_valid_page(int page) { return page >= 0 && page < MACHINE_PAGES_MAX; }

/* Returns whether the machine is to be returned or transferred, or its fencing token raised. */
static bool record_is_about_to_change(const struct machine *machine) {
    return machine->commands.needs_token_raise ||
           (machine->retirement.return_wanted && !machine->retirement.returning) ||
           machine->rebalance.target_shard >= 0;
}

/* Returns whether the machine is on an oversized page and has no other page assigned yet. */
static bool needs_migration(const struct page_plan *plan, const struct machine *machine) {
    return is_valid_page(machine->page) && plan->oversized[machine->page] && machine->round.next_page < 0 &&
           !machine->retirement.released;
}

enum migration_scope { MIGRATE_CHANGING_RECORDS, MIGRATE_ALL };

/* Assigns machines on oversized pages to other pages. Returns false if all pages are full or the round may not fill
 * another one. */
static bool plan_migrations(struct page_plan *plan, enum migration_scope scope, bool *is_target, int *n_targets) {
    const GPtrArray *machines = machines_of_shard(plan->shard);
    for (guint i = 0; i < machines->len; i++) {
        struct machine *machine = machines->pdata[i];
        if (!needs_migration(plan, machine)) continue;
        if (scope == MIGRATE_CHANGING_RECORDS && !record_is_about_to_change(machine)) continue;
        int target_page = machines_assign_page(&plan->usage, machine->id);
        if (target_page < 0 || (!is_target[target_page] && *n_targets == MIGRATION_TARGET_PAGES_MAX)) return false;
        *n_targets += !is_target[target_page];
        is_target[target_page] = true;
        machine->round.next_page = target_page;
        plan->needs[target_page] |= PAGE_WRITE_NOW;
    }
    return true;
}

/* Moves machines off oversized pages: first machines whose records are about to change, then the other machines if
 * deferred writes are due. */
static void plan_oversized_pages(struct page_plan *plan) {
    bool is_target[MACHINE_PAGES_MAX] = {false};
    int n_targets = 0;
    if (!plan_migrations(plan, MIGRATE_CHANGING_RECORDS, is_target, &n_targets)) return;
    if (plan->write_deferred) plan_migrations(plan, MIGRATE_ALL, is_target, &n_targets);
}

/* Plans to raise the machine's fencing token, or to transfer the machine to another shard, if the transaction that
 * raises tokens has room. */
static void plan_token_raise(struct page_plan *plan, struct machine *machine, int page) {
    bool transfer = rebalancing_transfer_allowed(machine);
    if (!transfer && !machine->commands.needs_token_raise) return;
    int writes = (transfer ? 1 : 0) + ((plan->needs[page] & PAGE_RAISE_TOKENS) ? 0 : 1);
    if (plan->raise_writes + writes > transactions_writes_max()) return;
    plan->raise_writes += writes;
    machine->round.next_fencing_token = plan->tokens.first;
    machine->round.leaves_page = transfer;
    plan->has_raises = true;
    plan->needs[page] |= PAGE_RAISE_TOKENS;
}

/* Plans the write of a machine that has a page or was assigned one. */
static void plan_machine(struct page_plan *plan, struct machine *machine) {
    int page = machines_planned_page(machine);
    if (!is_valid_page(page) || plan->oversized[page]) return;
    plan_token_raise(plan, machine, page);
    /* The machine's tasks can start elsewhere only after its return, so the return is recorded at once. Idle machines
     * are returned many at a time, and their writes are deferred to avoid a page write for each. */
    if (machine->retirement.return_wanted && !machine->retirement.returning)
        plan->needs[page] |= machine->allocations->len > 0 ? PAGE_WRITE_NOW : PAGE_WRITE_DEFERRED;
    if (machine->retirement.released || machine->address_unrecorded) plan->needs[page] |= PAGE_WRITE_DEFERRED;
}

static void plan_machines(struct page_plan *plan) {
    const GPtrArray *machines = machines_of_shard(plan->shard);
    int n_arrivals = 0;
    for (guint i = 0; i < machines->len; i++) {
        struct machine *machine = machines->pdata[i];
        if (machine->page >= 0) {
            plan_machine(plan, machine);
            continue;
        }
        if (1 + n_arrivals++ >= transactions_writes_max()) continue; /* the page and the arrivals' own records */
        machine->round.next_page = machines_assign_page(&plan->usage, machine->id);
        if (machine->round.next_page >= 0) plan->needs[machine->round.next_page] |= PAGE_WRITE_NOW;
    }
}

/* Drops the pages that the last round assigned to unregistered machines but did not write. */
static void reset_unregistered_pages(int shard) {
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, machines_unregistered());
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct unregistered_machine *machine = value;
        if (machine->shard == shard) machine->page = -1;
    }
}

static void plan_unregistered_machines(struct page_plan *plan) {
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, machines_unregistered());
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct unregistered_machine *machine = value;
        if (machine->shard != plan->shard) continue;
        machine->page = machines_assign_page(&plan->usage, machine->id);
        if (machine->page >= 0) plan->needs[machine->page] |= PAGE_WRITE_NOW;
    }
}

static void plan_stale_pages(struct page_plan *plan) {
    for (int page = 0; page < MACHINE_PAGES_MAX; page++)
        if (machines_page_is_stale(plan->shard, page)) plan->needs[page] |= PAGE_WRITE_DEFERRED;
}

/* Puts the page's new value. */
static void put_page(struct store_txn *transaction, int shard, int page) {
    struct store_key key = store_key_machine_page(shard, page);
    int n_machines;
    store_txn_compare(transaction, key.text, store_key_revision(key.text));
    store_txn_put(transaction, key.text, machines_page_value(shard, page, &n_machines), 0);
}

/* Puts the machine's own record, which transfers it to another shard. */
static void put_transfer(struct store_txn *transaction, const struct machine *machine, struct token_range tokens) {
    struct store_key key = store_key_machine(machine->id);
    store_txn_compare(transaction, key.text, 0);
    store_txn_put(transaction, key.text, machines_transfer_value(machine, machine->rebalance.target_shard, tokens), 0);
}

/* Stages token raises and transfers, together with the new fencing counter, in one transaction. */
static void stage_token_raises(struct scheduling_round *round, struct page_plan *plan) {
    struct store_txn *transaction = transactions_reserve(round, transactions_writes_max(), 3);
    round->writes_left += transactions_writes_max() - plan->raise_writes;
    store_txn_compare(transaction, STORE_KEY_FENCING_COUNTER, store_key_revision(STORE_KEY_FENCING_COUNTER));
    store_txn_put(transaction, STORE_KEY_FENCING_COUNTER, cJSON_CreateNumber((double)plan->tokens.last), 0);
    for (int page = 0; page < MACHINE_PAGES_MAX; page++) {
        if (!(plan->needs[page] & PAGE_RAISE_TOKENS)) continue;
        put_page(transaction, plan->shard, page);
        plan->needs[page] = 0;
    }
    const GPtrArray *machines = machines_of_shard(plan->shard);
    for (guint i = 0; i < machines->len; i++) {
        const struct machine *machine = machines->pdata[i];
        if (machine->round.leaves_page) put_transfer(transaction, machine, plan->tokens);
    }
}

/* Returns whether the machine comes from another shard to this page. Its own record is deleted when the page is
 * written. */
static bool arrives_on_page(const struct machine *machine, int page) {
    return machine->page < 0 && machine->round.next_page == page;
}

static int count_arrivals(int shard, int page) {
    const GPtrArray *machines = machines_of_shard(shard);
    int arrivals = 0;
    for (guint i = 0; i < machines->len; i++) arrivals += arrives_on_page(machines->pdata[i], page);
    return arrivals;
}

static void delete_own_records(struct store_txn *transaction, int shard, int page) {
    const GPtrArray *machines = machines_of_shard(shard);
    for (guint i = 0; i < machines->len; i++) {
        const struct machine *machine = machines->pdata[i];
        if (!arrives_on_page(machine, page)) continue;
        struct store_key key = store_key_machine(machine->id);
        store_txn_compare(transaction, key.text, store_key_revision(key.text));
        store_txn_delete(transaction, key.text);
    }
}

/* Stages a page's new value, or its deletion if it holds no machine any more. */
static void stage_page(struct scheduling_round *round, int page) {
    struct store_key key = store_key_machine_page(round->shard, page);
    int arrivals = count_arrivals(round->shard, page);
    if (1 + arrivals > scheduler_settings->txn_operations_max || rejected_keys_contain(key.text)) return;
    struct store_txn *transaction = transactions_reserve(round, 1 + arrivals, 2 + arrivals);
    store_txn_compare(transaction, key.text, store_key_revision(key.text));
    int n_machines;
    cJSON *value = machines_page_value(round->shard, page, &n_machines);
    if (n_machines > 0) {
        store_txn_put(transaction, key.text, value, 0);
    } else {
        cJSON_Delete(value);
        store_txn_delete(transaction, key.text);
    }
    delete_own_records(transaction, round->shard, page);
}

static bool is_page_due(const struct page_plan *plan, int page) {
    if (plan->oversized[page]) return false;
    return (plan->needs[page] & PAGE_WRITE_NOW) || ((plan->needs[page] & PAGE_WRITE_DEFERRED) && plan->write_deferred);
}

static void page_plan_init(struct page_plan *plan, int shard) {
    *plan = (struct page_plan){.shard = shard, .tokens = membership_next_tokens(), .raise_writes = 1};
    struct timespec *deferred_writes_at = &owned_shard_states[shard].deferred_writes_at;
    plan->write_deferred = clock_seconds_since(*deferred_writes_at) > DEFERRED_WRITE_INTERVAL_S;
    if (plan->write_deferred) *deferred_writes_at = clock_now();
    machines_find_oversized_pages(shard, plan->oversized);
    reset_unregistered_pages(shard);
    machines_measure_pages(shard, &plan->usage);
}

void scheduling_round_stage_pages(struct scheduling_round *round) {
    struct page_plan plan;
    page_plan_init(&plan, round->shard);
    plan_oversized_pages(&plan);
    plan_machines(&plan);
    plan_unregistered_machines(&plan);
    plan_stale_pages(&plan);
    if (plan.has_raises) stage_token_raises(round, &plan);
    for (int page = 0; page < MACHINE_PAGES_MAX && round->writes_left > 0; page++)
        if (is_page_due(&plan, page)) stage_page(round, page);
}
