#include "logging.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

/* The most verbose level that is written. In GLib, a more verbose level has a larger value. */
static GLogLevelFlags level_limit = G_LOG_LEVEL_INFO;

static const char *level_name(GLogLevelFlags level) {
    if (level <= G_LOG_LEVEL_CRITICAL) return "error";
    return level <= G_LOG_LEVEL_INFO ? "info" : "debug";
}

static void write_message(const gchar *log_domain, GLogLevelFlags flags, const gchar *text, gpointer user_data) {
    (void)log_domain;
    (void)user_data;
    GLogLevelFlags level = flags & G_LOG_LEVEL_MASK;
    if (level <= level_limit) fprintf(stderr, "%s %s\n", level_name(level), text);
}

void logging_init(const char *level) {
    if (level && strcmp(level, "error") == 0) level_limit = G_LOG_LEVEL_CRITICAL;
    if (level && strcmp(level, "debug") == 0) level_limit = G_LOG_LEVEL_DEBUG;
    g_log_set_default_handler(write_message, NULL);
}
