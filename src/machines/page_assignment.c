#include "page_assignment.h"

#include <glib.h>
#include <string.h>

#include "internal.h"

/* What a page takes beside its entries, and an entry beside its id and address, at most: numbers, brackets and a few
 * images. */
#define PAGE_BYTES 600
#define ENTRY_BYTES 72
#define ADDRESS_BYTES 22
/* The same without images, which are left out where they don't fit: all that must have room under the next limit. */
#define NEXT_PAGE_BYTES 104
#define NEXT_ENTRY_BYTES 40
#define NAME_BYTES 3          /* a name in a list, beside its letters: quotation marks and a comma */
#define PAGE_FILL_FACTOR 0.92 /* of a value that a page may fill */
#define BYTES_PER_KIB 1024

enum entry_lifetime { ENTRY_STAYS, ENTRY_GOES };

/* Counts a machine in. One that was returned is not written again, so it needs no room under the next limit. */
static void count_entry(struct page_fill *fill, const char *id, enum entry_lifetime lifetime) {
    int names = (int)strlen(id) + ADDRESS_BYTES;
    fill->present += names + ENTRY_BYTES;
    if (lifetime == ENTRY_STAYS) fill->next += names + NEXT_ENTRY_BYTES;
}

bool machines_page_limit_falls(void) { return machines_settings->next_value_kb < machines_settings->value_kb; }

int machines_page_bytes_max(double value_kb) { return (int)(value_kb * BYTES_PER_KIB * PAGE_FILL_FACTOR); }

bool machines_page_fits_next_limit(const struct page_fill *fill) {
    int beside_entries = NEXT_PAGE_BYTES;
    for (int i = 0; i < machines_settings->n_zones; i++)
        beside_entries += (int)strlen(machines_settings->zones[i]) + NAME_BYTES;
    return fill->next <= machines_page_bytes_max(machines_settings->next_value_kb) - beside_entries;
}

static bool fits(const struct page_fill *fill) {
    return fill->present <= machines_page_bytes_max(machines_settings->value_kb) - PAGE_BYTES &&
           (!machines_page_limit_falls() || machines_page_fits_next_limit(fill));
}

int machines_page_of(const struct machine *machine) {
    return machine->round.next_page >= 0 ? machine->round.next_page : machine->page;
}

void machines_page_fills(int shard, struct shard_page_fills *fills) {
    memset(fills, 0, sizeof *fills);
    GPtrArray *machines = machines_of_shard(shard);
    for (guint i = 0; i < machines->len; i++) {
        const struct machine *machine = machines->pdata[i];
        int page = machines_page_of(machine);
        if (page >= 0 && page < MACHINE_PAGES_MAX)
            count_entry(&fills->pages[page], machine->id, machine->retirement.released ? ENTRY_GOES : ENTRY_STAYS);
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, machines_unregistered());
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct unregistered_machine *machine = value;
        if (machine->shard == shard && machine->page >= 0 && machine->page < MACHINE_PAGES_MAX)
            count_entry(&fills->pages[machine->page], machine->id, ENTRY_STAYS);
    }
}

int machines_page_fills_add(struct shard_page_fills *fills, const char *id) {
    for (int page = 0; page < MACHINE_PAGES_MAX; page++) {
        struct page_fill fill = fills->pages[page];
        bool empty = fill.present == 0;
        count_entry(&fill, id, ENTRY_STAYS);
        if (!empty && !fits(&fill)) continue;
        fills->pages[page] = fill;
        return page;
    }
    return -1;
}
