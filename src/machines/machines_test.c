#include "machines/machines.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "../../tests/standin/site.h"
#include "allocations/allocations.h"
#include "cloud/cloud.h"
#include "dependencies/dependencies.h"
#include "json/json.h"
#include "logging/logging.h"
#include "machine_types/machine_types.h"
#include "membership/membership.h"
#include "placement/placement.h"
#include "priority/priority.h"
#include "scheduler/scheduler.h"
#include "schema_version/schema_version.h"
#include "workers/workers.h"

static struct settings cfg;
static int64_t mod_revision = 10;

static void put(const char *key, const cJSON *x) {
    store_lock();
    store_apply(key, x, ++mod_revision);
    store_unlock();
}

static int page_len(const cJSON *page) { return cJSON_GetArraySize(cJSON_GetObjectItem(page, "m")); }

/* A large fleet on pages: every value stays within its limit, all is read back, and a machine that leaves its page with
 * no record of its own is gone for good. */
static void pages(void **state) {
    (void)state;
    enum { FLEET = 700 };
    char id[32], key[64];
    for (int i = 0; i < FLEET; i++) {
        g_snprintf(id, sizeof id, "i-%06d", i);
        machines_rented(1, id, "g48", i % 2 ? "za" : "zb", i % 3 == 0);
    }
    GHashTableIter it;
    gpointer v;
    uint8_t used[256] = {0};
    g_hash_table_iter_init(&it, machines_unregistered());
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct unregistered_machine *n = v;
        n->page = machines_page_for(1, n->id);
        assert_in_range(n->page, 0, 255);
        used[n->page] = 1;
    }
    cJSON *values[256] = {NULL};
    int total = 0, pages_used = 0, n;
    for (int p = 0; p < 256; p++) {
        if (!used[p]) continue;
        values[p] = machines_page_value(1, p, &n);
        char *text = cJSON_PrintUnformatted(values[p]);
        assert_true(strlen(text) <= cfg.value_kb * 1024);
        free(text);
        total += n;
        pages_used++;
    }
    assert_int_equal(total, FLEET);
    assert_true(pages_used < FLEET / 20);
    for (int p = 0; p < 256; p++) {
        if (!values[p]) continue;
        g_snprintf(key, sizeof key, "fleet/1/%d", p);
        put(key, values[p]);
        cJSON_Delete(values[p]);
    }
    assert_int_equal(g_hash_table_size(machines_unregistered()), 0);
    assert_int_equal(machines_of_shard(1)->len, FLEET);
    struct machine *m = machines_find("i-000003");
    assert_true(m->spot);
    assert_string_equal(m->zone, "za");
    assert_string_equal(m->type_name, "g48");
    /* Returned: off its page, and a late copy or a stale list does not bring it back. */
    m->round.next_page = -1;
    machines_returned("i-000003");
    int page = m->page;
    cJSON *x = machines_page_value(1, page, &n);
    g_snprintf(key, sizeof key, "fleet/1/%d", page);
    put(key, x);
    cJSON_Delete(x);
    assert_null(machines_find("i-000003"));
    assert_true(machines_known("i-000003"));
    assert_int_equal(machines_of_shard(1)->len, FLEET - 1);
}

/* From one shard to another: off its page and into a record of its own at once, then onto the other's page. */
static void passes(void **state) {
    (void)state;
    struct machine *m = machines_find("i-000004");
    int page = m->page, n;
    char key[64];
    for (int order = 0; order < 2; order++) { /* the watch may bring one transaction's changes in either order */
        m->round.leaves_page = true;
        cJSON *x = machines_page_value(1, page, &n), *single = machines_single_value(m, 0, 77);
        g_snprintf(key, sizeof key, "fleet/1/%d", page);
        if (order == 0) put("machine/i-000004", single);
        put(key, x);
        if (order == 1) put("machine/i-000004", single);
        cJSON_Delete(x);
        cJSON_Delete(single);
        m = machines_find("i-000004");
        assert_non_null(m);
        assert_int_equal(m->shard, 0);
        assert_int_equal(m->page, -1);
        assert_int_equal(m->fencing_token, 77);
        m->round.next_page = machines_page_for(0, m->id);
        x = machines_page_value(0, m->round.next_page, &n);
        assert_int_equal(page_len(x), 1);
        put("fleet/0/0", x);
        put("machine/i-000004", NULL);
        cJSON_Delete(x);
        m = machines_find("i-000004");
        assert_non_null(m);
        assert_int_equal(m->page, 0);
        assert_int_equal(m->fencing_token, 77);
        /* and back, for the other order */
        m->round.leaves_page = true;
        m->round.next_page = -1;
        single = machines_single_value(m, 1, 78);
        put("machine/i-000004", single);
        cJSON_Delete(single);
        put("fleet/0/0", NULL);
        m = machines_find("i-000004");
        m->round.leaves_page = false;
        m->round.next_page = page;
        x = machines_page_value(1, page, &n);
        g_snprintf(key, sizeof key, "fleet/1/%d", page);
        put(key, x);
        put("machine/i-000004", NULL);
        cJSON_Delete(x);
        m = machines_find("i-000004");
        assert_int_equal(m->shard, 1);
        m->round.next_page = -1;
    }
}

/* Records of the first layout are refused as a whole, not half read. */
static void first_layout(void **state) {
    (void)state;
    assert_false(schema_version_store_unreadable());
    cJSON *x = cJSON_Parse(
        "{\"share\":0,\"fence\":0,\"address\":\"\",\"flavour\":\"g\",\"site\":\"za\",\"b\":[[\"req-10001\",0,5]]}");
    put("machine/i-900000", x);
    cJSON_Delete(x);
    assert_true(schema_version_store_unreadable());
    assert_null(machines_find("i-900000"));
}

static void apply(const char *key, const char *json, int64_t at) {
    cJSON *x = cJSON_Parse(json);
    store_apply(key, x, at);
    cJSON_Delete(x);
}

/* One machine on two pages: who rented it and who heard of it as an unregistered one have both recorded it. The later
 * record holds, in whatever order they are read, and the other's loss of it proves nothing about its tasks. */
static void recorded_twice(void **state) {
    (void)state;
    for (int order = 0; order < 2; order++) {
        char one[160], run[64];
        const char *id = order ? "i-960001" : "i-960000";
        int64_t at = 100000 + order * 1000;
        g_snprintf(one, sizeof one, "{\"sku\":[\"g\"],\"site\":[\"za\"],\"m\":[[\"%s\",\"\",0,0,0,0,1,\"\"]]}", id);
        g_snprintf(run, sizeof run, "{\"f\":5,\"b\":\"0@%s+0\"}", id);
        store_lock();
        apply(order ? "run/req-96001/0" : "run/req-96000/0", run, at);
        apply(order ? "fleet/0/201" : "fleet/1/200", one, order ? at + 20 : at + 10);
        apply(order ? "fleet/1/201" : "fleet/0/200", one, order ? at + 10 : at + 20);
        struct machine *m = machines_find(id);
        assert_non_null(m);
        assert_int_equal(m->shard, 0);
        assert_int_equal(m->allocations->len, 1);
        apply(order ? "fleet/1/201" : "fleet/1/200", "{\"sku\":[],\"site\":[],\"m\":[]}", at + 30);
        m = machines_find(id);
        bool stays = m && m->shard == 0 && !((struct allocation *)m->allocations->pdata[0])->released;
        store_unlock();
        assert_true(stays);
    }
}

/* A machine is transferred between shards, and its new page is read ahead of the watch, which then tells of the
 * transfer. */
static void read_ahead(void **state) {
    (void)state;
    cJSON *page = cJSON_Parse("{\"sku\":[\"g\"],\"site\":[\"za\"],\"m\":[[\"i-009005\",\"\",0,0,0,0,1,\"\"]]}"),
          *none = cJSON_Parse("{\"sku\":[\"g\"],\"site\":[\"za\"],\"m\":[]}"),
          *transfer = cJSON_Parse("{\"share\":1,\"fence\":3,\"address\":\"\",\"flavour\":\"g\",\"site\":\"za\"}");
    int64_t at = mod_revision += 10;
    store_lock();
    store_apply("fleet/0/98", page, at);
    store_apply("fleet/1/98", page, at + 5); /* the newest, read on its own */
    store_apply("fleet/0/98", none, at + 2);
    store_apply("machine/i-009005", transfer, at + 2);
    store_apply("fleet/1/98", page, at + 4);
    store_apply("machine/i-009005", NULL, at + 4);
    struct machine *m = machines_find("i-009005");
    assert_non_null(m);
    assert_int_equal(m->shard, 1);
    assert_int_equal(m->page, 98);
    store_apply("fleet/1/98", NULL, at + 6);
    assert_null(machines_find("i-009005"));
    store_unlock();
    mod_revision += 10;
    cJSON_Delete(page);
    cJSON_Delete(none);
    cJSON_Delete(transfer);
}

/* A page that can't be read in full takes nobody off the record: what runs there would be started again. */
static void unreadable(void **state) {
    (void)state;
    static const struct {
        const char *what, *page;
        bool stays;
    } rows[] = {
        {"an entry that is no list", "{\"sku\":[\"g\"],\"site\":[\"za\"],\"m\":[7]}", true},
        {"an entry without a name", "{\"sku\":[\"g\"],\"site\":[\"za\"],\"m\":[[null,\"\",0,0,0,0,1,\"\"]]}", true},
        {"no list at all", "{\"sku\":[\"g\"],\"site\":[\"za\"]}", true},
        {"not an object", "\"m\"", true},
        {"a page that names another only",
         "{\"sku\":[\"g\"],\"site\":[\"za\"],\"m\":[[\"i-009002\",\"\",0,0,0,0,1,\"\"]]}", false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        cJSON *one = cJSON_Parse("{\"sku\":[\"g\"],\"site\":[\"za\"],\"m\":[[\"i-009001\",\"\",0,0,0,0,1,\"\"]]}");
        cJSON *page = cJSON_Parse(rows[i].page);
        put("fleet/0/99", one);
        assert_non_null(machines_find("i-009001"));
        put("fleet/0/99", page);
        bool stays = machines_find("i-009001") != NULL;
        if (stays != rows[i].stays) fail_msg("%s: %d", rows[i].what, stays);
        cJSON_Delete(one);
        cJSON_Delete(page);
    }
    put("fleet/0/99", NULL);
}

int main(void) {
    char err[256];
    if (!settings_parse(SITE_JSON, "f.json", &cfg, err, sizeof err)) return 1;
    logging_init("fatal");
    store_init(&cfg);
    membership_init(&cfg);
    jobs_init(&cfg);
    dependencies_init(&cfg);
    schema_version_init(&cfg);
    machine_types_init();
    cloud_init(&cfg);
    machines_init(&cfg);
    allocations_init(&cfg);
    priority_init(&cfg);
    placement_init(&cfg);
    scheduler_init(&cfg);
    workers_init(&cfg);
    const struct CMUnitTest tests[] = {cmocka_unit_test(pages),          cmocka_unit_test(passes),
                                       cmocka_unit_test(recorded_twice), cmocka_unit_test(read_ahead),
                                       cmocka_unit_test(unreadable),     cmocka_unit_test(first_layout)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
