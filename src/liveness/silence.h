/* Time limits for the silence of a machine. Called with or without store_lock. */
#ifndef FF_LIVENESS_SILENCE_H
#define FF_LIVENESS_SILENCE_H
/* Heartbeat intervals after which the next heartbeat is overdue: heartbeats may be a quarter of an interval late. */
#define HEARTBEAT_DUE_INTERVALS 1.25

/* Returns the time after a heartbeat by which the next one should have arrived. */
double silence_heartbeat_due_s(void);
/* Returns the silence after which a machine is returned. */
double silence_limit_s(void);
/* Returns the time within which a machine must have been heard to count as recently heard. */
double silence_heard_recently_s(void);
#endif
