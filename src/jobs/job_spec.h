/* What a user submits: parsing, validation, and whether it can run at all. Pure. */
#ifndef FF_JOB_SPEC_H
#define FF_JOB_SPEC_H
#include <stdbool.h>
#include <stddef.h>

#include "../json/json.h"
#include "../settings/settings.h"

struct cJSON;

#define JOB_TASKS_MAX 100000

enum job_kind { JOB_ARRAY, JOB_GANG, JOB_SERVICE };
enum job_priority { PRIORITY_IDLE, PRIORITY_NORMAL, PRIORITY_HIGH, PRIORITY_PRODUCTION };

struct job_spec {
    char job_id[64];
    char *job_class, *image, *zone;
    char **machine_types;
    int team; /* -1: unknown */
    enum job_kind kind;
    enum job_priority priority;
    int tasks;
    double vcpus, gpus, memory_gb, image_gb;
    bool single_zone, spread, allows_spot;
    double runtime_s, checkpoint_s, checkpoint_flush_s, deadline_s;
    char **prerequisites; /* ids of jobs that have to be done first, each once; NULL: none */
};

struct machine_type {
    char type_name[64];
    double vcpus, gpus, memory_gb, local_gb, fetch_rate, hourly_price, spot_price, startup_s;
    char *zones[32];
    int n_zones;
};

/* 0, or 400 with the field named. */
int job_spec_parse(const char *body, size_t len, const struct settings *s, struct job_spec *out, char *field, size_t n);
/* The same for what was parsed already; *bad is a constant. */
int job_spec_read(const struct cJSON *o, const struct settings *s, struct job_spec *out, const char **bad);
/* 0, or 422 with the reason named. */
int job_spec_check_feasible(const struct job_spec *j, const struct settings *s, const struct machine_type *f, int nf,
                            char *why, size_t n);
void job_spec_clear(struct job_spec *j);
bool job_id_valid(const char *job_id);
#endif
