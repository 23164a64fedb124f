/* Dealings with workers: reports in, orders out, tokens. */
#ifndef FF_WORKERS_H
#define FF_WORKERS_H
#include <stdbool.h>

#include "../http/server.h"
#include "../json/json.h"
#include "../machines/machines.h"

void workers_init(const struct settings *s);
void workers_start(void);
bool workers_route(struct http_request *r);
bool workers_may_proxy(const struct machine *m); /* with store_lock held: answer for an owner that the zone lost */
bool workers_start_in_doubt(const struct machine *m, const cJSON *heartbeat);
cJSON *workers_proxy_answer(struct machine *m, const cJSON *heartbeat);

/* Pure: whether orders decided so long ago may still be sent. */
bool workers_directives_still_valid(bool has_run, double age_s, bool ours, bool may_start);

/* With store_lock held. Takes in a report. checkin: false for the body of a direct command's answer, which proves
 * nothing about orders that may still travel in a report's answer. False: the report is older than what is known. */
bool workers_reconcile(struct machine *m, const cJSON *heartbeat, bool is_heartbeat);
cJSON *workers_directives(struct machine *m, bool direct); /* an array */
#endif
