#include "senders.h"

#include <glib.h>
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

#define DIRECTIVE_SENDER_THREADS 12
#define PROBE_SENDER_THREADS 32 /* each hanging machine occupies a thread until the timeout, and many hang at once */
#define START_VALID_S 3.0       /* maximum age of a command that starts a task when it is sent */
#define ANSWER_TIMEOUT_MS 1500
#define LATE_ANSWER_MARGIN_S 0.3 /* a call that exceeds its timeout by more shows that this controller was delayed */
#define URL_SIZE 160

/* The outcome of a command. */
struct outcome {
    enum http_outcome http; /* HTTP_NOT_SENT also if the command was no longer valid */
    long status;            /* HTTP status; 0: not answered */
    cJSON *answer;          /* NULL: no answer, or not JSON */
    bool valid;             /* the command was still valid when it was about to be sent */
    bool in_time;           /* the call returned within its timeout and LATE_ANSWER_MARGIN_S */
};

/* A start is not sent late, after the controller was paused or the command waited in a long queue: by then the
 * allocation may have been released, or the job cancelled. */
bool senders_command_still_valid(bool has_start, double age_s, bool owned, bool may_start) {
    return !has_start || (age_s < START_VALID_S && owned && may_start);
}

static bool same_owner(struct machine *machine, const struct command *command) {
    return machines_owned(machine) && machine->owned_token == command->owned_token;
}

static bool still_valid(const struct command *command) {
    if (!command->has_start) return true; /* without taking the lock, since most commands are probes */
    store_lock();
    struct machine *machine = machines_find(command->machine_id);
    bool valid = senders_command_still_valid(true, clock_seconds_since(command->decided_at),
                                             machine && same_owner(machine, command), membership_may_start_tasks());
    store_unlock();
    return valid;
}

/* Returns whether the worker has answered with its state. HTTP_CONFLICT means that it has another incarnation or
 * fencing token than the command. */
static bool worker_answered(const struct outcome *outcome) {
    return outcome->http == HTTP_ANSWERED && (outcome->status == HTTP_OK || outcome->status == HTTP_CONFLICT);
}

/* Counts an unanswered command. If the call took too long, this controller may have been paused or short of processor
 * time, and the missing answer does not count against the machine. */
static void count_unanswered(struct machine *machine, const struct outcome *outcome) {
    if (!outcome->valid || outcome->http == HTTP_ANSWERED || !outcome->in_time) return;
    if (machine->liveness.unanswered_probes++ == 0)
        owned_shard_states[machine->shard].machine_suspected_at = clock_now();
}

/* Marks the outcome of the machine's last start as known if the command is that start and was answered or not sent. The
 * outcomes of commands without starts do not matter: attempts are unique, so a late stop or forget is harmless. */
static void resolve_start_outcome(struct machine *machine, const struct command *command,
                                  const struct outcome *outcome) {
    struct machine_commands *commands = &machine->commands;
    if (!command->has_start) return;
    log_debug("machine %s: command with starts %s, status %ld", machine->id,
              outcome->http == HTTP_NOT_SENT ? "not sent" : "sent", outcome->status);
    if (!worker_answered(outcome) && outcome->http != HTTP_NOT_SENT) {
        log_info("machine %s: outcome of a command unknown, raising its fencing token", machine->id);
    } else if (commands->unknown_start_token == command->fencing_token &&
               commands->unknown_start_incarnation == command->incarnation) {
        commands->start_outcome_unknown = false;
    }
}

/* Updates the machine's state from the outcome of a command. Called with store_lock held. */
static void apply_outcome(const struct command *command, const struct outcome *outcome) {
    struct machine *machine = machines_find(command->machine_id);
    if (!machine || !machine->commands.in_flight) return;
    machine->commands.in_flight = false;
    if (!same_owner(machine, command)) return;
    count_unanswered(machine, outcome);
    resolve_start_outcome(machine, command, outcome);
    if (worker_answered(outcome) && outcome->answer) {
        struct heartbeat worker_state = codec_read_heartbeat(outcome->answer);
        reconciliation_apply(machine, &worker_state, CHANNEL_COMMAND);
    }
    /* If the command was no longer valid, the dispatcher decides again what to send. After an answer to a command
     * without starts, the worker has the fencing token, and directives that waited until the worker has the
     * token are sent now, not only at the worker's next heartbeat. */
    if (!outcome->valid || (worker_answered(outcome) && !command->has_start)) machine->commands.send_pending = true;
}

static void send_directives(struct http_client *client, const struct command *command) {
    char url[URL_SIZE];
    struct outcome outcome = {.http = HTTP_NOT_SENT};
    snprintf(url, sizeof url, "http://%s/commands", command->address);
    struct timespec sent_at = clock_now();
    outcome.valid = still_valid(command);
    if (outcome.valid) {
        /* http_call may send a request twice. For a start, the answer to the second copy would not prove the outcome of
         * the first copy, which may still be in flight. */
        enum http_outcome (*send_request)(struct http_client *, const char *, const char *, const char *, long, long *,
                                          cJSON **) = command->has_start ? http_call_once : http_call;
        outcome.http =
            send_request(client, "POST", url, command->body, ANSWER_TIMEOUT_MS, &outcome.status, &outcome.answer);
    }
    outcome.in_time = clock_seconds_since(sent_at) < ANSWER_TIMEOUT_MS / 1000.0 + LATE_ANSWER_MARGIN_S;
    store_lock();
    apply_outcome(command, &outcome);
    store_unlock();
    cJSON_Delete(outcome.answer);
}

/* The fencing token and the incarnation in which a worker carries out a command. */
struct command_target {
    int64_t fencing_token, incarnation;
};

/* Sends the stops of cancelled tasks. Returns true if the worker answers that it has another incarnation, or a higher
 * token of the same owner; the target is then changed to these. */
static bool send_stops_once(struct http_client *client, const struct command *command, struct command_target *target) {
    char url[URL_SIZE];
    long status = 0;
    cJSON *answer = NULL;
    snprintf(url, sizeof url, "http://%s/commands", command->address);
    char *body = codec_write_command(target->fencing_token, target->incarnation, command->directives);
    enum http_outcome http = http_call(client, "POST", url, body, ANSWER_TIMEOUT_MS, &status, &answer);
    free(body);
    log_debug("machine %s: sent stops of cancelled tasks, status %ld", command->machine_id, status);
    struct heartbeat worker_state = codec_read_heartbeat(answer);
    bool refused = http == HTTP_ANSWERED && status == HTTP_CONFLICT && worker_state.machine_id &&
                   strcmp(worker_state.machine_id, command->machine_id) == 0 && worker_state.incarnation >= 0 &&
                   worker_state.fencing_token <= command->last_token;
    struct command_target shown = {MAX(worker_state.fencing_token, target->fencing_token), worker_state.incarnation};
    bool differs = shown.fencing_token != target->fencing_token || shown.incarnation != target->incarnation;
    *target = shown;
    cJSON_Delete(answer);
    return refused && differs;
}

/* Sends the stops to another controller's machine. This controller may know an old incarnation of the machine, and does
 * not know by how much the owner has raised its token: if the worker answers with others, the stops are sent once more
 * for those. */
static void send_stops(struct http_client *client, const struct command *command) {
    struct command_target target = {command->fencing_token, command->incarnation};
    if (send_stops_once(client, command, &target)) send_stops_once(client, command, &target);
}

static void send_inspection(struct http_client *client, const struct command *command) {
    char url[URL_SIZE];
    long status = 0;
    cJSON *answer = NULL;
    snprintf(url, sizeof url, "http://%s/inspect", command->address);
    if (http_call(client, "GET", url, NULL, ANSWER_TIMEOUT_MS, &status, &answer) == HTTP_ANSWERED && status == HTTP_OK)
        unregistered_handle_answer(command->machine_id, command->address, answer);
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
    for (int i = 0; i < PROBE_SENDER_THREADS; i++) sync_start_thread(sender_main, &probes);
    for (int i = 0; i < DIRECTIVE_SENDER_THREADS; i++) sync_start_thread(sender_main, &directives);
}
