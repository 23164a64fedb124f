#include "page_migration.h"

#include <string.h>

#include "page_assignment.h"

static bool stale_pages[SHARDS_MAX][MACHINE_PAGES_MAX];

void machines_find_oversized_pages(int shard, bool oversized[MACHINE_PAGES_MAX]) {
    memset(oversized, 0, MACHINE_PAGES_MAX * sizeof *oversized);
    if (!machines_page_limit_decreases()) return;
    struct shard_page_usage usage;
    machines_measure_pages(shard, &usage);
    for (int page = 0; page < MACHINE_PAGES_MAX; page++)
        oversized[page] = !machines_page_fits_next_limit(&usage.pages[page]);
}

bool machines_page_is_stale(int shard, int page) { return stale_pages[shard][page]; }

void machines_page_mark_stale(int shard, int page) {
    if (page >= 0 && page < MACHINE_PAGES_MAX) stale_pages[shard][page] = true;
}

void machines_page_clear_stale(int shard, int page) { stale_pages[shard][page] = false; }
