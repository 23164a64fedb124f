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

#define IMAGES_PER_MACHINE 6 /* recorded so that a new owner knows where a start needs no fetch */

/* ---- reading pages ---- */

static void apply_entry(struct machine *machine, const struct machine_page *page, const struct machine_record *record) {
    if (*record->address && !machine->address[0]) g_strlcpy(machine->address, record->address, sizeof machine->address);
    machine->address_unrecorded = strcmp(machine->address, record->address) != 0;
    g_strlcpy(machine->type_name, record->type_name, sizeof machine->type_name);
    g_strlcpy(machine->zone, record->zone, sizeof machine->zone);
    machine->spot = record->spot;
    machine->retirement.returning = record->returning;
    machine->fencing_token = record->fencing_token;
    machine->last_token = record->last_token;
    machine->created_at = record->created_at;
    machine_page_read_images(page, record, machine->images);
}

/* Tells whether a record with a later mod revision places the machine elsewhere. Two pages may list the same machine: a
 * page of the controller that rented it, and a page of a controller that adopted it meanwhile. The later record takes
 * precedence, whatever the order in which they are read. Otherwise a controller that reads both again may assign the
 * machine to the other shard and leave it out of its own page, and other controllers then release the tasks that run on
 * the machine. */
static bool has_later_placement(const char *id, int shard, int page_number, int64_t mod_revision) {
    const struct machine *machine = machines_find(id);
    return machine && machine->placement_revision > mod_revision &&
           (machine->shard != shard || machine->page != page_number);
}

/* Applies the entries of a page and adds the machines that are now on the page to the set. Returns false if an entry is
 * malformed. */
static bool apply_entries(const struct machine_page *page, int shard, int page_number, int64_t mod_revision,
                          GHashTable *listed) {
    bool well_formed = true;
    const cJSON *entry;
    cJSON_ArrayForEach(entry, page->machines) {
        struct machine_record record;
        if (!machine_page_read_entry(page, entry, &record)) {
            well_formed = false;
            continue;
        }
        if (has_later_placement(record.id, shard, page_number, mod_revision)) {
            machines_page_mark_stale(shard, page_number);
            continue;
        }
        struct machine *machine = machines_set_location(record.id, shard, page_number);
        machine->placement_revision = mod_revision;
        g_hash_table_add(listed, machine);
        apply_entry(machine, page, &record);
    }
    return well_formed;
}

static bool has_transfer_record(const struct machine *machine) {
    return store_key_revision(store_key_machine(machine->id).text) != 0;
}

/* Removes the machines that the page no longer lists, unless they are being transferred to another shard. */
static void remove_unlisted(int shard, int page_number, GHashTable *listed) {
    GPtrArray *machines = machines_of_shard(shard);
    for (guint i = machines->len; i-- > 0;) {
        struct machine *machine = machines->pdata[i];
        if (machine->page == page_number && !g_hash_table_contains(listed, machine) && !has_transfer_record(machine))
            machines_remove(machine);
    }
}

/* Parses SHARD/PAGE. Returns false if it is malformed or out of range. */
static bool parse_page_key(const char *key_suffix, int *shard, int *page_number) {
    const char *slash = strchr(key_suffix, '/');
    if (!slash) return false;
    *shard = (int)g_ascii_strtoll(key_suffix, NULL, 10);
    *page_number = (int)g_ascii_strtoll(slash + 1, NULL, 10);
    return *shard >= 0 && *shard < machines_settings->n_shards && *page_number >= 0 && *page_number < MACHINE_PAGES_MAX;
}

static void apply_page(const char *key_suffix, const cJSON *data, int64_t mod_revision) {
    int shard, page_number;
    if (!parse_page_key(key_suffix, &shard, &page_number)) return;
    machines_page_clear_stale(shard, page_number);
    /* A page that is not well-formed does not prove that a machine was returned. Treated as empty, it would release
     * tasks that still run. */
    struct machine_page page;
    bool readable = machine_page_read(data, &page) || !data;
    g_autoptr(GHashTable) listed = g_hash_table_new(g_direct_hash, g_direct_equal);
    bool well_formed = apply_entries(&page, shard, page_number, mod_revision, listed);
    if (well_formed && readable) {
        remove_unlisted(shard, page_number, listed);
    } else {
        log_error("fleet/%s: can't be read in full, its other machines stay on record", key_suffix);
    }
}

/* ---- reading transfer records ---- */

static void refuse_first_layout(const char *id) {
    /* In the first layout these records contained allocations. If they were ignored, tasks would be started twice. */
    if (!schema_version_store_unreadable())
        log_error("machine/%s has the first layout, which this version does not read: no shard is taken", id);
    schema_version_mark_store_unreadable();
}

static void apply_transfer_placement(const char *id, int shard, const struct machine_record *record,
                                     int64_t mod_revision) {
    struct machine *machine = machines_set_location(id, shard, -1);
    machine->placement_revision = mod_revision;
    machine->fencing_token = record->fencing_token;
    machine->last_token = record->last_token;
    if (record->address && *record->address) g_strlcpy(machine->address, record->address, sizeof machine->address);
    if (record->type_name) g_strlcpy(machine->type_name, record->type_name, sizeof machine->type_name);
    if (record->zone) g_strlcpy(machine->zone, record->zone, sizeof machine->zone);
    machine->spot = record->spot;
    machine->retirement.returning = false;
    machine->created_at = record->created_at;
    events_publish(EVENT_SCHEDULE);
}

static void apply_transfer(const char *id, const cJSON *data, int64_t mod_revision) {
    /* As for pages, the later record takes precedence, whatever the order in which they are read. Otherwise, after a
     * page was read ahead of the watch, an older transfer record from the watch would undo it, and running tasks would
     * be released. */
    struct machine *machine = machines_find(id);
    if (machine && machine->placement_revision > mod_revision) return;
    if (!data) {
        if (machine && machine->page < 0) machines_remove(machine);
        return;
    }
    struct machine_record record;
    int64_t shard = 0;
    enum machine_transfer_result result = machine_transfer_read(data, &record, &shard);
    if (result == MACHINE_TRANSFER_FIRST_LAYOUT) {
        refuse_first_layout(id);
        return;
    }
    if (result == MACHINE_TRANSFER_MALFORMED || strlen(id) >= MACHINE_ID_SIZE || shard < 0 ||
        shard >= machines_settings->n_shards) {
        log_error("machine/%s: can't be read", id);
        return;
    }
    apply_transfer_placement(id, (int)shard, &record, mod_revision);
}

/* ---- writing ---- */

static struct machine_record record_of_machine(const struct machine *machine) {
    bool is_raised = machine->round.next_fencing_token > machine->fencing_token;
    struct token_range raised = token_range_of_grant(machine->round.next_fencing_token);
    return (struct machine_record){
        .id = machine->id,
        .address = machine->address,
        .type_name = machine->type_name,
        .zone = machine->zone,
        .spot = machine->spot,
        .returning = machine->retirement.returning || machine->retirement.return_wanted,
        .fencing_token = is_raised ? raised.first : machine->fencing_token,
        .last_token = is_raised ? raised.last : machine->last_token,
        .created_at = machine->created_at,
    };
}

static struct machine_record record_of_unregistered(const struct unregistered_machine *machine) {
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
        if (machines_planned_page(machine) != page || machine->round.leaves_page || machine->retirement.released)
            continue;
        const struct machine_record record = record_of_machine(machine);
        machine_page_writer_add(&writer, &record, machine->images);
        (*count)++;
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, machines_unregistered());
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct unregistered_machine *machine = value;
        if (machine->shard != shard || machine->page != page) continue;
        const struct machine_record record = record_of_unregistered(machine);
        machine_page_writer_add(&writer, &record, NULL);
        (*count)++;
    }
    return machine_page_writer_end(&writer);
}

static bool fits_next_limit(const cJSON *page) {
    char *text = cJSON_PrintUnformatted(page);
    bool fits = strlen(text) <= (size_t)machines_page_max_bytes(machines_settings->next_value_max_kb);
    free(text);
    return fits;
}

cJSON *machines_page_value(int shard, int page, int *count) {
    int images = IMAGES_PER_MACHINE;
    cJSON *value = page_value(shard, page, images, count);
    /* Images only save fetches, so a page that would exceed the next limit has fewer or none. */
    while (images > 0 && machines_page_limit_decreases() && !fits_next_limit(value)) {
        images /= 2;
        cJSON_Delete(value);
        value = page_value(shard, page, images, count);
    }
    return value;
}

cJSON *machines_transfer_value(const struct machine *machine, int shard, struct token_range tokens) {
    struct machine_record record = record_of_machine(machine);
    record.fencing_token = tokens.first;
    record.last_token = tokens.last;
    return machine_transfer_write(&record, shard);
}

void machines_records_init(void) {
    store_observe_prefix(STORE_PREFIX_MACHINE_PAGE, apply_page);
    store_observe_prefix(STORE_PREFIX_MACHINE, apply_transfer);
}
