#include "heartbeat.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include "../http/status.h"
#include "../json/json.h"
#include "../json/reader.h"
#include "../machines/machines.h"
#include "../machines/occupancy.h"
#include "../membership/membership.h"
#include "../store/store.h"
#include "codec.h"
#include "directives.h"
#include "metrics.h"
#include "proxy.h"
#include "reconciliation.h"
#include "token_raise.h"
#include "unregistered.h"

#define RETRY_AFTER_S 1
#define MACHINE_ID_LENGTH_MAX 60
#define OTHER_CONTROLLER_BODY_SIZE 128 /* of a body that names another controller, with the terminating zero */

static const struct settings *settings;

void heartbeat_init(const struct settings *new_settings) { settings = new_settings; }

/* Kinds of responses to a heartbeat. */
enum response_kind {
    RESPONSE_DIRECTIVES,      /* renews the worker's lease, with a fencing token and directives */
    RESPONSE_RETRY,           /* asks the worker to retry after RETRY_AFTER_S */
    RESPONSE_OTHER_CONTROLLER /* refers the worker to the controller that owns the machine */
};
struct response {
    enum response_kind kind;
    cJSON *body;       /* RESPONSE_DIRECTIVES: the body */
    const char *owner; /* RESPONSE_OTHER_CONTROLLER: the owner's node, valid under store_lock; NULL or empty: unknown */
};

static struct response retry_response(void) { return (struct response){.kind = RESPONSE_RETRY}; }

static struct response other_controller_response(const char *owner) {
    return (struct response){.kind = RESPONSE_OTHER_CONTROLLER, .owner = owner};
}

static struct response directives_response(cJSON *body) {
    return (struct response){.kind = RESPONSE_DIRECTIVES, .body = body};
}

static void reply_other_controller(struct http_request *request, const char *owner) {
    char body[OTHER_CONTROLLER_BODY_SIZE];
    if (owner && *owner && strcmp(owner, settings->node) != 0) {
        snprintf(body, sizeof body, "{\"master\":\"%s\"}", owner);
    } else {
        snprintf(body, sizeof body, "{}");
    }
    http_reply(request, HTTP_MISDIRECTED_REQUEST, body, 0);
}

static void reply(struct http_request *request, const struct response *response) {
    switch (response->kind) {
        case RESPONSE_DIRECTIVES:
            http_reply_json(request, HTTP_OK, response->body, 0);
            break;
        case RESPONSE_RETRY:
            http_reply(request, HTTP_SERVICE_UNAVAILABLE, NULL, RETRY_AFTER_S);
            break;
        case RESPONSE_OTHER_CONTROLLER:
            reply_other_controller(request, response->owner);
            break;
    }
}

/* Responds to a machine that no record names. The owner of the shard that the machine would belong to queues an
 * inspection, after which the machine is adopted. */
static struct response respond_unrecorded(const struct heartbeat *heartbeat) {
    int shard = machines_shard_for_id(heartbeat->machine_id);
    if (!membership_owns(shard)) return other_controller_response(membership_shard(shard)->owner);
    if (!machines_is_known_id(heartbeat->machine_id) && heartbeat->address && *heartbeat->address)
        unregistered_inspect(heartbeat->machine_id, heartbeat->address);
    return retry_response();
}

/* Responds to a machine whose shard this controller does not own, or was assigned but does not manage yet. If the
 * conditions in proxy.h hold, this controller answers on the owner's behalf. */
static struct response respond_not_owned(struct machine *machine, const struct heartbeat *heartbeat) {
    const char *owner = membership_shard(machine->shard)->owner;
    if (heartbeat->fencing_token <= machines_tokens(machine).last && proxy_may_answer(machine) &&
        !proxy_start_may_be_in_flight(machine, heartbeat->tasks))
        return directives_response(proxy_response(machine, heartbeat));
    return strcmp(owner, settings->node) == 0 ? retry_response() : other_controller_response(owner);
}

static void update_address(struct machine *machine, const char *address) {
    if (!address || !*address || strcmp(address, machine->address) == 0) return;
    g_strlcpy(machine->address, address, sizeof machine->address);
    machine->address_unrecorded = true;
}

/* Applies the heartbeat of an owned machine and responds to it. */
static struct response apply_and_respond(struct machine *machine, const struct heartbeat *heartbeat) {
    metrics_count(METRIC_HEARTBEATS);
    bool applied = reconciliation_apply(machine, heartbeat, CHANNEL_HEARTBEAT);
    if (applied && heartbeat->fencing_token >= machines_fencing_token(machine)) machines_add_occupancy_sample(machine);
    if (!token_raise_rule_out_unknown_start(machine)) return retry_response();
    if (applied) token_raise_for_waiting_attempts(machine);
    cJSON *directives = applied ? directives_build(machine, CHANNEL_HEARTBEAT) : cJSON_CreateArray();
    machine->liveness.heartbeat_acknowledged = true;
    return directives_response(codec_write_response(machines_current_token(machine), directives));
}

static struct response respond_owned(struct machine *machine, const struct heartbeat *heartbeat) {
    update_address(machine, heartbeat->address);
    /* The machine has already received a later owner's fencing token. */
    if (heartbeat->fencing_token > machines_current_token(machine)) return other_controller_response(NULL);
    return membership_may_answer_workers() ? apply_and_respond(machine, heartbeat) : retry_response();
}

/* Decides the response to the heartbeat. Called with store_lock held. */
static struct response respond(const struct heartbeat *heartbeat) {
    struct machine *machine = machines_find(heartbeat->machine_id);
    if (!store_synced()) return retry_response();
    if (!machine) return respond_unrecorded(heartbeat);
    if (!machines_owned(machine)) return respond_not_owned(machine, heartbeat);
    return respond_owned(machine, heartbeat);
}

static bool has_required_members(const struct heartbeat *heartbeat) {
    return heartbeat->machine_id && heartbeat->type_name && heartbeat->zone &&
           strlen(heartbeat->machine_id) <= MACHINE_ID_LENGTH_MAX;
}

static void handle_post(struct http_request *request) {
    size_t length;
    const char *body = http_body(request, &length);
    cJSON *message = json_read(body, length);
    struct heartbeat heartbeat = codec_read_heartbeat(message);
    if (has_required_members(&heartbeat)) {
        store_lock();
        struct response response = respond(&heartbeat);
        reply(request, &response);
        store_unlock();
    } else {
        http_reply(request, HTTP_BAD_REQUEST, "{\"error\":\"host, flavour or site is missing\"}", 0);
    }
    cJSON_Delete(message);
}

void heartbeat_handle(struct http_request *request) {
    http_close_when_connections_scarce(request);
    if (strcmp(http_method(request), "POST") == 0) {
        handle_post(request);
    } else {
        http_reply(request, HTTP_METHOD_NOT_ALLOWED, NULL, 0);
    }
}
