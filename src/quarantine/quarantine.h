/* Decides from failed tasks whether a job or a machine is at fault.
 *
 * A job that fails on several machines and has not completed any task is suspect: it is retried with one task at a time
 * and with growing delays. A machine on which several jobs fail that are not suspect is faulty: it is cordoned and
 * returned. Failures of a suspect job do not count against machines. A suspect job that completes a task is no longer
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
/* Records that a task of the job completed, or that one of its replicas has run for a long time: the job is not
 * suspect. */
void quarantine_record_success(struct job *job);

/* Returns whether the job is suspect. A suspect job gets one allocation at a time (a gang: all of its allocations at
 * once), preempts nothing, and no machine is rented for it. */
bool quarantine_job_suspect(const struct job *job);
/* Returns whether a task of the job has failed on the machine since the job last completed a task. At most eight
 * machines are remembered. */
bool quarantine_failed_on(const struct job *job, const struct machine *machine);
/* Returns the number of jobs that have failed on the machine and are not suspect. At most eight jobs are remembered. */
int quarantine_machine_failures(const struct machine *machine);
/* Returns whether the machine is faulty: several jobs that are not suspect have failed on it. */
bool quarantine_machine_faulty(const struct machine *machine);

/* Returns the number of failed tries to store in the job's first allocation record, for the next owner of the shard; 0
 * if the job is not suspect or no longer queued. */
int quarantine_tries_to_record(const struct job *job);
/* Called when the job's first allocation record is read, with the number of failed tries in it. The owner of the job's
 * shard keeps its own count. */
void quarantine_restore(struct job *job, int recorded_tries);

/* Returns the delay before the next try of a suspect job after this many failed tries. Pure; needs no lock. */
double quarantine_retry_delay_s(int failed_tries);
#endif
