/* What a scheduling round writes of machines. */
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

#define PAGES_FILLED_MAX 2   /* pages that a round fills with machines of large ones */
#define COMPACT_INTERVAL_S 2 /* between writes of what can wait */

/* What is to be done with each page of a shard in a round. */
enum page_need {
    PAGE_LATER = 1, /* with what can wait */
    PAGE_NOW = 2,
    PAGE_RAISE = 4, /* together with the counter of fencing tokens */
};

struct page_plan {
    int shard;
    bool compact;                     /* what can wait is due */
    uint8_t needs[MACHINE_PAGES_MAX]; /* of enum page_need */
    bool large[MACHINE_PAGES_MAX];    /* can't be rewritten under the store's next limit */
    struct shard_page_fills fills;
    int64_t fencing_token; /* of machines that are raised */
    int raise_writes;      /* writes of the transaction that raises; the counter is one */
    bool raised;
};

static bool valid_page(int page) { return page >= 0 && page < MACHINE_PAGES_MAX; }

/* Its record is to change: it is raised, returned or transferred. */
static bool record_is_to_change(const struct machine *machine) {
    return machine->commands.needs_token_raise ||
           (machine->retirement.return_wanted && !machine->retirement.returning) || machine->rebalance.to >= 0;
}

/* On a large page, with no other page chosen yet. */
static bool lies_on_large_page(const struct page_plan *plan, const struct machine *machine) {
    return valid_page(machine->page) && plan->large[machine->page] && machine->round.next_page < 0 &&
           !machine->retirement.released;
}

enum machines_moved { MOVED_IF_RECORD_CHANGES, MOVED_ALL };

/* Gives machines of large pages places on others, until enough pages are filled. False once they are. */
static bool move_from_large(struct page_plan *plan, enum machines_moved moved, bool *filled, int *n_filled) {
    const GPtrArray *machines = machines_of_shard(plan->shard);
    for (guint i = 0; i < machines->len; i++) {
        struct machine *machine = machines->pdata[i];
        if (!lies_on_large_page(plan, machine)) continue;
        if (moved == MOVED_IF_RECORD_CHANGES && !record_is_to_change(machine)) continue;
        int to = machines_page_fills_add(&plan->fills, machine->id);
        if (to < 0 || (!filled[to] && *n_filled == PAGES_FILLED_MAX)) return false;
        *n_filled += !filled[to];
        filled[to] = true;
        machine->round.next_page = to;
        plan->needs[to] |= PAGE_NOW;
    }
    return true;
}

/* Those come first whose records are to change. */
static void plan_large_pages(struct page_plan *plan) {
    bool filled[MACHINE_PAGES_MAX] = {false};
    int n_filled = 0;
    if (!move_from_large(plan, MOVED_IF_RECORD_CHANGES, filled, &n_filled)) return;
    if (plan->compact) move_from_large(plan, MOVED_ALL, filled, &n_filled);
}

/* Raises a machine's fencing token, or transfers it to another shard, as far as the transaction that does this has
 * room. */
static void plan_raise(struct page_plan *plan, struct machine *machine, int page) {
    bool transfer = rebalancing_allowed(machine);
    if (!transfer && !machine->commands.needs_token_raise) return;
    int writes = (transfer ? 1 : 0) + ((plan->needs[page] & PAGE_RAISE) ? 0 : 1);
    if (plan->raise_writes + writes > scheduler_settings->txn_ops) return;
    plan->raise_writes += writes;
    machine->round.next_token = plan->fencing_token;
    machine->round.leaves_page = transfer;
    plan->raised = true;
    plan->needs[page] |= PAGE_RAISE;
}

/* A machine that has a page or is given one. */
static void plan_machine(struct page_plan *plan, struct machine *machine) {
    int page = machines_page_of(machine);
    if (!valid_page(page) || plan->large[page]) return;
    plan_raise(plan, machine, page);
    /* What runs there starts elsewhere only once it is returned; idle machines are returned many at a time, and would
     * take a write of a page each. */
    if (machine->retirement.return_wanted && !machine->retirement.returning)
        plan->needs[page] |= machine->allocations->len > 0 ? PAGE_NOW : PAGE_LATER;
    if (machine->retirement.released || machine->address_unrecorded) plan->needs[page] |= PAGE_LATER;
}

static void plan_machines(struct page_plan *plan) {
    const GPtrArray *machines = machines_of_shard(plan->shard);
    int incoming = 0;
    for (guint i = 0; i < machines->len; i++) {
        struct machine *machine = machines->pdata[i];
        if (machine->page >= 0) {
            plan_machine(plan, machine);
            continue;
        }
        if (incoming++ >= scheduler_settings->txn_ops / 2) continue;
        machine->round.next_page = machines_page_fills_add(&plan->fills, machine->id);
        if (machine->round.next_page >= 0) plan->needs[machine->round.next_page] |= PAGE_NOW;
    }
}

/* Forgets the places that the last round gave and did not write. */
static void forget_places(int shard) {
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, machines_unregistered());
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct unregistered_machine *machine = value;
        if (machine->shard == shard) machine->page = -1;
    }
}

static void plan_unregistered(struct page_plan *plan) {
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, machines_unregistered());
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct unregistered_machine *machine = value;
        if (machine->shard != plan->shard) continue;
        machine->page = machines_page_fills_add(&plan->fills, machine->id);
        if (machine->page >= 0) plan->needs[machine->page] |= PAGE_NOW;
    }
}

static void plan_stale_pages(struct page_plan *plan) {
    for (int page = 0; page < MACHINE_PAGES_MAX; page++)
        if (machines_page_stale(plan->shard, page)) plan->needs[page] |= PAGE_LATER;
}

/* Puts a page as it is to be from now on. */
static void put_page(struct store_txn *transaction, int shard, int page) {
    struct store_key key = store_key_machine_page(shard, page);
    int n;
    store_txn_compare(transaction, key.text, store_key_revision(key.text));
    store_txn_put(transaction, key.text, machines_page_value(shard, page, &n), 0);
}

/* Puts the machine's own record, with which it is on its way to the other shard. */
static void put_transfer(struct store_txn *transaction, const struct machine *machine, int64_t fencing_token) {
    struct store_key key = store_key_machine(machine->id);
    store_txn_compare(transaction, key.text, 0);
    store_txn_put(transaction, key.text, machines_single_value(machine, machine->rebalance.to, fencing_token), 0);
}

/* Raises and transfers move the counter of fencing tokens in the same transaction, which is one of their own. */
static void write_raises(struct scheduling_round *round, struct page_plan *plan) {
    struct store_txn *transaction = transactions_with_room(round, scheduler_settings->txn_ops, 3);
    round->writes_left += scheduler_settings->txn_ops - plan->raise_writes;
    store_txn_compare(transaction, STORE_KEY_FENCING_COUNTER, store_key_revision(STORE_KEY_FENCING_COUNTER));
    store_txn_put(transaction, STORE_KEY_FENCING_COUNTER, cJSON_CreateNumber((double)plan->fencing_token), 0);
    for (int page = 0; page < MACHINE_PAGES_MAX; page++) {
        if (!(plan->needs[page] & PAGE_RAISE)) continue;
        put_page(transaction, plan->shard, page);
        plan->needs[page] = 0;
    }
    const GPtrArray *machines = machines_of_shard(plan->shard);
    for (guint i = 0; i < machines->len; i++) {
        const struct machine *machine = machines->pdata[i];
        if (machine->round.leaves_page) put_transfer(transaction, machine, plan->fencing_token);
    }
}

/* Comes from another shard, to this page: its own record is deleted with the write. */
static bool arrives_at(const struct machine *machine, int page) {
    return machine->page < 0 && machine->round.next_page == page;
}

static int count_arrivals(int shard, int page) {
    const GPtrArray *machines = machines_of_shard(shard);
    int arrivals = 0;
    for (guint i = 0; i < machines->len; i++) arrivals += arrives_at(machines->pdata[i], page);
    return arrivals;
}

static void delete_own_records(struct store_txn *transaction, int shard, int page) {
    const GPtrArray *machines = machines_of_shard(shard);
    for (guint i = 0; i < machines->len; i++) {
        const struct machine *machine = machines->pdata[i];
        if (!arrives_at(machine, page)) continue;
        struct store_key key = store_key_machine(machine->id);
        store_txn_compare(transaction, key.text, store_key_revision(key.text));
        store_txn_delete(transaction, key.text);
    }
}

/* Writes a page, or deletes the record of one that holds no machine any more. */
static void write_page(struct scheduling_round *round, int page) {
    struct store_key key = store_key_machine_page(round->shard, page);
    int arrivals = count_arrivals(round->shard, page);
    if (1 + arrivals > scheduler_settings->txn_ops || rejected_keys_contain(key.text)) return;
    struct store_txn *transaction = transactions_with_room(round, 1 + arrivals, 2 + arrivals);
    store_txn_compare(transaction, key.text, store_key_revision(key.text));
    int n;
    cJSON *value = machines_page_value(round->shard, page, &n);
    if (n > 0) {
        store_txn_put(transaction, key.text, value, 0);
    } else {
        cJSON_Delete(value);
        store_txn_delete(transaction, key.text);
    }
    delete_own_records(transaction, round->shard, page);
}

static bool page_due(const struct page_plan *plan, int page) {
    if (plan->large[page]) return false;
    return (plan->needs[page] & PAGE_NOW) || ((plan->needs[page] & PAGE_LATER) && plan->compact);
}

static void page_plan_init(struct page_plan *plan, int shard) {
    *plan = (struct page_plan){.shard = shard, .fencing_token = membership_fencing_token() + 1, .raise_writes = 1};
    struct timespec *compacted_at = &shard_states[shard].compacted_at;
    plan->compact = clock_seconds_since(*compacted_at) > COMPACT_INTERVAL_S;
    if (plan->compact) *compacted_at = clock_now();
    machines_oversized_pages(shard, plan->large);
    forget_places(shard);
    machines_page_fills(shard, &plan->fills);
}

void scheduling_round_commit_pages(struct scheduling_round *round) {
    struct page_plan plan;
    page_plan_init(&plan, round->shard);
    plan_large_pages(&plan);
    plan_machines(&plan);
    plan_unregistered(&plan);
    plan_stale_pages(&plan);
    if (plan.raised) write_raises(round, &plan);
    for (int page = 0; page < MACHINE_PAGES_MAX && round->writes_left > 0; page++)
        if (page_due(&plan, page)) write_page(round, page);
}
