/* The JSON format of allocation records. The record run/ID/N stores which tasks of chunk N of job ID are done, and
 * the machines that other tasks of the chunk are allocated to.
 *
 * Pure: knows only the format, no jobs or machines. Strings in a record that was read belong to the JSON value. */
#ifndef FF_ALLOCATIONS_CODEC_H
#define FF_ALLOCATIONS_CODEC_H
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "../json/json.h"
#include "../model/machine.h"

/* The fields of an allocation record. */
struct allocation_record {
    bool has_chunk_size;   /* false for records of the first layout */
    int chunk_size;        /* tasks per chunk; 0 if the value that was read is invalid */
    const char *done_bits; /* the done tasks as text (task_bits.h); NULL: none */
    int failed_tries;      /* of a suspect job, in the record of chunk 0; otherwise 0 */
    int64_t base_attempt;  /* the attempts of the entries are relative to this */
    const char *entries;   /* text to be read with allocation_entry_read; NULL: none */
};
/* Reads the valid fields of a record and leaves the others zero. data may be NULL or malformed. */
void allocation_record_read(const cJSON *data, struct allocation_record *record);
/* Returns the record as JSON; the caller owns the value. */
cJSON *allocation_record_write(const struct allocation_record *record);

/* One allocation in a record. */
struct allocation_entry {
    int task;
    int64_t attempt;
    char machine_id[MACHINE_ID_SIZE];
};
/* Reads the entry at the start of *text and moves *text behind it. At the end of the text or at a malformed entry,
 * returns false and leaves *text unchanged. */
bool allocation_entry_read(const char **text, int64_t base_attempt, struct allocation_entry *entry);
/* Returns whether only spaces are left in the text: no entry, valid or malformed. */
bool allocation_entries_exhausted(const char *text);
/* Appends an entry to the entries of a record. */
void allocation_entry_write(GString *entries, int task, const char *machine_id, int64_t attempt, int64_t base_attempt);
#endif
