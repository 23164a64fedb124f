/* The log on standard error, one line a message, by level. */
#ifndef FF_LOGGING_H
#define FF_LOGGING_H
#include <glib.h>

/* Sets the level up to which messages are written: "error", "info" (also for NULL and anything else) or "debug". */
void logging_init(const char *level);

#define log_error(...) g_log("fieldfield", G_LOG_LEVEL_CRITICAL, __VA_ARGS__)
#define log_info(...) g_log("fieldfield", G_LOG_LEVEL_INFO, __VA_ARGS__)
#define log_debug(...) g_log("fieldfield", G_LOG_LEVEL_DEBUG, __VA_ARGS__)
#endif
