#include "worker_messages.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include "json/json.h"
#include "shard_owner.h"
#include "test_settings.h"
#include "workers/codec.h"
#include "workers/reconciliation.h"

#define KEY_BYTES 64
#define RECORD_BYTES 400

struct machine *worker_add_machine(const char *id, const char *job_id, const char *allocations, bool inherited) {
    char key[KEY_BYTES], record[RECORD_BYTES];
    g_snprintf(record, sizeof record,
               "{\"sku\":[\"g\"],\"site\":[\"za\"],\"img\":[],\"m\":[[\"%s\",\"\",0,0,0,0,1,\"\"]]}", id);
    shard_owner_put("fleet/0/0", record);
    struct machine *machine = machines_find(id);
    assert_non_null(machine);
    g_snprintf(key, sizeof key, "run/%s/0", job_id);
    g_snprintf(record, sizeof record, "{\"f\":5,\"b\":\"%s\"}", allocations);
    shard_owner_put(key, record);
    assert_true(machines_owned(machine));
    for (guint i = 0; i < machine->allocations->len; i++)
        ((struct allocation *)machine->allocations->pdata[i])->inherited = inherited;
    return machine;
}

void worker_remove_machine(const char *job_id) {
    char key[KEY_BYTES];
    g_snprintf(key, sizeof key, "run/%s/0", job_id);
    shard_owner_put(key, NULL);
    shard_owner_put("fleet/0/0", NULL);
}

void worker_cancel_job(const char *job_id, const char *record) {
    char key[KEY_BYTES];
    g_snprintf(key, sizeof key, "job/%s", job_id);
    char *cancelled = test_replace_first(record, "\"queued\"", "\"cancelled\"");
    shard_owner_put(key, cancelled);
    g_free(cancelled);
}

bool worker_apply_message(struct machine *machine, int incarnation, int sequence, int64_t fencing_token,
                          const char *tasks, enum worker_channel channel) {
    char *text = g_strdup_printf("{\"tenure\":%d,\"seq\":%d,\"fence\":%lld,\"warning_s\":null,\"tasks\":[%s]}",
                                 incarnation, sequence, (long long)fencing_token, tasks);
    cJSON *message = cJSON_Parse(text);
    g_free(text);
    assert_non_null(message);
    struct heartbeat heartbeat = codec_read_heartbeat(message);
    bool applied = reconciliation_apply(machine, &heartbeat, channel);
    cJSON_Delete(message);
    return applied;
}

static int count_directives(struct machine *machine, const char *verb, enum worker_channel channel) {
    cJSON *directives = directives_build(machine, channel);
    const cJSON *item;
    int count = 0;
    cJSON_ArrayForEach(item, directives) count += strcmp(json_get_string(item, "verb"), verb) == 0;
    cJSON_Delete(directives);
    return count;
}

int worker_count_directives(struct machine *machine, const char *verb) {
    return count_directives(machine, verb, CHANNEL_HEARTBEAT);
}

int worker_count_command_directives(struct machine *machine, const char *verb) {
    return count_directives(machine, verb, CHANNEL_COMMAND);
}
