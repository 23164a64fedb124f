/* A history of the tasks that workers held, and checks and figures computed from it. The history shows what each team
 * really used, whatever the controllers' records say. Times and durations are in seconds. */
#ifndef FF_STANDIN_HISTORY_H
#define FF_STANDIN_HISTORY_H
#include <stdbool.h>

#define HISTORY_NAME_BYTES 64

struct history;
struct history *history_new(void);
void history_free(struct history *history);

/* Events may be added in any order of their times, and by several threads. */

/* A task was started on a machine, or ended there. */
void history_add_task_event(struct history *history, double at, const char *task, bool started);
/* A controller accepted a job, or confirmed its cancellation. */
void history_add_accepted_job(struct history *history, double at, const char *job_id, const char *team, int tasks,
                              double gpus);
void history_add_cancelled_job(struct history *history, double at, const char *job_id);

/* The most GPUs that the team's tasks held at the same time. */
double history_peak_gpus(const struct history *history, const char *team);
/* The fewest GPUs that the team's tasks held at any time between from and to. */
double history_min_gpus(const struct history *history, const char *team, double from, double to);
/* How many starts since `from` took the team above the limit. */
int history_starts_above_limit(const struct history *history, const char *team, double limit, double from);
/* The longest time for which a task that fits into the rest of the team's guarantee waited: its job was accepted and
 * not cancelled, and no task of the team was started. */
double history_longest_starvation_s(const struct history *history, const char *team, double guarantee);
/* How often a task was started while it was on another machine. */
int history_duplicate_starts(const struct history *history);
/* The time since `from` until the team held so many GPUs; negative: it never did. */
double history_time_to_reach_s(const struct history *history, const char *team, double from, double gpus);
/* The longest time between from and to for which tasks of the team waited before the team's next task was started. */
double history_longest_start_gap_s(const struct history *history, const char *team, double from, double to);
/* The mean share of the limit in use between from and to. */
double history_mean_utilisation(const struct history *history, const char *team, double from, double to, double limit);

/* The history of this process, to which the stand-in workers add their tasks. */
struct history *history_log(void);
/* The present time in that history. */
double history_now(void);
#endif
