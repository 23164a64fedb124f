#include "job_spec.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include "../json/json.h"
#include "../model/machine_type.h"

#define JOB_ID_PREFIX "req-"
#define JOB_ID_LENGTH_MAX 40
#define NAME_LENGTH_MAX 199
#define ZONE_LENGTH_MAX 99
#define MACHINE_TYPES_PER_JOB_MAX 100
#define AMOUNT_LIMIT 1e9 /* exclusive */

static const char *const kind_names[] = {[JOB_ARRAY] = "batch", [JOB_GANG] = "group", [JOB_SERVICE] = "standing"};
static const char *const priority_names[] = {[PRIORITY_IDLE] = "idle",
                                             [PRIORITY_NORMAL] = "normal",
                                             [PRIORITY_HIGH] = "high",
                                             [PRIORITY_PRODUCTION] = "production"};

bool job_id_valid(const char *job_id) {
    if (!job_id || !g_str_has_prefix(job_id, JOB_ID_PREFIX)) return false;
    const char *digits = job_id + strlen(JOB_ID_PREFIX);
    size_t n_digits = strspn(digits, "0123456789");
    return n_digits > 0 && digits[n_digits] == 0 && strlen(job_id) <= JOB_ID_LENGTH_MAX;
}

void job_spec_clear(struct job_spec *spec) {
    g_free(spec->job_class);
    g_free(spec->image);
    g_free(spec->zone);
    g_strfreev(spec->machine_types);
    g_strfreev(spec->prerequisites);
    memset(spec, 0, sizeof *spec);
}

/* ---- Readers of single fields. They return false if the field is invalid, or is required and missing. ---- */

struct field_reading {
    const cJSON *submission;
    const struct settings *settings;
    const char *name;
    void *member; /* the member of struct job_spec to set; its type depends on the reader */
};

/* Returns the field's value, or NULL if it is absent or null. */
static const cJSON *field_value(const struct field_reading *field) {
    const cJSON *value = cJSON_GetObjectItemCaseSensitive(field->submission, field->name);
    return cJSON_IsNull(value) ? NULL : value;
}

static bool read_job_id(const struct field_reading *field) {
    const char *job_id = json_get_string(field->submission, field->name);
    if (!job_id_valid(job_id)) return false;
    g_strlcpy(field->member, job_id, JOB_ID_SIZE);
    return true;
}

static bool read_name(const struct field_reading *field) {
    const char *name = json_get_string(field->submission, field->name);
    if (!name || !*name || strlen(name) > NAME_LENGTH_MAX) return false;
    *(char **)field->member = g_strdup(name);
    return true;
}

static bool read_team(const struct field_reading *field) {
    const char *name = json_get_string(field->submission, field->name);
    if (!name || !*name) return false;
    *(int *)field->member = settings_team(field->settings, name);
    return true;
}

/* Returns the index of the text among n names, or -1 if the text is NULL or is none of the names. */
static int find_name(const char *text, const char *const *names, int n) {
    for (int i = 0; text && i < n; i++)
        if (strcmp(text, names[i]) == 0) return i;
    return -1;
}

static bool read_kind(const struct field_reading *field) {
    int kind = find_name(json_get_string(field->submission, field->name), kind_names, G_N_ELEMENTS(kind_names));
    if (kind < 0) return false;
    *(enum job_kind *)field->member = (enum job_kind)kind;
    return true;
}

static bool read_priority(const struct field_reading *field) {
    const char *name = json_get_string(field->submission, field->name);
    int priority = find_name(name, priority_names, G_N_ELEMENTS(priority_names));
    if (priority < 0) return false;
    *(enum job_priority *)field->member = (enum job_priority)priority;
    return true;
}

static bool read_task_count(const struct field_reading *field) {
    int64_t tasks;
    if (!json_get_int64(field->submission, field->name, &tasks) || tasks < 1 || tasks > JOB_TASKS_MAX) return false;
    *(int *)field->member = (int)tasks;
    return true;
}

static bool read_amount(const struct field_reading *field) {
    const cJSON *value = field_value(field);
    if (!cJSON_IsNumber(value)) return false;
    double amount = value->valuedouble;
    if (!isfinite(amount) || amount < 0 || amount >= AMOUNT_LIMIT) return false;
    *(double *)field->member = amount;
    return true;
}

static bool read_positive_amount(const struct field_reading *field) {
    return read_amount(field) && *(const double *)field->member > 0;
}

static bool read_optional_amount(const struct field_reading *field) {
    return !field_value(field) || read_amount(field);
}

static bool read_flag(const struct field_reading *field) {
    const cJSON *value = field_value(field);
    if (!cJSON_IsBool(value)) return false;
    *(bool *)field->member = cJSON_IsTrue(value);
    return true;
}

static bool read_zone(const struct field_reading *field) {
    const cJSON *value = field_value(field);
    if (!value) return true;
    if (!cJSON_IsString(value) || !*value->valuestring || strlen(value->valuestring) > ZONE_LENGTH_MAX) return false;
    *(char **)field->member = g_strdup(value->valuestring);
    return true;
}

/* Returns whether a string is kept in a list. A string that is not kept has no effect on the job. */
typedef bool (*string_filter)(const char *string);

/* Returns the strings of a list without duplicates, as far as the filter keeps them, or NULL if the list holds other
 * values. The caller frees the result. */
static char **read_strings(const cJSON *list, string_filter keeps) {
    const cJSON *item;
    GPtrArray *strings = g_ptr_array_new_with_free_func(g_free);
    GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
    bool valid = cJSON_IsArray(list);
    cJSON_ArrayForEach(item, list) {
        valid &= cJSON_IsString(item) != 0;
        if (!valid) break;
        bool is_new = keeps(item->valuestring) && g_hash_table_add(seen, item->valuestring);
        if (is_new) g_ptr_array_add(strings, g_strdup(item->valuestring));
    }
    g_hash_table_destroy(seen);
    g_ptr_array_add(strings, NULL);
    char **result = (char **)g_ptr_array_free(strings, FALSE);
    if (!valid) {
        g_clear_pointer(&result, g_strfreev);
    }
    return result;
}

/* The catalogue holds no type with a longer name. */
static bool may_be_machine_type(const char *name) { return strlen(name) < TYPE_NAME_SIZE; }

static bool is_any_string(const char *string) { return string != NULL; }

/* An empty list allows no machine type. If the field is absent or null, all machine types are allowed. */
static bool read_machine_types(const struct field_reading *field) {
    const cJSON *list = field_value(field);
    if (!list) return true;
    char **names = read_strings(list, may_be_machine_type);
    *(char ***)field->member = names;
    return names && g_strv_length(names) <= MACHINE_TYPES_PER_JOB_MAX;
}

/* If the list is empty, null or absent, there are no prerequisites. */
static bool read_prerequisites(const struct field_reading *field) {
    const cJSON *list = field_value(field);
    if (!list) return true;
    char **job_ids = read_strings(list, is_any_string);
    if (job_ids && !*job_ids) {
        g_strfreev(job_ids);
        return true;
    }
    *(char ***)field->member = job_ids;
    for (char **job_id = job_ids; job_id && *job_id; job_id++)
        if (!job_id_valid(*job_id)) return false;
    return job_ids != NULL;
}

/* ---- The fields of a submission ---- */

struct field {
    const char *name; /* in JSON */
    size_t member;    /* offset in struct job_spec */
    bool (*read)(const struct field_reading *field);
    bool required;
    string_filter keeps; /* for a list of strings; NULL: the value is no list */
};

#define MEMBER(name) offsetof(struct job_spec, name)

/* The fields in the order of their checks, of which the first invalid one is reported, and of the canonical form. */
static const struct field fields[] = {
    {JOB_SPEC_FIELD_ID, MEMBER(job_id), read_job_id, true, NULL},
    {"jobclass", MEMBER(job_class), read_name, true, NULL},
    {JOB_SPEC_FIELD_TEAM, MEMBER(team), read_team, true, NULL},
    {"shape", MEMBER(kind), read_kind, true, NULL},
    {"rank", MEMBER(priority), read_priority, true, NULL},
    {"tasks", MEMBER(tasks), read_task_count, true, NULL},
    {"vcpus", MEMBER(vcpus), read_positive_amount, true, NULL},
    {"gpus", MEMBER(gpus), read_amount, true, NULL},
    {"memory_gb", MEMBER(memory_gb), read_amount, true, NULL},
    {"image", MEMBER(image), read_name, true, NULL},
    {"pull_gb", MEMBER(image_gb), read_amount, true, NULL},
    {"flavours", MEMBER(machine_types), read_machine_types, false, may_be_machine_type},
    {"site", MEMBER(zone), read_zone, false, NULL},
    {"together", MEMBER(single_zone), read_flag, true, NULL},
    {"spread", MEMBER(spread), read_flag, true, NULL},
    {"reclaimable", MEMBER(allows_spot), read_flag, true, NULL},
    {"runtime_s", MEMBER(runtime_s), read_amount, true, NULL},
    {"checkpoint_s", MEMBER(checkpoint_s), read_amount, true, NULL},
    {"flush_s", MEMBER(checkpoint_flush_s), read_amount, true, NULL},
    {"due_s", MEMBER(deadline_s), read_optional_amount, false, NULL},
    {JOB_SPEC_FIELD_PREREQUISITES, MEMBER(prerequisites), read_prerequisites, false, is_any_string},
};

const char *job_spec_read(const cJSON *submission, const struct settings *settings, struct job_spec *spec) {
    memset(spec, 0, sizeof *spec);
    if (!cJSON_IsObject(submission)) return "body";
    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        struct field_reading reading = {submission, settings, fields[i].name, (char *)spec + fields[i].member};
        if (fields[i].read(&reading)) continue;
        job_spec_clear(spec);
        return fields[i].name;
    }
    return NULL;
}

const char *job_spec_read_id(const cJSON *submission) {
    const char *job_id = json_get_string(submission, JOB_SPEC_FIELD_ID);
    return job_id_valid(job_id) ? job_id : NULL;
}

int job_spec_read_team(const cJSON *submission, const struct settings *settings) {
    const char *name = json_get_string(submission, JOB_SPEC_FIELD_TEAM);
    return name ? settings_team(settings, name) : -1;
}

bool job_spec_names_prerequisites(const cJSON *submission) {
    return cJSON_GetArraySize(cJSON_GetObjectItemCaseSensitive(submission, JOB_SPEC_FIELD_PREREQUISITES)) > 0;
}

const char *const *job_spec_field_names(void) {
    static const char *names[G_N_ELEMENTS(fields) + 1];
    static gsize initialized = 0;
    if (g_once_init_enter(&initialized)) {
        for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) names[i] = fields[i].name;
        g_once_init_leave(&initialized, 1);
    }
    return names;
}

static cJSON *canonical_list(const cJSON *list, string_filter keeps) {
    char **strings = read_strings(list, keeps);
    cJSON *result = cJSON_CreateArray();
    for (char **string = strings; string && *string; string++)
        cJSON_AddItemToArray(result, cJSON_CreateString(*string));
    g_strfreev(strings);
    return result;
}

cJSON *job_spec_canonical(const cJSON *submission) {
    cJSON *canonical = cJSON_CreateObject();
    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        const cJSON *value = cJSON_GetObjectItemCaseSensitive(submission, fields[i].name);
        if (!value || cJSON_IsNull(value)) continue;
        cJSON *copy = fields[i].keeps ? canonical_list(value, fields[i].keeps) : cJSON_Duplicate(value, false);
        cJSON_AddItemToObject(canonical, fields[i].name, copy);
    }
    return canonical;
}

char *job_spec_canonical_text(const cJSON *submission) {
    cJSON *canonical = job_spec_canonical(submission);
    char *text = cJSON_PrintUnformatted(canonical);
    cJSON_Delete(canonical);
    return text;
}

static bool is_required(const char *name) {
    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++)
        if (strcmp(fields[i].name, name) == 0) return fields[i].required;
    return false;
}

void job_spec_keep_required(cJSON *submission) {
    cJSON *field = submission ? submission->child : NULL;
    while (field) {
        cJSON *next = field->next;
        if (!is_required(field->string)) cJSON_Delete(cJSON_DetachItemViaPointer(submission, field));
        field = next;
    }
}
