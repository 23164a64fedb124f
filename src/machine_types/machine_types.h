/* The catalogue of machine types, as the record `types` holds it for all controllers.
 *
 * Called by whoever rents machines or places tasks on them. All with store_lock held. */
#ifndef FF_MACHINE_TYPES_H
#define FF_MACHINE_TYPES_H
#include <stdbool.h>

#include "../json/json.h"
#include "../model/machine_type.h"

/* Observes the record; once, before the mirror is started. */
void machine_types_init(void);

/* Whether the catalogue has been read once. */
bool machine_types_known(void);
/* All types, as an array that belongs to the catalogue, and their number. A type keeps its place. */
const struct machine_type *machine_types_all(void);
int machine_types_count(void);
/* NULL: there is no such type. */
const struct machine_type *machine_types_find(const char *type_name);

/* Takes in a catalogue: the cloud's answer, or the record that holds it. Types that it doesn't name stay. */
void machine_types_apply(const cJSON *value);
#endif
