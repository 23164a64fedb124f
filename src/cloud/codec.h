/* Reads and writes the JSON messages of the cloud's protocol. Only codec.c knows their member names. Pure; may be
 * called from any thread, with or without store_lock. */
#ifndef FF_CLOUD_CODEC_H
#define FF_CLOUD_CODEC_H
#include <stdbool.h>

#include "../json/json.h"
#include "../model/machine.h"

/* Return the body of a request to rent machines, and of one to return n machines. The caller frees the body. */
char *cloud_write_rental(const char *claim, const struct rental_request *request);
char *cloud_write_return(char ids[][MACHINE_ID_SIZE], int n);

/* Returns the ids of the rented machines, a JSON array of strings that belongs to the answer; NULL: there are none. */
const cJSON *cloud_read_rented_ids(const cJSON *answer);
/* Tells whether the answer to a rental reports that the cloud has no machine of the requested kind. */
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
/* Reads an item of the list. Returns false if it is malformed. */
bool cloud_read_listed_machine(const cJSON *item, struct listed_machine *machine);
/* Tells whether the list continues after the page in this answer. */
bool cloud_read_has_next(const cJSON *answer);
#endif
