/* What the stand-in of the state service holds: rows with their mod revisions, the events of a watch, and leases.
 * Called by the stand-in only, with its lock held. */
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
/* Begins a change: what is put and removed from here on has a new revision. */
void standin_rows_next_revision(void);
/* Under the current revision; lease 0: none. The texts are copied. */
void standin_rows_put(const char *key, const char *text, int64_t lease);
void standin_rows_remove(const char *key);

/* NULL: there is none. */
const struct standin_row *standin_rows_find(const char *key);
/* 0: there is no such row. */
int64_t standin_rows_mod_revision(const char *key);
/* Calls for each row in the order of keys, until it returns TRUE; the value is a struct standin_row. */
void standin_rows_foreach(GTraverseFunc visit, gpointer data);

/* The id of a new lease. */
int64_t standin_leases_grant(double ttl_s);
/* False: there is no such lease. */
bool standin_leases_renew(int64_t lease);
bool standin_leases_exist(int64_t lease);
/* Leases that were not renewed in time end, and their rows with them. */
void standin_leases_expire(void);

/* All rows, and the revision. */
void standin_rows_write(cJSON *answer);
/* All events so far, and the revision. */
void standin_events_write(cJSON *answer);

/* When the record of a job first said that it is done; zero: never. */
struct timespec standin_rows_job_done_at(const char *job_id);
#endif
