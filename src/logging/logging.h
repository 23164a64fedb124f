/* Logging to standard error, one line per message, filtered by level. */
#ifndef FF_LOGGING_H
#define FF_LOGGING_H
#include <glib.h>

/* Sets the most verbose level that is written: "error", "info" or "debug". NULL and any other value mean "info". */
void logging_init(const char *level);

#define log_error(...) g_log("fieldfield", G_LOG_LEVEL_CRITICAL, __VA_ARGS__)
#define log_info(...) g_log("fieldfield", G_LOG_LEVEL_INFO, __VA_ARGS__)
#define log_debug(...) g_log("fieldfield", G_LOG_LEVEL_DEBUG, __VA_ARGS__)
#endif
