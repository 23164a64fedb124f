/* Reads the cloud's list of the rented machines, which lags behind rentals and returns by settings.cloud.list_lag_s.
 * Called on the cloud's thread, without store_lock. */
#ifndef FF_CLOUD_MACHINE_LIST_H
#define FF_CLOUD_MACHINE_LIST_H

/* Reads the next page of the list with one call, and starts again after the last page: with a large fleet there are too
 * few calls to read the whole list at once. Requests the return of machines that are listed as failed, and adopts
 * machines that no controller has recorded. */
void machine_list_read_page(void);
#endif
