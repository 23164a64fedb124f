/* Decides from failed tasks whether a job or a machine is at fault.
 *
 * A job that fails on several machines and has not completed any task is suspect: it is retried with one task at a time
 * and with growing delays. A machine on which several jobs fail, none of them suspect, is faulty: it is cordoned and
 * returned. Failures of a suspect job don't count against machines. A suspect job that completes a task is no longer
 * suspect.
 *
 * Called by workers when a task ends, and by the packages that decide on jobs and machines. */
#ifndef FF_QUARANTINE_H
#define FF_QUARANTINE_H
#include <stdbool.h>

#include "../machines/machines.h"

#define QUARANTINE_RETRY_DELAY_MAX_S 30.0 /* longest delay between two tries of a suspect job */

/* The functions below are called with store_lock held. */

/* Records that a task of the job ended with an error on the machine, and sets the time of the next try (retry_at). */
void quarantine_record_failure(struct job *job, struct machine *machine);
/* Records that a task of the job completed, or that a replica of it has run for long: the job is not suspect. */
void quarantine_record_success(struct job *job);

/* Whether the job fails on every machine. A suspect job gets one allocation at a time, preempts nothing, and no machine
 * is rented for it. */
bool quarantine_job_suspect(const struct job *job);
/* Whether a task of the job has failed on the machine since the job last completed a task. At most eight machines are
 * remembered. */
bool quarantine_failed_on(const struct job *job, const struct machine *machine);
/* The number of jobs that have failed on the machine and are not suspect. At most eight jobs are remembered. */
int quarantine_machine_failures(const struct machine *machine);
/* Whether so many different jobs have failed on the machine that the machine is at fault. */
bool quarantine_machine_faulty(const struct machine *machine);

/* The number of failed tries to store in the job's first allocation record, for the next owner of the shard; 0 if the
 * job is not suspect or no longer queued. */
int quarantine_tries_to_record(const struct job *job);
/* Called when the job's first allocation record is read, with the number of failed tries in it. The owner of the job's
 * shard keeps its own count. */
void quarantine_restore(struct job *job, int recorded_tries);

/* The delay before the next try of a suspect job, after that many failed tries. Pure; called without the lock. */
double quarantine_retry_delay_s(int failed_tries);
#endif
