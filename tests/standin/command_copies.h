/* Late copies of commands. A command that starts tasks reaches its worker once more after the worker has carried it out
 * and answered it. Used by workers.c only, with the lock of the workers held. */
#ifndef FF_STANDIN_COMMAND_COPIES_H
#define FF_STANDIN_COMMAND_COPIES_H
#include "json/json.h"
#include "worker.h"
#include "workers.h"

struct command_copy {
    struct standin_worker *worker;
    cJSON *command;
    struct timespec due;
};

/* From now on, commands are copied after a delay within these bounds. */
void command_copies_start(const struct standin_copy_delay *delay);
/* Makes no more copies. Copies made before are still delivered. */
void command_copies_stop(void);
/* Makes all copies due now. */
void command_copies_make_due(void);
/* Adds a copy of the command if commands are copied and the command starts tasks. */
void command_copies_add(struct standin_worker *worker, const cJSON *command);
/* Removes a copy that is due, which the caller frees. NULL: no copy is due. */
struct command_copy *command_copies_take_due(void);
void command_copy_free(struct command_copy *copy);
#endif
