#include "shard_owner.h"

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
#include "settings/settings.h"
#include "store.h"
#include "store/keys.h"
#include "test_settings.h"

#define FIRST_REVISION 1000000 /* above all revisions of the stand-in of the store */
#define FIRST_MACHINE 100000
#define MACHINE_ID_BYTES 32
#define OCCUPANCY_SAMPLES 6 /* a machine with fewer samples is not returned */
#define OWNERSHIP_POLL_S 0.1

int64_t shard_owner_next_revision(void) {
    static int64_t mod_revision = FIRST_REVISION;
    return ++mod_revision;
}

void shard_owner_start(const struct settings *settings) {
    logging_init("error");
    service_init(settings);
    store_mirror_start();
    membership_start();
    for (int i = 0; i < 100; i++) {
        store_lock();
        bool owned = membership_owns(0);
        store_unlock();
        if (owned) break;
        clock_sleep(clock_from_seconds(OWNERSHIP_POLL_S));
    }
}

bool shard_owner_start_with_store(struct settings *settings) {
    char *text = test_settings_json();
    bool started = settings_parse(text, "f.json", settings, NULL) && standin_store_start(settings->store_address);
    g_free(text);
    if (started) shard_owner_start(settings);
    return started;
}

void shard_owner_put(const char *key, const char *json) {
    cJSON *parsed = json ? cJSON_Parse(json) : NULL;
    assert_true(!json || parsed);
    store_apply(key, parsed, shard_owner_next_revision());
    cJSON_Delete(parsed);
}

void shard_owner_put_machine_type(void) {
    shard_owner_put(
        "types",
        "{\"flavours\":[{\"sku\":\"g16\",\"vcpus\":16,\"gpus\":2,\"memory_gb\":64,\"hourly\":7,\"market_price\":2,"
        "\"startup_s\":25,\"sites\":[\"za\",\"zb\",\"zc\"]}]}");
}

struct machine *shard_owner_add_machine(const char *id, const char *zone, bool spot) {
    machines_add_rented(0, id, "g16", zone, spot);
    struct unregistered_machine *unregistered = g_hash_table_lookup(machines_unregistered(), id);
    struct shard_page_usage fills;
    machines_measure_pages(0, &fills);
    int page = unregistered->page = machines_assign_page(&fills, id), count;
    cJSON *value = machines_page_value(0, page, &count);
    store_apply(store_key_machine_page(0, page).text, value, shard_owner_next_revision());
    cJSON_Delete(value);
    struct machine *machine = machines_find(id);
    assert_non_null(machine);
    assert_true(machines_owned(machine));
    machine->liveness.up = true;
    machine->agent.reported_token = machines_fencing_token(machine);
    machine->liveness.last_heartbeat = machine->liveness.last_heard = clock_now();
    machine->occupancy.n_samples = OCCUPANCY_SAMPLES;
    return machine;
}

void shard_owner_add_machines(struct machine **all, int n, bool spot) {
    static const char *const zones[] = {"za", "zb", "zc"};
    char id[MACHINE_ID_BYTES];
    for (int i = 0; i < n; i++) {
        g_snprintf(id, sizeof id, "i-%06d", FIRST_MACHINE + i);
        machines_add_rented(0, id, "g16", zones[i % 3], spot);
    }
    GHashTableIter iterator;
    gpointer value;
    struct shard_page_usage fills;
    machines_measure_pages(0, &fills);
    g_hash_table_iter_init(&iterator, machines_unregistered());
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct unregistered_machine *machine = value;
        machine->page = machines_assign_page(&fills, machine->id);
        assert_true(machine->page >= 0);
    }
    cJSON *pages[MACHINE_PAGES_MAX];
    int counts[MACHINE_PAGES_MAX];
    for (int page = 0; page < MACHINE_PAGES_MAX; page++) pages[page] = machines_page_value(0, page, &counts[page]);
    for (int page = 0; page < MACHINE_PAGES_MAX; page++) {
        if (counts[page]) store_apply(store_key_machine_page(0, page).text, pages[page], shard_owner_next_revision());
        cJSON_Delete(pages[page]);
    }
    assert_int_equal(machines_of_shard(0)->len, n);
    for (int i = 0; i < n; i++) {
        struct machine *machine = all[i] = machines_of_shard(0)->pdata[i];
        assert_true(machines_owned(machine));
        machine->liveness.up = true;
        machine->agent.reported_token = machines_fencing_token(machine);
        machine->liveness.last_heartbeat = machine->liveness.last_heard = clock_now();
        machine->occupancy.n_samples = OCCUPANCY_SAMPLES;
    }
}

struct job *shard_owner_add_job(const char *job_id, const char *shape, const char *priority, int tasks, double cpus,
                                double gpus, bool together, bool reclaimable, double age) {
    char *json = g_strdup_printf(
        "{\"spec\":{\"uid\":\"%s\",\"jobclass\":\"c\",\"owner\":\"green\",\"shape\":\"%s\",\"rank\":\"%s\",\"tasks\":%"
        "d,"
        "\"vcpus\":%f,\"gpus\":%f,\"memory_gb\":4,\"image\":\"i\",\"pull_gb\":1,\"together\":%s,\"spread\":false,"
        "\"reclaimable\":%s,\"runtime_s\":50,\"checkpoint_s\":15,\"flush_s\":2},\"state\":\"queued\",\"at\":%f}",
        job_id, shape, priority, tasks, cpus, gpus, together ? "true" : "false", reclaimable ? "true" : "false",
        clock_time_of_day() - age);
    shard_owner_put(store_key_job(job_id).text, json);
    g_free(json);
    struct job *job = jobs_find(job_id);
    assert_non_null(job);
    assert_int_equal(jobs_shard(job), 0);
    return job;
}

void shard_owner_allocate(struct job *job, struct machine **machines, int n) {
    GArray *plans = g_array_new(FALSE, FALSE, sizeof(struct planned_task));
    for (int i = 0; i < n; i++) {
        struct planned_task task = {machines[i], job, i, 100 + i};
        g_array_append_val(plans, task);
    }
    cJSON *value = allocations_value(job, 0, chunks_size(job), plans, ALLOCATIONS_OF_OPEN_JOB);
    store_apply(store_key_allocations(job->spec.job_id, 0).text, value, shard_owner_next_revision());
    cJSON_Delete(value);
    g_array_free(plans, TRUE);
    for (guint i = 0; i < job->allocations->len; i++) {
        struct allocation *allocation = job->allocations->pdata[i];
        allocation->inherited = false;
        allocation->was_listed = true;
        allocation->state = TASK_RUNNING;
        allocation->state_since.tv_sec -= 100;
    }
}

int shard_owner_planned_tasks(const struct scheduling_round *round, const char *job_id) {
    int tasks = 0;
    for (guint i = 0; i < round->planned_tasks->len; i++) {
        const struct job *job = g_array_index(round->planned_tasks, struct planned_task, i).job;
        tasks += !job_id || strcmp(job->spec.job_id, job_id) == 0;
    }
    return tasks;
}

void shard_owner_clear(void) {
    for (guint i = jobs_active()->len; i-- > 0;) {
        struct job *job = jobs_active()->pdata[i];
        char *text = g_strdup_printf("{\"spec\":%s,\"state\":\"cancelled\",\"at\":1}", job->spec_text);
        shard_owner_put(store_key_job(job->spec.job_id).text, text);
        g_free(text);
        for (int chunk = 0; chunk < chunks_count(job); chunk++) {
            shard_owner_put(store_key_allocations(job->spec.job_id, chunk).text, NULL);
        }
    }
    for (int page = 0; page < MACHINE_PAGES_MAX; page++) {
        shard_owner_put(store_key_machine_page(0, page).text, NULL);
    }
    assert_int_equal(machines_of_shard(0)->len, 0);
    assert_int_equal(jobs_active()->len, 0);
}
