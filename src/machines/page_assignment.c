#include "page_assignment.h"

#include <glib.h>
#include <string.h>

#include "internal.h"

/* Upper bounds for the size of a page without its entries, and of an entry without its id and address: numbers,
 * brackets and a few images. */
#define PAGE_OVERHEAD_BYTES 600
#define ENTRY_OVERHEAD_BYTES 72
#define ADDRESS_BYTES 22 /* assumed for each address */
/* The same bounds without images, which are left out of a page if it would otherwise exceed the next limit. */
#define NEXT_PAGE_OVERHEAD_BYTES 104
#define NEXT_ENTRY_OVERHEAD_BYTES 40
#define NAME_OVERHEAD_BYTES 3 /* quotation marks and comma of a name in a list */
#define PAGE_FILL_FACTOR 0.92 /* fraction of the limit for a value that a page may fill */
#define BYTES_PER_KIB 1024

enum entry_lifetime { ENTRY_STAYS, ENTRY_LEAVES };

/* Adds a machine's entry to the usage. The entry of a returned machine is not written again, so it does not count
 * against the next limit. */
static void count_entry(struct page_usage *usage, const char *id, enum entry_lifetime lifetime) {
    int id_and_address = (int)strlen(id) + ADDRESS_BYTES;
    usage->current_bytes += id_and_address + ENTRY_OVERHEAD_BYTES;
    if (lifetime == ENTRY_STAYS) usage->next_bytes += id_and_address + NEXT_ENTRY_OVERHEAD_BYTES;
}

bool machines_page_limit_decreases(void) {
    return machines_settings->next_value_max_kb < machines_settings->value_max_kb;
}

int machines_page_max_bytes(double value_kb) { return (int)(value_kb * BYTES_PER_KIB * PAGE_FILL_FACTOR); }

bool machines_page_fits_next_limit(const struct page_usage *usage) {
    int overhead = NEXT_PAGE_OVERHEAD_BYTES;
    for (int i = 0; i < machines_settings->n_zones; i++)
        overhead += (int)strlen(machines_settings->zones[i]) + NAME_OVERHEAD_BYTES;
    return usage->next_bytes <= machines_page_max_bytes(machines_settings->next_value_max_kb) - overhead;
}

static bool page_fits(const struct page_usage *usage) {
    return usage->current_bytes <= machines_page_max_bytes(machines_settings->value_max_kb) - PAGE_OVERHEAD_BYTES &&
           (!machines_page_limit_decreases() || machines_page_fits_next_limit(usage));
}

int machines_planned_page(const struct machine *machine) {
    return machine->round.next_page >= 0 ? machine->round.next_page : machine->page;
}

void machines_measure_pages(int shard, struct shard_page_usage *usage) {
    memset(usage, 0, sizeof *usage);
    GPtrArray *machines = machines_of_shard(shard);
    for (guint i = 0; i < machines->len; i++) {
        const struct machine *machine = machines->pdata[i];
        int page = machines_planned_page(machine);
        if (page >= 0 && page < MACHINE_PAGES_MAX)
            count_entry(&usage->pages[page], machine->id, machine->retirement.released ? ENTRY_LEAVES : ENTRY_STAYS);
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, machines_unregistered());
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct unregistered_machine *machine = value;
        if (machine->shard == shard && machine->page >= 0 && machine->page < MACHINE_PAGES_MAX)
            count_entry(&usage->pages[machine->page], machine->id, ENTRY_STAYS);
    }
}

int machines_assign_page(struct shard_page_usage *shard_usage, const char *id) {
    for (int page = 0; page < MACHINE_PAGES_MAX; page++) {
        struct page_usage usage = shard_usage->pages[page];
        bool empty = usage.current_bytes == 0;
        count_entry(&usage, id, ENTRY_STAYS);
        if (!empty && !page_fits(&usage)) continue;
        shard_usage->pages[page] = usage;
        return page;
    }
    return -1;
}
