/* Queues of commands to workers, from the dispatcher to the senders. */
#ifndef FF_WORKERS_COMMANDS_H
#define FF_WORKERS_COMMANDS_H
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "../json/json.h"
#include "../model/machine.h"

enum command_kind {
    COMMAND_DIRECTIVES,     /* directives to an owned machine */
    COMMAND_TOKEN_PROBE,    /* tells an owned machine its current fencing token, and asks for its list of tasks */
    COMMAND_STOP_CANCELLED, /* stops cancelled tasks on another controller's machine */
    COMMAND_INSPECT         /* asks an unregistered machine for its id, type and zone */
};

/* A request that a sender makes to a worker. */
struct command {
    enum command_kind kind;
    char machine_id[MACHINE_ID_SIZE], address[MACHINE_ADDRESS_SIZE];
    char *body;        /* COMMAND_DIRECTIVES and COMMAND_TOKEN_PROBE: the request body; else NULL */
    cJSON *directives; /* COMMAND_STOP_CANCELLED: the stops; else NULL */
    bool has_start;    /* the body contains a directive that starts a task */
    int64_t fencing_token, incarnation;
    int64_t last_token;  /* COMMAND_STOP_CANCELLED: the highest token that the machine's owner may be using */
    int64_t owned_token; /* the shard's fencing token under which this controller owned the machine at decided_at */
    struct timespec decided_at; /* when the dispatcher created the command */
};

/* Inspections and token probes have their own queue, so that machines that do not answer do not delay the directives
 * to other machines. */
enum command_queue { QUEUE_DIRECTIVES, QUEUE_PROBES, QUEUE_COUNT };

/* Called once, before the threads are started. */
void commands_init(void);
/* Creates a command to the machine; the caller sets the remaining members. */
struct command *command_new(enum command_kind kind, const char *machine_id, const char *address);
/* Creates a command with the machine's current token and incarnation (1 if the incarnation is not known).
 * Called with store_lock held. */
struct command *command_new_fenced(enum command_kind kind, const struct machine *machine);
void command_free(struct command *command);
/* Adds a command to the queue and takes ownership of the command. Called with or without store_lock. */
void commands_push(enum command_queue queue, struct command *command);
/* Waits until the queue has a command, removes the command and passes its ownership to the caller. Called without
 * store_lock. */
struct command *commands_pop(enum command_queue queue);
#endif
