#include "catalogue.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "../machine_types/machine_types.h"
#include "../store/keys.h"
#include "../store/store.h"
#include "client.h"

#define BYTES_PER_KIB 1024
#define RECORD_OVERHEAD_BYTES 64 /* size of a record's value without the catalogue */

/* Takes ownership of the record's value. */
static void write_record(cJSON *value) {
    struct store_txn transaction;
    struct store_response response;
    store_txn_init(&transaction);
    store_txn_put(&transaction, STORE_KEY_MACHINE_TYPES, value, 0);
    store_commit(cloud_client_http(), STORE_PRIORITY_ALLOCATE, &transaction, &response);
    store_response_clear(&response);
    store_txn_free(&transaction);
}

void catalogue_read(const struct settings *settings) {
    struct cloud_answer answer = cloud_client_call("GET", "/flavors", NULL);
    if (cloud_answer_has_status(&answer, HTTP_OK)) {
        cJSON *value = machine_types_canonical(answer.body);
        char *text = cJSON_PrintUnformatted(value);
        store_lock();
        machine_types_apply(answer.body);
        store_unlock();
        bool fits = (double)strlen(text) < settings->next_value_max_kb * BYTES_PER_KIB - RECORD_OVERHEAD_BYTES;
        if (fits) {
            write_record(value);
        } else {
            cJSON_Delete(value);
        }
        free(text);
    }
    cloud_answer_clear(&answer);
}
