/* What workers held when, and what can be shown from it: which team used how much, whatever the controllers allocated.
 * Pure but for the process-wide log that the stand-in workers write. */
#ifndef FF_STANDIN_HISTORY_H
#define FF_STANDIN_HISTORY_H
#include <stdbool.h>

#define HISTORY_NAME 64

struct history;
struct history *history_new(void);
void history_free(struct history *history);

/* A task came to a machine, or is gone from it. Times in seconds, in any order. */
void history_task(struct history *history, double at, const char *task, bool comes);
/* A job as its user sees it: when it was accepted, and when it was cancelled. */
void history_accepted(struct history *history, double at, const char *job_id, const char *team, int tasks, double gpus);
void history_cancelled(struct history *history, double at, const char *job_id);

/* The most GPUs that the team's tasks held at one moment. */
double history_peak(const struct history *history, const char *team);
/* The least that they held at any moment of a span. */
double history_least(const struct history *history, const char *team, double from, double to);
/* How often, from one time on, a task that came took its team above the limit. */
int history_above(const struct history *history, const char *team, double limit, double from);
/* The longest time in seconds for which the team held less than its guarantee while a task of it that fits into the
 * guarantee had been accepted, was not cancelled, and had not come. */
double history_starved(const struct history *history, const char *team, double guarantee);
/* How often a task came while it was on another machine. */
int history_twice(const struct history *history);
/* How long from one time on until the team held so much; negative: never. */
double history_reached(const struct history *history, const char *team, double from, double gpus);
/* The longest time in a span without a task of the team that came, while one waited. */
double history_pause(const struct history *history, const char *team, double from, double to);
/* The mean part of the limit in use over a span. */
double history_mean(const struct history *history, const char *team, double from, double to, double limit);

/* The log that the stand-in workers write. */
struct history *history_log(void);
double history_now(void); /* of the log's times */
#endif
