/* The command line. */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "logging/logging.h"
#include "service/service.h"
#include "settings/settings.h"

#define VERSION "0.1.0"

static struct settings cfg;

int main(int argc, char **argv) {
    gchar *config = NULL, *quota = NULL;
    gboolean check = FALSE, version = FALSE;
    GOptionEntry entries[] = {
        {"config", 'c', 0, G_OPTION_ARG_FILENAME, &config, "the platform's settings (JSON)", "FILE"},
        {"quota", 0, 0, G_OPTION_ARG_FILENAME, &quota, "which teams are divided (HCL), see docs/quota.md", "FILE"},
        {"check", 0, 0, G_OPTION_ARG_NONE, &check, "check the settings and end", NULL},
        {"version", 0, 0, G_OPTION_ARG_NONE, &version, "print the version and end", NULL},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };
    GError *e = NULL;
    GOptionContext *o = g_option_context_new("- a cluster scheduler");
    g_option_context_set_description(
        o,
        "Operators' own settings (HCL) are read from the file that FIELDFIELD_TUNING names; FIELDFIELD_QUOTA\n"
        "names the file that --quota does.\n"
        "LOG_LEVEL is error, info or debug.");
    g_option_context_add_main_entries(o, entries, NULL);
    if (!g_option_context_parse(o, &argc, &argv, &e)) {
        fprintf(stderr, "fieldfield: %s\n", e->message);
        return 2;
    }
    g_option_context_free(o);
    if (version) {
        puts("fieldfield " VERSION);
        return 0;
    }
    if (!config || argc > 1) {
        fprintf(stderr, "fieldfield: --config FILE is needed (see --help)\n");
        return 2;
    }
    if (quota) g_setenv("FIELDFIELD_QUOTA", quota, TRUE);
    char err[512];
    if (!settings_load(config, &cfg, err, sizeof err)) {
        fprintf(stderr, "fieldfield: %s\n", err);
        return 2;
    }
    if (check) {
        puts("settings are good");
        settings_clear(&cfg);
        return 0;
    }
    logging_init(getenv("LOG_LEVEL"));
    log_info("fieldfield " VERSION " on %s", cfg.node);
    service_init(&cfg);
    if (!service_start(&cfg)) {
        fprintf(stderr, "fieldfield: bind or cluster_listen: cannot listen\n");
        return 1;
    }
    for (;;) {
        sleep(10);
        service_tell();
    }
}
