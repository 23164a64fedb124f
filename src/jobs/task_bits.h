/* Sets of a job's tasks, with one bit per task. In records, the bits of a chunk of tasks are hexadecimal text; a chunk
 * starts at a byte boundary. Pure; the owner of a set defines which threads may use it. */
#ifndef FF_JOBS_TASK_BITS_H
#define FF_JOBS_TASK_BITS_H
#include <stdbool.h>
#include <stdint.h>

/* Creates an empty set; freed with g_free. */
uint8_t *task_bits_new(int n_tasks);
/* Returns whether the task is in the set. If bits is NULL, the set is empty. */
bool task_bits_get(const uint8_t *bits, int task);
/* Adds the task to the set. */
void task_bits_set(uint8_t *bits, int task);
/* Returns how many of the n_tasks tasks from first_task on are in the set. */
int task_bits_count(const uint8_t *bits, int first_task, int n_tasks);

/* Returns the bits of n_tasks tasks as text; freed with g_free. first_task starts a byte. */
char *task_bits_text(const uint8_t *bits, int first_task, int n_tasks);
/* Adds the tasks in the text to the set. A text that is too short adds only the first tasks; NULL adds none. */
void task_bits_read(const char *text, uint8_t *bits, int first_task, int n_tasks);
#endif
