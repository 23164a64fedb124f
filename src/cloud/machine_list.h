/* The cloud's list of our machines, which lags behind rentals and returns by settings.cloud.list_lag_s. On the cloud's
 * thread, without the lock. */
#ifndef FF_CLOUD_MACHINE_LIST_H
#define FF_CLOUD_MACHINE_LIST_H

/* Reads a page a call, going round: a whole list takes more calls than a large fleet's controllers have. What it lists
 * as failed is to be returned; what nobody knows is adopted. */
void machine_list_read_page(void);
#endif
