/* Initialises and starts all packages, for the program and for tests of the whole program. */
#ifndef FF_SERVICE_H
#define FF_SERVICE_H
#include <stdbool.h>

#include "../settings/settings.h"

/* Initialises all packages without starting threads or opening connections. Keeps the pointer to the settings. */
void service_init(const struct settings *settings);
/* Listens on the addresses `bind` and `cluster_listen` of the settings, and starts the threads. Returns false if it
 * cannot listen on one of the addresses. */
bool service_start(const struct settings *settings);
/* Logs the status lines. Called every 10 s. */
void service_log_status(void);
#endif
