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

#define SHARD_OWNERS_TIMEOUT_S 20.0
#define DIVISION_TIMEOUT_S 10.0
#define JOBS_MAX 4096
#define RECORD_POLL_S 0.05
#define STEP_POLL_S 0.01
#define BURST_JOB_TASKS_MAX 4
#define COPY_EFFECT_S 0.5 /* by then, a task that the last copy starts is running */

/* The state of one run. */
struct play {
    const struct scenario *scenario;
    GRand *random;
    double started_at; /* when controllers and teams were ready */
    char job_ids[JOBS_MAX][16];
    int n_jobs;
    bool all_accepted;
    int last_owner; /* the controller that END, STOP or CUT last chose by its team */
};

/* Prints a line that starts with the seconds since the start of the run. */
static void print_event(const struct play *play, const char *format, ...) G_GNUC_PRINTF(2, 3);
static void print_event(const struct play *play, const char *format, ...) {
    va_list args;
    va_start(args, format);
    char *text = g_strdup_vprintf(format, args);
    va_end(args);
    printf("%7.2f  %s\n", history_now() - play->started_at, text);
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

static char *quota_hcl(const struct scenario *scenario, bool undivided) {
    GString *quota = g_string_new("divide = (");
    for (int i = 0; i < scenario->n_teams; i++) {
        g_string_append_printf(quota, "%s { team = \"%s\", shares = %d }", i ? "," : "", scenario->teams[i].name,
                               undivided ? 1 : scenario->teams[i].shards);
    }
    g_string_append(quota, " )\n");
    return g_string_free(quota, FALSE);
}

static bool submit_job(const struct play *play, const char *job_id, int controller, int team, const char *shape,
                       int tasks) {
    const struct cluster_job job = {job_id, play->scenario->teams[team].name, shape, "normal", tasks, 1, 1, NULL};
    double sent_at = history_now();
    bool accepted = cluster_submit(controller, &job) / 100 == 2;
    if (accepted) history_add_accepted_job(history_log(), sent_at, job_id, job.team, tasks, job.gpus);
    if (!accepted) print_event(play, "%s was not accepted", job_id);
    return accepted;
}

static const char *new_job_id(struct play *play) {
    char *job_id = play->job_ids[play->n_jobs];
    g_snprintf(job_id, sizeof play->job_ids[0], "req-1%05d", play->n_jobs++);
    return job_id;
}

static void submit(struct play *play, int controller, int team, const char *shape, int tasks) {
    play->all_accepted &= submit_job(play, new_job_id(play), controller, team, shape, tasks);
}

/* The jobs of a flood that go to one controller. Of the n controllers, each gets every nth job. */
struct flood {
    struct play *play;
    int controller, team, first, end; /* first, end: indices of the whole flood's first job, and behind its last one */
    bool accepted;                    /* whether all of these jobs were accepted */
};

static gpointer flood_main(gpointer data) {
    struct flood *flood = data;
    flood->accepted = true;
    for (int n = flood->first + flood->controller; n < flood->end; n += flood->play->scenario->controllers)
        flood->accepted &= submit_job(flood->play, flood->play->job_ids[n], flood->controller, flood->team, "batch", 1);
    return NULL;
}

/* Submits one-task jobs to all controllers in parallel. */
static void flood(struct play *play, const struct scenario_step *step) {
    struct flood floods[CLUSTER_CONTROLLERS_MAX];
    GThread *threads[CLUSTER_CONTROLLERS_MAX];
    int first = play->n_jobs;
    for (int n = 0; n < step->count && play->n_jobs < JOBS_MAX; n++) new_job_id(play);
    for (int i = 0; i < play->scenario->controllers; i++) {
        floods[i] = (struct flood){play, i, step->team, first, play->n_jobs, false};
        threads[i] = g_thread_new("flood", flood_main, &floods[i]);
    }
    for (int i = 0; i < play->scenario->controllers; i++) {
        g_thread_join(threads[i]);
        play->all_accepted &= floods[i].accepted;
    }
}

/* Submits arrays and gangs to the controllers in turn. Their shapes and sizes are drawn from the seeded generator. */
static void burst(struct play *play, const struct scenario_step *step) {
    for (int n = 0; n < step->count && play->n_jobs < JOBS_MAX; n++) {
        bool gang = g_rand_int_range(play->random, 0, 4) == 0;
        submit(play, n % play->scenario->controllers, step->team, gang ? "group" : "batch",
               g_rand_int_range(play->random, 1, BURST_JOB_TASKS_MAX + 1));
    }
}

static void submit_work(struct play *play, const struct scenario_step *step) {
    if (step->action == SCENARIO_GANG) {
        submit(play, g_rand_int_range(play->random, 0, play->scenario->controllers), step->team, "group", step->count);
    } else if (step->action == SCENARIO_FLOOD) {
        flood(play, step);
    } else {
        burst(play, step);
    }
}

/* The controller that a step acts on; see struct scenario_step. */
static int controller_of_step(struct play *play, const struct scenario_step *step) {
    if (step->controller >= 0) return step->controller;
    int owner = cluster_shard_owner(step->team % play->scenario->controllers);
    bool chooses_owner = step->action == SCENARIO_END || step->action == SCENARIO_STOP || step->action == SCENARIO_CUT;
    if (chooses_owner && owner >= 0) play->last_owner = owner;
    return play->last_owner;
}

static void run_step(struct play *play, const struct scenario_step *step) {
    int controller = step->action <= SCENARIO_FLOOD ? -1 : controller_of_step(play, step);
    if (step->action <= SCENARIO_FLOOD) {
        print_event(play, "%s of %d for team %s", scenario_action_name(step->action), step->count,
                    play->scenario->teams[step->team].name);
    } else {
        print_event(play, "%s controller n%d", scenario_action_name(step->action), controller);
    }
    switch (step->action) {
        case SCENARIO_BURST:
        case SCENARIO_GANG:
        case SCENARIO_FLOOD:
            submit_work(play, step);
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

/* Waits until all jobs are done; returns false if that takes longer than the scenario allows. */
static bool wait_for_jobs(struct play *play) {
    double started_at = history_now();
    int done = 0;
    for (; done < play->n_jobs; done++) {
        double left = play->scenario->jobs_end_within_s - (history_now() - started_at);
        if (!cluster_wait_for_job_state(play->job_ids[done], "done", MAX(left, 0.5))) break;
    }
    print_event(play, "%d of %d jobs are done", done, play->n_jobs);
    return done == play->n_jobs;
}

/* Waits until each team with several shards has its quota record; returns false if one has none in time. */
static bool wait_for_division(const struct scenario *scenario) {
    struct timespec start = clock_now();
    for (int i = 0; i < scenario->n_teams; i++) {
        struct store_key key = store_key_quota(scenario->teams[i].name);
        char *record = NULL;
        while (scenario->teams[i].shards > 1 && !(record = standin_store_value(key.text)) &&
               clock_seconds_since(start) < DIVISION_TIMEOUT_S)
            clock_sleep(clock_from_seconds(RECORD_POLL_S));
        bool divided = record || scenario->teams[i].shards <= 1;
        g_free(record);
        if (!divided) return false;
    }
    return true;
}

/* Starts stand-ins and controllers, and waits until the shards have owners and the teams are divided. */
static bool start_cluster(struct play *play, const char *program, bool undivided) {
    char *teams = teams_json(play->scenario), *quota = quota_hcl(play->scenario, undivided);
    const struct cluster_settings settings = {
        .controllers = play->scenario->controllers, .shards = play->scenario->controllers, .teams = {teams}};
    bool started = cluster_start(program, &settings);
    standin_cloud_stop_refusing_rentals();
    standin_cloud_set_capacity(play->scenario->machines);
    for (int i = 0; started && i < play->scenario->controllers; i++) {
        started = cluster_set_quota_file(i, quota);
        cluster_start_controller(i);
    }
    started = started && cluster_wait_for_shard_owners(SHARD_OWNERS_TIMEOUT_S) &&
              (undivided || wait_for_division(play->scenario));
    g_free(teams);
    g_free(quota);
    return started;
}

/* Checks that no attempt was started twice on a machine, although commands were copied. */
static bool check_attempts(const struct play *play) {
    struct standin_copy_counts copies = standin_workers_command_copies();
    int restarts = standin_workers_restarts();
    print_event(play, "copies of commands: %d carried out, %d refused", copies.carried_out, copies.refused);
    if (restarts > 0) print_event(play, "FAIL: attempts were started %d times again", restarts);
    bool copied = play->scenario->copies_within_s <= 0 || copies.carried_out + copies.refused > 0;
    if (!copied) print_event(play, "FAIL: no command was copied");
    return restarts == 0 && copied;
}

/* Checks the history of tasks, and prints the figures of each team and the failed checks. */
static bool check_history(const struct play *play, struct play_result *out) {
    bool passed = history_duplicate_starts(history_log()) == 0;
    if (!passed) print_event(play, "FAIL: a task was on two machines");
    passed &= check_attempts(play);
    for (int i = 0; i < play->scenario->n_teams; i++) {
        const struct scenario_team *team = &play->scenario->teams[i];
        double peak = history_peak_gpus(history_log(), team->name), starved = 0;
        if (team->guarantee > 0) starved = history_longest_starvation_s(history_log(), team->name, team->guarantee);
        out->longest_starvation_s = MAX(out->longest_starvation_s, starved);
        print_event(play, "team %s: peak %g GPUs, limit %g; below its guarantee of %g for up to %.1f s", team->name,
                    peak, team->limit, team->guarantee, starved);
        if (team->limit > 0 && history_starts_above_limit(history_log(), team->name, team->limit, 0) > 0) {
            print_event(play, "FAIL: team %s went above its limit", team->name);
            passed = false;
        }
        if (starved > play->scenario->starvation_limit_s) {
            print_event(play, "FAIL: team %s was below its guarantee for too long", team->name);
            passed = false;
        }
    }
    return passed;
}

/* Fills in the figures for the time from first to last. `before` holds the store's revision and request count at first.
 */
static void measure(struct play_result *out, const struct play *play, double first, double last, const int before[2]) {
    const struct scenario_team *team = &play->scenario->teams[0];
    out->time_to_limit_s = history_time_to_reach_s(history_log(), team->name, first, team->limit);
    out->mean_utilisation =
        team->limit > 0 ? history_mean_utilisation(history_log(), team->name, first, last, team->limit) : 0;
    out->longest_start_gap_s = history_longest_start_gap_s(history_log(), team->name, first, last);
    out->task_starts = standin_workers_starts();
    out->store_changes = standin_store_revision() - before[0];
    out->store_requests = standin_store_requests() - before[1];
    for (int i = 0; i < play->scenario->controllers; i++)
        out->busiest_cpu_time_s = MAX(out->busiest_cpu_time_s, cluster_cpu_time_s(i));
}

bool play_scenario(const char *program, const struct scenario *scenario, unsigned seed, bool undivided,
                   struct play_result *out) {
    struct play play = {.scenario = scenario, .random = g_rand_new_with_seed(seed), .all_accepted = true};
    *out = (struct play_result){0};
    printf("%s; seed %u%s\n", scenario->description, seed, undivided ? ", teams undivided" : "");
    bool passed = start_cluster(&play, program, undivided);
    if (!passed) printf("FAIL: the controllers did not start, or the shards or teams weren't ready in time\n");
    play.started_at = history_now();
    if (scenario->copies_within_s > 0)
        standin_workers_copy_commands(&(struct standin_copy_delay){0, scenario->copies_within_s, seed});
    int before[2] = {passed ? standin_store_revision() : 0, passed ? standin_store_requests() : 0};
    for (int i = 0; passed && i < scenario->n_steps; i++) {
        while (history_now() - play.started_at < scenario->steps[i].at_s) clock_sleep(clock_from_seconds(STEP_POLL_S));
        run_step(&play, &scenario->steps[i]);
    }
    if (passed) {
        bool ended = wait_for_jobs(&play);
        measure(out, &play, play.started_at, history_now(), before);
        if (scenario->copies_within_s > 0) clock_sleep(clock_from_seconds(scenario->copies_within_s + COPY_EFFECT_S));
        passed = check_history(&play, out) && ended && play.all_accepted;
    }
    cluster_teardown();
    g_rand_free(play.random);
    out->passed = passed;
    return passed;
}
