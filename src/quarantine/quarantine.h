/* Failed tasks: tells a job that was submitted with a mistake from a machine that is faulty.
 *
 * The evidence is who fails where. One job that fails on several machines, and of which nothing has completed, is
 * suspect: it is tried again with one task at a time, ever more rarely. Several jobs that fail on one machine, none of
 * them suspect, make the machine faulty: it gets no more work and is returned. A job that turns out suspect takes its
 * evidence against machines back; one that completes a task is sound again. */
#ifndef FF_QUARANTINE_H
#define FF_QUARANTINE_H
#include <stdbool.h>

#include "../machines/machines.h"

#define QUARANTINE_RETRY_MAX_S 30.0 /* a suspect job is tried again at least that often */

/* All with store_lock held. */

/* A task of the job ended with an error on the machine: decides when the job may be tried again. */
void quarantine_record_failure(struct job *j, struct machine *m);
/* A task of the job completed, or a replica of it has run for long: it is sound. */
void quarantine_record_success(struct job *j);
/* Fails wherever it runs: allocates one task at a time, makes nobody make way, and has no machine rented. */
bool quarantine_job_suspect(const struct job *j);
/* The job has failed on that machine before. */
bool quarantine_failed_on(const struct job *j, const struct machine *m);
/* Failures of jobs that are not suspect, each job counted once. */
int quarantine_machine_failures(const struct machine *m);
/* Different jobs fail on the machine. */
bool quarantine_machine_faulty(const struct machine *m);

/* What the job's first record of allocations tells the next owner: 0 for a sound job. */
int quarantine_recorded_tries(const struct job *j);
/* A record says so; 0: it says nothing. */
void quarantine_restore(struct job *j, int recorded);

/* Pure: seconds until a suspect job is tried again, after so many tries that failed. */
double quarantine_retry_s(int tries);
#endif
