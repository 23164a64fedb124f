/* Notices that this process was paused: its clocks ran on, and nothing in it did.
 *
 * What others sent meanwhile has not been read yet, so that silence of workers over that time is this controller's own.
 * It counts anew from the pause's end. Nothing that was decided before the pause depends on this:
 * commands, responses and reads of the store are checked for their age when they are sent. */
#ifndef FF_PROCESS_PAUSE_H
#define FF_PROCESS_PAUSE_H

/* Starts the thread that notices it. */
void process_pause_start(void);

/* Pure: for how long the process was paused, if the clock's next tick, due after `tick_s`, came after `waited_s`; 0:
 * it was not. */
double process_pause_length(double waited_s, double tick_s);
#endif
