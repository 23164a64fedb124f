#include "owned.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include "allocations/allocations.h"
#include "allocations/records.h"
#include "clock/clock.h"
#include "json/json.h"
#include "logging/logging.h"
#include "machines/page_assignment.h"
#include "machines/records.h"
#include "site.h"

int64_t owned_next_stamp(void) {
    static int64_t mod_revision = 1000000;
    return ++mod_revision;
}

void owned_start(const struct settings *s) {
    logging_init("error");
    service_init(s);
    store_mirror_start();
    membership_start();
    for (int i = 0; i < 100; i++) {
        store_lock();
        bool mine = membership_owns(0);
        store_unlock();
        if (mine) break;
        clock_sleep(clock_from_seconds(0.1));
    }
}

void owned_put(const char *key, const char *json) {
    cJSON *x = json ? cJSON_Parse(json) : NULL;
    assert_true(!json || x);
    store_apply(key, x, owned_next_stamp());
    cJSON_Delete(x);
}

/* A steady machine of ours with a free room of 16 CPUs, 2 GPUs, 64 GB, on page 0 and up. */
struct machine *owned_machine(const char *id, const char *zone, bool spot) {
    machines_rented(0, id, "g16", zone, spot);
    struct unregistered_machine *n = g_hash_table_lookup(machines_unregistered(), id);
    struct shard_page_fills fills;
    machines_page_fills(0, &fills);
    int page = n->page = machines_page_fills_add(&fills, id), count;
    cJSON *v = machines_page_value(0, page, &count);
    char key[32];
    g_snprintf(key, sizeof key, "fleet/0/%d", page);
    store_apply(key, v, owned_next_stamp());
    cJSON_Delete(v);
    struct machine *m = machines_find(id);
    assert_non_null(m);
    assert_true(machines_owned(m));
    m->liveness.up = true;
    m->agent.seen_token = machines_fencing_token(m);
    m->liveness.last_heartbeat = m->liveness.last_heard = clock_now();
    m->occupancy.n_samples = 6;
    return m;
}

void owned_fleet(struct machine **all, int n, bool spot) {
    static const char *const zones[] = {"za", "zb", "zc"};
    char id[32];
    for (int i = 0; i < n; i++) {
        g_snprintf(id, sizeof id, "i-%06d", 100000 + i);
        machines_rented(0, id, "g16", zones[i % 3], spot);
    }
    GHashTableIter it;
    gpointer v;
    struct shard_page_fills fills;
    machines_page_fills(0, &fills);
    g_hash_table_iter_init(&it, machines_unregistered());
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct unregistered_machine *m = v;
        m->page = machines_page_fills_add(&fills, m->id);
        assert_true(m->page >= 0);
    }
    cJSON *pages[MACHINE_PAGES_MAX];
    int counts[MACHINE_PAGES_MAX];
    for (int p = 0; p < MACHINE_PAGES_MAX; p++) pages[p] = machines_page_value(0, p, &counts[p]);
    for (int p = 0; p < MACHINE_PAGES_MAX; p++) {
        g_snprintf(id, sizeof id, "fleet/0/%d", p);
        if (counts[p]) store_apply(id, pages[p], owned_next_stamp());
        cJSON_Delete(pages[p]);
    }
    assert_int_equal(machines_of_shard(0)->len, n);
    for (int i = 0; i < n; i++) {
        struct machine *m = all[i] = machines_of_shard(0)->pdata[i];
        assert_true(machines_owned(m));
        m->liveness.up = true;
        m->agent.seen_token = machines_fencing_token(m);
        m->liveness.last_heartbeat = m->liveness.last_heard = clock_now();
        m->occupancy.n_samples = 6;
    }
}

struct job *owned_job(const char *job_id, const char *shape, const char *rank, int tasks, double cpus, double gpus,
                      bool together, bool reclaimable, double age) {
    char *json = g_strdup_printf(
        "{\"spec\":{\"uid\":\"%s\",\"jobclass\":\"c\",\"owner\":\"green\",\"shape\":\"%s\",\"rank\":\"%s\",\"tasks\":%"
        "d,"
        "\"vcpus\":%f,\"gpus\":%f,\"memory_gb\":4,\"image\":\"i\",\"pull_gb\":1,\"together\":%s,\"spread\":false,"
        "\"reclaimable\":%s,\"runtime_s\":50,\"checkpoint_s\":15,\"flush_s\":2},\"state\":\"queued\",\"at\":%f}",
        job_id, shape, rank, tasks, cpus, gpus, together ? "true" : "false", reclaimable ? "true" : "false",
        clock_time_of_day() - age);
    char key[64];
    g_snprintf(key, sizeof key, "job/%s", job_id);
    owned_put(key, json);
    g_free(json);
    struct job *j = jobs_find(job_id);
    assert_non_null(j);
    assert_int_equal(jobs_shard(j), 0);
    return j;
}

/* Books tasks 0.. of the job, one on each of the machines named by index, running for long. */
void owned_book(struct job *j, struct machine **on, int n) {
    GArray *plans = g_array_new(FALSE, FALSE, sizeof(struct planned_task));
    for (int i = 0; i < n; i++) {
        struct planned_task p = {on[i], j, i, 100 + i};
        g_array_append_val(plans, p);
    }
    cJSON *v = allocations_value(j, 0, chunks_size(j), plans, ALLOCATIONS_OF_OPEN_JOB);
    store_apply(store_key_allocations(j->spec.job_id, 0).text, v, owned_next_stamp());
    cJSON_Delete(v);
    g_array_free(plans, TRUE);
    for (guint i = 0; i < j->allocations->len; i++) {
        struct allocation *b = j->allocations->pdata[i];
        b->inherited = false;
        b->seen = true;
        b->state = TASK_RUNNING;
        b->state_since.tv_sec -= 100;
    }
}

int owned_planned_tasks(const struct scheduling_round *round, const char *job_id) {
    int tasks = 0;
    for (guint i = 0; i < round->plans->len; i++) {
        const struct job *job = g_array_index(round->plans, struct planned_task, i).job;
        tasks += !job_id || strcmp(job->spec.job_id, job_id) == 0;
    }
    return tasks;
}

/* Everything of a test goes, so that the next begins with an empty shard. */
void owned_clear(void) {
    char key[96];
    for (guint i = jobs_active()->len; i-- > 0;) {
        struct job *j = jobs_active()->pdata[i];
        char *text = g_strdup_printf("{\"spec\":%s,\"state\":\"cancelled\",\"at\":1}", j->spec_text);
        g_snprintf(key, sizeof key, "job/%s", j->spec.job_id);
        owned_put(key, text);
        g_free(text);
        for (int c = 0; c < chunks_count(j); c++) {
            owned_put(store_key_allocations(j->spec.job_id, c).text, NULL);
        }
    }
    for (int p = 0; p < 256; p++) {
        g_snprintf(key, sizeof key, "fleet/0/%d", p);
        owned_put(key, NULL);
    }
    assert_int_equal(machines_of_shard(0)->len, 0);
    assert_int_equal(jobs_active()->len, 0);
}
