/* The catalogue of machine types, which all controllers read from the record `types`.
 *
 * All functions are called with store_lock held. */
#ifndef FF_MACHINE_TYPES_H
#define FF_MACHINE_TYPES_H
#include <stdbool.h>

#include "../json/json.h"
#include "../model/machine_type.h"

/* Registers the observer of the record. Called once, before the mirror is started. */
void machine_types_init(void);

/* Tells whether a catalogue with any types has been read. */
bool machine_types_known(void);
/* Return the array of all types, which belongs to the catalogue, and the number of types. A type never moves in the
 * array. */
const struct machine_type *machine_types_all(void);
int machine_types_count(void);
/* Returns the type with this name, or NULL. */
const struct machine_type *machine_types_find(const char *type_name);

/* Applies a catalogue, from the cloud's answer or from the record. Known types that it does not list are kept. */
void machine_types_apply(const cJSON *value);
/* Returns the known members of a catalogue alone, as the record has them. The caller frees the value. Pure; may be
 * called without store_lock. */
cJSON *machine_types_canonical(const cJSON *value);
#endif
