/* Reads the JSON of submissions: on arrival, and again from the job's record. job_spec.c lists the names of the fields
 * in JSON with the members that they set.
 *
 * Pure; may be called from any thread, with or without store_lock. */
#ifndef FF_JOB_SPEC_H
#define FF_JOB_SPEC_H
#include <stdbool.h>

#include "../json/json.h"
#include "../model/job.h"
#include "../settings/settings.h"

/* Names of fields that responses and log messages contain. */
#define JOB_SPEC_FIELD_ID "uid"
#define JOB_SPEC_FIELD_TEAM "owner"
#define JOB_SPEC_FIELD_PREREQUISITES "prereqs"

/* Returns whether a job id is well-formed; false for NULL. */
bool job_id_valid(const char *job_id);

/* Reads a submission. Returns NULL and sets *spec, which the caller clears. If a field is missing or invalid, returns
 * its name ("body" if the submission isn't an object) and zeroes *spec. An unknown team is not an error: spec->team is
 * -1. */
const char *job_spec_read(const cJSON *submission, const struct settings *settings, struct job_spec *spec);
/* Frees the members of the spec and zeroes it. */
void job_spec_clear(struct job_spec *spec);

/* Read single fields, also from an invalid submission. */
const char *job_spec_read_id(const cJSON *submission); /* owned by the submission; NULL: invalid */
int job_spec_read_team(const cJSON *submission, const struct settings *settings); /* -1: unknown */
bool job_spec_names_prerequisites(const cJSON *submission);

/* Returns the names of all known fields, in a list that ends with NULL. */
const char *const *job_spec_field_names(void);
/* Returns the canonical form of a valid submission, which the caller frees: the known fields alone, in a fixed order,
 * without fields that are null and without duplicates in lists. This is the form that a job's record has. */
cJSON *job_spec_canonical(const cJSON *submission);
/* Like cJSON_PrintUnformatted(job_spec_canonical(submission)). The caller frees the text with free. */
char *job_spec_canonical_text(const cJSON *submission);

/* Removes all fields from the submission except the fields that job_spec_read requires. */
void job_spec_keep_required(cJSON *submission);
#endif
