#include "machine_list.h"

#include <glib.h>
#include <stdio.h>

#include "../events/events.h"
#include "../logging/logging.h"
#include "../machines/machines.h"
#include "../store/store.h"
#include "client.h"
#include "codec.h"

#define PATH_SIZE 200
#define ADOPTION_AGE_S 15 /* the controller that rented a younger machine may not have recorded it yet */

/* Requests the return of an owned machine that is listed as failed, and sets its address from the list if the address
 * was not known. */
static void update_owned_machine(struct machine *machine, const struct listed_machine *listed) {
    if (listed->failed && !machine->retirement.return_wanted) {
        log_info("machine %s: listed as failed, returning it", machine->id);
        machine->retirement.return_wanted = true;
        events_publish(EVENT_SCHEDULE);
    }
    if (!machine->address[0] && listed->address && *listed->address) {
        g_strlcpy(machine->address, listed->address, sizeof machine->address);
        machine->address_unrecorded = true;
    }
}

/* Updates an owned machine, or adopts a machine that no controller has recorded. Called with store_lock held. */
static void apply_listed_machine(const struct listed_machine *listed) {
    struct machine *machine = machines_find(listed->id);
    if (machine && machines_owned(machine)) {
        update_owned_machine(machine, listed);
    } else if (!machine && !machines_is_known_id(listed->id) && !listed->failed && listed->age_s > ADOPTION_AGE_S) {
        machines_adopt(listed->id, listed->address ? listed->address : "", listed->type_name, listed->zone,
                       listed->spot);
    }
}

void machine_list_read_page(void) {
    static char last_id[MACHINE_ID_SIZE] = ""; /* the next page begins after this id; empty: with the first machine */
    char path[PATH_SIZE];
    snprintf(path, sizeof path, "/rentals?since=%s&most=500", last_id);
    struct cloud_answer answer = cloud_client_call("GET", path, NULL);
    if (cloud_answer_has_status(&answer, HTTP_OK)) {
        const cJSON *item;
        store_lock();
        cJSON_ArrayForEach(item, cloud_read_list(answer.body)) {
            struct listed_machine listed;
            if (!cloud_read_listed_machine(item, &listed)) continue;
            g_strlcpy(last_id, listed.id, sizeof last_id);
            apply_listed_machine(&listed);
        }
        store_unlock();
        if (!cloud_read_has_next(answer.body)) last_id[0] = 0;
    }
    cloud_answer_clear(&answer);
}
