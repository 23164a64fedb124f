#include "worker_messages.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include "json/json.h"
#include "owned.h"
#include "site.h"
#include "workers/codec.h"
#include "workers/reconciliation.h"

#define KEY_MAX 64
#define RECORD_MAX 400
#define MESSAGE_MAX 600

struct machine *worker_machine(const char *id, const char *job_id, const char *allocations, bool inherited) {
    char key[KEY_MAX], record[RECORD_MAX];
    g_snprintf(record, sizeof record,
               "{\"sku\":[\"g\"],\"site\":[\"za\"],\"img\":[],\"m\":[[\"%s\",\"\",0,0,0,0,1,\"\"]]}", id);
    owned_put("fleet/0/0", record);
    struct machine *machine = machines_find(id);
    assert_non_null(machine);
    g_snprintf(key, sizeof key, "run/%s/0", job_id);
    g_snprintf(record, sizeof record, "{\"f\":5,\"b\":\"%s\"}", allocations);
    owned_put(key, record);
    assert_true(machines_owned(machine));
    for (guint i = 0; i < machine->allocations->len; i++)
        ((struct allocation *)machine->allocations->pdata[i])->inherited = inherited;
    return machine;
}

void worker_machine_gone(const char *job_id) {
    char key[KEY_MAX];
    g_snprintf(key, sizeof key, "run/%s/0", job_id);
    owned_put(key, NULL);
    owned_put("fleet/0/0", NULL);
}

void worker_cancel_job(const char *job_id, const char *record) {
    char key[KEY_MAX];
    g_snprintf(key, sizeof key, "job/%s", job_id);
    char *cancelled = site_with(record, "\"queued\"", "\"cancelled\"");
    owned_put(key, cancelled);
    g_free(cancelled);
}

bool worker_message(struct machine *machine, int incarnation, int sequence, int64_t fencing_token, const char *tasks,
                    enum worker_channel channel) {
    char text[MESSAGE_MAX];
    g_snprintf(text, sizeof text, "{\"tenure\":%d,\"seq\":%d,\"fence\":%lld,\"warning_s\":null,\"tasks\":[%s]}",
               incarnation, sequence, (long long)fencing_token, tasks);
    cJSON *message = cJSON_Parse(text);
    assert_non_null(message);
    struct heartbeat heartbeat = codec_read_heartbeat(message);
    bool newest = reconciliation_apply(machine, &heartbeat, channel);
    cJSON_Delete(message);
    return newest;
}

int worker_directives(struct machine *machine, const char *verb) {
    cJSON *directives = directives_build(machine, CHANNEL_HEARTBEAT);
    const cJSON *item;
    int n = 0;
    cJSON_ArrayForEach(item, directives) n += strcmp(json_get_string(item, "verb"), verb) == 0;
    cJSON_Delete(directives);
    return n;
}
