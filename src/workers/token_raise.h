/* Raises the fencing tokens of owned machines, so that starts in earlier commands are void. */
#ifndef FF_WORKERS_TOKEN_RAISE_H
#define FF_WORKERS_TOKEN_RAISE_H
#include <stdbool.h>

#include "../model/machine.h"
#include "../settings/settings.h"

/* Called once, before the threads are started. Keeps the pointer to the settings. */
void token_raise_init(const struct settings *settings);
/* The functions below are called before a heartbeat is responded to, with store_lock held: the response conveys the
 * token. A raise by a command could overtake a response, which the worker would then drop without renewing its lease.
 */

/* Raises the machine's token if a start with unknown outcome may still be carried out, since the worker's lease is
 * renewed only under a higher token, which rules that start out. Returns false if the heartbeat must not be answered
 * yet, because the higher token has to be granted by a write first. */
bool token_raise_rule_out_unknown_start(struct machine *machine);
/* Raises the machine's token if attempts wait to be forgotten or released and the last raise is long enough ago. */
void token_raise_for_waiting_attempts(struct machine *machine);
#endif
