#include "capacity.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>
#include <time.h>

#include "../clock/clock.h"
#include "../logging/logging.h"
#include "../machines/machines.h"
#include "cloud.h"

#define BACKOFF_FIRST_S 7
#define BACKOFF_MAX_S 60

/* Delays rental requests for a kind of machine that the cloud has refused. */
struct backoff {
    struct timespec until;
    double delay_s; /* doubles with each refusal, up to BACKOFF_MAX_S */
};

static GHashTable *backoffs; /* "TYPE ZONE SPOT" -> struct backoff */

static char *kind_key(const char *type_name, const char *zone, bool spot) {
    return g_strdup_printf("%s %s %d", type_name, zone, spot);
}

static void end_backoff(const char *type_name, const char *zone, bool spot) {
    g_autofree char *key = kind_key(type_name, zone, spot);
    g_hash_table_remove(backoffs, key);
}

/* Ends the backoff for the kind of a returned machine, since the cloud can rent that machine out again. */
static void end_backoff_on_return(const struct machine *machine) {
    end_backoff(machine->type_name, machine->zone, machine->spot);
}

void capacity_init(void) {
    backoffs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    machines_on_returned(end_backoff_on_return);
}

bool cloud_may_rent(const char *type_name, const char *zone, bool spot) {
    g_autofree char *key = kind_key(type_name, zone, spot);
    const struct backoff *backoff = g_hash_table_lookup(backoffs, key);
    return !backoff || clock_seconds_since(backoff->until) >= 0;
}

void capacity_note_available(const struct rental_request *request) {
    end_backoff(request->type_name, request->zone, request->spot);
}

static struct backoff *find_or_add_backoff(const struct rental_request *request) {
    char *key = kind_key(request->type_name, request->zone, request->spot);
    struct backoff *backoff = g_hash_table_lookup(backoffs, key);
    if (backoff) {
        g_free(key);
        return backoff;
    }
    backoff = g_new0(struct backoff, 1);
    g_hash_table_insert(backoffs, key, backoff);
    return backoff;
}

/* Refused requests use up calls that other requests need. The delay therefore grows up to BACKOFF_MAX_S. The backoff
 * ends early when any controller returns a machine of the kind. */
void capacity_note_refused(const struct rental_request *request) {
    struct backoff *backoff = find_or_add_backoff(request);
    backoff->delay_s = backoff->delay_s > 0 ? fmin(backoff->delay_s * 2, BACKOFF_MAX_S) : BACKOFF_FIRST_S;
    backoff->until = clock_now_plus(clock_from_seconds(backoff->delay_s));
    log_info("cloud: no capacity for %s in %s (%s), retrying in %.0f s", request->type_name, request->zone,
             request->spot ? "spot" : "on-demand", backoff->delay_s);
}
