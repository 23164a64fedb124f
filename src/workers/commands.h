/* Commands to workers on their way from the dispatcher to the senders. */
#ifndef FF_WORKERS_COMMANDS_H
#define FF_WORKERS_COMMANDS_H
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "../json/json.h"
#include "../model/machine.h"

enum command_kind {
    COMMAND_DIRECTIVES,     /* directives to an owned machine */
    COMMAND_TOKEN_PROBE,    /* shows an owned machine our fencing token, and asks for its tasks */
    COMMAND_STOP_CANCELLED, /* stops of cancelled tasks on another controller's machine */
    COMMAND_INSPECT         /* asks an unregistered machine what it is */
};

struct command {
    enum command_kind kind;
    char machine_id[MACHINE_ID_SIZE], address[MACHINE_ADDRESS_SIZE];
    char *body;        /* of directives and token probes */
    cJSON *directives; /* of COMMAND_STOP_CANCELLED */
    bool has_start;    /* the directives start a task */
    int64_t fencing_token, incarnation;
    int64_t owned_token; /* the shard's under which the machine was owned at the decision */
    struct timespec decided_at;
};

/* Inspections and token probes have a queue of their own: machines that don't answer must not hold up the others'
 * directives. */
enum command_queue { QUEUE_DIRECTIVES, QUEUE_PROBES, QUEUE_COUNT };

/* Called before the threads are started. */
void commands_init(void);
/* A command to the machine; the caller fills in the rest. */
struct command *command_new(enum command_kind kind, const char *machine_id, const char *address);
/* The same under the machine's present fencing token and incarnation. With store_lock held. */
struct command *command_new_fenced(enum command_kind kind, const struct machine *machine);
void command_free(struct command *command);
/* Takes the command over. From any thread, with or without store_lock. */
void commands_push(enum command_queue queue, struct command *command);
/* Waits for a command, which becomes the caller's. Without the lock. */
struct command *commands_pop(enum command_queue queue);
#endif
