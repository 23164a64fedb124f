/* The catalogue of machine types, as the record `types` holds it for all controllers. All with store_lock held. */
#ifndef FF_MACHINE_TYPES_H
#define FF_MACHINE_TYPES_H
#include <stdbool.h>

#include "../json/json.h"
#include "../model/machine_type.h"

void machine_types_init(void);

bool machine_types_known(void); /* the catalogue has been read once */
const struct machine_type *machine_types_all(void);
int machine_types_count(void);
const struct machine_type *machine_types_find(const char *type_name); /* NULL: there is none */

/* Takes in the cloud's answer, or the record that holds it. */
void machine_types_apply(const cJSON *catalogue);
#endif
