/* The membership records (nodes, leader, shards, fencing counter): their contents in the mirror, and their JSON. Used
 * inside the package only.
 *
 * All functions but records_init are called with store_lock held. */
#ifndef FF_MEMBERSHIP_RECORDS_H
#define FF_MEMBERSHIP_RECORDS_H
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "../json/json.h"
#include "membership.h"

/* A controller that has a node record, or has had one. */
struct membership_node {
    char name[MEMBERSHIP_NAME_BYTES];
    char incarnation[MEMBERSHIP_INCARNATION_BYTES];
    int64_t mod_revision;       /* 0: no record */
    struct timespec live_since; /* when this controller first saw this incarnation live */
    bool live, workers_unreachable;
};

/* Generates the incarnation of this controller and registers the observers of the records. Called before the threads
 * start. Keeps the pointer to the settings. */
void records_init(const struct settings *settings);

/* The nodes are in the order in which their records were first read. Pointers to the nodes stay valid. */
int records_node_count(void);
const struct membership_node *records_node(int index);
/* Returns NULL if no node of that name has ever had a record, or if the name is empty. */
const struct membership_node *records_find_node(const char *name);
/* Returns the node of this controller if it is live and its record is of this incarnation, else NULL. */
const struct membership_node *records_own_node(void);
/* Returns the node of the leader if it is live and the leader record contains its current incarnation, else NULL. */
const struct membership_node *records_live_leader(void);
/* Returns the node in the leader record, live or not, or NULL if there is none. */
const struct membership_node *records_recorded_leader(void);

/* Return the JSON of this controller's node record, and of a leader record that names this controller; the caller owns
 * it. */
cJSON *records_node_value(bool workers_unreachable);
cJSON *records_leader_value(void);
/* Makes the transaction conditional on the node record of this controller being unchanged. */
void records_compare_own_node(struct store_txn *txn);
#endif
