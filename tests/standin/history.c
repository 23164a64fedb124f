#include "history.h"

#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "clock/clock.h"

enum kind { TASK_STARTED, TASK_GONE, JOB_ACCEPTED, JOB_CANCELLED };

/* One event of a task or job. */
struct event {
    double at;
    enum kind kind;
    char name[HISTORY_NAME_BYTES]; /* of a task, JOB/NUMBER, or a job's id */
};

struct job {
    char team[HISTORY_NAME_BYTES];
    int tasks;
    double gpus;
};

struct history {
    GMutex lock;
    GArray *events;
    GHashTable *jobs; /* job id -> struct job */
};

struct history *history_new(void) {
    struct history *history = g_new0(struct history, 1);
    g_mutex_init(&history->lock);
    history->events = g_array_new(FALSE, FALSE, sizeof(struct event));
    history->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return history;
}

void history_free(struct history *history) {
    g_array_free(history->events, TRUE);
    g_hash_table_destroy(history->jobs);
    g_mutex_clear(&history->lock);
    g_free(history);
}

static void add_event(struct history *history, double at, enum kind kind, const char *name) {
    struct event event = {.at = at, .kind = kind};
    g_strlcpy(event.name, name, sizeof event.name);
    g_mutex_lock(&history->lock);
    g_array_append_val(history->events, event);
    g_mutex_unlock(&history->lock);
}

void history_add_task_event(struct history *history, double at, const char *task, bool started) {
    add_event(history, at, started ? TASK_STARTED : TASK_GONE, task);
}

void history_add_accepted_job(struct history *history, double at, const char *job_id, const char *team, int tasks,
                              double gpus) {
    struct job *job = g_new0(struct job, 1);
    g_strlcpy(job->team, team, sizeof job->team);
    job->tasks = tasks;
    job->gpus = gpus;
    g_mutex_lock(&history->lock);
    g_hash_table_replace(history->jobs, g_strdup(job_id), job);
    g_mutex_unlock(&history->lock);
    add_event(history, at, JOB_ACCEPTED, job_id);
}

void history_add_cancelled_job(struct history *history, double at, const char *job_id) {
    add_event(history, at, JOB_CANCELLED, job_id);
}

/* Orders events by time. At the same time ends come before starts, so that a task that moves isn't counted
 * twice. */
static int compare_events(gconstpointer left, gconstpointer right) {
    const struct event *first = left, *second = right;
    if (first->at != second->at) return first->at < second->at ? -1 : 1;
    return (first->kind == TASK_STARTED) - (second->kind == TASK_STARTED);
}

static GArray *copy_sorted_events(const struct history *history) {
    GArray *copy = g_array_new(FALSE, FALSE, sizeof(struct event));
    g_mutex_lock((GMutex *)&history->lock);
    if (history->events->len) g_array_append_vals(copy, history->events->data, history->events->len);
    g_mutex_unlock((GMutex *)&history->lock);
    g_array_sort(copy, compare_events);
    return copy;
}

static const struct job *job_of(const struct history *history, const char *name) {
    char job_id[HISTORY_NAME_BYTES];
    g_strlcpy(job_id, name, MIN(sizeof job_id, strcspn(name, "/") + 1));
    return g_hash_table_lookup(history->jobs, job_id);
}

/* A replay of the events in order, with the state of one team after each. */
struct replay {
    const struct history *history;
    const char *team;
    GArray *events;
    guint next;
    double at, gpus;
    bool started;        /* whether the last event was the start of a task of the team */
    GHashTable *waiting; /* job id -> number of its tasks that were not started yet */
};

static void replay_begin(struct replay *replay, const struct history *history, const char *team) {
    memset(replay, 0, sizeof *replay);
    replay->history = history;
    replay->team = team;
    replay->events = copy_sorted_events(history);
    replay->waiting = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

static void replay_end(struct replay *replay) {
    g_array_free(replay->events, TRUE);
    g_hash_table_destroy(replay->waiting);
}

static void set_waiting(struct replay *replay, const char *job_id, int tasks) {
    if (tasks > 0) {
        g_hash_table_replace(replay->waiting, g_strdup(job_id), GINT_TO_POINTER(tasks));
    } else {
        g_hash_table_remove(replay->waiting, job_id);
    }
}

static bool replay_step(struct replay *replay) {
    if (replay->next == replay->events->len) return false;
    const struct event *event = &g_array_index(replay->events, struct event, replay->next++);
    const struct job *job = job_of(replay->history, event->name);
    replay->at = event->at;
    replay->started = false;
    if (!job || strcmp(job->team, replay->team) != 0) return true;
    char job_id[HISTORY_NAME_BYTES];
    g_strlcpy(job_id, event->name, MIN(sizeof job_id, strcspn(event->name, "/") + 1));
    int waiting = GPOINTER_TO_INT(g_hash_table_lookup(replay->waiting, job_id));
    if (event->kind == JOB_ACCEPTED) set_waiting(replay, job_id, job->tasks);
    if (event->kind == JOB_CANCELLED) set_waiting(replay, job_id, 0);
    if (event->kind == TASK_STARTED) {
        replay->started = true;
        replay->gpus += job->gpus;
        set_waiting(replay, job_id, waiting - 1);
    }
    if (event->kind == TASK_GONE) replay->gpus -= job->gpus;
    return true;
}

#define ROUNDING 1e-9 /* GPUs */

double history_peak_gpus(const struct history *history, const char *team) {
    struct replay replay;
    double peak = 0;
    replay_begin(&replay, history, team);
    while (replay_step(&replay)) peak = MAX(peak, replay.gpus);
    replay_end(&replay);
    return peak;
}

double history_min_gpus(const struct history *history, const char *team, double from, double to) {
    struct replay replay;
    double least = -1, previous = 0;
    replay_begin(&replay, history, team);
    while (replay_step(&replay) && replay.at <= to) {
        if (replay.at >= from) least = least < 0 ? MIN(previous, replay.gpus) : MIN(least, replay.gpus);
        previous = replay.gpus;
    }
    replay_end(&replay);
    return least < 0 ? previous : least;
}

int history_starts_above_limit(const struct history *history, const char *team, double limit, double from) {
    struct replay replay;
    int starts = 0;
    replay_begin(&replay, history, team);
    while (replay_step(&replay)) starts += replay.started && replay.at >= from && replay.gpus > limit + ROUNDING;
    replay_end(&replay);
    return starts;
}

/* The GPUs of the smallest task that waits; 0: none waits. */
static double smallest_waiting_gpus(const struct replay *replay) {
    GHashTableIter iterator;
    gpointer job_id;
    double least = 0;
    g_hash_table_iter_init(&iterator, replay->waiting);
    while (g_hash_table_iter_next(&iterator, &job_id, NULL)) {
        const struct job *job = job_of(replay->history, job_id);
        if (least <= 0 || job->gpus < least) least = job->gpus;
    }
    return least;
}

double history_longest_starvation_s(const struct history *history, const char *team, double guarantee) {
    struct replay replay;
    double longest = 0, since = -1;
    replay_begin(&replay, history, team);
    while (replay_step(&replay)) {
        double smallest = smallest_waiting_gpus(&replay);
        bool starves = smallest > 0 && replay.gpus + smallest <= guarantee + ROUNDING;
        /* Each start is progress, after which the wait for the next one is measured anew. */
        if (since >= 0 && (!starves || replay.started)) longest = MAX(longest, replay.at - since);
        if (!starves || replay.started || since < 0) since = starves ? replay.at : -1;
    }
    if (since >= 0) longest = MAX(longest, replay.at - since);
    replay_end(&replay);
    return longest;
}

int history_duplicate_starts(const struct history *history) {
    GArray *events = copy_sorted_events(history);
    GHashTable *held = g_hash_table_new(g_str_hash, g_str_equal);
    int duplicates = 0;
    for (guint i = 0; i < events->len; i++) {
        const struct event *event = &g_array_index(events, struct event, i);
        int machines = GPOINTER_TO_INT(g_hash_table_lookup(held, event->name));
        if (event->kind != TASK_STARTED && event->kind != TASK_GONE) continue;
        duplicates += event->kind == TASK_STARTED && machines > 0;
        g_hash_table_insert(held, (gpointer)event->name,
                            GINT_TO_POINTER(machines + (event->kind == TASK_STARTED ? 1 : -1)));
    }
    g_hash_table_destroy(held);
    g_array_free(events, TRUE);
    return duplicates;
}

double history_time_to_reach_s(const struct history *history, const char *team, double from, double gpus) {
    struct replay replay;
    double reached = -1;
    replay_begin(&replay, history, team);
    while (reached < 0 && replay_step(&replay))
        if (replay.at >= from && replay.gpus >= gpus - ROUNDING) reached = replay.at - from;
    replay_end(&replay);
    return reached;
}

double history_longest_start_gap_s(const struct history *history, const char *team, double from, double to) {
    struct replay replay;
    double longest = 0, since = from;
    bool waited = false; /* whether tasks waited before the present event */
    replay_begin(&replay, history, team);
    while (replay_step(&replay) && replay.at <= to) {
        if (replay.at >= from && replay.started) longest = MAX(longest, replay.at - since);
        if (replay.at >= from && (replay.started || !waited)) since = replay.at;
        waited = g_hash_table_size(replay.waiting) > 0;
    }
    replay_end(&replay);
    return longest;
}

double history_mean_utilisation(const struct history *history, const char *team, double from, double to, double limit) {
    struct replay replay;
    double sum = 0, last = from, gpus = 0;
    replay_begin(&replay, history, team);
    while (replay_step(&replay) && replay.at < to) {
        if (replay.at > last) {
            sum += gpus * (replay.at - last);
            last = replay.at;
        }
        gpus = replay.gpus;
    }
    sum += gpus * MAX(to - last, 0);
    replay_end(&replay);
    return to > from ? sum / (to - from) / limit : 0;
}

static struct history *process_history;
static struct timespec history_began;

static gpointer create_process_history(gpointer unused) {
    (void)unused;
    history_began = clock_now();
    process_history = history_new();
    return process_history;
}

struct history *history_log(void) {
    static GOnce once = G_ONCE_INIT;
    return g_once(&once, create_process_history, NULL);
}

double history_now(void) {
    history_log();
    return clock_seconds_since(history_began);
}
