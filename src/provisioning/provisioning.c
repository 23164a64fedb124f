#include "provisioning.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "../clock/clock.h"
#include "../machine_types/machine_types.h"

#define DEFAULT_STARTUP_S 60.0 /* replaces the promised startup time of a machine type if the cloud names none */

/* With fewer recorded boots of a type than this, its expected startup time is the promised one times the factor. */
#define LEARNING_SAMPLES_MIN 8
#define UNLEARNED_STARTUP_FACTOR 1.6

/* With enough boots recorded, the expected startup time is this quantile of the boot times, times the margin factor. */
#define LEARNED_QUANTILE 0.9
#define LEARNED_MARGIN_FACTOR 1.25
/* Bounds of the learned startup time, as multiples of the promised one. */
#define LEARNED_MIN_FACTOR 0.5
#define LEARNED_MAX_FACTOR 3.0

/* A machine that is not up after the promised startup time times the factor, plus the margin, counts as failed. */
#define BOOT_TIMEOUT_FACTOR 3.5
#define BOOT_TIMEOUT_MARGIN_S 10.0

/* Limit on replacements of overdue machines: one for each UP_MACHINES_PER_REPLACEMENT machines that are up, but at
 * least REPLACEMENTS_MIN. */
#define REPLACEMENTS_MIN 2
#define UP_MACHINES_PER_REPLACEMENT 8

/* The boot times of the latest machines of a type, as a ring buffer: n times are recorded, and the next one is written
 * at index next. */
struct boot_times {
    double boot_s[PROVISIONING_SAMPLES_MAX];
    int n, next;
};

/* Type name -> struct boot_times; created with the first boot. Guarded by store_lock. */
static GHashTable *boots_by_type;

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

double provisioning_estimate_startup_s(const double *boot_s, int n, double startup_s) {
    if (n < LEARNING_SAMPLES_MIN) return startup_s * UNLEARNED_STARTUP_FACTOR;
    double sorted[PROVISIONING_SAMPLES_MAX];
    n = MIN(n, PROVISIONING_SAMPLES_MAX);
    memcpy(sorted, boot_s, sizeof *sorted * (size_t)n);
    qsort(sorted, (size_t)n, sizeof *sorted, compare_times);
    double quantile = sorted[(int)((n - 1) * LEARNED_QUANTILE)];
    double expected_s = fmax(quantile * LEARNED_MARGIN_FACTOR, startup_s * LEARNED_MIN_FACTOR);
    return fmin(expected_s, startup_s * LEARNED_MAX_FACTOR);
}

static double promised_startup_s(const struct machine_type *type) {
    return type && type->startup_s > 0 ? type->startup_s : DEFAULT_STARTUP_S;
}

double provisioning_expected_startup_s(const struct machine_type *type) {
    const struct boot_times *boots = type ? find_boots(type->type_name) : NULL;
    if (!boots) return promised_startup_s(type) * UNLEARNED_STARTUP_FACTOR;
    return provisioning_estimate_startup_s(boots->boot_s, boots->n, promised_startup_s(type));
}

bool provisioning_overdue(const struct machine *machine) {
    if (machine->liveness.up) return false;
    double booting_s = clock_time_of_day() - machine->created_at;
    return booting_s > provisioning_expected_startup_s(machine_types_find(machine->type_name));
}

double provisioning_boot_timeout_s(const struct machine *machine) {
    return BOOT_TIMEOUT_FACTOR * promised_startup_s(machine_types_find(machine->type_name)) + BOOT_TIMEOUT_MARGIN_S;
}

int provisioning_replacements_max(int machines_up) {
    return MAX(REPLACEMENTS_MIN, machines_up / UP_MACHINES_PER_REPLACEMENT);
}
