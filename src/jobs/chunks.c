#include "chunks.h"

#include <glib.h>

/* An entry takes up to 24 bytes with names of usual length; what is longer is cut off by the caller of
 * allocations_value, who plans no more for a chunk that is full. */
#define ENTRY_BYTES 24
#define RECORD_BYTES 256 /* all else in a record */
#define BYTES_PER_KB 1024

static const struct settings *cfg;

void chunks_init(const struct settings *s) { cfg = s; }

int chunks_size_for(double value_kb) {
    int entries = (int)((value_kb * BYTES_PER_KB - RECORD_BYTES) / ENTRY_BYTES);
    return CLAMP(entries, CHUNK_SIZE_MIN, CHUNK_SIZE_MAX) / CHUNK_SIZE_MIN * CHUNK_SIZE_MIN;
}

int chunks_legacy_size(void) { return chunks_size_for(cfg->value_kb); }

int chunks_size(const struct job *job) { return job->chunk_size ? job->chunk_size : chunks_legacy_size(); }

int chunks_count_of_size(const struct job *job, int chunk_size) {
    return (job->spec.tasks + chunk_size - 1) / chunk_size;
}

int chunks_count(const struct job *job) { return chunks_count_of_size(job, chunks_size(job)); }
