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
static bool run_apart(const struct options *o, const struct scenario *s, unsigned seed, struct play_result *out) {
    int ends[2];
    if (pipe(ends) != 0) return false;
    fflush(stdout);
    pid_t child = fork();
    if (child == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        close(ends[0]);
        struct play_result r;
        play_scenario(o->program, s, seed, o->undivided, &r);
        fflush(stdout);
        _exit(write(ends[1], &r, sizeof r) == (ssize_t)sizeof r ? EXIT_PASSED : EXIT_FAILED);
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
    gsl_histogram *h = gsl_histogram_alloc(8);
    gsl_histogram_set_ranges_uniform(h, least, most + (most - least) * 0.001 + 1e-6);
    for (int i = 0; i < n; i++) gsl_histogram_increment(h, series->values[i]);
    for (size_t b = 0; b < 8; b++) printf(" %.0f", gsl_histogram_get(h, b));
    printf("\n");
    gsl_histogram_free(h);
}

static void summarise(const struct play_result *results, int n) {
    struct series all[] = {{"until the limit is in use (s)", {0}},
                           {"part of the limit in use", {0}},
                           {"longest below a guarantee (s)", {0}},
                           {"changes of the store a 100 starts", {0}},
                           {"longest without a start, work waiting (s)", {0}},
                           {"requests to the store a 100 starts", {0}},
                           {"processor time of the busiest (s)", {0}}};
    for (int i = 0; i < n; i++) {
        const struct play_result *r = &results[i];
        double starts = MAX(r->starts, 1);
        all[0].values[i] = r->filled_s;
        all[1].values[i] = r->used;
        all[2].values[i] = r->starved_s;
        all[3].values[i] = 100 * r->changes / starts;
        all[4].values[i] = r->pause_s;
        all[5].values[i] = 100 * r->requests / starts;
        all[6].values[i] = r->busiest_s;
    }
    printf("\n%d runs on loopback; a histogram of eight equal steps behind each:\n", n);
    for (size_t i = 0; i < G_N_ELEMENTS(all); i++) print_series(&all[i], n);
}

static void options_clear(struct options *o) {
    g_free(o->program);
    g_free(o->scenario);
}

static int rehearse(const struct options *o, const struct scenario *s) {
    static struct play_result results[RUNS_MAX];
    int passed = 0;
    for (int i = 0; i < o->runs; i++) {
        bool got = run_apart(o, s, (unsigned)(o->seed + i), &results[i]);
        passed += got && results[i].passed;
        printf("%s\n", got && results[i].passed ? "PASS" : "FAIL");
    }
    if (o->runs > 1) summarise(results, o->runs);
    printf("%d of %d passed\n", passed, o->runs);
    return passed == o->runs ? EXIT_PASSED : EXIT_FAILED;
}

/* Reads the command line; what is wrong with it is printed. */
static bool read_options(struct options *o, int argc, char **argv) {
    const GOptionEntry entries[] = {
        {"program", 'p', 0, G_OPTION_ARG_FILENAME, &o->program, "the controllers' program", "FILE"},
        {"scenario", 's', 0, G_OPTION_ARG_FILENAME, &o->scenario, "what is played", "FILE"},
        {"seed", 0, 0, G_OPTION_ARG_INT, &o->seed, "of the first run; each run adds one", "N"},
        {"runs", 'n', 0, G_OPTION_ARG_INT, &o->runs, "how many, one after the other", "N"},
        {"undivided", 0, 0, G_OPTION_ARG_NONE, &o->undivided, "every team in one share, to compare with", NULL},
        {"check", 0, 0, G_OPTION_ARG_NONE, &o->check, "check the scenario and end", NULL},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };
    GError *error = NULL;
    GOptionContext *context = g_option_context_new("- rehearse failures of a cluster on this machine");
    g_option_context_add_main_entries(context, entries, NULL);
    bool parsed = g_option_context_parse(context, &argc, &argv, &error);
    g_option_context_free(context);
    const char *fault = NULL;
    if (!parsed)
        fault = error->message;
    else if (argc > 1 || !o->scenario || (!o->program && !o->check))
        fault = "--scenario FILE, and --program FILE unless only checking, are needed (see --help)";
    else if (o->runs < 1 || o->runs > RUNS_MAX)
        fault = "--runs: not from 1 to 200";
    if (fault) fprintf(stderr, "fieldfield-rehearse: %s\n", fault);
    g_clear_error(&error);
    return fault == NULL;
}

static int run(const struct options *o) {
    char fault[512] = "";
    struct scenario s;
    if (!scenario_read(o->scenario, &s, fault, sizeof fault)) {
        fprintf(stderr, "fieldfield-rehearse: %s\n", fault);
        return EXIT_ARGUMENT;
    }
    if (o->check) {
        puts("the scenario is good");
        return EXIT_PASSED;
    }
    if (!alone()) {
        fprintf(stderr, "fieldfield-rehearse: another rehearsal is still running on this machine; wait for its end\n");
        return EXIT_ARGUMENT;
    }
    return rehearse(o, &s);
}

int main(int argc, char **argv) {
    struct options o = {.seed = 1, .runs = 1};
    int status = read_options(&o, argc, argv) ? run(&o) : EXIT_ARGUMENT;
    options_clear(&o);
    return status;
}
