/* What a user submits: parsing, validation, and whether it can run at all. Pure. */
#ifndef FF_JOB_SPEC_H
#define FF_JOB_SPEC_H
#include <stdbool.h>
#include <stddef.h>

#include "../json/json.h"
#include "../model/job.h"
#include "../model/machine_type.h"
#include "../settings/settings.h"

/* 0, or 400 with the field named. */
int job_spec_parse(const char *body, size_t len, const struct settings *s, struct job_spec *out, char *field, size_t n);
/* The same for what was parsed already; *bad is a constant. */
int job_spec_read(const cJSON *o, const struct settings *s, struct job_spec *out, const char **bad);
/* 0, or 422 with the reason named. */
int job_spec_check_feasible(const struct job_spec *j, const struct settings *s, const struct machine_type *f, int nf,
                            char *why, size_t n);
void job_spec_clear(struct job_spec *j);
bool job_id_valid(const char *job_id);
#endif
