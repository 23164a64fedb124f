/* Tracks whether the workers can reach this controller. The module's other functions are declared in membership.h. Used
 * inside the package only. */
#ifndef FF_MEMBERSHIP_REACHABILITY_H
#define FF_MEMBERSHIP_REACHABILITY_H
#include "../http/client.h"

/* While the workers are marked as unreachable, probes a few of them after the delay of membership_worker_probe_delay_s,
 * and marks them as reachable if one answers. Blocks; called by the membership thread, without store_lock. */
void reachability_probe_if_due(struct http_client *client);
#endif
