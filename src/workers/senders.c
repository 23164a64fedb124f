#include "senders.h"

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "../clock/clock.h"
#include "../http/client.h"
#include "../http/status.h"
#include "../logging/logging.h"
#include "../machines/machines.h"
#include "../membership/membership.h"
#include "../store/store.h"
#include "../sync/sync.h"
#include "codec.h"
#include "commands.h"
#include "dispatcher.h"
#include "reconciliation.h"
#include "unregistered.h"

#define DIRECTIVE_SENDERS 12
#define PROBE_SENDERS 32  /* an address that hangs costs one its time limit, and many hang at once */
#define START_VALID_S 3.0 /* how old a decision to start a task may be when it is sent */
#define ANSWER_TIMEOUT_MS 1500
#define LATE_ANSWER_S 0.3 /* beyond the time limit: we were paused, or are short of processor time */
#define URL_MAX 160

/* What came of a command. */
struct outcome {
    enum http_outcome http; /* HTTP_NOT_SENT also where the command was no longer valid */
    long status;
    cJSON *answer; /* NULL: none that can be read */
    bool valid;    /* when it was to be sent */
    bool in_time;
};

/* A controller that was paused between decision and sending, or whose queue is long, does not send what it decided
 * then: a start may have been dropped meanwhile, or its job cancelled. */
bool senders_command_still_valid(bool has_start, double age_s, bool owned, bool may_start) {
    return !has_start || (age_s < START_VALID_S && owned && may_start);
}

static bool same_owner(struct machine *machine, const struct command *command) {
    return machines_owned(machine) && machine->owned_token == command->owned_token;
}

static bool still_valid(const struct command *command) {
    if (!command->has_start) return true; /* most commands are probes: no lock for them */
    store_lock();
    struct machine *machine = machines_find(command->machine_id);
    bool valid = senders_command_still_valid(true, clock_seconds_since(command->decided_at),
                                             machine && same_owner(machine, command), membership_may_start_tasks());
    store_unlock();
    return valid;
}

/* A conflict: the worker shows another incarnation or fencing token. */
static bool answered(const struct outcome *outcome) {
    return outcome->http == HTTP_ANSWERED && (outcome->status == HTTP_OK || outcome->status == HTTP_CONFLICT);
}

/* A controller that was paused or is short of processor time learns nothing from a late answer. */
static void note_silence(struct machine *machine, const struct outcome *outcome) {
    if (!outcome->valid || outcome->http == HTTP_ANSWERED || !outcome->in_time) return;
    if (machine->liveness.unanswered_probes++ == 0) shard_states[machine->shard].suspicion_at = clock_now();
}

/* Only a start's outcome matters: a late stop or forget harms nobody, attempts are unique. */
static void settle_start(struct machine *machine, const struct command *command, const struct outcome *outcome) {
    struct machine_commands *commands = &machine->commands;
    if (!command->has_start) return;
    if (!answered(outcome) && outcome->http != HTTP_NOT_SENT) {
        log_info("machine %s: outcome of a command unknown, raising its fencing token", machine->id);
    } else if (commands->unknown_token == command->fencing_token &&
               commands->unknown_incarnation == command->incarnation) {
        commands->outcome_unknown = false;
    }
}

/* What the answer to a command, or none, shows of the machine. With store_lock held. */
static void take_outcome(const struct command *command, const struct outcome *outcome) {
    struct machine *machine = machines_find(command->machine_id);
    if (!machine || !machine->commands.in_flight) return;
    machine->commands.in_flight = false;
    if (!same_owner(machine, command)) return;
    note_silence(machine, outcome);
    settle_start(machine, command, outcome);
    if (answered(outcome) && outcome->answer) {
        struct heartbeat shown = codec_read_heartbeat(outcome->answer);
        reconciliation_take(machine, &shown, CHANNEL_COMMAND);
    }
    /* It has the fencing token now: what waited for that need not wait for its next heartbeat. */
    if (!outcome->valid || (answered(outcome) && !command->has_start)) machine->commands.wake = true;
}

static void send_directives(struct http_client *client, const struct command *command) {
    char url[URL_MAX];
    struct outcome outcome = {.http = HTTP_NOT_SENT};
    snprintf(url, sizeof url, "http://%s/commands", command->address);
    struct timespec sent_at = clock_now();
    outcome.valid = still_valid(command);
    if (outcome.valid) {
        /* A start whose first copy is still on its way must not be taken for known because its second was answered. */
        enum http_outcome (*call)(struct http_client *, const char *, const char *, const char *, long, long *,
                                  cJSON **) = command->has_start ? http_call_once : http_call;
        outcome.http = call(client, "POST", url, command->body, ANSWER_TIMEOUT_MS, &outcome.status, &outcome.answer);
    }
    outcome.in_time = clock_seconds_since(sent_at) < ANSWER_TIMEOUT_MS / 1000.0 + LATE_ANSWER_S;
    store_lock();
    take_outcome(command, &outcome);
    store_unlock();
    cJSON_Delete(outcome.answer);
}

/* Sends the stops under that incarnation. True if the worker shows another one, which *incarnation then is. */
static bool send_stops_once(struct http_client *client, const struct command *command, int64_t *incarnation) {
    char url[URL_MAX];
    long status = 0;
    cJSON *answer = NULL;
    snprintf(url, sizeof url, "http://%s/commands", command->address);
    char *body = codec_write_command(command->fencing_token, *incarnation, command->directives);
    enum http_outcome http = http_call(client, "POST", url, body, ANSWER_TIMEOUT_MS, &status, &answer);
    free(body);
    log_debug("machine %s: asked to stop cancelled tasks, status %ld", command->machine_id, status);
    struct heartbeat shown = codec_read_heartbeat(answer);
    bool other_incarnation = http == HTTP_ANSWERED && status == HTTP_CONFLICT && shown.machine_id &&
                             strcmp(shown.machine_id, command->machine_id) == 0 && shown.incarnation >= 0 &&
                             shown.incarnation != *incarnation;
    *incarnation = shown.incarnation;
    cJSON_Delete(answer);
    return other_incarnation;
}

/* On another controller's machine: a second time if it is in another incarnation than we know. */
static void send_stops(struct http_client *client, const struct command *command) {
    int64_t incarnation = command->incarnation;
    if (send_stops_once(client, command, &incarnation)) send_stops_once(client, command, &incarnation);
}

static void send_inspection(struct http_client *client, const struct command *command) {
    char url[URL_MAX];
    long status = 0;
    cJSON *answer = NULL;
    snprintf(url, sizeof url, "http://%s/inspect", command->address);
    if (http_call(client, "GET", url, NULL, ANSWER_TIMEOUT_MS, &status, &answer) == HTTP_ANSWERED && status == HTTP_OK)
        unregistered_take_answer(command->machine_id, command->address, answer);
    cJSON_Delete(answer);
}

static void send_command(struct http_client *client, const struct command *command) {
    switch (command->kind) {
        case COMMAND_DIRECTIVES:
            send_directives(client, command);
            break;
        case COMMAND_TOKEN_PROBE:
            send_directives(client, command);
            dispatcher_wake();
            break;
        case COMMAND_STOP_CANCELLED:
            send_stops(client, command);
            break;
        case COMMAND_INSPECT:
            send_inspection(client, command);
            break;
    }
}

static void *sender_main(void *queue) {
    struct http_client *client = http_client_new();
    for (;;) {
        struct command *command = commands_pop(*(const enum command_queue *)queue);
        send_command(client, command);
        command_free(command);
    }
    return NULL;
}

void senders_start(void) {
    static enum command_queue directives = QUEUE_DIRECTIVES, probes = QUEUE_PROBES;
    for (int i = 0; i < PROBE_SENDERS; i++) sync_start_thread(sender_main, &probes);
    for (int i = 0; i < DIRECTIVE_SENDERS; i++) sync_start_thread(sender_main, &directives);
}
