#include "progress.h"

#include <glib.h>
#include <stdbool.h>

#include "../model/allocation.h"
#include "chunks.h"
#include "job_record.h"
#include "task_bits.h"

static void mark_task_done(struct job *job, int task) {
    if (task_bits_get(job->reported_done_bits, task)) return;
    task_bits_set(job->reported_done_bits, task);
    job->n_reported_done++;
    chunks_mark_dirty(job, task);
}

void jobs_mark_done(struct job *job, int task) {
    if (!job->reported_done_bits || task >= job->spec.tasks) return;
    if (job->spec.kind == JOB_GANG) {
        for (int i = 0; i < job->spec.tasks; i++) mark_task_done(job, i);
    } else {
        mark_task_done(job, task);
    }
}

void jobs_apply_done_bits(struct job *job, const char *bits_text, int first_task, int n_tasks) {
    if (!job->done_bits || first_task >= job->spec.tasks) return;
    n_tasks = MIN(n_tasks, job->spec.tasks - first_task);
    int done_before = task_bits_count(job->done_bits, first_task, n_tasks);
    int reported_before = task_bits_count(job->reported_done_bits, first_task, n_tasks);
    task_bits_read(bits_text, job->done_bits, first_task, n_tasks);
    task_bits_read(bits_text, job->reported_done_bits, first_task, n_tasks);
    job->n_done += task_bits_count(job->done_bits, first_task, n_tasks) - done_before;
    job->n_reported_done += task_bits_count(job->reported_done_bits, first_task, n_tasks) - reported_before;
}

bool jobs_complete(const struct job *job) {
    return job->state == JOB_QUEUED && job->recorded && job->spec.kind != JOB_SERVICE &&
           job->n_reported_done == job->spec.tasks;
}

static int count_running(const struct job *job) {
    int count = 0;
    for (guint i = 0; i < job->allocations->len; i++)
        count += !((const struct allocation *)job->allocations->pdata[i])->released;
    return count;
}

const char *jobs_state_name(const struct job *job, int *n_running) {
    *n_running = job->state == JOB_QUEUED ? count_running(job) : 0;
    return *n_running > 0 ? "running" : job_record_state_name(job->state);
}
