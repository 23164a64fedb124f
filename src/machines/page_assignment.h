/* Which page of its shard a machine is recorded on: pages are filled one after the other. Called by scheduling rounds,
 * with store_lock held. */
#ifndef FF_MACHINES_PAGE_ASSIGNMENT_H
#define FF_MACHINES_PAGE_ASSIGNMENT_H
#include <stdbool.h>

#include "machines.h"

/* How full a page is, in bytes, by both measures. A page is filled only as far as the first version, which writes
 * images into it, can rewrite it under the present limit of a value, and anyone under the next. */
struct page_fill {
    int present, next;
};
/* How full a shard's pages are: counted once, however many machines are then assigned to pages. */
struct shard_page_fills {
    struct page_fill pages[MACHINE_PAGES_MAX];
};
/* Counts a shard's pages. With store_lock held. */
void machines_page_fills(int shard, struct shard_page_fills *fills);
/* The page that the machine is to go to, counted in; -1: all are full. */
int machines_page_fills_add(struct shard_page_fills *fills, const char *id);

/* The page that a machine is on, or will be once this round is written; -1: none. */
int machines_page_of(const struct machine *machine);
/* Whether the next limit of a value is below the present one. */
bool machines_page_limit_falls(void);
/* Bytes that a page may fill of a value. */
int machines_page_bytes_max(double value_kb);
/* Whether the page could be rewritten under the next limit. */
bool machines_page_fits_next_limit(const struct page_fill *fill);
#endif
