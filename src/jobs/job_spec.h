/* What a user submits for a job: the codec of its JSON. Submissions are read when they arrive, and again from the job's
 * record. The names that its fields have on the wire stand in job_spec.c, beside the members that they fill.
 *
 * Pure; may be called from any thread, with or without the lock. */
#ifndef FF_JOB_SPEC_H
#define FF_JOB_SPEC_H
#include <stdbool.h>

#include "../json/json.h"
#include "../model/job.h"
#include "../settings/settings.h"

/* Names of fields that answers and log lines mention. */
#define JOB_SPEC_FIELD_ID "uid"
#define JOB_SPEC_FIELD_TEAM "owner"
#define JOB_SPEC_FIELD_PREREQUISITES "prereqs"

bool job_id_valid(const char *job_id); /* also false for NULL */

/* Reads a submission. Returns NULL and fills *spec, which the caller clears; or the name of the first field that is
 * missing or invalid ("body" if it is no object), with nothing left in *spec. A team that the settings don't name is
 * not an error here: it is -1 in *spec. */
const char *job_spec_read(const cJSON *submission, const struct settings *settings, struct job_spec *spec);
/* Frees what the members point to, and zeroes them. */
void job_spec_clear(struct job_spec *spec);

/* Single fields, also of a submission that is invalid otherwise. */
const char *job_spec_read_id(const cJSON *submission); /* belongs to the submission; NULL: no valid id */
int job_spec_read_team(const cJSON *submission, const struct settings *settings); /* -1: none that is known */
bool job_spec_names_prerequisites(const cJSON *submission);

/* Removes from a submission what job_spec_read can do without. */
void job_spec_keep_required(cJSON *submission);
#endif
