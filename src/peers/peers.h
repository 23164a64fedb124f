/* Direct requests between the controllers: hints that the store has changed, and the age of each controller's last read
 * of the store.
 *
 * One thread per peer sends a request once a second, and immediately after peers_notify_store_change. No function needs
 * a lock. Unless noted otherwise, each may be called from any thread, also with store_lock held. */
#ifndef FF_PEERS_H
#define FF_PEERS_H
#include <stdbool.h>

#include "../settings/settings.h"

/* Called once, before any other function of the package. Keeps the pointer to the settings. */
void peers_init(const struct settings *settings);
/* Listens for requests of the peers. Returns false if it cannot listen on the address. */
bool peers_listen(void);
/* Starts the threads that send requests to the peers. Called after peers_listen. */
void peers_start(void);
/* Sends a hint to all peers, so that they read the store immediately. Called after this controller has written to the
 * store. Does not block, because the threads of the peers send the hint. */
void peers_notify_store_change(void);
/* Returns whether any peer reported within the last 3 s that it had recently read the store. */
bool peers_any_reads_store(void);
/* Returns whether the named controller answered a request within the last 3 s. */
bool peers_is_reachable(const char *node);
#endif
