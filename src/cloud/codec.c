#include "codec.h"

#include <stdbool.h>
#include <string.h>

/* Members that several messages have. */
#define KEY_MACHINES "hosts"
#define KEY_TYPE_NAME "flavour"
#define KEY_ZONE "site"
#define KEY_SPOT "reclaimable"

char *cloud_write_rental(const char *claim, const struct rental_request *request) {
    cJSON *body = cJSON_CreateObject();
    cJSON_AddStringToObject(body, "claim", claim);
    cJSON_AddStringToObject(body, KEY_TYPE_NAME, request->type_name);
    cJSON_AddStringToObject(body, KEY_ZONE, request->zone);
    cJSON_AddBoolToObject(body, KEY_SPOT, request->spot);
    cJSON_AddNumberToObject(body, "how_many", request->count);
    char *text = cJSON_PrintUnformatted(body);
    cJSON_Delete(body);
    return text;
}

char *cloud_write_return(char ids[][MACHINE_ID_SIZE], int n) {
    cJSON *body = cJSON_CreateObject();
    cJSON *list = cJSON_AddArrayToObject(body, KEY_MACHINES);
    for (int i = 0; i < n; i++) cJSON_AddItemToArray(list, cJSON_CreateString(ids[i]));
    char *text = cJSON_PrintUnformatted(body);
    cJSON_Delete(body);
    return text;
}

const cJSON *cloud_read_rented_ids(const cJSON *answer) {
    return cJSON_GetObjectItemCaseSensitive(answer, KEY_MACHINES);
}

bool cloud_read_no_capacity(const cJSON *answer) {
    const char *error = json_get_string(answer, "error");
    return error && strcmp(error, "no capacity") == 0;
}

const cJSON *cloud_read_list(const cJSON *answer) { return cJSON_GetObjectItemCaseSensitive(answer, KEY_MACHINES); }

bool cloud_read_listed_machine(const cJSON *item, struct listed_machine *machine) {
    const char *state = json_get_string(item, "state");
    *machine = (struct listed_machine){
        .id = json_get_string(item, "uid"),
        .type_name = json_get_string(item, KEY_TYPE_NAME),
        .zone = json_get_string(item, KEY_ZONE),
        .address = json_get_string(item, "address"),
        .spot = json_get_bool(item, KEY_SPOT),
        .failed = state && strcmp(state, "failed") == 0,
        .age_s = json_get_double(item, "age_s", 0),
    };
    return machine->id && machine->type_name && machine->zone && state && strlen(machine->id) < MACHINE_ID_SIZE;
}

bool cloud_read_has_next(const cJSON *answer) { return json_get_bool(answer, "has_next"); }
