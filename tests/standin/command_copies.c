#include "command_copies.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>
#include <time.h>

#include "clock/clock.h"

static struct {
    bool enabled;
    struct standin_copy_delay delay;
    GRand *random;
    GPtrArray *waiting; /* struct command_copy */
} copies;

void command_copies_start(const struct standin_copy_delay *delay) {
    if (!copies.waiting) copies.waiting = g_ptr_array_new();
    if (copies.random) g_rand_free(copies.random);
    copies.random = g_rand_new_with_seed(delay->seed);
    copies.delay = *delay;
    copies.enabled = true;
}

void command_copies_stop(void) { copies.enabled = false; }

void command_copies_make_due(void) {
    for (guint i = 0; copies.waiting && i < copies.waiting->len; i++)
        ((struct command_copy *)copies.waiting->pdata[i])->due = clock_now();
}

static bool starts_tasks(const cJSON *command) {
    const cJSON *entry;
    cJSON_ArrayForEach(entry, cJSON_GetObjectItem(command, "orders")) {
        if (strcmp(standin_directive_read(entry).verb, "run") == 0) return true;
    }
    return false;
}

void command_copies_add(struct standin_worker *worker, const cJSON *command) {
    if (!copies.enabled || !starts_tasks(command)) return;
    struct command_copy *copy = g_new0(struct command_copy, 1);
    copy->worker = worker;
    copy->command = cJSON_Duplicate(command, true);
    double spread_s = copies.delay.longest_s - copies.delay.shortest_s;
    copy->due = clock_now_plus(clock_from_seconds(copies.delay.shortest_s + spread_s * g_rand_double(copies.random)));
    g_ptr_array_add(copies.waiting, copy);
}

struct command_copy *command_copies_take_due(void) {
    for (guint i = 0; copies.waiting && i < copies.waiting->len; i++) {
        const struct command_copy *copy = copies.waiting->pdata[i];
        if (clock_seconds_since(copy->due) >= 0) return g_ptr_array_remove_index(copies.waiting, i);
    }
    return NULL;
}

void command_copy_free(struct command_copy *copy) {
    cJSON_Delete(copy->command);
    g_free(copy);
}
