/* fieldfield-rehearse: plays failures on this machine, against stand-ins of cloud, workers and state service. */
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
#define HISTOGRAM_MARGIN 0.001 /* of the range: the largest value lies within the last bin */
#define HISTOGRAM_MARGIN_LEAST 1e-6
#define FAULT_BYTES 512

struct options {
    char *program, *scenario;
    int seed, runs;
    gboolean undivided, check;
};

/* Only one rehearsal at a time: another would take its processor time and change what it shows. */
static bool alone(void) {
    char *path = g_build_filename(g_get_tmp_dir(), "fieldfield-rehearse.lock", NULL);
    FILE *lock = fopen(path, "ae");
    g_free(path);
    return lock && flock(fileno(lock), LOCK_EX | LOCK_NB) == 0; /* held until the process ends */
}

/* Each run in a process of its own: the stand-ins begin from nothing, and end with it in any way it ends. */
static bool run_apart(const struct options *options, const struct scenario *scenario, unsigned seed,
                      struct play_result *out) {
    int ends[2];
    if (pipe(ends) != 0) return false;
    fflush(stdout);
    pid_t child = fork();
    if (child == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        close(ends[0]);
        struct play_result result;
        play_scenario(options->program, scenario, seed, options->undivided, &result);
        fflush(stdout);
        _exit(write(ends[1], &result, sizeof result) == (ssize_t)sizeof result ? EXIT_PASSED : EXIT_FAILED);
    }
    close(ends[1]);
    bool got = child > 0 && read(ends[0], out, sizeof *out) == (ssize_t)sizeof *out;
    close(ends[0]);
    if (child > 0) waitpid(child, NULL, 0);
    return got;
}

struct series {
    const char *what;
    double values[RUNS_MAX];
};

static void print_series(struct series *series, int n) {
    gsl_sort(series->values, 1, (size_t)n);
    double least, most;
    gsl_stats_minmax(&least, &most, series->values, 1, (size_t)n);
    printf("%-44s median %8.2f, from %8.2f to %8.2f  |", series->what,
           gsl_stats_median_from_sorted_data(series->values, 1, (size_t)n), least, most);
    gsl_histogram *histogram = gsl_histogram_alloc(HISTOGRAM_BINS);
    gsl_histogram_set_ranges_uniform(histogram, least,
                                     most + (most - least) * HISTOGRAM_MARGIN + HISTOGRAM_MARGIN_LEAST);
    for (int i = 0; i < n; i++) gsl_histogram_increment(histogram, series->values[i]);
    for (size_t bin = 0; bin < HISTOGRAM_BINS; bin++) printf(" %.0f", gsl_histogram_get(histogram, bin));
    printf("\n");
    gsl_histogram_free(histogram);
}

enum series_id { FILLED, USED, STARVED, CHANGES, PAUSE, REQUESTS, PROCESSOR, SERIES };

static void summarise(const struct play_result *results, int n) {
    struct series all[SERIES] = {
        [FILLED] = {"until the limit is in use (s)", {0}},
        [USED] = {"part of the limit in use", {0}},
        [STARVED] = {"longest below a guarantee (s)", {0}},
        [CHANGES] = {"changes of the store a 100 starts", {0}},
        [PAUSE] = {"longest without a start, work waiting (s)", {0}},
        [REQUESTS] = {"requests to the store a 100 starts", {0}},
        [PROCESSOR] = {"processor time of the busiest (s)", {0}},
    };
    for (int i = 0; i < n; i++) {
        const struct play_result *result = &results[i];
        double starts = MAX(result->starts, 1);
        all[FILLED].values[i] = result->filled_s;
        all[USED].values[i] = result->used;
        all[STARVED].values[i] = result->starved_s;
        all[CHANGES].values[i] = 100 * result->changes / starts;
        all[PAUSE].values[i] = result->pause_s;
        all[REQUESTS].values[i] = 100 * result->requests / starts;
        all[PROCESSOR].values[i] = result->busiest_s;
    }
    printf("\n%d runs on loopback; a histogram of eight equal steps behind each:\n", n);
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
        bool got = run_apart(options, scenario, (unsigned)(options->seed + i), &results[i]);
        passed += got && results[i].passed;
        printf("%s\n", got && results[i].passed ? "PASS" : "FAIL");
    }
    if (options->runs > 1) summarise(results, options->runs);
    printf("%d of %d passed\n", passed, options->runs);
    return passed == options->runs ? EXIT_PASSED : EXIT_FAILED;
}

/* Reads the command line; what is wrong with it is printed. */
static bool read_options(struct options *options, int argc, char **argv) {
    const GOptionEntry entries[] = {
        {"program", 'p', 0, G_OPTION_ARG_FILENAME, &options->program, "the controllers' program", "FILE"},
        {"scenario", 's', 0, G_OPTION_ARG_FILENAME, &options->scenario, "what is played", "FILE"},
        {"seed", 0, 0, G_OPTION_ARG_INT, &options->seed, "of the first run; each run adds one", "N"},
        {"runs", 'n', 0, G_OPTION_ARG_INT, &options->runs, "how many, one after the other", "N"},
        {"undivided", 0, 0, G_OPTION_ARG_NONE, &options->undivided, "every team in one share, to compare with", NULL},
        {"check", 0, 0, G_OPTION_ARG_NONE, &options->check, "check the scenario and end", NULL},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };
    GError *error = NULL;
    GOptionContext *context = g_option_context_new("- rehearse failures of a cluster on this machine");
    g_option_context_add_main_entries(context, entries, NULL);
    bool parsed = g_option_context_parse(context, &argc, &argv, &error);
    g_option_context_free(context);
    const char *fault = NULL;
    if (!parsed) {
        fault = error->message;
    } else if (argc > 1 || !options->scenario || (!options->program && !options->check)) {
        fault = "--scenario FILE, and --program FILE unless only checking, are needed (see --help)";
    } else if (options->runs < 1 || options->runs > RUNS_MAX) {
        fault = "--runs: not from 1 to 200";
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
    if (!alone()) {
        fprintf(stderr, "fieldfield-rehearse: another rehearsal is still running on this machine; wait for its end\n");
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
