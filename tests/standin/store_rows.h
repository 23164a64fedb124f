/* The data of the stand-in of the state service: rows with their mod revisions, the events of a watch, and leases. Used
 * by the stand-in only, with its lock held. */
#ifndef FF_STANDIN_STORE_ROWS_H
#define FF_STANDIN_STORE_ROWS_H
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "json/json.h"

struct standin_row {
    char *text; /* JSON */
    int64_t mod_revision;
    int64_t lease; /* 0: none */
};

void standin_rows_init(void);

/* The revision of the last change. */
int64_t standin_rows_revision(void);
/* Starts a new revision, which the following writes and removals get. */
void standin_rows_next_revision(void);
/* Writes or removes a row under the current revision. Lease 0: none. The strings are copied. */
void standin_rows_put(const char *key, const char *text, int64_t lease);
void standin_rows_remove(const char *key);

/* NULL: there is no such row. */
const struct standin_row *standin_rows_find(const char *key);
/* 0: there is no such row. */
int64_t standin_rows_mod_revision(const char *key);
/* Calls visit for each row (value: struct standin_row) in the order of keys, until visit returns TRUE. */
void standin_rows_foreach(GTraverseFunc visit, gpointer data);

/* Returns the id of a new lease. */
int64_t standin_leases_grant(double ttl_s);
/* Returns false if there is no such lease. */
bool standin_leases_renew(int64_t lease);
bool standin_leases_exist(int64_t lease);
/* Removes the leases that were not renewed within their TTL, and all rows attached to these leases. */
void standin_leases_expire(void);

/* Adds all rows and the revision to an answer. */
void standin_rows_write(cJSON *answer);
/* Adds all events so far and the revision to an answer. */
void standin_events_write(cJSON *answer);

/* When the job's record was first written with the state done; zero: never. */
struct timespec standin_rows_job_done_at(const char *job_id);
#endif
