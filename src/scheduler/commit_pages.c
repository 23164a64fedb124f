/* What a round writes of machines. */
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../clock/clock.h"
#include "../json/json.h"
#include "../machines/page_assignment.h"
#include "../machines/page_migration.h"
#include "../machines/records.h"
#include "../membership/membership.h"
#include "../rebalancing/rebalancing.h"
#include "round.h"

/* What is to be done with each page of a shard in a round. */
enum { PAGE_LATER = 1, PAGE_NOW = 2, PAGE_RAISE = 4 };
struct page_plan {
    uint8_t need[MACHINE_PAGES_MAX];
    bool large[MACHINE_PAGES_MAX]; /* can't be rewritten under the service's next limit */
    int64_t fencing_token;         /* the token of machines that are raised */
    int raise_writes;              /* changes of the transaction that raises; the fence is one */
    bool raised;
};

#define MOVES_PAGES 2 /* pages that a round fills with machines of large ones */

/* Gives machines of large pages a place on others, those first that are to be changed. */
static void move_from_large(int k, struct page_plan *p, struct shard_page_fills *fills, bool tidy) {
    bool opened[MACHINE_PAGES_MAX] = {false};
    int pages = 0;
    for (int urgent = 1; urgent >= (tidy ? 0 : 1); urgent--)
        for (guint i = 0; i < machines_of_shard(k)->len; i++) {
            struct machine *m = machines_of_shard(k)->pdata[i];
            if (m->page < 0 || m->page >= MACHINE_PAGES_MAX || !p->large[m->page] || m->round.next_page >= 0) continue;
            bool change = m->commands.needs_token_raise || (m->retirement.return_wanted && !m->retirement.returning) ||
                          m->rebalance.to >= 0;
            if (m->retirement.released || (urgent && !change)) continue;
            int to = machines_page_fills_add(fills, m->id);
            if (to < 0 || (!opened[to] && pages == MOVES_PAGES)) return;
            pages += !opened[to];
            opened[to] = true;
            m->round.next_page = to;
            p->need[to] |= PAGE_NOW;
        }
}

/* A machine that came from another shard, or whose record is to change. */
static void plan_machine(struct machine *m, struct page_plan *p) {
    int page = m->round.next_page >= 0 ? m->round.next_page : m->page;
    if (page < 0 || page >= MACHINE_PAGES_MAX || p->large[page]) return;
    bool pass = rebalancing_allowed(m);
    if (pass || m->commands.needs_token_raise) {
        int writes = pass + ((p->need[page] & PAGE_RAISE) == 0);
        if (p->raise_writes + writes <= scheduler_settings->txn_ops) {
            p->raise_writes += writes;
            m->round.next_token = p->fencing_token;
            m->round.leaves_page = pass;
            p->raised = true;
            p->need[page] |= PAGE_RAISE;
        }
    }
    /* What runs there starts elsewhere only once it is returned; idle machines go by the dozen, a page each otherwise.
     */
    if (m->retirement.return_wanted && !m->retirement.returning)
        p->need[page] |= m->allocations->len > 0 ? PAGE_NOW : PAGE_LATER;
    if (m->retirement.released || m->address_unrecorded) p->need[page] |= PAGE_LATER;
}

static void plan_machines(int k, struct page_plan *p, struct shard_page_fills *fills) {
    int incoming = 0;
    for (guint i = 0; i < machines_of_shard(k)->len; i++) {
        struct machine *m = machines_of_shard(k)->pdata[i];
        if (m->page >= 0) {
            plan_machine(m, p);
            continue;
        }
        if (incoming++ < scheduler_settings->txn_ops / 2 &&
            (m->round.next_page = machines_page_fills_add(fills, m->id)) >= 0)
            p->need[m->round.next_page] |= PAGE_NOW;
    }
}

/* The places that the last round gave and did not write. */
static void forget_places(int k) {
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, machines_unregistered());
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct unregistered_machine *c = v;
        if (c->shard == k) c->page = -1;
    }
}

static void plan_unregistered(int k, struct page_plan *p, struct shard_page_fills *fills) {
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, machines_unregistered());
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct unregistered_machine *c = v;
        if (c->shard == k && (c->page = machines_page_fills_add(fills, c->id)) >= 0) p->need[c->page] |= PAGE_NOW;
    }
}

/* Raises and passings move the fence in the same transaction, which is one of their own. */
static void write_raises(struct scheduling_round *r, int k, struct page_plan *p) {
    int n;
    struct store_txn *t = scheduling_round_txn(r, scheduler_settings->txn_ops, 3);
    r->writes_left += scheduler_settings->txn_ops - p->raise_writes;
    store_txn_compare(t, STORE_KEY_FENCING_COUNTER, store_key_revision(STORE_KEY_FENCING_COUNTER));
    store_txn_put(t, STORE_KEY_FENCING_COUNTER, cJSON_CreateNumber((double)p->fencing_token), 0);
    for (int page = 0; page < MACHINE_PAGES_MAX; page++) {
        if (!(p->need[page] & PAGE_RAISE)) continue;
        struct store_key key = store_key_machine_page(k, page);
        store_txn_compare(t, key.text, store_key_revision(key.text));
        store_txn_put(t, key.text, machines_page_value(k, page, &n), 0);
        p->need[page] = 0;
    }
    for (guint i = 0; i < machines_of_shard(k)->len; i++) {
        struct machine *m = machines_of_shard(k)->pdata[i];
        if (!m->round.leaves_page) continue;
        struct store_key key = store_key_machine(m->id);
        store_txn_compare(t, key.text, 0);
        store_txn_put(t, key.text, machines_single_value(m, m->rebalance.to, p->fencing_token), 0);
    }
}

/* Comes from another shard, to this page: its own record goes with the write. */
static bool arrives_at(const struct machine *m, int page) { return m->page < 0 && m->round.next_page == page; }

static void write_page(struct scheduling_round *r, int k, int page) {
    int incoming = 0, n;
    for (guint i = 0; i < machines_of_shard(k)->len; i++) incoming += arrives_at(machines_of_shard(k)->pdata[i], page);
    struct store_key key = store_key_machine_page(k, page);
    if (1 + incoming > scheduler_settings->txn_ops || scheduling_round_rejected_lately(key.text)) return;
    struct store_txn *t = scheduling_round_txn(r, 1 + incoming, 2 + incoming);
    store_txn_compare(t, key.text, store_key_revision(key.text));
    cJSON *value = machines_page_value(k, page, &n);
    if (n > 0) {
        store_txn_put(t, key.text, value, 0);
    } else {
        cJSON_Delete(value);
        store_txn_delete(t, key.text);
    }
    for (guint i = 0; i < machines_of_shard(k)->len; i++) {
        struct machine *m = machines_of_shard(k)->pdata[i];
        if (!arrives_at(m, page)) continue;
        struct store_key own_key = store_key_machine(m->id);
        store_txn_compare(t, own_key.text, store_key_revision(own_key.text));
        store_txn_delete(t, own_key.text);
    }
}

#define TIDY_S 2 /* between writes of what can wait */

/* The pages of the shard's machines. */
void scheduling_round_commit_pages(struct scheduling_round *r, int k) {
    struct page_plan p = {.fencing_token = membership_fencing_token() + 1, .raise_writes = 1};
    bool tidy = clock_seconds_since(shard_states[k].compacted_at) > TIDY_S;
    if (tidy) shard_states[k].compacted_at = clock_now();
    machines_oversized_pages(k, p.large);
    struct shard_page_fills fills;
    forget_places(k);
    machines_page_fills(k, &fills);
    move_from_large(k, &p, &fills, tidy);
    plan_machines(k, &p, &fills);
    plan_unregistered(k, &p, &fills);
    for (int page = 0; page < MACHINE_PAGES_MAX; page++)
        if (machines_page_stale(k, page)) p.need[page] |= PAGE_LATER;
    if (p.raised) write_raises(r, k, &p);
    for (int page = 0; page < MACHINE_PAGES_MAX && r->writes_left > 0; page++) {
        bool due = p.need[page] & PAGE_NOW || (p.need[page] & PAGE_LATER && tidy);
        if (due && !p.large[page]) write_page(r, k, page);
    }
}
