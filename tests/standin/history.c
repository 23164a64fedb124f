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
    struct history *h = g_new0(struct history, 1);
    g_mutex_init(&h->lock);
    h->events = g_array_new(FALSE, FALSE, sizeof(struct event));
    h->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return h;
}

void history_free(struct history *h) {
    g_array_free(h->events, TRUE);
    g_hash_table_destroy(h->jobs);
    g_mutex_clear(&h->lock);
    g_free(h);
}

static void add(struct history *h, double at, enum kind kind, const char *name) {
    struct event e = {.at = at, .kind = kind};
    g_strlcpy(e.name, name, sizeof e.name);
    g_mutex_lock(&h->lock);
    g_array_append_val(h->events, e);
    g_mutex_unlock(&h->lock);
}

void history_task(struct history *h, double at, const char *task, bool comes) {
    add(h, at, comes ? COMES : GOES, task);
}

void history_accepted(struct history *h, double at, const char *job_id, const char *team, int tasks, double gpus) {
    struct job *j = g_new0(struct job, 1);
    g_strlcpy(j->team, team, sizeof j->team);
    j->tasks = tasks;
    j->gpus = gpus;
    g_mutex_lock(&h->lock);
    g_hash_table_replace(h->jobs, g_strdup(job_id), j);
    g_mutex_unlock(&h->lock);
    add(h, at, ACCEPTED, job_id);
}

void history_cancelled(struct history *h, double at, const char *job_id) { add(h, at, CANCELLED, job_id); }

/* At the same time what goes is gone first: a place that is handed on is not held twice. */
static int in_order(gconstpointer a, gconstpointer b) {
    const struct event *x = a, *y = b;
    if (x->at != y->at) return x->at < y->at ? -1 : 1;
    return (x->kind == COMES) - (y->kind == COMES);
}

static GArray *sorted(const struct history *h) {
    GArray *copy = g_array_new(FALSE, FALSE, sizeof(struct event));
    g_mutex_lock((GMutex *)&h->lock);
    if (h->events->len) g_array_append_vals(copy, h->events->data, h->events->len);
    g_mutex_unlock((GMutex *)&h->lock);
    g_array_sort(copy, in_order);
    return copy;
}

static const struct job *job_of(const struct history *h, const char *name) {
    char job_id[HISTORY_NAME];
    g_strlcpy(job_id, name, MIN(sizeof job_id, strcspn(name, "/") + 1));
    return g_hash_table_lookup(h->jobs, job_id);
}

/* The team as one goes through the events in order. */
struct walk {
    const struct history *h;
    const char *team;
    GArray *events;
    guint next;
    double at, gpus;
    bool came;           /* the last event was a task of the team that came */
    GHashTable *waiting; /* uid -> tasks that have not come */
};

static void walk_begin(struct walk *w, const struct history *h, const char *team) {
    memset(w, 0, sizeof *w);
    w->h = h;
    w->team = team;
    w->events = sorted(h);
    w->waiting = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

static void walk_end(struct walk *w) {
    g_array_free(w->events, TRUE);
    g_hash_table_destroy(w->waiting);
}

static void set_waiting(struct walk *w, const char *job_id, int tasks) {
    if (tasks > 0)
        g_hash_table_replace(w->waiting, g_strdup(job_id), GINT_TO_POINTER(tasks));
    else
        g_hash_table_remove(w->waiting, job_id);
}

static bool walk_step(struct walk *w) {
    if (w->next == w->events->len) return false;
    const struct event *e = &g_array_index(w->events, struct event, w->next++);
    const struct job *j = job_of(w->h, e->name);
    w->at = e->at;
    w->came = false;
    if (!j || strcmp(j->team, w->team) != 0) return true;
    char job_id[HISTORY_NAME];
    g_strlcpy(job_id, e->name, MIN(sizeof job_id, strcspn(e->name, "/") + 1));
    int waits = GPOINTER_TO_INT(g_hash_table_lookup(w->waiting, job_id));
    if (e->kind == ACCEPTED) set_waiting(w, job_id, j->tasks);
    if (e->kind == CANCELLED) set_waiting(w, job_id, 0);
    if (e->kind == COMES) {
        w->came = true;
        w->gpus += j->gpus;
        set_waiting(w, job_id, waits - 1);
    }
    if (e->kind == GOES) w->gpus -= j->gpus;
    return true;
}

#define ROUNDING 1e-9

double history_peak(const struct history *h, const char *team) {
    struct walk w;
    double peak = 0;
    walk_begin(&w, h, team);
    while (walk_step(&w)) peak = MAX(peak, w.gpus);
    walk_end(&w);
    return peak;
}

double history_least(const struct history *h, const char *team, double from, double to) {
    struct walk w;
    double least = -1, before = 0;
    walk_begin(&w, h, team);
    while (walk_step(&w) && w.at <= to) {
        if (w.at >= from) least = least < 0 ? MIN(before, w.gpus) : MIN(least, w.gpus);
        before = w.gpus;
    }
    walk_end(&w);
    return least < 0 ? before : least;
}

int history_above(const struct history *h, const char *team, double limit, double from) {
    struct walk w;
    int n = 0;
    walk_begin(&w, h, team);
    while (walk_step(&w)) n += w.came && w.at >= from && w.gpus > limit + ROUNDING;
    walk_end(&w);
    return n;
}

/* The smallest task that waits; 0: none does. */
static double least_waiting(const struct walk *w) {
    GHashTableIter it;
    gpointer job_id;
    double least = 0;
    g_hash_table_iter_init(&it, w->waiting);
    while (g_hash_table_iter_next(&it, &job_id, NULL)) {
        const struct job *j = job_of(w->h, job_id);
        if (least <= 0 || j->gpus < least) least = j->gpus;
    }
    return least;
}

double history_starved(const struct history *h, const char *team, double guarantee) {
    struct walk w;
    double worst = 0, since = -1;
    walk_begin(&w, h, team);
    while (walk_step(&w)) {
        double least = least_waiting(&w);
        bool starves = least > 0 && w.gpus + least <= guarantee + ROUNDING;
        /* Each task that comes is progress: the time for the next begins anew. */
        if (since >= 0 && (!starves || w.came)) worst = MAX(worst, w.at - since);
        if (!starves || w.came || since < 0) since = starves ? w.at : -1;
    }
    if (since >= 0) worst = MAX(worst, w.at - since);
    walk_end(&w);
    return worst;
}

int history_twice(const struct history *h) {
    GArray *events = sorted(h);
    GHashTable *held = g_hash_table_new(g_str_hash, g_str_equal);
    int twice = 0;
    for (guint i = 0; i < events->len; i++) {
        const struct event *e = &g_array_index(events, struct event, i);
        int n = GPOINTER_TO_INT(g_hash_table_lookup(held, e->name));
        if (e->kind != COMES && e->kind != GOES) continue;
        twice += e->kind == COMES && n > 0;
        g_hash_table_insert(held, (gpointer)e->name, GINT_TO_POINTER(n + (e->kind == COMES ? 1 : -1)));
    }
    g_hash_table_destroy(held);
    g_array_free(events, TRUE);
    return twice;
}

double history_reached(const struct history *h, const char *team, double from, double gpus) {
    struct walk w;
    double reached = -1;
    walk_begin(&w, h, team);
    while (reached < 0 && walk_step(&w))
        if (w.at >= from && w.gpus >= gpus - ROUNDING) reached = w.at - from;
    walk_end(&w);
    return reached;
}

double history_pause(const struct history *h, const char *team, double from, double to) {
    struct walk w;
    double worst = 0, since = from;
    bool waited = false; /* before the event */
    walk_begin(&w, h, team);
    while (walk_step(&w) && w.at <= to) {
        if (w.at >= from && w.came) worst = MAX(worst, w.at - since);
        if (w.at >= from && (w.came || !waited)) since = w.at;
        waited = g_hash_table_size(w.waiting) > 0;
    }
    walk_end(&w);
    return worst;
}

double history_mean(const struct history *h, const char *team, double from, double to, double limit) {
    struct walk w;
    double sum = 0, last = from, gpus = 0;
    walk_begin(&w, h, team);
    while (walk_step(&w) && w.at < to) {
        if (w.at > last) {
            sum += gpus * (w.at - last);
            last = w.at;
        }
        gpus = w.gpus;
    }
    sum += gpus * MAX(to - last, 0);
    walk_end(&w);
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
