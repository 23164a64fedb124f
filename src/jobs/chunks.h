/* The chunks of a job: run/ID/N holds the allocations of the N-th stretch of its tasks, and all chunks of a job have
 * one size. The first layout fixed it by the size of a value, and its records don't name it; later records do. */
#ifndef FF_JOBS_CHUNKS_H
#define FF_JOBS_CHUNKS_H
#include "../model/job.h"
#include "../settings/settings.h"

#define CHUNK_SIZE_MIN 8 /* bits of done tasks are kept in whole bytes */
#define CHUNK_SIZE_MAX 4096

void chunks_init(const struct settings *s);

/* The number of tasks whose record surely fits a value of that size. */
int chunks_size_for(double value_kb);
int chunks_legacy_size(void);           /* that of the first layout */
int chunks_size(const struct job *job); /* that of the records there are */
/* Records of the job, of a size and of its present one. */
int chunks_count_of_size(const struct job *job, int chunk_size);
int chunks_count(const struct job *job);
#endif
