#include "play.h"

#include <glib.h>
#include <math.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "../tests/standin/cloud.h"
#include "../tests/standin/cluster.h"
#include "../tests/standin/history.h"
#include "../tests/standin/store.h"
#include "../tests/standin/workers.h"
#include "clock/clock.h"
#include "store/keys.h"

#define SHARED_WITHIN_S 20.0
#define DIVIDED_WITHIN_S 10.0
#define JOBS_MAX 4096
#define LOOK_PAUSE_S 0.05
#define STEP_PAUSE_S 0.01
#define ARRAY_TASKS_MAX 4

struct play {
    const struct scenario *scenario;
    GRand *random;
    double began;
    char uids[JOBS_MAX][16];
    int n_jobs;
    bool accepted;
    int owner; /* that a step named by its team */
};

static void tell(const struct play *play, const char *format, ...) G_GNUC_PRINTF(2, 3);
static void tell(const struct play *play, const char *format, ...) {
    va_list args;
    va_start(args, format);
    char *text = g_strdup_vprintf(format, args);
    va_end(args);
    printf("%7.2f  %s\n", history_now() - play->began, text);
    fflush(stdout);
    g_free(text);
}

static char *teams_json(const struct scenario *scenario) {
    GString *list = g_string_new("[");
    for (int i = 0; i < scenario->n_teams; i++) {
        g_string_append_printf(list, "%s{\"name\":\"%s\",\"cpus\":0,\"cpus_max\":0,\"gpus\":%g,\"gpus_max\":%g}",
                               i ? "," : "", scenario->teams[i].name, scenario->teams[i].guarantee,
                               scenario->teams[i].limit);
    }
    g_string_append(list, "]");
    return g_string_free(list, FALSE);
}

static char *quota_file(const struct scenario *scenario, bool undivided) {
    GString *file = g_string_new("divide = (");
    for (int i = 0; i < scenario->n_teams; i++) {
        g_string_append_printf(file, "%s { team = \"%s\", shares = %d }", i ? "," : "", scenario->teams[i].name,
                               undivided ? 1 : scenario->teams[i].shards);
    }
    g_string_append(file, " )\n");
    return g_string_free(file, FALSE);
}

static bool submit_as(const struct play *play, const char *job_id, int at, int team, const char *shape, int tasks) {
    const struct cluster_job job = {job_id, play->scenario->teams[team].name, shape, "normal", tasks, 1, 1, NULL};
    double sent = history_now();
    bool accepted = cluster_submit(at, &job) / 100 == 2;
    if (accepted) history_accepted(history_log(), sent, job_id, job.team, tasks, job.gpus);
    if (!accepted) tell(play, "%s was not accepted", job_id);
    return accepted;
}

static const char *new_uid(struct play *play) {
    char *job_id = play->uids[play->n_jobs];
    g_snprintf(job_id, sizeof play->uids[0], "req-1%05d", play->n_jobs++);
    return job_id;
}

static void submit(struct play *play, int at, int team, const char *shape, int tasks) {
    play->accepted &= submit_as(play, new_uid(play), at, team, shape, tasks);
}

/* A controller's part of a flood: every so-manieth job. */
struct flood {
    struct play *play;
    int at, team, first, end;
    bool accepted;
};

static gpointer flood_main(gpointer data) {
    struct flood *flood = data;
    flood->accepted = true;
    for (int n = flood->first + flood->at; n < flood->end; n += flood->play->scenario->controllers)
        flood->accepted &= submit_as(flood->play, flood->play->uids[n], flood->at, flood->team, "batch", 1);
    return NULL;
}

/* One-task jobs at all controllers at once. */
static void flood(struct play *play, const struct scenario_step *step) {
    struct flood floods[CLUSTER_MAX];
    GThread *threads[CLUSTER_MAX];
    int first = play->n_jobs;
    for (int n = 0; n < step->count && play->n_jobs < JOBS_MAX; n++) new_uid(play);
    for (int i = 0; i < play->scenario->controllers; i++) {
        floods[i] = (struct flood){play, i, step->team, first, play->n_jobs, false};
        threads[i] = g_thread_new("flood", flood_main, &floods[i]);
    }
    for (int i = 0; i < play->scenario->controllers; i++) {
        g_thread_join(threads[i]);
        play->accepted &= floods[i].accepted;
    }
}

/* Jobs of random size, by the seed. */
static void burst(struct play *play, const struct scenario_step *step) {
    for (int n = 0; n < step->count && play->n_jobs < JOBS_MAX; n++) {
        bool gang = g_rand_int_range(play->random, 0, 4) == 0;
        submit(play, n % play->scenario->controllers, step->team, gang ? "group" : "batch",
               g_rand_int_range(play->random, 1, ARRAY_TASKS_MAX + 1));
    }
}

static void work(struct play *play, const struct scenario_step *step) {
    if (step->action == SCENARIO_GANG) {
        submit(play, g_rand_int_range(play->random, 0, play->scenario->controllers), step->team, "group", step->count);
    } else if (step->action == SCENARIO_FLOOD) {
        flood(play, step);
    } else {
        burst(play, step);
    }
}

/* Which controller a step is about. */
static int controller_of(struct play *play, const struct scenario_step *step) {
    if (step->controller >= 0) return step->controller;
    int owner = cluster_owner(step->team % play->scenario->controllers);
    bool begins = step->action == SCENARIO_END || step->action == SCENARIO_STOP || step->action == SCENARIO_CUT;
    if (begins && owner >= 0) play->owner = owner;
    return play->owner;
}

static void act(struct play *play, const struct scenario_step *step) {
    int controller = step->action <= SCENARIO_FLOOD ? -1 : controller_of(play, step);
    if (step->action <= SCENARIO_FLOOD) {
        tell(play, "%s of %d, team %s", scenario_action_name(step->action), step->count,
             play->scenario->teams[step->team].name);
    } else {
        tell(play, "%s controller n%d", scenario_action_name(step->action), controller);
    }
    switch (step->action) {
        case SCENARIO_BURST:
        case SCENARIO_GANG:
        case SCENARIO_FLOOD:
            work(play, step);
            break;
        case SCENARIO_END:
            cluster_kill_controller(controller);
            break;
        case SCENARIO_BEGIN:
            cluster_start_controller(controller);
            break;
        case SCENARIO_STOP:
            cluster_pause_controller(controller);
            break;
        case SCENARIO_CONTINUE:
            cluster_resume_controller(controller);
            break;
        case SCENARIO_CUT:
        case SCENARIO_HEAL:
            cluster_refuse_store(controller, step->action == SCENARIO_CUT);
            break;
    }
}

static bool all_end(struct play *play) {
    double began = history_now();
    int done = 0;
    for (; done < play->n_jobs; done++) {
        double left = play->scenario->jobs_end_within - (history_now() - began);
        if (!cluster_job_becomes(play->uids[done], "done", MAX(left, 0.5))) break;
    }
    tell(play, "%d of %d jobs are done", done, play->n_jobs);
    return done == play->n_jobs;
}

static bool becomes_divided(const struct scenario *scenario) {
    struct timespec start = clock_now();
    for (int i = 0; i < scenario->n_teams; i++) {
        struct store_key key = store_key_quota(scenario->teams[i].name);
        char *record = NULL;
        while (scenario->teams[i].shards > 1 && !(record = standin_store_value(key.text)) &&
               clock_seconds_since(start) < DIVIDED_WITHIN_S)
            clock_sleep(clock_from_seconds(LOOK_PAUSE_S));
        bool there = record || scenario->teams[i].shards <= 1;
        g_free(record);
        if (!there) return false;
    }
    return true;
}

static bool begin(struct play *play, const char *program, bool undivided) {
    char *teams = teams_json(play->scenario), *file = quota_file(play->scenario, undivided);
    const struct cluster_settings site = {
        .controllers = play->scenario->controllers, .shards = play->scenario->controllers, .teams = {teams}};
    bool started = cluster_start(program, &site);
    standin_cloud_refuse_no_rental();
    standin_cloud_set_capacity(play->scenario->machines);
    for (int i = 0; started && i < play->scenario->controllers; i++) {
        started = cluster_quota(i, file);
        cluster_start_controller(i);
    }
    started = started && cluster_all_shards_owned(SHARED_WITHIN_S) && (undivided || becomes_divided(play->scenario));
    g_free(teams);
    g_free(file);
    return started;
}

/* What the workers' log shows, team by team. */
static bool judge(const struct play *play, struct play_result *out) {
    bool good = history_twice(history_log()) == 0;
    if (!good) tell(play, "FAIL: a task was on two machines");
    for (int i = 0; i < play->scenario->n_teams; i++) {
        const struct scenario_team *team = &play->scenario->teams[i];
        double peak = history_peak(history_log(), team->name), starved = 0;
        if (team->guarantee > 0) starved = history_starved(history_log(), team->name, team->guarantee);
        out->starved_s = MAX(out->starved_s, starved);
        tell(play, "team %s: at most %g GPUs, limit %g; below its guarantee of %g for %.1f s at the longest",
             team->name, peak, team->limit, team->guarantee, starved);
        if (team->limit > 0 && history_above(history_log(), team->name, team->limit, 0) > 0) {
            tell(play, "FAIL: team %s went above its limit", team->name);
            good = false;
        }
        if (starved > play->scenario->starved_most) {
            tell(play, "FAIL: team %s was below its guarantee for too long", team->name);
            good = false;
        }
    }
    return good;
}

static void measure(struct play_result *out, const struct play *play, double first, double last, const int before[2]) {
    const struct scenario_team *team = &play->scenario->teams[0];
    out->filled_s = history_reached(history_log(), team->name, first, team->limit);
    out->used = team->limit > 0 ? history_mean(history_log(), team->name, first, last, team->limit) : 0;
    out->pause_s = history_pause(history_log(), team->name, first, last);
    out->starts = standin_workers_starts();
    out->changes = standin_store_revision() - before[0];
    out->requests = standin_store_requests() - before[1];
    for (int i = 0; i < play->scenario->controllers; i++) out->busiest_s = MAX(out->busiest_s, cluster_processor_s(i));
}

bool play_scenario(const char *program, const struct scenario *scenario, unsigned seed, bool undivided,
                   struct play_result *out) {
    struct play play = {.scenario = scenario, .random = g_rand_new_with_seed(seed), .accepted = true};
    *out = (struct play_result){0};
    printf("%s; seed %u%s\n", scenario->what, seed, undivided ? ", teams undivided" : "");
    bool good = begin(&play, program, undivided);
    if (!good) printf("FAIL: the controllers did not begin\n");
    play.began = history_now();
    int before[2] = {good ? standin_store_revision() : 0, good ? standin_store_requests() : 0};
    for (int i = 0; good && i < scenario->n_steps; i++) {
        while (history_now() - play.began < scenario->steps[i].at) clock_sleep(clock_from_seconds(STEP_PAUSE_S));
        act(&play, &scenario->steps[i]);
    }
    if (good) {
        bool ended = all_end(&play);
        measure(out, &play, play.began, history_now(), before);
        good = judge(&play, out) && ended && play.accepted;
    }
    cluster_clear();
    g_rand_free(play.random);
    out->passed = good;
    return good;
}
