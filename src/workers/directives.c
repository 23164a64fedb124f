/* Which orders a machine gets. */
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include "../dependencies/dependencies.h"
#include "../json/json.h"
#include "../membership/membership.h"
#include "internal.h"

void workers_add_directive(cJSON *list, const char *verb, const char *task, int64_t attempt, double grace) {
    cJSON *o = cJSON_CreateObject();
    cJSON_AddStringToObject(o, "verb", verb);
    cJSON_AddStringToObject(o, "task", task);
    cJSON_AddNumberToObject(o, "try", (double)attempt);
    if (grace >= 0) cJSON_AddNumberToObject(o, "grace_s", grace);
    cJSON_AddItemToArray(list, o);
}

/* Booked by us and not yet shown by the worker. */
bool workers_awaits_start(const struct allocation *b) {
    return !b->released && !b->stop_requested && !b->seen && !b->inherited && b->job->state == JOB_QUEUED &&
           !dependencies_unmet(b->job) && !b->machine->retirement.returning && !b->machine->retirement.return_wanted;
}

cJSON *workers_directives(struct machine *m, bool direct) {
    cJSON *list = cJSON_CreateArray();
    bool ours = m->agent.seen_token >=
                machines_fencing_token(m); /* first the token, then orders, but for stops that can't wait */
    bool may_start = membership_may_start_tasks();
    for (guint i = 0; i < m->agent.unknown_tasks->len && i < MACHINE_TASKS_MAX; i++) {
        struct unknown_task *s = &g_array_index(m->agent.unknown_tasks, struct unknown_task, i);
        /* As long as the worker lists an attempt, a start of it that still comes does nothing. */
        if (s->ended && (!ours || m->commands.outcome_unknown || workers_start_in_flight(m))) continue;
        if (s->ended)
            workers_add_directive(list, "forget", s->task, s->attempt, -1);
        else
            workers_add_directive(list, "stop", s->task, s->attempt, 0);
    }
    for (guint i = 0; ours && i < m->allocations->len && i < MACHINE_TASKS_MAX; i++) {
        struct allocation *b = m->allocations->pdata[i];
        char task[96];
        if (b->released) continue;
        snprintf(task, sizeof task, "%s/%d", b->job->spec.job_id, b->task);
        if (b->stop_requested) {
            if (b->seen && (!direct || !b->stop_sent || b->grace_s <= 0))
                workers_add_directive(list, "stop", task, b->attempt, b->grace_s);
            b->stop_sent = true;
        } else if (may_start && workers_awaits_start(b)) {
            workers_add_directive(list, "run", task, b->attempt, -1);
            if (!direct) {
                b->starts_sent++;
                m->commands.start_incarnation = m->agent.incarnation;
            }
        }
    }
    return list;
}
