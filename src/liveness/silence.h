/* How long a silence has a consequence. With store_lock held or without. */
#ifndef FF_LIVENESS_SILENCE_H
#define FF_LIVENESS_SILENCE_H
/* Heartbeats come up to a quarter of their interval late. */
#define HEARTBEAT_LATENESS 1.25

/* So late the next heartbeat may be heard after the last. */
double silence_heartbeat_due_s(void);
/* A machine that was not heard for longer is returned. */
double silence_limit_s(void);
/* A machine that was heard within that time counts as heard. */
double silence_heard_lately_s(void);
#endif
