#include "machines.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../clock/clock.h"
#include "../events/events.h"
#include "../json/json.h"
#include "../logging/logging.h"
#include "../machine_types/machine_types.h"
#include "../membership/membership.h"
#include "../schema_version/schema_version.h"

static const struct settings *cfg;
static GHashTable *by_id;
static GPtrArray *machines;
static GPtrArray *of_shard[SHARDS_MAX];
static GHashTable *unregistered;
static GHashTable *gone; /* ids that were recorded and are no more: a stale list must not bring them back */
static bool stale[SHARDS_MAX][MACHINE_PAGES_MAX]; /* lists machines that a later record has moved to another page */

struct shard_state shard_states[SHARDS_MAX];

static void (*returned_handler)(const struct machine *machine);

void machines_on_returned(void (*handler)(const struct machine *machine)) { returned_handler = handler; }

struct machine *machines_find(const char *id) {
    struct machine *m = g_hash_table_lookup(by_id, id);
    return m && m->known ? m : NULL;
}
GPtrArray *machines_all(void) { return machines; }
GPtrArray *machines_of_shard(int k) { return of_shard[k]; }
GHashTable *machines_unregistered(void) { return unregistered; }

int machines_shard_of(const char *id) {
    const struct machine *unrecorded = g_hash_table_lookup(by_id, id);
    if (unrecorded && !unrecorded->known && unrecorded->allocations->len > 0) {
        const struct allocation *b = unrecorded->allocations->pdata[0];
        return jobs_shard(b->job);
    }
    const char *dash = strrchr(id, '-');
    return dash ? (int)(g_ascii_strtoull(dash + 1, NULL, 10) % (guint64)cfg->size) : 0;
}

int64_t machines_fencing_token(const struct machine *m) {
    return m->shard < 0 ? m->fencing_token : MAX(m->fencing_token, membership_shard(m->shard)->fencing_token);
}

bool machines_known(const char *id) {
    return machines_find(id) || g_hash_table_contains(unregistered, id) || g_hash_table_contains(gone, id);
}

bool machines_leaving(const struct machine *m) {
    return m->retirement.returning || m->retirement.return_wanted || m->retirement.released;
}

struct machine *machines_find_or_stub(const char *id) {
    struct machine *m = g_hash_table_lookup(by_id, id);
    if (m) return m;
    m = g_new0(struct machine, 1);
    g_strlcpy(m->id, id, sizeof m->id);
    m->allocations = g_ptr_array_new();
    m->agent.unknown_tasks = g_array_new(FALSE, FALSE, sizeof(struct unknown_task));
    m->images = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    m->liveness.preemption_notice_s = -1;
    m->shard = m->rebalance.to = m->page = m->round.next_page = -1;
    m->unrecorded_since = clock_now();
    g_hash_table_insert(by_id, m->id, m);
    g_ptr_array_add(machines, m);
    return m;
}

static void set_shard(struct machine *m, int shard) {
    if (m->shard == shard) return;
    if (m->shard >= 0) g_ptr_array_remove_fast(of_shard[m->shard], m);
    m->shard = shard;
    m->owned_token = 0;
    m->rebalance.to = m->round.next_page = -1;
    m->round.leaves_page = false;
    if (shard >= 0) g_ptr_array_add(of_shard[shard], m);
}

void machines_drop_stub(struct machine *m) {
    if (m->known || m->allocations->len) return;
    set_shard(m, -1);
    g_hash_table_remove(by_id, m->id);
    g_ptr_array_remove_fast(machines, m);
    g_ptr_array_free(m->allocations, TRUE);
    g_array_free(m->agent.unknown_tasks, TRUE);
    g_hash_table_destroy(m->images);
    if (m->failed_jobs) g_ptr_array_free(m->failed_jobs, TRUE);
    g_free(m);
}

/* The cloud has confirmed the machine's return: what was allocated on it is gone. */
static void release_all(struct machine *m) {
    for (guint i = 0; i < m->allocations->len; i++) {
        struct allocation *b = m->allocations->pdata[i];
        b->released = true;
        jobs_mark_dirty(b->job, b->task);
    }
}

/* A machine leaves its record only when the cloud has confirmed its return: whatever was allocated on it is gone. */
static void machine_gone(struct machine *m) {
    g_hash_table_add(gone, g_strdup(m->id));
    if (returned_handler) returned_handler(m);
    m->known = false;
    m->retirement.released = true;
    m->unrecorded_since = clock_now();
    release_all(m);
    set_shard(m, -1);
    machines_drop_stub(m);
    events_publish(EVENT_SCHEDULE);
}

static struct machine *machine_here(const char *id, int shard, int page) {
    struct machine *m = machines_find_or_stub(id);
    if (!m->known) m->retirement.released = m->retirement.returning = m->retirement.return_wanted = false;
    /* The page that it was on still lists it, unless that is written without it at the same time. */
    if (m->known && m->shard >= 0 && m->page >= 0 && m->page < MACHINE_PAGES_MAX &&
        (m->shard != shard || m->page != page))
        stale[m->shard][m->page] = true;
    g_hash_table_remove(unregistered, id);
    g_hash_table_remove(gone, id);
    m->known = true;
    m->page = page;
    set_shard(m, shard);
    return m;
}

static const char *entry(const cJSON *list, const cJSON *index) {
    const cJSON *x = cJSON_IsNumber(index) ? cJSON_GetArrayItem(list, index->valueint) : NULL;
    return cJSON_IsString(x) ? x->valuestring : "";
}

/* An entry of a page: id, address, type, zone, 1 spot + 2 on its way back, fence, born, images. */
enum entry_field {
    ENTRY_ID,
    ENTRY_ADDRESS,
    ENTRY_SKU,
    ENTRY_SITE,
    ENTRY_FLAGS,
    ENTRY_FENCE,
    ENTRY_BORN,
    ENTRY_IMAGE_LIST,
    ENTRY_FIELDS
};

/* The lists of names that the entries of a page refer to by index. */
struct page_names {
    const cJSON *skus, *sites, *images;
};

static void read_images(struct machine *m, const cJSON *list, const cJSON *images) {
    for (const char *p = cJSON_IsString(list) ? list->valuestring : ""; *p;) {
        const cJSON *image = cJSON_GetArrayItem(images, atoi(p));
        if (cJSON_IsString(image) && !g_hash_table_contains(m->images, image->valuestring))
            g_hash_table_add(m->images, g_strdup(image->valuestring));
        p += strcspn(p, ",");
        p += *p == ',';
    }
}

static void read_entry(struct machine *m, const cJSON *const *f, const struct page_names *names) {
    const char *address = cJSON_IsString(f[ENTRY_ADDRESS]) ? f[ENTRY_ADDRESS]->valuestring : "";
    if (*address && !m->address[0]) g_strlcpy(m->address, address, sizeof m->address);
    m->address_unrecorded = strcmp(m->address, address) != 0;
    g_strlcpy(m->type_name, entry(names->skus, f[ENTRY_SKU]), sizeof m->type_name);
    g_strlcpy(m->zone, entry(names->sites, f[ENTRY_SITE]), sizeof m->zone);
    int flags = cJSON_IsNumber(f[ENTRY_FLAGS]) ? f[ENTRY_FLAGS]->valueint : 0;
    m->spot = flags & 1;
    m->retirement.returning = flags & 2;
    m->fencing_token = cJSON_IsNumber(f[ENTRY_FENCE]) ? (int64_t)f[ENTRY_FENCE]->valuedouble : 0;
    m->created_at = cJSON_IsNumber(f[ENTRY_BORN]) ? f[ENTRY_BORN]->valuedouble : 0;
    read_images(m, f[ENTRY_IMAGE_LIST], names->images);
}

/* Takes a page's entries in; false if one can't be read. */
static bool read_entries(const cJSON *data, int k, int page, int64_t mod_revision, GHashTable *seen) {
    const struct page_names names = {cJSON_GetObjectItemCaseSensitive(data, "sku"),
                                     cJSON_GetObjectItemCaseSensitive(data, "site"),
                                     cJSON_GetObjectItemCaseSensitive(data, "img")};
    bool whole = true;
    const cJSON *x;
    cJSON_ArrayForEach(x, cJSON_GetObjectItemCaseSensitive(data, "m")) {
        const cJSON *f[ENTRY_FIELDS];
        const cJSON *e = x->child;
        for (int i = 0; i < ENTRY_FIELDS; i++, e = e ? e->next : NULL) f[i] = e;
        if (!cJSON_IsString(f[ENTRY_ID]) || strlen(f[ENTRY_ID]->valuestring) >= sizeof((struct machine *)0)->id) {
            whole = false;
            continue;
        }
        /* Two may record one machine: who rented it, and who heard of it as an unregistered one meanwhile. The later
         * record holds, in whatever order they are read: once a controller that had read them anew took the machine for
         * another's, left it out of its page, and the others released what ran on it. */
        const struct machine *known = machines_find(f[ENTRY_ID]->valuestring);
        if (known && known->placement_revision > mod_revision && (known->shard != k || known->page != page)) {
            stale[k][page] = true;
            continue;
        }
        struct machine *m = machine_here(f[ENTRY_ID]->valuestring, k, page);
        m->placement_revision = mod_revision;
        g_hash_table_add(seen, m);
        read_entry(m, f, &names);
    }
    return whole;
}

/* Machines that the page named before and no longer does are gone, unless they pass to another shard. */
static void drop_unseen(int k, int page, GHashTable *seen) {
    for (guint i = of_shard[k]->len; i-- > 0;) {
        struct machine *m = of_shard[k]->pdata[i];
        if (m->page != page || g_hash_table_contains(seen, m)) continue;
        struct store_key key = store_key_machine(m->id);
        if (store_key_revision(key.text)) continue; /* its own record says where it goes */
        machine_gone(m);
    }
}

static void apply_page(const char *rest, const cJSON *data, int64_t mod_revision) {
    int k = (int)g_ascii_strtoll(rest, NULL, 10);
    const char *slash = strchr(rest, '/');
    if (k < 0 || k >= cfg->size || !slash) return;
    int page = (int)g_ascii_strtoll(slash + 1, NULL, 10);
    if (page < 0 || page >= MACHINE_PAGES_MAX) return;
    stale[k][page] = false;
    GHashTable *seen = g_hash_table_new(g_direct_hash, g_direct_equal);
    /* A machine that a page no longer names is gone. One that can't be read names nobody: taken for an empty one, or an
     * entry of it for none, it would release what still runs. */
    bool listed = !data || cJSON_IsArray(cJSON_GetObjectItemCaseSensitive(data, "m"));
    bool whole = read_entries(data, k, page, mod_revision, seen) && listed;
    if (whole)
        drop_unseen(k, page, seen);
    else
        log_error("fleet/%s: can't be read in full, its other machines stay on record", rest);
    g_hash_table_destroy(seen);
}

static void apply_single(const char *id, const cJSON *data, int64_t mod_revision) {
    /* As for pages: what a later record has shown holds, in whatever order they are read. A page read on its own, ahead
     * of the watch, was once undone by the transfer before it: machines that ran tasks were taken for gone. */
    struct machine *placed = machines_find(id);
    if (placed && placed->placement_revision > mod_revision) return;
    if (!data) {
        if (placed && placed->page < 0) machine_gone(placed);
        return;
    }
    int64_t shard = 0;
    if (cJSON_GetObjectItemCaseSensitive(data, "b")) {
        /* The first layout kept allocations in records like this one. Reading half of it would start tasks twice. */
        if (!schema_version_store_unreadable())
            log_error("machine/%s has the first layout, which this version does not read: no shard is taken", id);
        schema_version_mark_store_unreadable();
        return;
    }
    if (strlen(id) >= sizeof((struct machine *)0)->id || !json_get_int64(data, "share", &shard) || shard < 0 ||
        shard >= cfg->size) {
        log_error("machine/%s: can't be read", id);
        return;
    }
    struct machine *m = machine_here(id, (int)shard, -1);
    m->placement_revision = mod_revision;
    const char *v;
    if (!json_get_int64(data, "fence", &m->fencing_token)) m->fencing_token = 0;
    if ((v = json_get_string(data, "address")) && *v) g_strlcpy(m->address, v, sizeof m->address);
    if ((v = json_get_string(data, "flavour"))) g_strlcpy(m->type_name, v, sizeof m->type_name);
    if ((v = json_get_string(data, "site"))) g_strlcpy(m->zone, v, sizeof m->zone);
    m->spot = json_get_bool(data, "spot");
    m->retirement.returning = false;
    m->created_at = json_get_double(data, "born", 0);
    events_publish(EVENT_SCHEDULE);
}

bool machines_owned(struct machine *m) {
    if (m->shard < 0) return false;
    int64_t f = membership_shard(m->shard)->fencing_token;
    if (!membership_owns(m->shard)) return false;
    if (m->owned_token == f) return true;
    m->owned_token = f;
    m->liveness.last_heard = m->liveness.last_heartbeat = m->owned_since = clock_now();
    m->commands.outcome_unknown = m->commands.needs_token_raise = m->retirement.draining = m->retirement.return_wanted =
        m->retirement.released = m->liveness.heartbeat_acknowledged = false;
    m->rebalance.to = -1;
    m->agent.seen_token = m->commands.start_incarnation = 0;
    m->liveness.ignored_responses = m->liveness.unanswered_probes = 0;
    m->liveness.up = m->allocations->len > 0;
    m->occupancy.n_samples = 0;
    m->commands.needs_token_probe = m->commands.wake = m->address[0] != 0;
    for (guint i = 0; i < m->allocations->len; i++) {
        struct allocation *b = m->allocations->pdata[i];
        b->seen = b->released = b->stop_sent = false;
        /* Whether its start was ever ordered, and whether it has ended since, only a report under our token tells. Sent
         * again it might run beside what was allocated in its place when its end was known but not yet written. */
        b->inherited = true;
        b->state = TASK_UNSEEN;
        b->stop_requested = b->job->state != JOB_QUEUED;
        b->grace_s = 0;
    }
    return true;
}

void machines_add_occupancy_sample(struct machine *m) {
    double c = 0, g = 0, r = 0;
    for (guint i = 0; i < m->allocations->len; i++) {
        const struct allocation *b = m->allocations->pdata[i];
        const struct job_spec *s = &b->job->spec;
        /* On a dear machine, work that could run on a cheap one is no pressure: it only fills what stands idle, and
         * makes way. Counted, it would rent dear machines for itself and hold them. */
        if (b->released || (!m->spot && s->allows_spot)) continue;
        c += s->vcpus;
        g += s->gpus;
        r += s->memory_gb;
    }
    const struct machine_type *f = m->type ? m->type : (m->type = machine_types_find(m->type_name));
    if (!f) return;
    double *row = m->occupancy.samples[m->occupancy.n_samples % MACHINE_OCCUPANCY_SAMPLES];
    row[0] = f->vcpus > 0 ? c / f->vcpus : 0;
    row[1] = f->memory_gb > 0 ? r / f->memory_gb : 0;
    row[2] = f->gpus > 0 ? g / f->gpus : 0;
    m->occupancy.n_samples++;
}

static void add_unregistered(int shard, const char *id, const char *address, const char *type_name, const char *site,
                             bool spot) {
    struct unregistered_machine *n = g_new0(struct unregistered_machine, 1);
    g_strlcpy(n->id, id, sizeof n->id);
    g_strlcpy(n->address, address, sizeof n->address);
    g_strlcpy(n->type_name, type_name, sizeof n->type_name);
    g_strlcpy(n->zone, site, sizeof n->zone);
    n->spot = spot;
    n->shard = shard;
    n->page = -1;
    n->created_at = clock_time_of_day();
    g_hash_table_replace(unregistered, n->id, n);
    events_publish(EVENT_SCHEDULE);
}

void machines_adopt(const char *id, const char *address, const char *type_name, const char *site, bool spot) {
    int k = machines_shard_of(id);
    if (machines_known(id) || !membership_owns(k)) return;
    log_info("machine %s: unregistered, adopting it into shard %d", id, k);
    add_unregistered(k, id, address, type_name, site, spot);
}

void machines_rented(int shard, const char *id, const char *type_name, const char *site, bool spot) {
    if (!machines_find(id)) add_unregistered(shard, id, "", type_name, site, spot);
}

void machines_returned(const char *id) {
    struct machine *m = g_hash_table_lookup(by_id, id);
    if (!m) return;
    m->retirement.released = true;
    release_all(m);
    events_publish(EVENT_SCHEDULE);
}

#define UNRECORDED_S 5.0 /* a page or a transfer between shards is in the mirror long before */

bool machines_unrecorded(const struct machine *m) {
    if (m->known || clock_seconds_since(m->unrecorded_since) < UNRECORDED_S ||
        g_hash_table_contains(unregistered, m->id))
        return false;
    for (guint i = 0; i < m->allocations->len; i++) {
        const struct allocation *b = m->allocations->pdata[i];
        int k = jobs_shard(b->job);
        if (!b->released && membership_owns(k) && clock_seconds_since(shard_states[k].since) > UNRECORDED_S)
            return true;
    }
    return false;
}

/* ---- values ---- */

/* What a page takes beside its entries, and an entry beside its names, at most: numbers, brackets and a few images. */
#define PAGE_BYTES 600
#define ENTRY_BYTES 72
#define ADDRESS_BYTES 22
#define PAGE_PART 0.92 /* of a value that a page may fill */
/* The same without images, which are left out where they don't fit: all that must have room under the next limit. */
#define NEXT_PAGE_BYTES 104
#define NEXT_ENTRY_BYTES 40

static void fill_add(struct page_fill *f, const char *id, bool kept) {
    f->present += (int)strlen(id) + ADDRESS_BYTES + ENTRY_BYTES;
    if (kept) f->next += (int)strlen(id) + ADDRESS_BYTES + NEXT_ENTRY_BYTES;
}

static bool limit_falls(void) { return cfg->next_value_kb < cfg->value_kb; }
static int page_bytes(double value_kb) { return (int)(value_kb * 1024 * PAGE_PART); }

static int next_page_room(void) {
    int names = NEXT_PAGE_BYTES;
    for (int i = 0; i < cfg->n_zones; i++) names += (int)strlen(cfg->zones[i]) + 3;
    return page_bytes(cfg->next_value_kb) - names;
}

static bool fill_fits(const struct page_fill *f) {
    return f->present <= page_bytes(cfg->value_kb) - PAGE_BYTES && (!limit_falls() || f->next <= next_page_room());
}

/* The page that a machine is on, or will be once this round is written. */
static int page_of(const struct machine *m) { return m->round.next_page >= 0 ? m->round.next_page : m->page; }

static void fill_pages(int k, struct page_fill *pages) {
    memset(pages, 0, MACHINE_PAGES_MAX * sizeof *pages);
    for (guint i = 0; i < of_shard[k]->len; i++) {
        const struct machine *m = of_shard[k]->pdata[i];
        int p = page_of(m);
        if (p >= 0 && p < MACHINE_PAGES_MAX) fill_add(&pages[p], m->id, !m->retirement.released);
    }
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, unregistered);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct unregistered_machine *c = v;
        if (c->shard == k && c->page >= 0 && c->page < MACHINE_PAGES_MAX) fill_add(&pages[c->page], c->id, true);
    }
}

void machines_page_fills(int k, struct shard_page_fills *fills) { fill_pages(k, fills->pages); }

int machines_page_fills_add(struct shard_page_fills *fills, const char *id) {
    for (int p = 0; p < MACHINE_PAGES_MAX; p++) {
        struct page_fill before = fills->pages[p];
        fill_add(&fills->pages[p], id, true);
        if (before.present == 0 || fill_fits(&fills->pages[p])) return p;
        fills->pages[p] = before;
    }
    return -1;
}

int machines_page_for(int k, const char *id) {
    struct shard_page_fills fills;
    machines_page_fills(k, &fills);
    return machines_page_fills_add(&fills, id);
}

void machines_oversized_pages(int k, bool *large) {
    memset(large, 0, MACHINE_PAGES_MAX * sizeof *large);
    if (!limit_falls()) return;
    struct page_fill pages[MACHINE_PAGES_MAX];
    fill_pages(k, pages);
    for (int p = 0; p < MACHINE_PAGES_MAX; p++) large[p] = pages[p].next > next_page_room();
}

bool machines_page_stale(int k, int page) { return stale[k][page]; }

static int index_of(cJSON *list, GHashTable *known, const char *name) {
    gpointer at;
    if (g_hash_table_lookup_extended(known, name, NULL, &at)) return GPOINTER_TO_INT(at);
    int n = (int)g_hash_table_size(known);
    cJSON_AddItemToArray(list, cJSON_CreateString(name));
    g_hash_table_insert(known, g_strdup(name), GINT_TO_POINTER(n));
    return n;
}

struct page_lists {
    cJSON *skus, *sites, *images;
    GHashTable *type_name, *site, *image;
    int images_most; /* of an entry */
};

#define ENTRY_IMAGES 6 /* for who takes the machine over: a few are enough */

static void add_entry(cJSON *list, struct page_lists *l, const char *id, const char *address, const char *type_name,
                      const char *site, int flags, int64_t fencing_token, double born, GHashTable *images) {
    char text[48] = "";
    cJSON *e = cJSON_CreateArray();
    cJSON_AddItemToArray(e, cJSON_CreateString(id));
    cJSON_AddItemToArray(e, cJSON_CreateString(address));
    cJSON_AddItemToArray(e, cJSON_CreateNumber(index_of(l->skus, l->type_name, type_name)));
    cJSON_AddItemToArray(e, cJSON_CreateNumber(index_of(l->sites, l->site, site)));
    cJSON_AddItemToArray(e, cJSON_CreateNumber(flags));
    cJSON_AddItemToArray(e, cJSON_CreateNumber((double)fencing_token));
    cJSON_AddItemToArray(e, cJSON_CreateNumber((double)(int64_t)born));
    if (images) {
        /* For who takes it over: a start where the image is needs no fetch. */
        GHashTableIter it;
        gpointer name;
        int n = 0;
        g_hash_table_iter_init(&it, images);
        while (g_hash_table_iter_next(&it, &name, NULL) && n < l->images_most) {
            if (strlen(name) > 24 || (g_hash_table_size(l->image) >= 16 && !g_hash_table_contains(l->image, name)))
                continue;
            size_t at = strlen(text);
            snprintf(text + at, sizeof text - at, "%s%d", n++ ? "," : "", index_of(l->images, l->image, name));
        }
    }
    cJSON_AddItemToArray(e, cJSON_CreateString(text));
    cJSON_AddItemToArray(list, e);
}

static cJSON *page_value(int k, int page, int images_most, int *count) {
    cJSON *o = cJSON_CreateObject(), *list = cJSON_CreateArray();
    struct page_lists l = {cJSON_AddArrayToObject(o, "sku"),
                           cJSON_AddArrayToObject(o, "site"),
                           cJSON_AddArrayToObject(o, "img"),
                           g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
                           g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
                           g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
                           images_most};
    cJSON_AddItemToObject(o, "m", list);
    *count = 0;
    for (guint i = 0; i < of_shard[k]->len; i++) {
        const struct machine *m = of_shard[k]->pdata[i];
        if (page_of(m) != page || m->round.leaves_page || m->retirement.released) continue;
        add_entry(list, &l, m->id, m->address, m->type_name, m->zone,
                  m->spot + (m->retirement.returning || m->retirement.return_wanted ? 2 : 0),
                  MAX(m->fencing_token, m->round.next_token), m->created_at, m->images);
        (*count)++;
    }
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, unregistered);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct unregistered_machine *c = v;
        if (c->shard != k || c->page != page) continue;
        add_entry(list, &l, c->id, c->address, c->type_name, c->zone, c->spot, 0, c->created_at, NULL);
        (*count)++;
    }
    g_hash_table_destroy(l.type_name);
    g_hash_table_destroy(l.site);
    g_hash_table_destroy(l.image);
    return o;
}

cJSON *machines_page_value(int k, int page, int *count) {
    cJSON *value = page_value(k, page, ENTRY_IMAGES, count);
    /* Images are only a help: they go before the page outgrows the next limit. */
    for (int images = ENTRY_IMAGES / 2; limit_falls() && images >= 0; images = images > 0 ? images / 2 : -1) {
        char *text = cJSON_PrintUnformatted(value);
        bool fits = strlen(text) <= (size_t)page_bytes(cfg->next_value_kb);
        free(text);
        if (fits) break;
        cJSON_Delete(value);
        value = page_value(k, page, images, count);
    }
    return value;
}

cJSON *machines_single_value(const struct machine *m, int shard, int64_t fencing_token) {
    cJSON *o = cJSON_CreateObject();
    cJSON_AddNumberToObject(o, "share", shard);
    cJSON_AddNumberToObject(o, "fence", (double)fencing_token);
    cJSON_AddStringToObject(o, "address", m->address);
    cJSON_AddStringToObject(o, "flavour", m->type_name);
    cJSON_AddStringToObject(o, "site", m->zone);
    cJSON_AddBoolToObject(o, "spot", m->spot);
    cJSON_AddNumberToObject(o, "born", (double)(int64_t)m->created_at);
    return o;
}

void machines_init(const struct settings *s) {
    cfg = s;
    by_id = g_hash_table_new(g_str_hash, g_str_equal);
    gone = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    unregistered = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    machines = g_ptr_array_new();
    for (int k = 0; k < SHARDS_MAX; k++) of_shard[k] = g_ptr_array_new();
    store_observe_prefix(STORE_PREFIX_MACHINE_PAGE, apply_page);
    store_observe_prefix(STORE_PREFIX_MACHINE, apply_single);
}
