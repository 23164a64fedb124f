#include "provisioning.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "../clock/clock.h"
#include "../machine_types/machine_types.h"

#define STARTUP_UNKNOWN_S 60.0 /* for a type that promises no time */

/* Until so many boots of a type were seen, a machine is expected within this multiple of the promised time. */
#define SAMPLES_MIN 8
#define PROMISE_FACTOR 1.6

/* From then on it is expected within the time that this part of the boots took, and a margin. */
#define EXPECTED_QUANTILE 0.9
#define EXPECTED_MARGIN 1.25
/* Bounds of what is learned, in promised times. */
#define EXPECTED_MIN 0.5
#define EXPECTED_MAX 3.0

/* After this multiple of the promised time and so many seconds a machine counts as failed. */
#define GIVE_UP_FACTOR 3.5
#define GIVE_UP_MARGIN_S 10.0

/* Overdue machines that may be replaced: so many, or one in so many that are up. */
#define REPLACEMENTS_MIN 2
#define UP_PER_REPLACEMENT 8

/* The latest boots of a type, as a ring. */
struct boot_times {
    double boot_s[PROVISIONING_SAMPLES_MAX];
    int n, next;
};

static GHashTable *boots_by_type; /* name of the type -> struct boot_times; made with the first */

static struct boot_times *find_boots(const char *type_name) {
    return boots_by_type ? g_hash_table_lookup(boots_by_type, type_name) : NULL;
}

static struct boot_times *find_or_add_boots(const char *type_name) {
    struct boot_times *boots = find_boots(type_name);
    if (boots) return boots;
    if (!boots_by_type) boots_by_type = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    boots = g_new0(struct boot_times, 1);
    g_hash_table_insert(boots_by_type, g_strdup(type_name), boots);
    return boots;
}

void provisioning_record_boot(const char *type_name, double boot_s) {
    if (boot_s < 0) return;
    struct boot_times *boots = find_or_add_boots(type_name);
    boots->boot_s[boots->next] = boot_s;
    boots->next = (boots->next + 1) % PROVISIONING_SAMPLES_MAX;
    boots->n = MIN(boots->n + 1, PROVISIONING_SAMPLES_MAX);
}

static int compare_times(const void *left, const void *right) {
    double difference = *(const double *)left - *(const double *)right;
    return difference < 0 ? -1 : difference > 0;
}

double provisioning_expected_of(const double *boot_s, int n, double startup_s) {
    if (n < SAMPLES_MIN) return startup_s * PROMISE_FACTOR;
    double sorted[PROVISIONING_SAMPLES_MAX];
    n = MIN(n, PROVISIONING_SAMPLES_MAX);
    memcpy(sorted, boot_s, sizeof *sorted * (size_t)n);
    qsort(sorted, (size_t)n, sizeof *sorted, compare_times);
    double quantile = sorted[(int)((n - 1) * EXPECTED_QUANTILE)];
    double expected_s = fmax(quantile * EXPECTED_MARGIN, startup_s * EXPECTED_MIN);
    return fmin(expected_s, startup_s * EXPECTED_MAX);
}

static double promised_startup_s(const struct machine_type *type) {
    return type && type->startup_s > 0 ? type->startup_s : STARTUP_UNKNOWN_S;
}

double provisioning_expected_s(const struct machine_type *type) {
    const struct boot_times *boots = type ? find_boots(type->type_name) : NULL;
    if (!boots) return promised_startup_s(type) * PROMISE_FACTOR;
    return provisioning_expected_of(boots->boot_s, boots->n, promised_startup_s(type));
}

bool provisioning_overdue(const struct machine *machine) {
    if (machine->liveness.up) return false;
    double booting_s = clock_time_of_day() - machine->created_at;
    return booting_s > provisioning_expected_s(machine_types_find(machine->type_name));
}

double provisioning_give_up_s(const struct machine *machine) {
    return GIVE_UP_FACTOR * promised_startup_s(machine_types_find(machine->type_name)) + GIVE_UP_MARGIN_S;
}

int provisioning_replacements_max(int machines_up) { return MAX(REPLACEMENTS_MIN, machines_up / UP_PER_REPLACEMENT); }
