#include "play.h"

#include <glib.h>
#include <math.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "../tests/standin/cluster.h"
#include "../tests/standin/fleet.h"
#include "../tests/standin/history.h"
#include "../tests/standin/state.h"
#include "clock/clock.h"

#define SHARED_WITHIN_S 20.0
#define DIVIDED_WITHIN_S 10.0
#define JOBS_MAX 4096
#define ARRAY_TASKS_MAX 4

struct play {
    const struct scenario *s;
    GRand *random;
    double began;
    char uids[JOBS_MAX][16];
    int n_jobs;
    bool accepted;
    int owner; /* that a step named by its team */
};

static void tell(const struct play *p, const char *format, ...) G_GNUC_PRINTF(2, 3);
static void tell(const struct play *p, const char *format, ...) {
    va_list args;
    va_start(args, format);
    char *text = g_strdup_vprintf(format, args);
    va_end(args);
    printf("%7.2f  %s\n", history_now() - p->began, text);
    fflush(stdout);
    g_free(text);
}

static char *teams_json(const struct scenario *s) {
    GString *list = g_string_new("[");
    for (int i = 0; i < s->n_teams; i++)
        g_string_append_printf(list, "%s{\"name\":\"%s\",\"cpus\":0,\"cpus_max\":0,\"gpus\":%g,\"gpus_max\":%g}",
                               i ? "," : "", s->teams[i].name, s->teams[i].guarantee, s->teams[i].limit);
    g_string_append(list, "]");
    return g_string_free(list, FALSE);
}

static char *quota_file(const struct scenario *s, bool undivided) {
    GString *file = g_string_new("divide = (");
    for (int i = 0; i < s->n_teams; i++)
        g_string_append_printf(file, "%s { team = \"%s\", shares = %d }", i ? "," : "", s->teams[i].name,
                               undivided ? 1 : s->teams[i].shards);
    g_string_append(file, " )\n");
    return g_string_free(file, FALSE);
}

static bool submit_as(const struct play *p, const char *job_id, int at, int team, const char *shape, int tasks) {
    const struct cluster_job job = {job_id, p->s->teams[team].name, shape, "normal", tasks, 1, 1, NULL};
    double sent = history_now();
    bool accepted = cluster_submit(at, &job) / 100 == 2;
    if (accepted) history_accepted(history_log(), sent, job_id, job.team, tasks, job.gpus);
    if (!accepted) tell(p, "%s was not accepted", job_id);
    return accepted;
}

static const char *new_uid(struct play *p) {
    char *job_id = p->uids[p->n_jobs];
    g_snprintf(job_id, sizeof p->uids[0], "req-1%05d", p->n_jobs++);
    return job_id;
}

static void submit(struct play *p, int at, int team, const char *shape, int tasks) {
    p->accepted &= submit_as(p, new_uid(p), at, team, shape, tasks);
}

/* A controller's part of a flood: every so-manieth job. */
struct flood {
    struct play *p;
    int at, team, first, end;
    bool accepted;
};

static gpointer flood_main(gpointer data) {
    struct flood *f = data;
    f->accepted = true;
    for (int n = f->first + f->at; n < f->end; n += f->p->s->controllers)
        f->accepted &= submit_as(f->p, f->p->uids[n], f->at, f->team, "batch", 1);
    return NULL;
}

/* One-task jobs at all controllers at once. */
static void flood(struct play *p, const struct scenario_step *step) {
    struct flood floods[CLUSTER_MAX];
    GThread *threads[CLUSTER_MAX];
    int first = p->n_jobs;
    for (int n = 0; n < step->count && p->n_jobs < JOBS_MAX; n++) new_uid(p);
    for (int i = 0; i < p->s->controllers; i++) {
        floods[i] = (struct flood){p, i, step->team, first, p->n_jobs, false};
        threads[i] = g_thread_new("flood", flood_main, &floods[i]);
    }
    for (int i = 0; i < p->s->controllers; i++) {
        g_thread_join(threads[i]);
        p->accepted &= floods[i].accepted;
    }
}

/* Jobs of random size, by the seed. */
static void burst(struct play *p, const struct scenario_step *step) {
    for (int n = 0; n < step->count && p->n_jobs < JOBS_MAX; n++) {
        bool gang = g_rand_int_range(p->random, 0, 4) == 0;
        submit(p, n % p->s->controllers, step->team, gang ? "group" : "batch",
               g_rand_int_range(p->random, 1, ARRAY_TASKS_MAX + 1));
    }
}

static void work(struct play *p, const struct scenario_step *step) {
    if (step->action == SCENARIO_GANG)
        submit(p, g_rand_int_range(p->random, 0, p->s->controllers), step->team, "group", step->count);
    else if (step->action == SCENARIO_FLOOD)
        flood(p, step);
    else
        burst(p, step);
}

/* Which controller a step is about. */
static int controller_of(struct play *p, const struct scenario_step *step) {
    if (step->controller >= 0) return step->controller;
    int owner = cluster_owner(step->team % p->s->controllers);
    bool begins = step->action == SCENARIO_END || step->action == SCENARIO_STOP || step->action == SCENARIO_CUT;
    if (begins && owner >= 0) p->owner = owner;
    return p->owner;
}

static void act(struct play *p, const struct scenario_step *step) {
    int c = step->action <= SCENARIO_FLOOD ? -1 : controller_of(p, step);
    if (step->action <= SCENARIO_FLOOD)
        tell(p, "%s of %d, team %s", scenario_action_name(step->action), step->count, p->s->teams[step->team].name);
    else
        tell(p, "%s controller n%d", scenario_action_name(step->action), c);
    switch (step->action) {
        case SCENARIO_BURST:
        case SCENARIO_GANG:
        case SCENARIO_FLOOD:
            work(p, step);
            break;
        case SCENARIO_END:
            cluster_end(c);
            break;
        case SCENARIO_BEGIN:
            cluster_begin(c);
            break;
        case SCENARIO_STOP:
            cluster_stop(c);
            break;
        case SCENARIO_CONTINUE:
            cluster_continue(c);
            break;
        case SCENARIO_CUT:
        case SCENARIO_HEAL:
            cluster_shut(c, step->action == SCENARIO_CUT);
            break;
    }
}

static bool all_end(struct play *p) {
    double began = history_now();
    int done = 0;
    for (; done < p->n_jobs; done++) {
        double left = p->s->jobs_end_within - (history_now() - began);
        if (!cluster_becomes(p->uids[done], "done", MAX(left, 0.5))) break;
    }
    tell(p, "%d of %d jobs are done", done, p->n_jobs);
    return done == p->n_jobs;
}

static bool becomes_divided(const struct scenario *s) {
    struct timespec start = clock_now();
    for (int i = 0; i < s->n_teams; i++) {
        char key[64];
        char *record = NULL;
        g_snprintf(key, sizeof key, "quota/%s", s->teams[i].name);
        while (s->teams[i].shards > 1 && !(record = standin_state_value(key)) &&
               clock_seconds_since(start) < DIVIDED_WITHIN_S)
            clock_sleep(clock_from_seconds(0.05));
        bool there = record || s->teams[i].shards <= 1;
        g_free(record);
        if (!there) return false;
    }
    return true;
}

static bool begin(struct play *p, const char *program, bool undivided) {
    char *teams = teams_json(p->s), *file = quota_file(p->s, undivided);
    const struct cluster_site site = {.controllers = p->s->controllers, .shards = p->s->controllers, .teams = {teams}};
    bool ok = cluster_start(program, &site);
    standin_cloud_willing();
    standin_cloud_capacity(p->s->machines);
    for (int i = 0; ok && i < p->s->controllers; i++) {
        ok = cluster_quota(i, file);
        cluster_begin(i);
    }
    ok = ok && cluster_shared(SHARED_WITHIN_S) && (undivided || becomes_divided(p->s));
    g_free(teams);
    g_free(file);
    return ok;
}

/* What the workers' log shows, team by team. */
static bool judge(const struct play *p, struct play_result *out) {
    bool good = history_twice(history_log()) == 0;
    if (!good) tell(p, "FAIL: a task was on two machines");
    for (int i = 0; i < p->s->n_teams; i++) {
        const struct scenario_team *t = &p->s->teams[i];
        double peak = history_peak(history_log(), t->name), starved = 0;
        if (t->guarantee > 0) starved = history_starved(history_log(), t->name, t->guarantee);
        out->starved_s = MAX(out->starved_s, starved);
        tell(p, "team %s: at most %g GPUs, limit %g; below its guarantee of %g for %.1f s at the longest", t->name,
             peak, t->limit, t->guarantee, starved);
        if (t->limit > 0 && history_above(history_log(), t->name, t->limit, 0) > 0) {
            tell(p, "FAIL: team %s went above its limit", t->name);
            good = false;
        }
        if (starved > p->s->starved_most) {
            tell(p, "FAIL: team %s was below its guarantee for too long", t->name);
            good = false;
        }
    }
    return good;
}

static void measure(struct play_result *out, const struct play *p, double first, double last, const int before[2]) {
    const struct scenario_team *t = &p->s->teams[0];
    out->filled_s = history_reached(history_log(), t->name, first, t->limit);
    out->used = t->limit > 0 ? history_mean(history_log(), t->name, first, last, t->limit) : 0;
    out->pause_s = history_pause(history_log(), t->name, first, last);
    out->starts = standin_workers_starts();
    out->changes = standin_state_epoch() - before[0];
    out->requests = standin_state_requests() - before[1];
    for (int i = 0; i < p->s->controllers; i++) out->busiest_s = MAX(out->busiest_s, cluster_processor_s(i));
}

bool play_scenario(const char *program, const struct scenario *s, unsigned seed, bool undivided,
                   struct play_result *out) {
    struct play p = {.s = s, .random = g_rand_new_with_seed(seed), .accepted = true};
    *out = (struct play_result){0};
    printf("%s; seed %u%s\n", s->what, seed, undivided ? ", teams undivided" : "");
    bool good = begin(&p, program, undivided);
    if (!good) printf("FAIL: the controllers did not begin\n");
    p.began = history_now();
    int before[2] = {good ? standin_state_epoch() : 0, good ? standin_state_requests() : 0};
    for (int i = 0; good && i < s->n_steps; i++) {
        while (history_now() - p.began < s->steps[i].at) clock_sleep(clock_from_seconds(0.01));
        act(&p, &s->steps[i]);
    }
    if (good) {
        bool ended = all_end(&p);
        measure(out, &p, p.began, history_now(), before);
        good = judge(&p, out) && ended && p.accepted;
    }
    cluster_clear();
    g_rand_free(p.random);
    out->passed = good;
    return good;
}
