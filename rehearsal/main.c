/* fieldfield-rehearse plays scenarios of failures on one machine: real controllers run against stand-ins of the cloud,
 * the workers and the state service. */
#include <glib.h>
#include <gsl/gsl_histogram.h>
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "play.h"

enum { EXIT_PASSED = 0, EXIT_FAILED = 1, EXIT_ARGUMENT = 2 };
#define RUNS_MAX 200
#define HISTOGRAM_BINS 8
#define HISTOGRAM_MARGIN 0.001 /* of the range, above the largest value, as a bin excludes its upper end */
#define HISTOGRAM_MARGIN_MIN 1e-6
#define FAULT_BYTES 512

/* The command line. */
struct options {
    char *program, *scenario;
    int seed, runs;
    gboolean undivided, check;
};

/* Takes the lock of rehearsals on this machine; false if another process holds it. Two rehearsals at once would compete
 * for processor time and change each other's figures. */
static bool lock_machine(void) {
    char *path = g_build_filename(g_get_tmp_dir(), "fieldfield-rehearse.lock", NULL);
    FILE *lock = fopen(path, "ae");
    g_free(path);
    return lock && flock(fileno(lock), LOCK_EX | LOCK_NB) == 0; /* held until the process ends */
}

/* Plays a run in a child process. The stand-ins are threads of the child: they start empty for each run, and end with
 * the child, also if the child crashes or is killed. Returns false if the child ended without a result. */
static bool run_in_child(const struct options *options, const struct scenario *scenario, unsigned seed,
                         struct play_result *out) {
    int pipe_ends[2];
    if (pipe(pipe_ends) != 0) return false;
    fflush(stdout);
    pid_t child = fork();
    if (child == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        close(pipe_ends[0]);
        struct play_result result;
        play_scenario(options->program, scenario, seed, options->undivided, &result);
        fflush(stdout);
        _exit(write(pipe_ends[1], &result, sizeof result) == (ssize_t)sizeof result ? EXIT_PASSED : EXIT_FAILED);
    }
    close(pipe_ends[1]);
    bool received = child > 0 && read(pipe_ends[0], out, sizeof *out) == (ssize_t)sizeof *out;
    close(pipe_ends[0]);
    if (child > 0) waitpid(child, NULL, 0);
    return received;
}

/* One figure of all runs. */
struct series {
    const char *label;
    double values[RUNS_MAX];
};

static void print_series(struct series *series, int n) {
    gsl_sort(series->values, 1, (size_t)n);
    double min, max;
    gsl_stats_minmax(&min, &max, series->values, 1, (size_t)n);
    printf("%-44s median %8.2f, from %8.2f to %8.2f  |", series->label,
           gsl_stats_median_from_sorted_data(series->values, 1, (size_t)n), min, max);
    gsl_histogram *histogram = gsl_histogram_alloc(HISTOGRAM_BINS);
    gsl_histogram_set_ranges_uniform(histogram, min, max + (max - min) * HISTOGRAM_MARGIN + HISTOGRAM_MARGIN_MIN);
    for (int i = 0; i < n; i++) gsl_histogram_increment(histogram, series->values[i]);
    for (size_t bin = 0; bin < HISTOGRAM_BINS; bin++) printf(" %.0f", gsl_histogram_get(histogram, bin));
    printf("\n");
    gsl_histogram_free(histogram);
}

enum series_id { TIME_TO_LIMIT, UTILISATION, STARVATION, STORE_CHANGES, START_GAP, STORE_REQUESTS, CPU_TIME, SERIES };

static void print_summary(const struct play_result *results, int n) {
    struct series all[SERIES] = {
        [TIME_TO_LIMIT] = {"time until the limit is in use (s)", {0}},
        [UTILISATION] = {"mean share of the limit in use", {0}},
        [STARVATION] = {"longest time below a guarantee (s)", {0}},
        [STORE_CHANGES] = {"store changes per 100 starts", {0}},
        [START_GAP] = {"longest time without a start (s)", {0}},
        [STORE_REQUESTS] = {"store requests per 100 starts", {0}},
        [CPU_TIME] = {"CPU time of the busiest controller (s)", {0}},
    };
    for (int i = 0; i < n; i++) {
        const struct play_result *result = &results[i];
        double starts = MAX(result->task_starts, 1);
        all[TIME_TO_LIMIT].values[i] = result->time_to_limit_s;
        all[UTILISATION].values[i] = result->mean_utilisation;
        all[STARVATION].values[i] = result->longest_starvation_s;
        all[STORE_CHANGES].values[i] = 100 * result->store_changes / starts;
        all[START_GAP].values[i] = result->longest_start_gap_s;
        all[STORE_REQUESTS].values[i] = 100 * result->store_requests / starts;
        all[CPU_TIME].values[i] = result->busiest_cpu_time_s;
    }
    printf("\n%d runs on loopback, each figure with a histogram of eight equal bins:\n", n);
    for (size_t i = 0; i < SERIES; i++) print_series(&all[i], n);
}

static void options_clear(struct options *options) {
    g_free(options->program);
    g_free(options->scenario);
}

static int rehearse(const struct options *options, const struct scenario *scenario) {
    static struct play_result results[RUNS_MAX];
    int passed = 0;
    for (int i = 0; i < options->runs; i++) {
        bool received = run_in_child(options, scenario, (unsigned)(options->seed + i), &results[i]);
        passed += received && results[i].passed;
        printf("%s\n", received && results[i].passed ? "PASS" : "FAIL");
    }
    if (options->runs > 1) print_summary(results, options->runs);
    printf("%d of %d passed\n", passed, options->runs);
    return passed == options->runs ? EXIT_PASSED : EXIT_FAILED;
}

/* Reads the command line. Prints an error and returns false if it is wrong. */
static bool read_options(struct options *options, int argc, char **argv) {
    const GOptionEntry entries[] = {
        {"program", 'p', 0, G_OPTION_ARG_FILENAME, &options->program, "the program of the controllers", "FILE"},
        {"scenario", 's', 0, G_OPTION_ARG_FILENAME, &options->scenario, "the scenario file", "FILE"},
        {"seed", 0, 0, G_OPTION_ARG_INT, &options->seed, "seed of the first run; each further run adds one", "N"},
        {"runs", 'n', 0, G_OPTION_ARG_INT, &options->runs, "number of runs, one after the other", "N"},
        {"undivided", 0, 0, G_OPTION_ARG_NONE, &options->undivided, "one share for each team, for comparison", NULL},
        {"check", 0, 0, G_OPTION_ARG_NONE, &options->check, "check the scenario and end", NULL},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };
    GError *error = NULL;
    GOptionContext *context = g_option_context_new("- play failure scenarios of a cluster on this machine");
    g_option_context_add_main_entries(context, entries, NULL);
    bool parsed = g_option_context_parse(context, &argc, &argv, &error);
    g_option_context_free(context);
    const char *fault = NULL;
    if (!parsed) {
        fault = error->message;
    } else if (argc > 1 || !options->scenario || (!options->program && !options->check)) {
        fault = "--scenario FILE is needed, and --program FILE except with --check (see --help)";
    } else if (options->runs < 1 || options->runs > RUNS_MAX) {
        fault = "--runs: not a number from 1 to 200";
    }
    if (fault) fprintf(stderr, "fieldfield-rehearse: %s\n", fault);
    g_clear_error(&error);
    return fault == NULL;
}

static int run(const struct options *options) {
    char fault[FAULT_BYTES] = "";
    struct scenario scenario;
    if (!scenario_read(options->scenario, &scenario, fault, sizeof fault)) {
        fprintf(stderr, "fieldfield-rehearse: %s\n", fault);
        return EXIT_ARGUMENT;
    }
    if (options->check) {
        puts("the scenario is good");
        return EXIT_PASSED;
    }
    if (!lock_machine()) {
        fprintf(stderr, "fieldfield-rehearse: another rehearsal is running on this machine, wait until it ends\n");
        return EXIT_ARGUMENT;
    }
    return rehearse(options, &scenario);
}

int main(int argc, char **argv) {
    struct options options = {.seed = 1, .runs = 1};
    int status = read_options(&options, argc, argv) ? run(&options) : EXIT_ARGUMENT;
    options_clear(&options);
    return status;
}
