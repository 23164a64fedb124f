#include "commands.h"

#include <glib.h>
#include <pthread.h>
#include <stdlib.h>

#include "../clock/clock.h"
#include "../machines/machines.h"
#include "../sync/sync.h"

#define POP_WAIT_S 30 /* longest wait of a sender between two checks of its queue */

static struct {
    pthread_mutex_t lock;
    pthread_cond_t not_empty;
    GQueue *commands;
} queues[QUEUE_COUNT];

void commands_init(void) {
    for (int i = 0; i < QUEUE_COUNT; i++) {
        pthread_mutex_init(&queues[i].lock, NULL);
        sync_cond_init(&queues[i].not_empty);
        queues[i].commands = g_queue_new();
    }
}

struct command *command_new(enum command_kind kind, const char *machine_id, const char *address) {
    struct command *command = g_new0(struct command, 1);
    command->kind = kind;
    g_strlcpy(command->machine_id, machine_id, sizeof command->machine_id);
    g_strlcpy(command->address, address, sizeof command->address);
    return command;
}

struct command *command_new_fenced(enum command_kind kind, const struct machine *machine) {
    struct command *command = command_new(kind, machine->id, machine->address);
    command->fencing_token = machines_current_token(machine);
    command->last_token = machines_tokens(machine).last;
    command->incarnation = machine->agent.incarnation > 0 ? machine->agent.incarnation : 1;
    return command;
}

void command_free(struct command *command) {
    cJSON_Delete(command->directives);
    free(command->body);
    g_free(command);
}

void commands_push(enum command_queue queue, struct command *command) {
    pthread_mutex_lock(&queues[queue].lock);
    g_queue_push_tail(queues[queue].commands, command);
    pthread_cond_signal(&queues[queue].not_empty);
    pthread_mutex_unlock(&queues[queue].lock);
}

struct command *commands_pop(enum command_queue queue) {
    pthread_mutex_lock(&queues[queue].lock);
    while (queues[queue].commands->length == 0)
        sync_cond_wait(&queues[queue].not_empty, &queues[queue].lock, clock_from_seconds(POP_WAIT_S));
    struct command *command = g_queue_pop_head(queues[queue].commands);
    pthread_mutex_unlock(&queues[queue].lock);
    return command;
}
