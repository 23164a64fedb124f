/* Late copies of heartbeats, which are sent to the controller whose index follows that of the controller that got the
 * original. Used by workers.c only, with the lock of the workers held. */
#ifndef FF_STANDIN_HEARTBEAT_COPIES_H
#define FF_STANDIN_HEARTBEAT_COPIES_H

struct heartbeat_copy {
    char *text;
    int controller; /* index of the controller that gets the copy */
};

/* From now on, copies are due so many seconds after the original; 0: no copies are made. */
void heartbeat_copies_set_delay(double after_s);
/* Adds a copy of a heartbeat to one of so many controllers, if copies are made. */
void heartbeat_copies_add(const char *text, int original_to, int n_controllers);
/* Removes the copy that is due first, which the caller frees. NULL: no copy is due. */
struct heartbeat_copy *heartbeat_copies_take_due(void);
void heartbeat_copy_free(struct heartbeat_copy *copy);
#endif
