/* Whether the workers reach this controller. The other functions are in membership.h. Used inside the package only. */
#ifndef FF_MEMBERSHIP_REACHABILITY_H
#define FF_MEMBERSHIP_REACHABILITY_H
#include "../http/client.h"

/* While the workers are unreachable: asks a few of them whether they are back, when it is time. By the membership
 * thread, without store_lock; blocks. */
void reachability_probe_if_due(struct http_client *client);
#endif
