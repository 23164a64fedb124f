/* What controllers tell one another: hints that the store has changed, and how long ago each read it.
 *
 * A thread for each peer asks it once a second, and at once after a hint. None of the functions needs a lock; they may
 * be called from any thread, also with store_lock held, unless it says otherwise. */
#ifndef FF_PEERS_H
#define FF_PEERS_H
#include <stdbool.h>

#include "../settings/settings.h"

/* Once, before any other function of the package. The settings are kept. */
void peers_init(const struct settings *settings);
/* Listens for the peers; false where it can't. */
bool peers_listen(void);
/* Starts the threads that ask the peers. After peers_listen. */
void peers_start(void);
/* Lets all peers read the store at once: this controller has written something. */
void peers_hint(void);
/* Whether a peer said lately that it has just read the store. */
bool peers_see_store(void);
/* Whether that controller answered lately. */
bool peers_reach(const char *node);
#endif
