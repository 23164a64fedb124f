/* Detects that this process was paused: the clock advanced while no thread ran.
 *
 * Messages that arrived during the pause have not been read yet, so the silence of a worker during that time does not
 * show that it is unreachable. The measurement of silence restarts at the end of the pause. Decisions made before the
 * pause do not rely on this: the age of commands and responses is checked when they are sent, and the age of store
 * reads when they are used. */
#ifndef FF_PROCESS_PAUSE_H
#define FF_PROCESS_PAUSE_H

/* Starts the thread that detects pauses. */
void process_pause_start(void);

/* Returns the length of the pause in seconds if a tick that was due after tick_s came after waited_s; 0 if the delay is
 * too short for a pause. Pure. */
double process_pause_length(double waited_s, double tick_s);
#endif
