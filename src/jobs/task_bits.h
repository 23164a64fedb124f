/* Sets of a job's tasks: a bit a task. On record, the bits of a chunk of tasks are hexadecimal text; a chunk begins at
 * the start of a byte. Pure; of which thread may use a set, its owner says. */
#ifndef FF_JOBS_TASK_BITS_H
#define FF_JOBS_TASK_BITS_H
#include <stdbool.h>
#include <stdint.h>

uint8_t *task_bits_new(int tasks);                 /* all zero; freed with g_free */
bool task_bits_get(const uint8_t *bits, int task); /* bits NULL: an empty set */
void task_bits_set(uint8_t *bits, int task);
/* How many of n tasks are in the set, from a given one. */
int task_bits_count(const uint8_t *bits, int from, int n);

/* The text of n tasks' bits from one at the start of a byte; freed with g_free. */
char *task_bits_text(const uint8_t *bits, int from, int n);
/* Adds the bits that the text sets to those of n tasks; text NULL: none. Reads as far as the text goes. */
void task_bits_read(const char *text, uint8_t *bits, int from, int n);
#endif
