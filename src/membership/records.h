/* The records of membership as the mirror holds them, and their JSON. Used inside the package only.
 *
 * With store_lock held, all but records_init. */
#ifndef FF_MEMBERSHIP_RECORDS_H
#define FF_MEMBERSHIP_RECORDS_H
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "../json/json.h"
#include "membership.h"

/* A controller that has, or once had, a record. */
struct node {
    char name[MEMBERSHIP_NAME_BYTES];
    char incarnation[MEMBERSHIP_INCARNATION_BYTES];
    int64_t mod_revision;  /* 0: no record */
    struct timespec since; /* when this incarnation was first seen live */
    bool live, workers_unreachable;
};

/* Before the threads start: draws the incarnation and registers the observers. The settings are kept. */
void records_init(const struct settings *settings);

/* The nodes in the order in which they were first seen; the pointers stay good. */
int records_node_count(void);
const struct node *records_node(int index);
/* NULL: there never was one, or the name is empty. */
const struct node *records_find_node(const char *name);
/* This controller's node if its record is of this incarnation, else NULL. */
const struct node *records_self(void);
/* The node of the leader if the leader's record is of its present incarnation and it is live, else NULL. */
const struct node *records_live_leader(void);
/* The node that the leader's record names, live or not; NULL: none. */
const struct node *records_named_leader(void);

/* What is to be written; the caller owns it. */
cJSON *records_node_value(bool workers_unreachable);
cJSON *records_leader_value(void);
/* Makes a transaction conditional on this controller's record. */
void records_require_self(struct store_txn *txn);
#endif
