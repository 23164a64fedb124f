/* Notices that this process stood still: its clocks ran on, and nothing in it did.
 *
 * What others sent meanwhile has not been read yet, so that silence of workers over that time is this controller's own.
 * Their times of being heard are moved on by as long as it stood. Nothing that was decided before the stop depends on
 * this: commands, answers and looks at the store are checked for their age when they are sent. */
#ifndef FF_PROCESS_PAUSE_H
#define FF_PROCESS_PAUSE_H

void process_pause_start(void);

/* Pure: for how long the process stood still, if the clock's next tick, due after `tick_s`, came after `waited_s`; 0:
 * it did not. */
double process_pause_length(double waited_s, double tick_s);
#endif
