#include "catalogue.h"

#include <stdlib.h>
#include <string.h>

#include "../machine_types/machine_types.h"
#include "../store/keys.h"
#include "../store/store.h"
#include "client.h"

#define BYTES_PER_KIB 1024
#define RECORD_OVERHEAD_BYTES 64 /* size of a record's value without the catalogue */

static void write_record(const cJSON *catalogue) {
    struct store_txn transaction;
    struct store_response response;
    store_txn_init(&transaction);
    store_txn_put(&transaction, STORE_KEY_MACHINE_TYPES, cJSON_Duplicate(catalogue, true), 0);
    store_commit(cloud_client_http(), STORE_PRIORITY_ALLOCATE, &transaction, &response);
    store_response_clear(&response);
    store_txn_free(&transaction);
}

void catalogue_read(const struct settings *settings) {
    struct cloud_answer answer = cloud_client_call("GET", "/flavors", NULL);
    if (cloud_answer_has_status(&answer, HTTP_OK)) {
        char *text = cJSON_PrintUnformatted(answer.body);
        store_lock();
        machine_types_apply(answer.body);
        store_unlock();
        if (text && (double)strlen(text) < settings->next_value_max_kb * BYTES_PER_KIB - RECORD_OVERHEAD_BYTES)
            write_record(answer.body);
        free(text);
    }
    cloud_answer_clear(&answer);
}
