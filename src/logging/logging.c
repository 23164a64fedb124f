#include "logging.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

/* GLib's levels: the larger the value, the less pressing the message. */
static GLogLevelFlags most_verbose = G_LOG_LEVEL_INFO;

static const char *level_name(GLogLevelFlags level) {
    if (level <= G_LOG_LEVEL_CRITICAL) return "error";
    return level <= G_LOG_LEVEL_INFO ? "info" : "debug";
}

static void write_message(const gchar *domain, GLogLevelFlags flags, const gchar *text, gpointer data) {
    (void)domain;
    (void)data;
    GLogLevelFlags level = flags & G_LOG_LEVEL_MASK;
    if (level <= most_verbose) fprintf(stderr, "%s %s\n", level_name(level), text);
}

void logging_init(const char *level) {
    if (level && strcmp(level, "error") == 0) most_verbose = G_LOG_LEVEL_CRITICAL;
    if (level && strcmp(level, "debug") == 0) most_verbose = G_LOG_LEVEL_DEBUG;
    g_log_set_default_handler(write_message, NULL);
}
