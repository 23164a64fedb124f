/* Shared by the files of this slice only. All with store_lock held. */
#ifndef FF_WORKERS_INTERNAL_H
#define FF_WORKERS_INTERNAL_H
#include <stdbool.h>
#include <stdint.h>

#include "../json/json.h"
#include "workers.h"

extern const struct settings *workers_settings;

/* A command that may carry starts is on its way to the machine. */
bool workers_start_in_flight(const struct machine *m);
/* The allocation of that attempt, which a report lists; NULL: none on record. */
struct allocation *workers_listed_allocation(const struct machine *m, const char *task, int64_t attempt);
/* What a report under an older token lists of cancelled jobs goes to the machine's unknown tasks, to be stopped. */
void workers_list_cancelled(struct machine *m, const cJSON *heartbeat);
void workers_add_directive(cJSON *list, const char *verb, const char *task, int64_t attempt, double grace_s);
bool workers_awaits_start(const struct allocation *b);
/* Asks a machine that nobody has recorded, once it has been left to who rented it for a while. */
void workers_ask_unregistered(const char *id, const char *address);
#endif
