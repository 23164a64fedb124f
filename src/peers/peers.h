/* What controllers tell one another: hints to look at the store, and how long since each saw it. */
#ifndef FF_PEERS_H
#define FF_PEERS_H
#include <stdbool.h>

#include "../settings/settings.h"

void peers_init(const struct settings *s);
/* Listens for the other controllers; false where it cannot. Then the threads that ask them. */
bool peers_listen(void);
void peers_start(void);
void peers_hint(void);              /* something new is in the store */
bool peers_see_store(void);         /* a peer reached the store lately */
bool peers_reach(const char *node); /* that controller answered lately */
#endif
