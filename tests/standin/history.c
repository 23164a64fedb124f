#include "history.h"

#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "clock/clock.h"

enum kind { COMES, GOES, ACCEPTED, CANCELLED };

struct event {
    double at;
    enum kind kind;
    char name[HISTORY_NAME]; /* of a task, or of a job */
};

struct job {
    char team[HISTORY_NAME];
    int tasks;
    double gpus;
};

struct history {
    GMutex lock;
    GArray *events;
    GHashTable *jobs; /* uid -> struct job */
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

static void add(struct history *history, double at, enum kind kind, const char *name) {
    struct event event = {.at = at, .kind = kind};
    g_strlcpy(event.name, name, sizeof event.name);
    g_mutex_lock(&history->lock);
    g_array_append_val(history->events, event);
    g_mutex_unlock(&history->lock);
}

void history_task(struct history *history, double at, const char *task, bool comes) {
    add(history, at, comes ? COMES : GOES, task);
}

void history_accepted(struct history *history, double at, const char *job_id, const char *team, int tasks,
                      double gpus) {
    struct job *job = g_new0(struct job, 1);
    g_strlcpy(job->team, team, sizeof job->team);
    job->tasks = tasks;
    job->gpus = gpus;
    g_mutex_lock(&history->lock);
    g_hash_table_replace(history->jobs, g_strdup(job_id), job);
    g_mutex_unlock(&history->lock);
    add(history, at, ACCEPTED, job_id);
}

void history_cancelled(struct history *history, double at, const char *job_id) { add(history, at, CANCELLED, job_id); }

/* At the same time what goes is gone first: a place that is handed on is not held twice. */
static int in_order(gconstpointer left, gconstpointer right) {
    const struct event *first = left, *second = right;
    if (first->at != second->at) return first->at < second->at ? -1 : 1;
    return (first->kind == COMES) - (second->kind == COMES);
}

static GArray *sorted(const struct history *history) {
    GArray *copy = g_array_new(FALSE, FALSE, sizeof(struct event));
    g_mutex_lock((GMutex *)&history->lock);
    if (history->events->len) g_array_append_vals(copy, history->events->data, history->events->len);
    g_mutex_unlock((GMutex *)&history->lock);
    g_array_sort(copy, in_order);
    return copy;
}

static const struct job *job_of(const struct history *history, const char *name) {
    char job_id[HISTORY_NAME];
    g_strlcpy(job_id, name, MIN(sizeof job_id, strcspn(name, "/") + 1));
    return g_hash_table_lookup(history->jobs, job_id);
}

/* The team as one goes through the events in order. */
struct walk {
    const struct history *history;
    const char *team;
    GArray *events;
    guint next;
    double at, gpus;
    bool came;           /* the last event was a task of the team that came */
    GHashTable *waiting; /* uid -> tasks that have not come */
};

static void walk_begin(struct walk *walk, const struct history *history, const char *team) {
    memset(walk, 0, sizeof *walk);
    walk->history = history;
    walk->team = team;
    walk->events = sorted(history);
    walk->waiting = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

static void walk_end(struct walk *walk) {
    g_array_free(walk->events, TRUE);
    g_hash_table_destroy(walk->waiting);
}

static void set_waiting(struct walk *walk, const char *job_id, int tasks) {
    if (tasks > 0) {
        g_hash_table_replace(walk->waiting, g_strdup(job_id), GINT_TO_POINTER(tasks));
    } else {
        g_hash_table_remove(walk->waiting, job_id);
    }
}

static bool walk_step(struct walk *walk) {
    if (walk->next == walk->events->len) return false;
    const struct event *event = &g_array_index(walk->events, struct event, walk->next++);
    const struct job *job = job_of(walk->history, event->name);
    walk->at = event->at;
    walk->came = false;
    if (!job || strcmp(job->team, walk->team) != 0) return true;
    char job_id[HISTORY_NAME];
    g_strlcpy(job_id, event->name, MIN(sizeof job_id, strcspn(event->name, "/") + 1));
    int waits = GPOINTER_TO_INT(g_hash_table_lookup(walk->waiting, job_id));
    if (event->kind == ACCEPTED) set_waiting(walk, job_id, job->tasks);
    if (event->kind == CANCELLED) set_waiting(walk, job_id, 0);
    if (event->kind == COMES) {
        walk->came = true;
        walk->gpus += job->gpus;
        set_waiting(walk, job_id, waits - 1);
    }
    if (event->kind == GOES) walk->gpus -= job->gpus;
    return true;
}

#define ROUNDING 1e-9

double history_peak(const struct history *history, const char *team) {
    struct walk walk;
    double peak = 0;
    walk_begin(&walk, history, team);
    while (walk_step(&walk)) peak = MAX(peak, walk.gpus);
    walk_end(&walk);
    return peak;
}

double history_least(const struct history *history, const char *team, double from, double to) {
    struct walk walk;
    double least = -1, before = 0;
    walk_begin(&walk, history, team);
    while (walk_step(&walk) && walk.at <= to) {
        if (walk.at >= from) least = least < 0 ? MIN(before, walk.gpus) : MIN(least, walk.gpus);
        before = walk.gpus;
    }
    walk_end(&walk);
    return least < 0 ? before : least;
}

int history_above(const struct history *history, const char *team, double limit, double from) {
    struct walk walk;
    int n = 0;
    walk_begin(&walk, history, team);
    while (walk_step(&walk)) n += walk.came && walk.at >= from && walk.gpus > limit + ROUNDING;
    walk_end(&walk);
    return n;
}

/* The smallest task that waits; 0: none does. */
static double least_waiting(const struct walk *walk) {
    GHashTableIter iterator;
    gpointer job_id;
    double least = 0;
    g_hash_table_iter_init(&iterator, walk->waiting);
    while (g_hash_table_iter_next(&iterator, &job_id, NULL)) {
        const struct job *job = job_of(walk->history, job_id);
        if (least <= 0 || job->gpus < least) least = job->gpus;
    }
    return least;
}

double history_starved(const struct history *history, const char *team, double guarantee) {
    struct walk walk;
    double worst = 0, since = -1;
    walk_begin(&walk, history, team);
    while (walk_step(&walk)) {
        double least = least_waiting(&walk);
        bool starves = least > 0 && walk.gpus + least <= guarantee + ROUNDING;
        /* Each task that comes is progress: the time for the next begins anew. */
        if (since >= 0 && (!starves || walk.came)) worst = MAX(worst, walk.at - since);
        if (!starves || walk.came || since < 0) since = starves ? walk.at : -1;
    }
    if (since >= 0) worst = MAX(worst, walk.at - since);
    walk_end(&walk);
    return worst;
}

int history_twice(const struct history *history) {
    GArray *events = sorted(history);
    GHashTable *held = g_hash_table_new(g_str_hash, g_str_equal);
    int twice = 0;
    for (guint i = 0; i < events->len; i++) {
        const struct event *event = &g_array_index(events, struct event, i);
        int n = GPOINTER_TO_INT(g_hash_table_lookup(held, event->name));
        if (event->kind != COMES && event->kind != GOES) continue;
        twice += event->kind == COMES && n > 0;
        g_hash_table_insert(held, (gpointer)event->name, GINT_TO_POINTER(n + (event->kind == COMES ? 1 : -1)));
    }
    g_hash_table_destroy(held);
    g_array_free(events, TRUE);
    return twice;
}

double history_reached(const struct history *history, const char *team, double from, double gpus) {
    struct walk walk;
    double reached = -1;
    walk_begin(&walk, history, team);
    while (reached < 0 && walk_step(&walk))
        if (walk.at >= from && walk.gpus >= gpus - ROUNDING) reached = walk.at - from;
    walk_end(&walk);
    return reached;
}

double history_pause(const struct history *history, const char *team, double from, double to) {
    struct walk walk;
    double worst = 0, since = from;
    bool waited = false; /* before the event */
    walk_begin(&walk, history, team);
    while (walk_step(&walk) && walk.at <= to) {
        if (walk.at >= from && walk.came) worst = MAX(worst, walk.at - since);
        if (walk.at >= from && (walk.came || !waited)) since = walk.at;
        waited = g_hash_table_size(walk.waiting) > 0;
    }
    walk_end(&walk);
    return worst;
}

double history_mean(const struct history *history, const char *team, double from, double to, double limit) {
    struct walk walk;
    double sum = 0, last = from, gpus = 0;
    walk_begin(&walk, history, team);
    while (walk_step(&walk) && walk.at < to) {
        if (walk.at > last) {
            sum += gpus * (walk.at - last);
            last = walk.at;
        }
        gpus = walk.gpus;
    }
    sum += gpus * MAX(to - last, 0);
    walk_end(&walk);
    return to > from ? sum / (to - from) / limit : 0;
}

static struct history *the_log;
static struct timespec log_began;

static gpointer make_log(gpointer unused) {
    (void)unused;
    log_began = clock_now();
    the_log = history_new();
    return the_log;
}

struct history *history_log(void) {
    static GOnce once = G_ONCE_INIT;
    return g_once(&once, make_log, NULL);
}

double history_now(void) {
    history_log();
    return clock_seconds_since(log_began);
}
