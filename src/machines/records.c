#include "records.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "../events/events.h"
#include "../logging/logging.h"
#include "../schema_version/schema_version.h"
#include "codec.h"
#include "internal.h"
#include "page_assignment.h"
#include "page_migration.h"

#define IMAGES_PER_MACHINE 6 /* for who takes the machine over: a start where the image is cached needs no fetch */

/* ---- pages, as they are read ---- */

static void apply_entry(struct machine *machine, const struct machine_page *page, const struct machine_record *record) {
    if (*record->address && !machine->address[0]) g_strlcpy(machine->address, record->address, sizeof machine->address);
    machine->address_unrecorded = strcmp(machine->address, record->address) != 0;
    g_strlcpy(machine->type_name, record->type_name, sizeof machine->type_name);
    g_strlcpy(machine->zone, record->zone, sizeof machine->zone);
    machine->spot = record->spot;
    machine->retirement.returning = record->returning;
    machine->fencing_token = record->fencing_token;
    machine->created_at = record->created_at;
    machine_page_read_images(page, record, machine->images);
}

/* Two pages may name one machine: that of who rented it, and that of who adopted it meanwhile. The later record holds,
 * in whatever order they are read: once a controller that had read them anew took the machine for another's, left it
 * out of its page, and the others released what ran on it. */
static bool on_later_page(const char *id, int shard, int number, int64_t mod_revision) {
    const struct machine *machine = machines_find(id);
    return machine && machine->placement_revision > mod_revision &&
           (machine->shard != shard || machine->page != number);
}

/* Takes in a page's entries, and adds their machines to the set; false if an entry can't be read. */
static bool apply_entries(const struct machine_page *page, int shard, int number, int64_t mod_revision,
                          GHashTable *listed) {
    bool whole = true;
    const cJSON *entry;
    cJSON_ArrayForEach(entry, page->machines) {
        struct machine_record record;
        if (!machine_page_read_entry(page, entry, &record)) {
            whole = false;
            continue;
        }
        if (on_later_page(record.id, shard, number, mod_revision)) {
            machines_page_mark_stale(shard, number);
            continue;
        }
        struct machine *machine = machines_place(record.id, shard, number);
        machine->placement_revision = mod_revision;
        g_hash_table_add(listed, machine);
        apply_entry(machine, page, &record);
    }
    return whole;
}

static bool has_own_record(const struct machine *machine) {
    return store_key_revision(store_key_machine(machine->id).text) != 0;
}

/* Machines that the page named before and no longer does are released, unless they are on their way to another shard.
 */
static void remove_unlisted(int shard, int number, GHashTable *listed) {
    GPtrArray *machines = machines_of_shard(shard);
    for (guint i = machines->len; i-- > 0;) {
        struct machine *machine = machines->pdata[i];
        if (machine->page == number && !g_hash_table_contains(listed, machine) && !has_own_record(machine))
            machines_remove(machine);
    }
}

/* Reads K/N; false if there is no such page. */
static bool parse_page_key(const char *rest, int *shard, int *number) {
    const char *slash = strchr(rest, '/');
    if (!slash) return false;
    *shard = (int)g_ascii_strtoll(rest, NULL, 10);
    *number = (int)g_ascii_strtoll(slash + 1, NULL, 10);
    return *shard >= 0 && *shard < machines_settings->n_shards && *number >= 0 && *number < MACHINE_PAGES_MAX;
}

static void apply_page(const char *rest, const cJSON *data, int64_t mod_revision) {
    int shard, number;
    if (!parse_page_key(rest, &shard, &number)) return;
    machines_page_clear_stale(shard, number);
    /* A machine that a page no longer names is released. A page that can't be read proves nothing: taken for an empty
     * one, it would release what still runs. */
    struct machine_page page;
    bool readable = machine_page_read(data, &page) || !data;
    g_autoptr(GHashTable) listed = g_hash_table_new(g_direct_hash, g_direct_equal);
    bool whole = apply_entries(&page, shard, number, mod_revision, listed);
    if (whole && readable) {
        remove_unlisted(shard, number, listed);
    } else {
        log_error("fleet/%s: can't be read in full, its other machines stay on record", rest);
    }
}

/* ---- a machine's own record, as it is read ---- */

static void refuse_first_layout(const char *id) {
    /* The first layout kept allocations in records like this one. Reading half of it would start tasks twice. */
    if (!schema_version_store_unreadable())
        log_error("machine/%s has the first layout, which this version does not read: no shard is taken", id);
    schema_version_mark_store_unreadable();
}

static void place_single(const char *id, int shard, const struct machine_record *record, int64_t mod_revision) {
    struct machine *machine = machines_place(id, shard, -1);
    machine->placement_revision = mod_revision;
    machine->fencing_token = record->fencing_token;
    if (record->address && *record->address) g_strlcpy(machine->address, record->address, sizeof machine->address);
    if (record->type_name) g_strlcpy(machine->type_name, record->type_name, sizeof machine->type_name);
    if (record->zone) g_strlcpy(machine->zone, record->zone, sizeof machine->zone);
    machine->spot = record->spot;
    machine->retirement.returning = false;
    machine->created_at = record->created_at;
    events_publish(EVENT_SCHEDULE);
}

static void apply_single(const char *id, const cJSON *data, int64_t mod_revision) {
    /* As for pages: what a later record has shown holds, in whatever order they are read. A page read on its own, ahead
     * of the watch, was once undone by the transfer before it: machines that ran tasks were taken for released. */
    struct machine *machine = machines_find(id);
    if (machine && machine->placement_revision > mod_revision) return;
    if (!data) {
        if (machine && machine->page < 0) machines_remove(machine);
        return;
    }
    struct machine_record record;
    int64_t shard = 0;
    enum machine_single_result result = machine_single_read(data, &record, &shard);
    if (result == MACHINE_SINGLE_FIRST_LAYOUT) {
        refuse_first_layout(id);
        return;
    }
    if (result == MACHINE_SINGLE_MALFORMED || strlen(id) >= MACHINE_ID_SIZE || shard < 0 ||
        shard >= machines_settings->n_shards) {
        log_error("machine/%s: can't be read", id);
        return;
    }
    place_single(id, (int)shard, &record, mod_revision);
}

/* ---- values ---- */

static struct machine_record recorded(const struct machine *machine) {
    return (struct machine_record){
        .id = machine->id,
        .address = machine->address,
        .type_name = machine->type_name,
        .zone = machine->zone,
        .spot = machine->spot,
        .returning = machine->retirement.returning || machine->retirement.return_wanted,
        .fencing_token = MAX(machine->fencing_token, machine->round.next_token),
        .created_at = machine->created_at,
    };
}

static struct machine_record recorded_unregistered(const struct unregistered_machine *machine) {
    return (struct machine_record){
        .id = machine->id,
        .address = machine->address,
        .type_name = machine->type_name,
        .zone = machine->zone,
        .spot = machine->spot,
        .created_at = machine->created_at,
    };
}

static cJSON *page_value(int shard, int page, int images_per_machine, int *count) {
    struct machine_page_writer writer;
    machine_page_writer_begin(&writer, images_per_machine);
    *count = 0;
    GPtrArray *machines = machines_of_shard(shard);
    for (guint i = 0; i < machines->len; i++) {
        const struct machine *machine = machines->pdata[i];
        if (machines_page_of(machine) != page || machine->round.leaves_page || machine->retirement.released) continue;
        const struct machine_record record = recorded(machine);
        machine_page_writer_add(&writer, &record, machine->images);
        (*count)++;
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, machines_unregistered());
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct unregistered_machine *machine = value;
        if (machine->shard != shard || machine->page != page) continue;
        const struct machine_record record = recorded_unregistered(machine);
        machine_page_writer_add(&writer, &record, NULL);
        (*count)++;
    }
    return machine_page_writer_end(&writer);
}

static bool fits_next_limit(const cJSON *page) {
    char *text = cJSON_PrintUnformatted(page);
    bool fits = strlen(text) <= (size_t)machines_page_bytes_max(machines_settings->next_value_kb);
    free(text);
    return fits;
}

cJSON *machines_page_value(int shard, int page, int *count) {
    int images = IMAGES_PER_MACHINE;
    cJSON *value = page_value(shard, page, images, count);
    /* Images are only a help: they go before the page outgrows the next limit. */
    while (images > 0 && machines_page_limit_falls() && !fits_next_limit(value)) {
        images /= 2;
        cJSON_Delete(value);
        value = page_value(shard, page, images, count);
    }
    return value;
}

cJSON *machines_single_value(const struct machine *machine, int shard, int64_t fencing_token) {
    struct machine_record record = recorded(machine);
    record.fencing_token = fencing_token;
    return machine_single_write(&record, shard);
}

void machines_records_init(void) {
    store_observe_prefix(STORE_PREFIX_MACHINE_PAGE, apply_page);
    store_observe_prefix(STORE_PREFIX_MACHINE, apply_single);
}
