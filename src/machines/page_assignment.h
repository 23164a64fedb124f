/* Chooses the page of its shard on which a machine is recorded: the first page that has room. Called by scheduling
 * rounds, with store_lock held. */
#ifndef FF_MACHINES_PAGE_ASSIGNMENT_H
#define FF_MACHINES_PAGE_ASSIGNMENT_H
#include <stdbool.h>

#include "machines.h"

/* Estimated size of a page's entries. A page is filled only so far that it can be rewritten with images under the
 * current limit for a value, since the first version always writes images, and without images under the next limit. */
struct page_usage {
    int current_bytes, next_bytes; /* with images, for the current limit; without images, for the next limit */
};
/* Estimated sizes of all pages of a shard. They are computed once for any number of assignments. */
struct shard_page_usage {
    struct page_usage pages[MACHINE_PAGES_MAX];
};
/* Estimates the sizes of the shard's pages, including machines that are assigned to a page but not written yet. */
void machines_measure_pages(int shard, struct shard_page_usage *shard_usage);
/* Returns the first page with room for the machine, and adds the machine to that page's usage. Returns -1 if all pages
 * are full. */
int machines_assign_page(struct shard_page_usage *shard_usage, const char *id);

/* Returns the page that the machine will be on once this round is written; -1: none. */
int machines_planned_page(const struct machine *machine);
/* Tells whether the next limit for a value is below the current one. */
bool machines_page_limit_decreases(void);
/* Returns the maximum size of a page under a limit of value_kb for a value. */
int machines_page_max_bytes(double value_kb);
/* Tells whether the page could be rewritten under the next limit. */
bool machines_page_fits_next_limit(const struct page_usage *usage);
#endif
