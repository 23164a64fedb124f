#include "allocations/allocations.h"

#include <glib.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "../../tests/standin/site.h"
#include "dependencies/dependencies.h"
#include "json/json.h"
#include "membership/membership.h"
#include "placement/placement.h"
#include "priority/priority.h"
#include "scheduler/scheduler.h"
#include "schema_version/schema_version.h"
#include "workers/workers.h"

static struct settings cfg;
static int64_t mod_revision = 10;

static void put(const char *key, const char *json) {
    cJSON *x = json ? cJSON_Parse(json) : NULL;
    assert_true(!json || x);
    store_lock();
    store_apply(key, x, ++mod_revision);
    store_unlock();
    cJSON_Delete(x);
}

static void entries(void **state) {
    (void)state;
    static const struct {
        const char *text;
        int n; /* entries read before the end or the fault */
        int task;
        const char *machine;
        int64_t attempt; /* of the last one read */
    } rows[] = {
        {"", 0, 0, "", 0},
        {"0@i-1+0", 1, 0, "i-1", 100},
        {"3@i-000231+0 17@i-2+1048576", 2, 17, "i-2", 1048676},
        {"3@i-1+2 x", 1, 3, "i-1", 102},
        {"3@+2", 0, 0, "", 0},
        {"3@i-1", 0, 0, "", 0},
        {"3@i-1+", 0, 0, "", 0},
        {"3@i-1+-4", 0, 0, "", 0},
        {"100000@i-1+0", 0, 0, "", 0},
        {"1@a-name-that-is-longer-than-any-name-that-a-machine-may-have-in-this-cloud+0", 0, 0, "", 0},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        const char *p = rows[i].text;
        char machine[64] = "";
        int task = 0, n = 0;
        int64_t attempt = 0;
        while (allocations_parse_entry(&p, 100, &task, machine, sizeof machine, &attempt)) n++;
        if (n != rows[i].n) fail_msg("'%s': %d entries", rows[i].text, n);
        if (n == 0) continue;
        assert_int_equal(task, rows[i].task);
        assert_string_equal(machine, rows[i].machine);
        assert_int_equal(attempt, rows[i].attempt);
    }
}

#define JOB(job_id, n, st)                                                                                       \
    "{\"spec\":{\"uid\":\"" job_id                                                                               \
    "\",\"jobclass\":\"c\",\"owner\":\"red\",\"shape\":\"batch\",\"rank\":\"high\",\"tasks\":" n                 \
    ",\"vcpus\":1,\"gpus\":1,\"memory_gb\":1,\"image\":\"i\",\"pull_gb\":1,\"together\":false,\"spread\":false," \
    "\"reclaimable\":false,\"runtime_s\":1,\"checkpoint_s\":0,\"flush_s\":0},\"state\":\"" st "\",\"at\":1}"
#define PAGE                                                                                                           \
    "{\"sku\":[\"g\"],\"site\":[\"za\"],\"img\":[],\"m\":[[\"i-1\",\"\",0,0,0,0,1,\"\"],[\"i-2\",\"\",0,0,0,0,1,\"\"]" \
    "]}"

/* What is written is what is read back; what is over leaves the record, what is planned enters it. */
static void round_trip(void **state) {
    (void)state;
    put("fleet/0/0", PAGE);
    put("job/req-20001", JOB("req-20001", "9", "queued"));
    put("run/req-20001/0", "{\"d\":\"0100\",\"f\":50,\"b\":\"1@i-1+0 2@i-2+3\"}");
    struct job *j = jobs_find("req-20001");
    assert_int_equal(j->n_done, 1);
    assert_int_equal(j->allocations->len, 2);
    assert_int_equal(allocations_missing_tasks(j), 6);
    assert_int_equal(j->n_recorded_chunks, 1);
    assert_int_equal(j->n_dirty_chunks, 0);
    struct allocation *b = j->allocations->pdata[0];
    assert_true(b->inherited);
    b->released = true;
    jobs_mark_done(j, 1);
    assert_int_equal(j->n_dirty_chunks, 1);
    assert_int_equal(allocations_missing_tasks(j), 6);
    GArray *plans = g_array_new(FALSE, FALSE, sizeof(struct planned_task));
    struct planned_task p = {machines_find("i-1"), j, 4, 60};
    g_array_append_val(plans, p);
    cJSON *v = allocations_value(j, 0, chunks_size(j), plans, false);
    assert_string_equal(json_get_string(v, "d"), "0300");
    assert_string_equal(json_get_string(v, "b"), "2@i-2+0 4@i-1+7");
    store_lock();
    store_apply("run/req-20001/0", v, ++mod_revision);
    store_unlock();
    cJSON_Delete(v);
    assert_int_equal(j->allocations->len, 2);
    assert_int_equal(j->n_done, 2);
    assert_int_equal(j->n_dirty_chunks, 0);
    assert_int_equal(machines_find("i-1")->allocations->len, 1);
    /* Reported while a write was under way: still to be written after it. */
    ((struct allocation *)j->allocations->pdata[0])->released = true;
    put("run/req-20001/0", "{\"d\":\"0300\",\"f\":53,\"b\":\"2@i-2+0 4@i-1+7\"}");
    assert_int_equal(j->n_dirty_chunks, 1);
    /* A machine gone from its page is proven dead: its allocations are over, whoever allocated them. */
    put("fleet/0/0", NULL);
    assert_int_equal(allocations_count(j), 0);
    assert_null(machines_find("i-1"));
    assert_int_equal(jobs_active_of(0)->len, 1);
    put("job/req-20001", JOB("req-20001", "9", "cancelled"));
    assert_int_equal(jobs_active_of(0)->len, 0);
    assert_int_equal(jobs_ended_of(0)->len, 1); /* until its record is gone as well */
    assert_true(allocations_chunk_dirty(j, 0));
    assert_null(allocations_value(j, 0, chunks_size(j), NULL, false));
    put("run/req-20001/0", NULL);
    assert_int_equal(jobs_ended_of(0)->len, 0);
    assert_int_equal(j->allocations->len, 0);
    g_array_free(plans, TRUE);
}

/* The largest job there may be: its records stay within a value, and an allocation for a machine that no page lists, as
 * a takeover may read it, counts as gone. */
static void large(void **state) {
    (void)state;
    put("job/req-20002", JOB("req-20002", "100000", "queued"));
    struct job *j = jobs_find("req-20002");
    int chunk = chunks_size(j), n = chunks_count(j);
    assert_true(n > 1 && n * chunk >= 100000 && chunk % 8 == 0);
    GArray *plans = g_array_new(FALSE, FALSE, sizeof(struct planned_task));
    struct machine *m = machines_find_or_stub("i-000231");
    for (int t = 0; t < chunk; t++) {
        struct planned_task p = {m, j, chunk + t, 8796093022208 + t};
        g_array_append_val(plans, p);
        j->reported_done[(chunk + t) / 8] |= (uint8_t)(t % 2 << (t % 8));
    }
    cJSON *v = allocations_value(j, 1, chunk, plans, false);
    char *text = cJSON_PrintUnformatted(v);
    assert_true(strlen(text) <= cfg.value_kb * 1024);
    put("run/req-20002/1", text);
    assert_int_equal(j->allocations->len, chunk);
    assert_string_equal(store_key_allocations(j->spec.job_id, 1).text, "run/req-20002/1");
    free(text);
    cJSON_Delete(v);
    g_array_free(plans, TRUE);
}

/* Records that name their chunk size mean the same tasks whatever was read before, and what a conversion leaves of a
 * task is the same allocation. */
static void stretches(void **state) {
    (void)state;
    put("job/req-20020", JOB("req-20020", "40", "queued"));
    put("run/req-20020/0", "{\"d\":\"0100000000\",\"f\":50,\"b\":\"1@i-1+0 9@i-2+3 30@i-1+4 39@i-2+5\"}");
    struct job *j = jobs_find("req-20020");
    assert_int_equal(chunks_size(j), chunks_legacy_size());
    assert_int_equal(allocations_count(j), 4);
    const struct allocation *kept = j->allocations->pdata[2];
    static const char *const pieces[] = {"{\"n\":16,\"d\":\"0100\",\"f\":50,\"b\":\"1@i-1+0 9@i-2+3\"}",
                                         "{\"n\":16,\"f\":54,\"b\":\"30@i-1+0\"}",
                                         "{\"n\":16,\"f\":55,\"b\":\"39@i-2+0\"}"};
    static const int sequences[][3] = {{0, 1, 2}, {2, 1, 0}, {1, 0, 2}};
    char key[64];
    for (size_t o = 0; o < G_N_ELEMENTS(sequences); o++) {
        put("run/req-20020/0", "{\"d\":\"0100000000\",\"f\":50,\"b\":\"1@i-1+0 9@i-2+3 30@i-1+4 39@i-2+5\"}");
        for (int i = 0; i < 3; i++) {
            g_snprintf(key, sizeof key, "run/req-20020/%d", sequences[o][i]);
            put(key, pieces[sequences[o][i]]);
            assert_int_equal(allocations_count(j), 4);
        }
        assert_int_equal(chunks_size(j), 16);
        assert_int_equal(chunks_count(j), 3);
        assert_int_equal(j->n_recorded_chunks, 3);
        assert_ptr_equal(j->allocations->pdata[2], kept);
    }
    cJSON *v = allocations_value(j, 2, 16, NULL, false);
    char *text = cJSON_PrintUnformatted(v);
    assert_string_equal(text, pieces[2]);
    free(text);
    cJSON_Delete(v);
    /* One that goes takes its own tasks with it only. */
    put("run/req-20020/1", NULL);
    assert_int_equal(allocations_count(j), 3);
    /* A chunk size that can't be read releases nothing. */
    put("run/req-20020/0", "{\"n\":7,\"f\":50,\"b\":\"\"}");
    assert_int_equal(allocations_count(j), 3);
    put("job/req-20020", JOB("req-20020", "40", "cancelled"));
}

/* A record that can't be read in full releases nothing that it may have named. */
static void unreadable(void **state) {
    (void)state;
    static const struct {
        const char *record;
        int left; /* of two allocations */
    } rows[] = {
        {"{\"f\":50,\"b\":\"0@i-1+0 1@i-2+1\"}", 2},
        {"{\"f\":50,\"b\":\"0@i-1+0 1@@\"}", 2},
        {"{\"f\":50,\"b\":\"x\"}", 2},
        {"\"b\"", 2},
        {"{\"f\":50,\"b\":\"0@i-1+0\"}", 1},
    };
    put("job/req-20009", JOB("req-20009", "2", "queued"));
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        put("run/req-20009/0", "{\"f\":50,\"b\":\"0@i-1+0 1@i-2+1\"}");
        put("run/req-20009/0", rows[i].record);
        int left = allocations_count(jobs_find("req-20009"));
        if (left != rows[i].left) fail_msg("%s: %d", rows[i].record, left);
    }
    put("run/req-20009/0", NULL);
    /* One that names another job, or lacks a field, costs that job alone. */
    put("job/req-20010", JOB("req-20011", "2", "queued"));
    put("job/req-20012", "{\"spec\":{\"uid\":\"req-20012\"},\"state\":\"queued\"}");
    assert_false(jobs_find("req-20010")->known);
    assert_false(jobs_find("req-20012")->known);
    assert_null(jobs_find("req-20011"));
}

int main(void) {
    if (!settings_parse(SITE_JSON, "f.json", &cfg, NULL)) return 1;
    store_init(&cfg);
    membership_init(&cfg);
    jobs_init(&cfg);
    dependencies_init(&cfg);
    schema_version_init(&cfg);
    machines_init(&cfg);
    allocations_init(&cfg);
    priority_init(&cfg);
    placement_init(&cfg);
    scheduler_init(&cfg);
    workers_init(&cfg);
    const struct CMUnitTest tests[] = {cmocka_unit_test(entries), cmocka_unit_test(round_trip), cmocka_unit_test(large),
                                       cmocka_unit_test(stretches), cmocka_unit_test(unreadable)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
