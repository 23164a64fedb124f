#include "provisioning.h"

#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "../clock/clock.h"
#include "../machine_types/machine_types.h"

#define STARTUP_UNKNOWN_S 60.0 /* for a type that promises no time */
#define PROMISED_TIMES 1.6     /* of the promised time, while few boots were seen */
#define SEEN_MIN 8             /* boots from which the type's own time is learned */
#define SEEN_PART 0.9          /* of the boots seen are no longer than what is expected, but for the margin */
#define SEEN_MARGIN 1.25
#define EXPECTED_MIN 0.5 /* bounds of what is learned, in promised times */
#define EXPECTED_MAX 3.0
#define LIMIT_TIMES 3.5 /* of the promised time, and this much longer, until a machine counts as failed */
#define LIMIT_MORE_S 10.0
#define REPLACED_MIN 2  /* overdue machines that may be replaced, */
#define REPLACED_PART 8 /* or one in so many that are up */

/* The latest boots of a type. */
struct boot_times {
    double took_s[PROVISIONING_SAMPLES_MAX];
    int n, next;
};

static GHashTable *by_type; /* sku -> struct boot_times */

static struct boot_times *times_of(const char *type_name) {
    return by_type ? g_hash_table_lookup(by_type, type_name) : NULL;
}

void provisioning_record_boot(const char *type_name, double took_s) {
    if (took_s < 0) return;
    if (!by_type) by_type = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    struct boot_times *t = times_of(type_name);
    if (!t) {
        t = g_new0(struct boot_times, 1);
        g_hash_table_insert(by_type, g_strdup(type_name), t);
    }
    t->took_s[t->next] = took_s;
    t->next = (t->next + 1) % PROVISIONING_SAMPLES_MAX;
    t->n = MIN(t->n + 1, PROVISIONING_SAMPLES_MAX);
}

static int shorter(const void *a, const void *b) {
    double d = *(const double *)a - *(const double *)b;
    return d < 0 ? -1 : d > 0;
}

double provisioning_expected_of(const double *took_s, int n, double startup_s) {
    if (n < SEEN_MIN) return startup_s * PROMISED_TIMES;
    double sorted[PROVISIONING_SAMPLES_MAX];
    n = MIN(n, PROVISIONING_SAMPLES_MAX);
    memcpy(sorted, took_s, sizeof *sorted * (size_t)n);
    qsort(sorted, (size_t)n, sizeof *sorted, shorter);
    double usual = sorted[(int)((n - 1) * SEEN_PART)];
    return CLAMP(usual * SEEN_MARGIN, startup_s * EXPECTED_MIN, startup_s * EXPECTED_MAX);
}

static double startup_of(const struct machine_type *f) {
    return f && f->startup_s > 0 ? f->startup_s : STARTUP_UNKNOWN_S;
}

double provisioning_expected_s(const struct machine_type *f) {
    const struct boot_times *t = f ? times_of(f->type_name) : NULL;
    return t ? provisioning_expected_of(t->took_s, t->n, startup_of(f)) : startup_of(f) * PROMISED_TIMES;
}

bool provisioning_overdue(const struct machine *m) {
    return !m->liveness.up &&
           clock_time_of_day() - m->created_at > provisioning_expected_s(machine_types_find(m->type_name));
}

double provisioning_give_up_s(const struct machine *m) {
    return LIMIT_TIMES * startup_of(machine_types_find(m->type_name)) + LIMIT_MORE_S;
}

int provisioning_replacements_max(int up) { return MAX(REPLACED_MIN, up / REPLACED_PART); }
