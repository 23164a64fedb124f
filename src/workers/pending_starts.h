/* The starts that commands have carried to a machine and that its worker may still carry out.
 *
 * A command may reach its worker more than once and at any later time, also after the worker has answered it
 * (protocol, "Delayed messages"). Neither an answer nor elapsed time shows that a start cannot arrive any more. Two
 * facts do: the worker has shown a higher fencing token than the command's, or a later incarnation. A start in a
 * response to a heartbeat is not listed here, since the worker never carries one out late (directives.h).
 *
 * All functions are called with store_lock held. */
#ifndef FF_WORKERS_PENDING_STARTS_H
#define FF_WORKERS_PENDING_STARTS_H
#include <stdbool.h>
#include <stdint.h>

#include "../model/machine.h"

/* Notes that a command under the machine's current fencing token carries a start of the attempt. */
void pending_starts_add(struct machine *machine, int64_t attempt);
/* Removes the starts that the worker can no longer carry out, now that it has shown this token and incarnation. */
void pending_starts_remove_void(struct machine *machine, int64_t shown_token, int64_t incarnation);
/* Returns whether no start of the attempt, sent by this or an earlier owner in a command or in a response, can reach
 * the worker any more. Only then may the worker be told to forget the attempt, or an allocation that the worker does
 * not list be released. */
bool pending_starts_ruled_out(const struct machine *machine, int64_t attempt);
#endif
