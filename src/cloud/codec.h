/* The JSON of the cloud's protocol. Its member names stand in codec.c only. Pure: any thread, no lock. */
#ifndef FF_CLOUD_CODEC_H
#define FF_CLOUD_CODEC_H
#include <stdbool.h>

#include "../json/json.h"
#include "../model/machine.h"

/* Bodies of requests; the caller frees them. */
char *cloud_write_rental(const char *claim, const struct rental_request *request);
char *cloud_write_return(char ids[][MACHINE_ID_SIZE], int n);

/* The ids of the machines that a rental brought, a list of strings, which belongs to the answer; NULL: none. */
const cJSON *cloud_read_rented(const cJSON *answer);
/* The answer to a rental says that there is no machine of the kind. */
bool cloud_read_no_capacity(const cJSON *answer);

/* A machine of the list. The texts belong to the answer. */
struct listed_machine {
    const char *id, *type_name, *zone;
    const char *address; /* NULL or empty: not known yet */
    bool spot, failed;
    double age_s;
};
/* The list's items, which belong to the answer; NULL: none. */
const cJSON *cloud_read_list(const cJSON *answer);
/* False: the item can't be read. */
bool cloud_read_listed(const cJSON *item, struct listed_machine *machine);
/* The list goes on after this answer's last machine. */
bool cloud_read_list_goes_on(const cJSON *answer);
#endif
