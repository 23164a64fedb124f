/* How the store's records hold allocations, as JSON: run/ID/N has, for the N-th chunk of a job's tasks, which are done
 * and where the others are allocated.
 *
 * Pure: it knows the records' format and no job or machine. The strings of what is read belong to the JSON value. */
#ifndef FF_ALLOCATIONS_CODEC_H
#define FF_ALLOCATIONS_CODEC_H
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "../json/json.h"
#include "../model/machine.h"

struct allocation_record {
    bool names_chunk_size; /* the first layout's records do not */
    int chunk_size;        /* tasks; 0, when read: none that there may be */
    const char *done;      /* bits of the tasks that are done, as text; NULL: none */
    int failed_tries;      /* of a suspect job, in its first record; 0: none */
    int64_t base_attempt;  /* that the entries' attempts are counted from */
    const char *entries;   /* for allocation_entry_read; NULL: none */
};
/* Reads what there is of a record; data may be NULL or malformed. */
void allocation_record_read(const cJSON *data, struct allocation_record *record);
/* The value belongs to the caller. */
cJSON *allocation_record_write(const struct allocation_record *record);

/* One allocation of a record. */
struct allocation_entry {
    int task;
    int64_t attempt;
    char machine_id[MACHINE_ID_SIZE];
};
/* Reads the entry that *text begins with, and moves *text behind it; false, with *text as it was, at the end or where
 * the entry is malformed. */
bool allocation_entry_read(const char **text, int64_t base_attempt, struct allocation_entry *entry);
/* Whether nothing but spaces is left. */
bool allocation_entries_end(const char *text);
/* Appends an entry to the text of a record's entries. */
void allocation_entry_write(GString *entries, int task, const char *machine_id, int64_t attempt, int64_t base_attempt);
#endif
