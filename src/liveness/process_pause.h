/* Detects that this process was paused: the clock advanced while no thread ran.
 *
 * Messages that arrived during the pause have not been read yet, so the silence of workers during that time says
 * nothing about them. The measurement of silence restarts at the end of the pause. Decisions made before the pause
 * don't rely on this: the age of commands, responses and store reads is checked when they are sent. */
#ifndef FF_PROCESS_PAUSE_H
#define FF_PROCESS_PAUSE_H

/* Starts the thread that detects pauses. */
void process_pause_start(void);

/* The length of the pause in seconds if a tick that was due after tick_s came after waited_s; 0 if the delay is too
 * short for a pause. Pure. */
double process_pause_length(double waited_s, double tick_s);
#endif
