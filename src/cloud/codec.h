/* Reads and writes the JSON messages of the cloud's protocol. Only codec.c knows their member names. Pure: any thread,
 * no lock. */
#ifndef FF_CLOUD_CODEC_H
#define FF_CLOUD_CODEC_H
#include <stdbool.h>

#include "../json/json.h"
#include "../model/machine.h"

/* These return the body of a request, which the caller frees. */
char *cloud_write_rental(const char *claim, const struct rental_request *request);
char *cloud_write_return(char ids[][MACHINE_ID_SIZE], int n);

/* Returns the ids of the rented machines, a JSON array of strings that belongs to the answer; NULL: there are none. */
const cJSON *cloud_read_rented_ids(const cJSON *answer);
/* Tells whether the answer to a rental reports that the cloud has no machine of the kind. */
bool cloud_read_no_capacity(const cJSON *answer);

/* A machine in the cloud's list. The strings belong to the answer. */
struct listed_machine {
    const char *id, *type_name, *zone;
    const char *address; /* NULL or empty: not known yet */
    bool spot, failed;
    double age_s;
};
/* Returns the JSON array of the list's items, which belongs to the answer; NULL: there is none. */
const cJSON *cloud_read_list(const cJSON *answer);
/* Returns false if the item is malformed. */
bool cloud_read_listed_machine(const cJSON *item, struct listed_machine *machine);
/* Tells whether the list has more machines than this answer. */
bool cloud_read_has_next(const cJSON *answer);
#endif
