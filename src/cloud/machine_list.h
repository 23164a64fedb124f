/* Reads the cloud's list of the rented machines, which lags behind rentals and returns by settings.cloud.list_lag_s.
 * Called on the cloud's thread, without store_lock. */
#ifndef FF_CLOUD_MACHINE_LIST_H
#define FF_CLOUD_MACHINE_LIST_H

/* Reads the next page of the list with one call, and starts again after the last page: with a large fleet there are too
 * few calls to read the whole list at once. Machines listed as failed will be returned, and machines that no controller
 * knows are adopted. */
void machine_list_read_page(void);
#endif
