#include "rentals.h"

#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>

#include "../logging/logging.h"
#include "../machines/machines.h"
#include "../membership/membership.h"
#include "../store/store.h"
#include "capacity.h"
#include "client.h"
#include "codec.h"

#define CLAIM_SIZE 80

/* The open rental. Its claim identifies it to the cloud, so that a call whose answer was lost can be repeated without
 * renting twice, until the outcome is known. A claim is never reused: it contains the controller's random incarnation
 * and a counter. */
static struct {
    const struct settings *settings;
    bool open;
    char claim[CLAIM_SIZE];
    struct rental_request request;
    unsigned n_claims; /* number of claims made by this process */
} rental;

void rentals_init(const struct settings *settings) { rental.settings = settings; }

bool rentals_has_open(void) { return rental.open; }

void rentals_open(const struct rental_request *request) {
    rental.open = true;
    rental.request = *request;
    g_snprintf(rental.claim, sizeof rental.claim, "%s-%s-%u", rental.settings->node, membership_incarnation(),
               ++rental.n_claims);
}

static void add_rented_machines(const cJSON *ids) {
    const struct rental_request *request = &rental.request;
    int n_rented = cJSON_GetArraySize(ids);
    const cJSON *id;
    store_lock();
    cJSON_ArrayForEach(id, ids) {
        if (cJSON_IsString(id))
            machines_add_rented(request->shard, id->valuestring, request->type_name, request->zone, request->spot);
    }
    if (n_rented >= request->count) {
        capacity_note_available(request);
    } else {
        capacity_note_refused(request);
    }
    store_unlock();
    log_info("cloud: rented %d of %d %s in %s (%s) for shard %d", n_rented, request->count, request->type_name,
             request->zone, request->spot ? "spot" : "on-demand", request->shard);
}

/* Handles an answer with status 503, which reports either a lack of capacity or an overload. */
static void handle_unavailable(const cJSON *answer) {
    if (!cloud_read_no_capacity(answer)) return;
    cloud_client_end_pause();
    store_lock();
    capacity_note_refused(&rental.request);
    store_unlock();
}

void rentals_call(void) {
    char *body = cloud_write_rental(rental.claim, &rental.request);
    struct cloud_answer answer = cloud_client_call("POST", "/rentals", body);
    if (cloud_answer_has_status(&answer, HTTP_OK)) {
        add_rented_machines(cloud_read_rented_ids(answer.body));
        rental.open = false;
    } else if (cloud_answer_has_status(&answer, HTTP_SERVICE_UNAVAILABLE)) {
        handle_unavailable(answer.body);
        rental.open = false;
    } else if (answer.outcome == HTTP_NOT_SENT || cloud_answer_has_status(&answer, HTTP_BAD_REQUEST)) {
        rental.open = false;
    }
    free(body);
    cloud_answer_clear(&answer);
}

void rentals_return(char ids[][MACHINE_ID_SIZE], int n) {
    char *body = cloud_write_return(ids, n);
    struct cloud_answer answer = cloud_client_call("POST", "/rentals/return", body);
    if (cloud_answer_has_status(&answer, HTTP_OK)) {
        store_lock();
        for (int i = 0; i < n; i++) {
            machines_mark_returned(ids[i]);
            log_info("machine %s: returned", ids[i]);
        }
        store_unlock();
    }
    free(body);
    cloud_answer_clear(&answer);
}
