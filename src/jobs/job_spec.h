/* What a user submits: parsing, validation, and whether it can run at all. Pure. */
#ifndef FF_JOB_SPEC_H
#define FF_JOB_SPEC_H
#include <stdbool.h>
#include <stddef.h>

#include "../json/json.h"
#include "../settings/settings.h"

struct cJSON;

#define JOB_TASKS_MOST 100000

enum job_shape { JOB_BATCH, JOB_GROUP, JOB_STANDING };
enum job_rank { RANK_IDLE, RANK_NORMAL, RANK_HIGH, RANK_PRODUCTION };

struct job_spec {
    char uid[64];
    char *jobclass, *image, *site;
    char **flavours;
    int team; /* -1: unknown */
    enum job_shape shape;
    enum job_rank rank;
    int tasks;
    double vcpus, gpus, memory_gb, pull_gb;
    bool together, spread, reclaimable;
    double runtime_s, checkpoint_s, flush_s, due_s;
    char **prerequisites; /* ids of jobs that have to be done first, each once; NULL: none */
};

struct flavour_info {
    char sku[64];
    double vcpus, gpus, memory_gb, local_gb, fetch_rate, hourly, market, startup_s;
    char *sites[32];
    int n_sites;
};

/* 0, or 400 with the field named. */
int jobs_parse(const char *body, size_t len, const struct settings *s, struct job_spec *out, char *field, size_t n);
/* The same for what was parsed already; *bad is a constant. */
int jobs_spec_read(const struct cJSON *o, const struct settings *s, struct job_spec *out, const char **bad);
/* 0, or 422 with the reason named. */
int jobs_feasible(const struct job_spec *j, const struct settings *s, const struct flavour_info *f, int nf, char *why,
                  size_t n);
void jobs_spec_clear(struct job_spec *j);
bool jobs_uid_ok(const char *uid);
#endif
