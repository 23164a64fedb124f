/* Which tasks of a job are done: a bit a task. On record, the bits of a chunk of tasks are hexadecimal text. A chunk
 * begins at the start of a byte. Pure. */
#ifndef FF_JOBS_DONE_BITS_H
#define FF_JOBS_DONE_BITS_H
#include <stdbool.h>
#include <stdint.h>

uint8_t *done_bits_new(int tasks);            /* all zero; freed with g_free */
bool jobs_bit(const uint8_t *bits, int task); /* bits NULL: false */
void done_bits_set(uint8_t *bits, int task);
/* Of n tasks from one at the start of a byte. */
int done_bits_count(const uint8_t *bits, int from, int n);

/* The text of n tasks' bits from one at the start of a byte; freed with g_free. */
char *jobs_bits_text(const uint8_t *bits, int from, int n);
/* Adds the bits that the text sets to those of n tasks; text NULL: none. Reads as far as the text goes. */
void jobs_bits_read(const char *text, uint8_t *bits, int from, int n);
#endif
