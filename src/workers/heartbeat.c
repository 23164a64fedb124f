#include "heartbeat.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include "../events/events.h"
#include "../http/status.h"
#include "../json/json.h"
#include "../machines/machines.h"
#include "../machines/occupancy.h"
#include "../membership/membership.h"
#include "../store/store.h"
#include "codec.h"
#include "directives.h"
#include "proxy.h"
#include "reconciliation.h"
#include "unregistered.h"

#define RETRY_AFTER_S 1
#define MACHINE_ID_MAX 60
#define REDIRECT_MAX 128 /* bytes of a body that names a controller */

static const struct settings *settings;

void heartbeat_init(const struct settings *chosen) { settings = chosen; }

/* How a heartbeat is answered. */
enum response_kind {
    RESPONSE_DIRECTIVES,      /* with a fencing token and directives, which renews the lease */
    RESPONSE_RETRY,           /* not now: the worker is to come again soon */
    RESPONSE_OTHER_CONTROLLER /* another controller owns the machine */
};
struct response {
    enum response_kind kind;
    cJSON *body;       /* of RESPONSE_DIRECTIVES */
    const char *owner; /* of RESPONSE_OTHER_CONTROLLER: its node; NULL or empty: not known. Valid under store_lock */
};

static struct response retry(void) { return (struct response){.kind = RESPONSE_RETRY}; }

static struct response other_controller(const char *owner) {
    return (struct response){.kind = RESPONSE_OTHER_CONTROLLER, .owner = owner};
}

static struct response directives_response(cJSON *body) {
    return (struct response){.kind = RESPONSE_DIRECTIVES, .body = body};
}

static void reply_other_controller(struct http_request *request, const char *owner) {
    char body[REDIRECT_MAX];
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

/* A machine that no record names: the owner of the shard that it would be in inspects it, and adopts it. */
static struct response decide_unrecorded(const struct heartbeat *heartbeat) {
    int shard = machines_shard_of(heartbeat->machine_id);
    if (!membership_owns(shard)) return other_controller(membership_shard(shard)->owner);
    if (!machines_known(heartbeat->machine_id) && heartbeat->address && *heartbeat->address)
        unregistered_inspect(heartbeat->machine_id, heartbeat->address);
    return retry();
}

/* A machine of another's shard, or of one that we do not know to be owned yet. */
static struct response decide_not_owned(struct machine *machine, const struct heartbeat *heartbeat) {
    const char *owner = membership_shard(machine->shard)->owner;
    if (heartbeat->fencing_token <= machines_fencing_token(machine) && proxy_allowed(machine) &&
        !proxy_start_in_doubt(machine, heartbeat->tasks))
        return directives_response(proxy_response(machine, heartbeat->tasks));
    return strcmp(owner, settings->node) == 0 ? retry() : other_controller(owner);
}

static void learn_address(struct machine *machine, const char *address) {
    if (!address || !*address || strcmp(address, machine->address) == 0) return;
    g_strlcpy(machine->address, address, sizeof machine->address);
    machine->address_unrecorded = true;
}

/* A command may still be on its way: this machine's lease is renewed under a higher fencing token only. */
static bool needs_token_raise(const struct machine *machine) {
    return machine->commands.outcome_unknown && !directives_start_in_flight(machine) &&
           machines_fencing_token(machine) <= machine->commands.unknown_token;
}

static struct response take_owned(struct machine *machine, const struct heartbeat *heartbeat) {
    bool newest = reconciliation_take(machine, heartbeat, CHANNEL_HEARTBEAT);
    if (newest && heartbeat->fencing_token >= machines_fencing_token(machine)) machines_add_occupancy_sample(machine);
    if (needs_token_raise(machine)) {
        machine->commands.needs_token_raise = true;
        events_publish(EVENT_SCHEDULE);
        return retry();
    }
    cJSON *directives = newest ? directives_for(machine, CHANNEL_HEARTBEAT) : cJSON_CreateArray();
    machine->liveness.heartbeat_acknowledged = true;
    return directives_response(codec_write_response(machines_fencing_token(machine), directives));
}

static struct response decide_owned(struct machine *machine, const struct heartbeat *heartbeat) {
    learn_address(machine, heartbeat->address);
    /* A later owner commands it already. */
    if (heartbeat->fencing_token > machines_fencing_token(machine)) return other_controller(NULL);
    return membership_may_answer() ? take_owned(machine, heartbeat) : retry();
}

/* With store_lock held. */
static struct response decide(const struct heartbeat *heartbeat) {
    struct machine *machine = machines_find(heartbeat->machine_id);
    if (!store_synced()) return retry();
    if (!machine) return decide_unrecorded(heartbeat);
    if (!machines_owned(machine)) return decide_not_owned(machine, heartbeat);
    return decide_owned(machine, heartbeat);
}

static bool complete(const struct heartbeat *heartbeat) {
    return heartbeat->machine_id && heartbeat->type_name && heartbeat->zone &&
           strlen(heartbeat->machine_id) <= MACHINE_ID_MAX;
}

static void take_heartbeat(struct http_request *request) {
    size_t length;
    const char *body = http_body(request, &length);
    cJSON *message = cJSON_ParseWithLength(body, length);
    struct heartbeat heartbeat = codec_read_heartbeat(message);
    if (complete(&heartbeat)) {
        store_lock();
        struct response response = decide(&heartbeat);
        reply(request, &response);
        store_unlock();
    } else {
        http_reply(request, HTTP_BAD_REQUEST, "{\"error\":\"host, flavour or site is missing\"}", 0);
    }
    cJSON_Delete(message);
}

void heartbeat_handle(struct http_request *request) {
    http_close_when_crowded(request);
    if (strcmp(http_method(request), "POST") == 0) {
        take_heartbeat(request);
    } else {
        http_reply(request, HTTP_METHOD_NOT_ALLOWED, NULL, 0);
    }
}
