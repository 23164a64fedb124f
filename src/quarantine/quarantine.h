/* Failed tasks: tells a job that was submitted with a mistake from a machine that is faulty.
 *
 * The evidence is which job fails on which machine. One job that fails on several machines, and of which nothing has
 * completed, is suspect: it is tried again with one task at a time, ever more rarely. Several jobs that fail on one
 * machine, none of them suspect, make the machine faulty: it is cordoned and returned. When a job turns out suspect,
 * its failures no longer count against machines; one that completes a task is sound again.
 *
 * Called by workers as tasks end, and by whoever decides on jobs and machines. */
#ifndef FF_QUARANTINE_H
#define FF_QUARANTINE_H
#include <stdbool.h>

#include "../machines/machines.h"

#define QUARANTINE_RETRY_MAX_S 30.0 /* a suspect job is tried again at least that often */

/* With store_lock held. */

/* A task of the job ended with an error on the machine: decides when the job may be tried again. */
void quarantine_record_failure(struct job *job, struct machine *machine);
/* A task of the job completed, or a replica of it has run for long: it is sound. */
void quarantine_record_success(struct job *job);

/* Whether the job fails wherever it runs: it gets one allocation at a time, preempts nothing, and no machine is rented
 * for it. */
bool quarantine_job_suspect(const struct job *job);
/* Whether the job has failed on that machine before. */
bool quarantine_failed_on(const struct job *job, const struct machine *machine);
/* The number of jobs that failed on the machine and are not suspect. */
int quarantine_machine_failures(const struct machine *machine);
/* Whether so many different jobs fail on the machine that it is at fault. */
bool quarantine_machine_faulty(const struct machine *machine);

/* The failed tries that the job's first record of allocations tells the next owner of; 0 for a sound job. */
int quarantine_recorded_tries(const struct job *job);
/* The job's first record was read, and holds that number of failed tries. */
void quarantine_restore(struct job *job, int recorded_tries);

/* Without the lock. */

/* Seconds until a suspect job is tried again, after so many failed tries. Pure. */
double quarantine_retry_s(int failed_tries);
#endif
