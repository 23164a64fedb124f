/* The command line: reads the options and settings, starts the service, and logs its status periodically. */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "logging/logging.h"
#include "service/service.h"
#include "settings/settings.h"

#define VERSION "0.1.0"
#ifndef FF_REVISION /* the source's revision, set by the build */
#define FF_REVISION "unknown"
#endif
#define STATUS_INTERVAL_S 10

/* Exit statuses. */
enum { EXIT_CANNOT_LISTEN = 1, EXIT_USAGE = 2 };

struct options {
    gchar *config, *quota;
    gboolean check, version;
};

static int usage_error(const char *message) {
    fprintf(stderr, "fieldfield: %s\n", message);
    return EXIT_USAGE;
}

static bool parse_options(int *argc, char ***argv, struct options *out, GError **error) {
    const GOptionEntry entries[] = {
        {"config", 'c', 0, G_OPTION_ARG_FILENAME, &out->config, "the platform's settings (JSON)", "FILE"},
        {"quota", 0, 0, G_OPTION_ARG_FILENAME, &out->quota, "which teams are divided (HCL), see docs/quota.md", "FILE"},
        {"check", 0, 0, G_OPTION_ARG_NONE, &out->check, "check the settings and end", NULL},
        {"version", 0, 0, G_OPTION_ARG_NONE, &out->version, "print the version and end", NULL},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };
    g_autoptr(GOptionContext) context = g_option_context_new("- a cluster scheduler");
    g_option_context_set_description(
        context,
        "Operators' own settings (HCL) are read from the file that FIELDFIELD_TUNING names; FIELDFIELD_QUOTA\n"
        "names the file that --quota does.\n"
        "LOG_LEVEL is error, info or debug.");
    g_option_context_add_main_entries(context, entries, NULL);
    return g_option_context_parse(context, argc, argv, error);
}

/* Runs until the process is killed. Returns an exit status only if it cannot listen. */
static int run(const struct settings *settings) {
    logging_init(getenv("LOG_LEVEL"));
    log_info("fieldfield " VERSION " (revision " FF_REVISION ") on %s", settings->node);
    service_init(settings);
    if (!service_start(settings)) {
        fprintf(stderr, "fieldfield: bind or cluster_listen: cannot listen\n");
        return EXIT_CANNOT_LISTEN;
    }
    for (;;) {
        sleep(STATUS_INTERVAL_S);
        service_log_status();
    }
}

int main(int argc, char **argv) {
    static struct settings settings; /* static, because the threads keep pointers to it */
    struct options options = {NULL, NULL, FALSE, FALSE};
    g_autoptr(GError) error = NULL;
    if (!parse_options(&argc, &argv, &options, &error)) return usage_error(error->message);
    if (options.version) {
        puts("fieldfield " VERSION);
        return EXIT_SUCCESS;
    }
    if (!options.config || argc > 1) return usage_error("--config FILE is needed (see --help)");
    if (options.quota) g_setenv("FIELDFIELD_QUOTA", options.quota, TRUE);
    if (!settings_load(options.config, &settings, &error)) return usage_error(error->message);
    if (options.check) {
        puts("settings are good");
        settings_clear(&settings);
        return EXIT_SUCCESS;
    }
    return run(&settings);
}
