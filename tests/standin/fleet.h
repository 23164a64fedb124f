/* Stand-ins of the cloud and of workers: enough of both to rent, run, fall silent and be returned. */
#ifndef FF_STANDIN_FLEET_H
#define FF_STANDIN_FLEET_H
#include "base/base.h"

bool standin_cloud_start(const char *address, const char *controller);
int standin_cloud_rented(void);
int standin_cloud_refused(void); /* it refuses the first three rentals, each in another way */
int standin_cloud_returned(void);
int standin_cloud_claims_reused(void); /* a claim used for two different orders */

void standin_workers_knows(const char *node, const char *controller); /* one more controller to report to */
void standin_workers_lease(double seconds);                           /* without it leases never end */
void standin_workers_mute(bool all);                                  /* neither report nor answer */
void standin_workers_mute_one(int index);
int standin_workers_running(const char *task); /* on how many machines the task is now */
int standin_workers_most(void);                /* the most machines that ever ran one task at the same time */
int standin_workers_starts(void);
#endif
