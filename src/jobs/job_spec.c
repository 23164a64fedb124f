#include "job_spec.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include "../json/json.h"

bool job_id_valid(const char *job_id) {
    size_t n = job_id ? strlen(job_id) : 0;
    if (n < 5 || n > 40 || strncmp(job_id, "req-", 4) != 0) return false;
    for (size_t i = 4; i < n; i++)
        if (job_id[i] < '0' || job_id[i] > '9') return false;
    return true;
}

void job_spec_clear(struct job_spec *j) {
    g_free(j->job_class);
    g_free(j->image);
    g_free(j->zone);
    g_strfreev(j->machine_types);
    g_strfreev(j->prerequisites);
    memset(j, 0, sizeof *j);
}

/* A list of ids in which each counts once; null and an empty list are none. */
static bool read_prerequisites(const cJSON *list, struct job_spec *j) {
    const cJSON *x;
    if (!list || cJSON_IsNull(list)) return true;
    if (!cJSON_IsArray(list)) return false;
    if (cJSON_GetArraySize(list) == 0) return true;
    j->prerequisites = g_new0(char *, (gsize)cJSON_GetArraySize(list) + 1);
    int n = 0;
    cJSON_ArrayForEach(x, list) {
        if (!cJSON_IsString(x) || !job_id_valid(x->valuestring)) return false;
        if (!g_strv_contains((const char *const *)j->prerequisites, x->valuestring))
            j->prerequisites[n++] = g_strdup(x->valuestring);
    }
    return true;
}

int job_spec_read(const cJSON *o, const struct settings *s, struct job_spec *j, const char **bad) {
    memset(j, 0, sizeof *j);
    const char *v;
#define NEED(cond, name) \
    if (!(cond)) {       \
        *bad = name;     \
        return 400;      \
    }
    NEED(cJSON_IsObject(o), "body");
    v = json_get_string(o, "uid");
    NEED(job_id_valid(v), "uid");
    g_strlcpy(j->job_id, v, sizeof j->job_id);
    v = json_get_string(o, "jobclass");
    NEED(v && *v && strlen(v) < 200, "jobclass");
    j->job_class = g_strdup(v);
    v = json_get_string(o, "owner");
    NEED(v && *v, "owner");
    j->team = settings_team(s, v);
    v = json_get_string(o, "shape");
    NEED(v && (!strcmp(v, "batch") || !strcmp(v, "group") || !strcmp(v, "standing")), "shape");
    j->kind = v[0] == 'b' ? JOB_ARRAY : v[0] == 'g' ? JOB_GANG : JOB_SERVICE;
    v = json_get_string(o, "rank");
    NEED(v && (!strcmp(v, "production") || !strcmp(v, "high") || !strcmp(v, "normal") || !strcmp(v, "idle")), "rank");
    j->priority = v[0] == 'p'   ? PRIORITY_PRODUCTION
                  : v[0] == 'h' ? PRIORITY_HIGH
                  : v[0] == 'n' ? PRIORITY_NORMAL
                                : PRIORITY_IDLE;
    int64_t n;
    NEED(json_get_int64(o, "tasks", &n) && n >= 1 && n <= JOB_TASKS_MAX, "tasks");
    j->tasks = (int)n;
    static const struct {
        const char *name;
        size_t at;
        bool positive, nullable;
    } amounts[] = {
        {"vcpus", offsetof(struct job_spec, vcpus), true, false},
        {"gpus", offsetof(struct job_spec, gpus), false, false},
        {"memory_gb", offsetof(struct job_spec, memory_gb), false, false},
        {"pull_gb", offsetof(struct job_spec, image_gb), false, false},
        {"runtime_s", offsetof(struct job_spec, runtime_s), false, false},
        {"checkpoint_s", offsetof(struct job_spec, checkpoint_s), false, false},
        {"flush_s", offsetof(struct job_spec, checkpoint_flush_s), false, false},
        {"due_s", offsetof(struct job_spec, deadline_s), false, true},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(amounts); i++) {
        const cJSON *x = cJSON_GetObjectItemCaseSensitive(o, amounts[i].name);
        double d = cJSON_IsNumber(x) ? x->valuedouble : -1;
        if (amounts[i].nullable && (!x || cJSON_IsNull(x))) d = 0;
        NEED(isfinite(d) && d >= 0 && d < 1e9 && !(amounts[i].positive && d <= 0), amounts[i].name);
        *(double *)(void *)((char *)j + amounts[i].at) = d;
    }
    v = json_get_string(o, "image");
    NEED(v && *v && strlen(v) < 200, "image");
    j->image = g_strdup(v);
    const cJSON *x = cJSON_GetObjectItemCaseSensitive(o, "flavours"), *e;
    if (x && !cJSON_IsNull(x)) {
        NEED(cJSON_IsArray(x) && cJSON_GetArraySize(x) <= 100, "flavours");
        cJSON_ArrayForEach(e, x) NEED(cJSON_IsString(e), "flavours");
        j->machine_types = g_new0(char *, (gsize)cJSON_GetArraySize(x) + 1);
        int i = 0;
        cJSON_ArrayForEach(e, x) j->machine_types[i++] = g_strdup(e->valuestring);
    }
    x = cJSON_GetObjectItemCaseSensitive(o, "site");
    if (x && !cJSON_IsNull(x)) {
        NEED(cJSON_IsString(x) && *x->valuestring && strlen(x->valuestring) < 100, "site");
        j->zone = g_strdup(x->valuestring);
    }
    static const char *const flags[] = {"together", "spread", "reclaimable"};
    bool *const into[] = {&j->single_zone, &j->spread, &j->allows_spot};
    for (int i = 0; i < 3; i++) {
        x = cJSON_GetObjectItemCaseSensitive(o, flags[i]);
        NEED(cJSON_IsBool(x), flags[i]);
        *into[i] = cJSON_IsTrue(x);
    }
    x = cJSON_GetObjectItemCaseSensitive(o, "prereqs");
    NEED(read_prerequisites(x, j), "prereqs");
#undef NEED
    return 0;
}

int job_spec_parse(const char *body, size_t len, const struct settings *s, struct job_spec *out, char *field,
                   size_t n) {
    const char *bad = "body";
    cJSON *o = cJSON_ParseWithLength(body, len);
    int rc = job_spec_read(o, s, out, &bad);
    if (rc) {
        g_strlcpy(field, bad, n);
        job_spec_clear(out);
    }
    cJSON_Delete(o);
    return rc;
}

int job_spec_check_feasible(const struct job_spec *j, const struct settings *s, const struct machine_type *f, int nf,
                            char *why, size_t n) {
    if (j->team < 0) {
        g_strlcpy(why, "owner: unknown team", n);
        return 422;
    }
    bool fits = false;
    for (int i = 0; i < nf && !fits; i++) {
        if (j->machine_types && !g_strv_contains((const char *const *)j->machine_types, f[i].type_name)) continue;
        bool here = !j->zone;
        for (int z = 0; z < f[i].n_zones && !here; z++) here = strcmp(f[i].zones[z], j->zone) == 0;
        fits = here && j->vcpus <= f[i].vcpus + 1e-9 && j->gpus <= f[i].gpus + 1e-9 &&
               j->memory_gb <= f[i].memory_gb + 1e-9;
    }
    if (!fits) {
        g_strlcpy(why, "a task fits no allowed machine type", n);
        return 422;
    }
    const struct settings_team *t = &s->teams[j->team];
    double m = j->kind == JOB_ARRAY ? 1 : j->tasks;
    if ((t->cpus_max > 0 && m * j->vcpus > t->cpus_max + 1e-9) ||
        (t->gpus_max > 0 && m * j->gpus > t->gpus_max + 1e-9)) {
        g_strlcpy(why, "needs more than the team's limit", n);
        return 422;
    }
    return 0;
}
