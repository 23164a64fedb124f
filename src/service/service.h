/* The packages, wired together: for the program, and for tests that run it whole. */
#ifndef FF_SERVICE_H
#define FF_SERVICE_H
#include <stdbool.h>

#include "../settings/settings.h"

/* Initialises all packages, with no thread or connection yet. The settings are kept, not copied. */
void service_init(const struct settings *settings);
/* Listens and starts the threads; false where one of the two addresses cannot be listened on. */
bool service_start(const struct settings *settings);
/* Logs the status lines; called every ten seconds. */
void service_log_status(void);
#endif
