#include "pending_starts.h"

#include <glib.h>

#include "../machines/machines.h"
#include "directives.h"

static struct pending_start *find(const struct machine *machine, int64_t attempt) {
    GArray *starts = machine->commands.pending_starts;
    for (guint i = 0; i < starts->len; i++) {
        struct pending_start *start = &g_array_index(starts, struct pending_start, i);
        if (start->attempt == attempt) return start;
    }
    return NULL;
}

void pending_starts_add(struct machine *machine, int64_t attempt) {
    struct pending_start sent = {attempt, machines_current_token(machine), MAX(machine->agent.incarnation, 1)};
    struct pending_start *earlier = find(machine, attempt);
    if (earlier) {
        *earlier = sent;
    } else {
        g_array_append_val(machine->commands.pending_starts, sent);
    }
}

void pending_starts_remove_void(struct machine *machine, int64_t shown_token, int64_t incarnation) {
    GArray *starts = machine->commands.pending_starts;
    for (guint i = starts->len; i-- > 0;) {
        const struct pending_start *start = &g_array_index(starts, struct pending_start, i);
        if (shown_token > start->fencing_token || incarnation > start->incarnation)
            g_array_remove_index_fast(starts, i);
    }
}

bool pending_starts_ruled_out(const struct machine *machine, int64_t attempt) {
    bool earlier_owners_ruled_out = machine->agent.reported_token >= machines_fencing_token(machine);
    return earlier_owners_ruled_out && !directives_response_start_in_flight(machine) && !find(machine, attempt);
}
