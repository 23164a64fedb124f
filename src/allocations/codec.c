#include "codec.h"

#include <stdlib.h>
#include <string.h>

#include "../jobs/chunks.h"

/* Fields of a record. */
#define RECORD_CHUNK_SIZE "n"
#define RECORD_DONE "d"
#define RECORD_FAILED_TRIES "e"
#define RECORD_BASE_ATTEMPT "f"
#define RECORD_ENTRIES "b"

/* An entry is TASK@MACHINE+ATTEMPT, where ATTEMPT is relative to the record's base attempt. Entries are separated by
 * spaces. */
#define ENTRY_MACHINE_MARK '@'
#define ENTRY_ATTEMPT_MARK '+'

static bool chunk_size_allowed(int64_t size) {
    return size >= CHUNK_SIZE_MIN && size <= CHUNK_SIZE_MAX && size % CHUNK_SIZE_MIN == 0;
}

void allocation_record_read(const cJSON *data, struct allocation_record *record) {
    *record = (struct allocation_record){
        .done_bits = json_get_string(data, RECORD_DONE),
        .entries = json_get_string(data, RECORD_ENTRIES),
    };
    int64_t chunk_size = 0, failed_tries = 0;
    record->has_chunk_size = json_get_int64(data, RECORD_CHUNK_SIZE, &chunk_size);
    if (chunk_size_allowed(chunk_size)) record->chunk_size = (int)chunk_size;
    json_get_int64(data, RECORD_FAILED_TRIES, &failed_tries);
    record->failed_tries = (int)CLAMP(failed_tries, 0, INT32_MAX);
    json_get_int64(data, RECORD_BASE_ATTEMPT, &record->base_attempt);
}

cJSON *allocation_record_write(const struct allocation_record *record) {
    cJSON *value = cJSON_CreateObject();
    if (record->has_chunk_size) cJSON_AddNumberToObject(value, RECORD_CHUNK_SIZE, record->chunk_size);
    if (record->done_bits) cJSON_AddStringToObject(value, RECORD_DONE, record->done_bits);
    if (record->failed_tries) cJSON_AddNumberToObject(value, RECORD_FAILED_TRIES, record->failed_tries);
    if (record->entries) {
        cJSON_AddNumberToObject(value, RECORD_BASE_ATTEMPT, (double)record->base_attempt);
        cJSON_AddStringToObject(value, RECORD_ENTRIES, record->entries);
    }
    return value;
}

bool allocation_entry_read(const char **text, int64_t base_attempt, struct allocation_entry *entry) {
    const char *start = *text + strspn(*text, " ");
    char *end;
    long task = strtol(start, &end, 10);
    if (end == start || *end != ENTRY_MACHINE_MARK || task < 0 || task >= JOB_TASKS_MAX) return false;

    const char *machine_id = end + 1, *attempt_mark = strchr(machine_id, ENTRY_ATTEMPT_MARK);
    if (!attempt_mark || attempt_mark == machine_id) return false;
    size_t id_length = (size_t)(attempt_mark - machine_id);
    if (id_length >= sizeof entry->machine_id) return false;

    gint64 attempt = g_ascii_strtoll(attempt_mark + 1, &end, 10);
    if (end == attempt_mark + 1 || attempt < 0 || (*end && *end != ' ')) return false;

    entry->task = (int)task;
    entry->attempt = base_attempt + attempt;
    memcpy(entry->machine_id, machine_id, id_length);
    entry->machine_id[id_length] = 0;
    *text = end;
    return true;
}

bool allocation_entries_exhausted(const char *text) { return text[strspn(text, " ")] == 0; }

void allocation_entry_write(GString *entries, int task, const char *machine_id, int64_t attempt, int64_t base_attempt) {
    g_string_append_printf(entries, "%s%d%c%s%c%lld", entries->len ? " " : "", task, ENTRY_MACHINE_MARK, machine_id,
                           ENTRY_ATTEMPT_MARK, (long long)(attempt - base_attempt));
}
