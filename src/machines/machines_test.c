/* Tests the records of machines: pages, transfers between shards, and malformed records. */
#include "machines/machines.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "../../tests/standin/test_settings.h"
#include "allocations/allocations.h"
#include "cloud/cloud.h"
#include "dependencies/dependencies.h"
#include "json/json.h"
#include "logging/logging.h"
#include "machine_types/machine_types.h"
#include "machines/page_assignment.h"
#include "machines/records.h"
#include "membership/membership.h"
#include "placement/placement.h"
#include "priority/priority.h"
#include "scheduler/scheduler.h"
#include "schema_version/schema_version.h"
#include "workers/workers.h"

static struct settings settings;
static int64_t mod_revision = 10;

/* Applies a record at the next mod revision. */
static void put(const char *key, const cJSON *value) {
    store_lock();
    store_apply(key, value, ++mod_revision);
    store_unlock();
}

/* Applies a record like put and frees its value. */
static void put_and_free(const char *key, cJSON *value) {
    put(key, value);
    cJSON_Delete(value);
}

/* Builds the value of a page from the machines' working values of the round, and applies it. */
static void put_page(int shard, int page) {
    int count;
    put_and_free(store_key_machine_page(shard, page).text, machines_page_value(shard, page, &count));
}

/* Applies a record at the given mod revision. Called with store_lock held. */
static void apply_at_revision(const char *key, const char *json, int64_t revision) {
    cJSON *value = cJSON_Parse(json);
    store_apply(key, value, revision);
    cJSON_Delete(value);
}

static int page_length(const cJSON *page) { return cJSON_GetArraySize(cJSON_GetObjectItem(page, "m")); }

static int page_with_room(int shard, const char *id) {
    struct shard_page_usage usage;
    machines_measure_pages(shard, &usage);
    return machines_assign_page(&usage, id);
}

enum { FLEET_SIZE = 700 };

static void rent_fleet(void) {
    char id[32];
    for (int i = 0; i < FLEET_SIZE; i++) {
        g_snprintf(id, sizeof id, "i-%06d", i);
        machines_add_rented(1, id, "g48", i % 2 ? "za" : "zb", i % 3 == 0);
    }
}

static void assign_pages(bool used[MACHINE_PAGES_MAX]) {
    struct shard_page_usage usage;
    machines_measure_pages(1, &usage);
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, machines_unregistered());
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct unregistered_machine *machine = value;
        machine->page = machines_assign_page(&usage, machine->id);
        assert_in_range(machine->page, 0, MACHINE_PAGES_MAX - 1);
        used[machine->page] = true;
    }
}

/* Writes a large fleet to pages. Every page must stay within the limit for a value, all machines must be read back, and
 * a returned machine must stay removed. */
static void large_fleet_fits_its_pages_and_is_read_back(void **state) {
    (void)state;
    bool used[MACHINE_PAGES_MAX] = {false};
    rent_fleet();
    assign_pages(used);
    cJSON *values[MACHINE_PAGES_MAX] = {NULL};
    int total = 0, pages_used = 0, count;
    for (int page = 0; page < MACHINE_PAGES_MAX; page++) {
        if (!used[page]) continue;
        values[page] = machines_page_value(1, page, &count);
        char *text = cJSON_PrintUnformatted(values[page]);
        assert_true(strlen(text) <= settings.value_max_kb * 1024);
        free(text);
        total += count;
        pages_used++;
    }
    assert_int_equal(total, FLEET_SIZE);
    assert_true(pages_used < FLEET_SIZE / 20);
    for (int page = 0; page < MACHINE_PAGES_MAX; page++) {
        if (values[page]) put_and_free(store_key_machine_page(1, page).text, values[page]);
    }
    assert_int_equal(g_hash_table_size(machines_unregistered()), 0);
    assert_int_equal(machines_of_shard(1)->len, FLEET_SIZE);
    struct machine *machine = machines_find("i-000003");
    assert_true(machine->spot);
    assert_string_equal(machine->zone, "za");
    assert_string_equal(machine->type_name, "g48");
    /* The returned machine is left out of its page. Its id stays known, so that an outdated list does not add it again.
     */
    machine->round.next_page = -1;
    machines_mark_returned("i-000003");
    put_page(1, machine->page);
    assert_null(machines_find("i-000003"));
    assert_true(machines_is_known_id("i-000003"));
    assert_int_equal(machines_of_shard(1)->len, FLEET_SIZE - 1);
}

/* Transfers a machine to another shard: one transaction moves it from its page to a transfer record, and the other
 * shard's owner then writes it to a page. */
static void transfer_is_applied_in_either_order(void **state) {
    (void)state;
    struct machine *machine = machines_find("i-000004");
    int page = machine->page, count;
    const struct store_key key = store_key_machine_page(1, page);
    /* The watch may deliver a transaction's changes in any order. Order 0: the transfer record first; 1: the page. */
    for (int order = 0; order < 2; order++) {
        machine->round.leaves_page = true;
        cJSON *value = machines_page_value(1, page, &count),
              *transfer_record = machines_transfer_value(machine, 0, token_range_of_grant(77));
        if (order == 0) put("machine/i-000004", transfer_record);
        put(key.text, value);
        if (order == 1) put("machine/i-000004", transfer_record);
        cJSON_Delete(value);
        cJSON_Delete(transfer_record);
        machine = machines_find("i-000004");
        assert_non_null(machine);
        assert_int_equal(machine->shard, 0);
        assert_int_equal(machine->page, -1);
        assert_int_equal(machine->fencing_token, 77);
        machine->round.next_page = page_with_room(0, machine->id);
        value = machines_page_value(0, machine->round.next_page, &count);
        assert_int_equal(page_length(value), 1);
        put("fleet/0/0", value);
        put("machine/i-000004", NULL);
        cJSON_Delete(value);
        machine = machines_find("i-000004");
        assert_non_null(machine);
        assert_int_equal(machine->page, 0);
        assert_int_equal(machine->fencing_token, 77);
        /* Transfers the machine back. */
        machine->round.leaves_page = true;
        machine->round.next_page = -1;
        put_and_free("machine/i-000004", machines_transfer_value(machine, 1, token_range_of_grant(78)));
        put("fleet/0/0", NULL);
        machine = machines_find("i-000004");
        machine->round.leaves_page = false;
        machine->round.next_page = page;
        put_page(1, page);
        put("machine/i-000004", NULL);
        machine = machines_find("i-000004");
        assert_int_equal(machine->shard, 1);
        machine->round.next_page = -1;
    }
}

/* A record of the first layout marks the store as unreadable, and no machine is read from it. */
static void first_layout_marks_the_store_unreadable(void **state) {
    (void)state;
    assert_false(schema_version_store_unreadable());
    put_and_free("machine/i-900000",
                 cJSON_Parse("{\"share\":0,\"fence\":0,\"address\":\"\",\"flavour\":\"g\",\"site\":\"za\","
                             "\"b\":[[\"req-10001\",0,5]]}"));
    assert_true(schema_version_store_unreadable());
    assert_null(machines_find("i-900000"));
}

/* Two pages list a machine, because one controller rented it and another adopted it. The later record takes precedence,
 * whatever the order in which they are read (0: the older page first; 1: the later page first), and removing the
 * machine from the older page must not release its tasks. */
static void later_page_takes_precedence_if_two_list_a_machine(void **state) {
    (void)state;
    for (int order = 0; order < 2; order++) {
        char page_json[160], allocations_json[64];
        const char *id = order ? "i-960001" : "i-960000";
        int64_t revision = 100000 + order * 1000;
        g_snprintf(page_json, sizeof page_json,
                   "{\"sku\":[\"g\"],\"site\":[\"za\"],\"m\":[[\"%s\",\"\",0,0,0,0,1,\"\"]]}", id);
        g_snprintf(allocations_json, sizeof allocations_json, "{\"f\":5,\"b\":\"0@%s+0\"}", id);
        store_lock();
        apply_at_revision(order ? "run/req-96001/0" : "run/req-96000/0", allocations_json, revision);
        apply_at_revision(order ? "fleet/0/201" : "fleet/1/200", page_json, order ? revision + 20 : revision + 10);
        apply_at_revision(order ? "fleet/1/201" : "fleet/0/200", page_json, order ? revision + 10 : revision + 20);
        struct machine *machine = machines_find(id);
        assert_non_null(machine);
        assert_int_equal(machine->shard, 0);
        assert_int_equal(machine->allocations->len, 1);
        apply_at_revision(order ? "fleet/1/201" : "fleet/1/200", "{\"sku\":[],\"site\":[],\"m\":[]}", revision + 30);
        machine = machines_find(id);
        bool stays = machine && machine->shard == 0 && !((struct allocation *)machine->allocations->pdata[0])->released;
        store_unlock();
        assert_true(stays);
    }
}

/* A machine is transferred between shards. Its new page is read ahead of the watch, which then delivers the older
 * changes. They must not undo the transfer. */
static void older_changes_do_not_undo_a_page_read_ahead(void **state) {
    (void)state;
    cJSON *page = cJSON_Parse("{\"sku\":[\"g\"],\"site\":[\"za\"],\"m\":[[\"i-009005\",\"\",0,0,0,0,1,\"\"]]}"),
          *empty_page = cJSON_Parse("{\"sku\":[\"g\"],\"site\":[\"za\"],\"m\":[]}"),
          *transfer = cJSON_Parse("{\"share\":1,\"fence\":3,\"address\":\"\",\"flavour\":\"g\",\"site\":\"za\"}");
    int64_t revision = mod_revision += 10;
    store_lock();
    store_apply("fleet/0/98", page, revision);
    store_apply("fleet/1/98", page, revision + 5); /* the newest revision, read ahead of the watch */
    store_apply("fleet/0/98", empty_page, revision + 2);
    store_apply("machine/i-009005", transfer, revision + 2);
    store_apply("fleet/1/98", page, revision + 4);
    store_apply("machine/i-009005", NULL, revision + 4);
    struct machine *machine = machines_find("i-009005");
    assert_non_null(machine);
    assert_int_equal(machine->shard, 1);
    assert_int_equal(machine->page, 98);
    store_apply("fleet/1/98", NULL, revision + 6);
    assert_null(machines_find("i-009005"));
    store_unlock();
    mod_revision += 10;
    cJSON_Delete(page);
    cJSON_Delete(empty_page);
    cJSON_Delete(transfer);
}

/* A page that is not well-formed must not remove machines: the tasks that run there would be started again. */
static void unreadable_page_removes_no_machine(void **state) {
    (void)state;
    static const struct {
        const char *description, *page;
        bool stays;
    } rows[] = {
        {"an entry that is not an array", "{\"sku\":[\"g\"],\"site\":[\"za\"],\"m\":[7]}", true},
        {"an entry without an id", "{\"sku\":[\"g\"],\"site\":[\"za\"],\"m\":[[null,\"\",0,0,0,0,1,\"\"]]}", true},
        {"no list of entries", "{\"sku\":[\"g\"],\"site\":[\"za\"]}", true},
        {"not an object", "\"m\"", true},
        {"a well-formed page that lists only another machine",
         "{\"sku\":[\"g\"],\"site\":[\"za\"],\"m\":[[\"i-009002\",\"\",0,0,0,0,1,\"\"]]}", false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        cJSON *well_formed_page =
            cJSON_Parse("{\"sku\":[\"g\"],\"site\":[\"za\"],\"m\":[[\"i-009001\",\"\",0,0,0,0,1,\"\"]]}");
        cJSON *page = cJSON_Parse(rows[i].page);
        put("fleet/0/99", well_formed_page);
        assert_non_null(machines_find("i-009001"));
        put("fleet/0/99", page);
        bool stays = machines_find("i-009001") != NULL;
        if (stays != rows[i].stays) fail_msg("%s: machine stays: %d", rows[i].description, stays);
        cJSON_Delete(well_formed_page);
        cJSON_Delete(page);
    }
    put("fleet/0/99", NULL);
}

int main(void) {
    if (!settings_parse(TEST_SETTINGS_JSON, "f.json", &settings, NULL)) return 1;
    logging_init("fatal");
    store_init(&settings);
    membership_init(&settings);
    jobs_init(&settings);
    dependencies_init(&settings);
    schema_version_init(&settings);
    machine_types_init();
    cloud_init(&settings);
    machines_init(&settings);
    allocations_init(&settings);
    priority_init(&settings);
    placement_init(&settings);
    scheduler_init(&settings);
    workers_init(&settings);
    const struct CMUnitTest tests[] = {cmocka_unit_test(large_fleet_fits_its_pages_and_is_read_back),
                                       cmocka_unit_test(transfer_is_applied_in_either_order),
                                       cmocka_unit_test(later_page_takes_precedence_if_two_list_a_machine),
                                       cmocka_unit_test(older_changes_do_not_undo_a_page_read_ahead),
                                       cmocka_unit_test(unreadable_page_removes_no_machine),
                                       cmocka_unit_test(first_layout_marks_the_store_unreadable)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
