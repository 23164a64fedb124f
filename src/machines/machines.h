/* The machines: their records in the state service, and what an owner remembers of each. */
#ifndef FF_MACHINES_H
#define FF_MACHINES_H
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "../jobs/jobs.h"
#include "../json/json.h"
#include "../model/machine.h"
#include "../model/shard.h"

extern struct shard_state shard_states[SHARDS_MAX];

void machines_init(const struct settings *s);
/* Called with store_lock held when the cloud has confirmed that the machine is gone. One handler, set before the start.
 */
void machines_on_returned(void (*handler)(const struct machine *machine));

/* All with store_lock held. */
struct machine *machines_find(const char *id);
struct machine *machines_find_or_stub(const char *id);
void machines_drop_stub(struct machine *machine); /* frees what no record and no allocation names any more */
GPtrArray *machines_all(void);
GPtrArray *machines_of_shard(int k); /* the machines of a shard */
/* The shard of a machine that nobody rented: that of what is allocated on it, or else by its number. */
int machines_shard_of(const char *id);
/* A machine that no record names though tasks of a shard of ours are allocated on it, for long enough that no record
 * can be on its way. Only the cloud's answer to its return proves that they are gone. */
bool machines_unrecorded(const struct machine *machine);
int64_t machines_fencing_token(const struct machine *machine);
bool machines_owned(
    struct machine *machine); /* ours now; on a change of owner, what was known under another token goes */
void machines_add_occupancy_sample(struct machine *machine); /* a report came: a row in the occupancy window */
bool machines_leaving(const struct machine *machine);        /* on its way back to the cloud, or there already */
bool machines_known(const char *id);                         /* recorded, waiting to be, or gone for good */
void machines_returned(const char *id);
GHashTable *machines_unregistered(void); /* id -> unregistered_machine */
void machines_adopt(const char *id, const char *address, const char *type_name, const char *zone, bool spot);
void machines_rented(int shard, const char *id, const char *type_name, const char *zone, bool spot);

/* Pages: as many machines of a shard as a value holds, so that one change carries what a round decided for all of them.
 * Scratch fields decide: `leave` keeps a machine out, `next_fence` raises its token, `next_page` brings one in, as does
 * an unregistered one's page. */
cJSON *machines_page_value(int k, int page, int *count);
/* How full a page is, by both measures. A page is filled only as far as the first version, which writes images into it,
 * can rewrite it under the present limit, and anyone under the next. */
struct page_fill {
    int present, next;
};
/* How full a shard's pages are: counted once, however many machines are then given places. */
struct shard_page_fills {
    struct page_fill pages[MACHINE_PAGES_MAX];
};
void machines_page_fills(int k, struct shard_page_fills *fills);
/* The page that the machine is to go to, counted in; -1: all are full. */
int machines_page_fills_add(struct shard_page_fills *fills, const char *id);
int machines_page_for(int k, const char *id); /* for one machine alone */
/* The pages that could not be rewritten under the service's next limit. Their machines are written to others, a page of
 * them at a time: a later record moves a machine whatever an older one says, so that no step leaves it on none, whoever
 * reads what in between. A page is rewritten once the rest has room, and is stale until then. */
void machines_oversized_pages(int k, bool *large);
bool machines_page_stale(int k, int page);
cJSON *machines_single_value(const struct machine *machine, int shard, int64_t fencing_token);
#endif
