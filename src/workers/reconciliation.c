/* What a worker's report proves. */
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../clock/clock.h"
#include "../events/events.h"
#include "../json/json.h"
#include "../logging/logging.h"
#include "../provisioning/provisioning.h"
#include "../quarantine/quarantine.h"
#include "internal.h"

#define BOOKINGS_MAX 256 /* of a machine */
#define PROVEN_S 30.0    /* a replica that has run for so long shows that its job is sound */
#define RENTAL_S 5.0     /* a rental is recorded within that time */
#define PROBE_S 1.5      /* between questions to a machine that shows an older token */

/* A command that may carry starts is on its way. One that only asks does not count: a machine whose last start is in
 * doubt is asked all the same, else those that hang with a start in doubt were found 5 s later than the others. */
bool workers_start_in_flight(const struct machine *m) { return m->commands.in_flight && !m->commands.probe_in_flight; }

static enum task_state state_of(const char *s) {
    static const char *const names[] = {"", "fetching", "gathering", "running", "flushing", "ended"};
    for (int i = 1; i < 6; i++)
        if (s && strcmp(s, names[i]) == 0) return (enum task_state)i;
    return TASK_RUNNING; /* a state not known here is a task that may run */
}

static void ended(struct allocation *b, const char *cause) {
    struct job *j = b->job;
    b->released = true;
    jobs_mark_dirty(j, b->task);
    if (cause && strcmp(cause, "done") == 0) {
        if (j->state == JOB_QUEUED) {
            jobs_mark_done(j, b->task);
            quarantine_record_success(j);
        }
        return;
    }
    log_debug("task %s/%d on %s ended: %s", j->spec.job_id, b->task, b->machine->id, cause ? cause : "?");
    if (!cause || j->state != JOB_QUEUED) return;
    if (strcmp(cause, "error") == 0) {
        log_info("task %s/%d failed on machine %s", j->spec.job_id, b->task, b->machine->id);
        quarantine_record_failure(j, b->machine);
    } else if (strcmp(cause, "unknown") == 0) {
        j->retry_at = clock_instant_in(clock_from_seconds(3));
    } else if (strcmp(cause, "no_room") == 0 || strcmp(cause, "busy") == 0) {
        j->retry_at = clock_instant_in(clock_from_seconds(1));
    }
}

struct allocation *workers_listed_allocation(const struct machine *m, const char *task, int64_t attempt) {
    const char *slash = strrchr(task, '/');
    if (!slash) return NULL;
    size_t n = (size_t)(slash - task);
    int index = (int)g_ascii_strtoll(slash + 1, NULL, 10);
    for (guint i = 0; i < m->allocations->len; i++) {
        struct allocation *b = m->allocations->pdata[i];
        if (b->attempt == attempt && b->task == index && strlen(b->job->spec.job_id) == n &&
            strncmp(b->job->spec.job_id, task, n) == 0)
            return b;
    }
    return NULL;
}

/* What a report under an older token lists of cancelled jobs. A stop harms nobody, whoever's token it was started
 * under, and it must not wait until the worker has shown ours: controllers that end every few seconds renewed its lease
 * again and again, each for the first time, and a cancelled task ran on beyond cancel_s. */
void workers_list_cancelled(struct machine *m, const cJSON *heartbeat) {
    const cJSON *x;
    g_array_set_size(m->agent.unknown_tasks, 0);
    cJSON_ArrayForEach(x, cJSON_GetObjectItemCaseSensitive(heartbeat, "tasks")) {
        const char *task = json_get_string(x, "task"), *slash = task ? strrchr(task, '/') : NULL;
        struct unknown_task st = {"", 0, false};
        char job_id[64];
        if (!slash || (size_t)(slash - task) >= sizeof job_id || !json_get_int64(x, "try", &st.attempt)) continue;
        g_strlcpy(job_id, task, (gsize)(slash - task) + 1);
        const struct job *j = jobs_find(job_id);
        if (!j || j->state != JOB_CANCELLED || state_of(json_get_string(x, "state")) == TASK_ENDED) continue;
        g_strlcpy(st.task, task, sizeof st.task);
        g_array_append_val(m->agent.unknown_tasks, st);
    }
}

/* One that names another machine, or whose tasks can't be read, proves nothing: taken for an empty list it would
 * release all that runs there. An address may have passed to another machine since it was recorded. */
static bool readable(const struct machine *m, const cJSON *heartbeat) {
    const char *id = json_get_string(heartbeat, "host");
    if (id && strcmp(id, m->id) != 0) return false;
    const cJSON *x, *tasks = cJSON_GetObjectItemCaseSensitive(heartbeat, "tasks");
    if (!cJSON_IsArray(tasks)) return false;
    int64_t attempt;
    cJSON_ArrayForEach(x, tasks) if (!json_get_string(x, "task") || !json_get_int64(x, "try", &attempt)) return false;
    return true;
}

/* Its token has not reached the machine, or this is a copy of a report from before it did, which may be minutes old and
 * proves nothing: no sign of life, no occupancy row, nothing about its tasks. Asked directly, a live one takes the
 * token up at once. One whose reports arrive but which never does is out of reach of our answers. */
static void take_outdated(struct machine *m, const cJSON *heartbeat, bool is_heartbeat) {
    if (is_heartbeat && m->liveness.heartbeat_acknowledged) m->liveness.ignored_responses++;
    if (is_heartbeat && clock_seconds_since(m->commands.last_probe) > PROBE_S) {
        m->commands.last_probe = clock_now();
        m->commands.needs_token_probe = m->commands.wake = true;
        events_publish(EVENT_DISPATCH);
    }
    workers_list_cancelled(m, heartbeat);
}

/* Counts reports that show nothing of what we answered: its lease ended although each of its reports was answered, or
 * orders answered twice are not taken up. */
static void count_ignored(struct machine *m, const cJSON *heartbeat, bool new_incarnation) {
    int waiting = 0;
    for (guint i = 0; i < m->allocations->len; i++) {
        const struct allocation *b = m->allocations->pdata[i];
        waiting += !b->seen && !b->stop_requested && b->starts_sent >= 2;
    }
    const cJSON *tasks = cJSON_GetObjectItemCaseSensitive(heartbeat, "tasks");
    if (new_incarnation && m->liveness.heartbeat_acknowledged &&
        clock_seconds_since(m->liveness.last_heartbeat) < clock_to_seconds(workers_settings->lease) * 0.7)
        m->liveness.ignored_responses += 2;
    else if (waiting && cJSON_GetArraySize(tasks) < waiting)
        m->liveness.ignored_responses++;
    else
        m->liveness.ignored_responses = 0;
}

static void take_sign_of_life(struct machine *m, int64_t fencing_token, bool is_heartbeat) {
    m->agent.seen_token = fencing_token;
    m->liveness.last_heard = clock_now();
    m->liveness.unanswered_probes = 0;
    /* The first answer may be to a question of ours, long after it was rented: its reports are due from now on. One in
     * sixteen machines was once returned the moment it came up, for not having reported. */
    if (is_heartbeat || !m->liveness.up) m->liveness.last_heartbeat = m->liveness.last_heard;
    if (!m->liveness.up) {
        log_info("machine %s: up", m->id);
        /* Only who owned it all the while knows that this is its first word. */
        if (!m->had_task && clock_time_of_day() - m->created_at < clock_seconds_since(m->owned_since) + RENTAL_S)
            provisioning_record_boot(m->type_name, clock_time_of_day() - m->created_at);
    }
    m->liveness.up = true;
}

static void take_notice(struct machine *m, const cJSON *heartbeat) {
    const cJSON *warning = cJSON_GetObjectItemCaseSensitive(heartbeat, "warning_s");
    if (!cJSON_IsNumber(warning)) {
        m->liveness.preemption_notice_s = -1;
        return;
    }
    if (m->liveness.preemption_notice_s < 0)
        log_info("machine %s: preemption notice, reclaimed in %.0f s", m->id, warning->valuedouble);
    m->liveness.preemption_notice_s = warning->valuedouble;
    m->liveness.notice_received = m->liveness.last_heard;
}

static void log_start(const struct allocation *b, const char *task) {
    const struct job_spec *spec = &b->job->spec;
    bool there = spec->image && g_hash_table_contains(b->machine->images, spec->image);
    log_info("task %s runs on %s (%s): %.1f s after its job was ready, %.1f s after allocation, image was %s", task,
             b->machine->id, spec->job_class ? spec->job_class : "?", clock_time_of_day() - b->job->ready,
             clock_seconds_since(b->allocated_at), there ? "cached" : "fetched");
}

/* One task of the list. True if that ended it. */
static bool take_state(struct allocation *b, const char *task, enum task_state state, const char *cause) {
    b->seen = true;
    if (b->state != state) b->state_since = b->machine->liveness.last_heard;
    if (state == TASK_RUNNING && b->state != state) log_start(b, task);
    b->state = state;
    if (state == TASK_RUNNING && b->job->spec.kind == JOB_SERVICE && clock_seconds_since(b->state_since) > PROVEN_S)
        quarantine_record_success(b->job);
    if ((state == TASK_RUNNING || state == TASK_GATHERING) && b->job->spec.image)
        g_hash_table_add(b->machine->images, g_strdup(b->job->spec.image));
    if (state != TASK_ENDED || b->released) return false;
    ended(b, cause);
    return true;
}

/* The tasks that the report lists; which of the allocations these are goes to listed. True if one has ended. */
static bool take_listed(struct machine *m, const cJSON *heartbeat, bool *listed) {
    bool change = false;
    const cJSON *x;
    g_array_set_size(m->agent.unknown_tasks, 0);
    cJSON_ArrayForEach(x, cJSON_GetObjectItemCaseSensitive(heartbeat, "tasks")) {
        const char *task = json_get_string(x, "task");
        int64_t attempt = 0;
        if (!task || !json_get_int64(x, "try", &attempt)) continue;
        enum task_state state = state_of(json_get_string(x, "state"));
        struct allocation *b = workers_listed_allocation(m, task, attempt);
        if (!b) {
            struct unknown_task unknown = {"", attempt, state == TASK_ENDED};
            g_strlcpy(unknown.task, task, sizeof unknown.task);
            g_array_append_val(m->agent.unknown_tasks, unknown);
            continue;
        }
        if (b->index_in_machine < BOOKINGS_MAX) listed[b->index_in_machine] = true;
        change |= take_state(b, task, state, json_get_string(x, "cause"));
    }
    return change;
}

/* allocations that the report does not list: gone, if nothing is under way that may still start them. */
static bool release_absent(struct machine *m, const bool *listed) {
    bool change = false;
    if (m->commands.outcome_unknown || workers_start_in_flight(m)) return false;
    for (guint i = 0; i < m->allocations->len && i < BOOKINGS_MAX; i++) {
        struct allocation *b = m->allocations->pdata[i];
        if (listed[i] || b->released) continue;
        bool gang_lost =
            b->job->spec.kind == JOB_GANG &&
            clock_seconds_since(b->allocated_at) > 2 * clock_to_seconds(workers_settings->heartbeat_interval);
        if (!b->seen && !b->stop_requested && !b->inherited && !gang_lost) continue;
        log_info("task %s/%d attempt %lld is absent from machine %s", b->job->spec.job_id, b->task,
                 (long long)b->attempt, m->id);
        b->released = true;
        jobs_mark_dirty(b->job, b->task);
        change = true;
    }
    return change;
}

bool workers_reconcile(struct machine *m, const cJSON *heartbeat, bool is_heartbeat) {
    int64_t incarnation = 0, sequence = 0, fencing_token = 0;
    if (!json_get_int64(heartbeat, "tenure", &incarnation) || !json_get_int64(heartbeat, "seq", &sequence) ||
        !readable(m, heartbeat)) {
        log_debug("machine %s: malformed heartbeat", m->id);
        return false;
    }
    json_get_int64(heartbeat, "fence", &fencing_token);
    /* A copy of what is known already, or of something older. */
    if (incarnation < m->agent.incarnation || (incarnation == m->agent.incarnation && sequence <= m->agent.sequence))
        return false;
    bool new_incarnation = m->agent.incarnation > 0 && incarnation > m->agent.incarnation;
    m->agent.incarnation = incarnation;
    m->agent.sequence = sequence;
    if (fencing_token < machines_fencing_token(m)) {
        take_outdated(m, heartbeat, is_heartbeat);
        return true;
    }
    if (is_heartbeat) count_ignored(m, heartbeat, new_incarnation);
    take_sign_of_life(m, fencing_token, is_heartbeat);
    take_notice(m, heartbeat);
    if (m->commands.outcome_unknown && !workers_start_in_flight(m) &&
        (fencing_token > m->commands.unknown_token || incarnation > m->commands.unknown_incarnation)) {
        m->commands.outcome_unknown = false;
        m->commands.needs_token_raise = false;
    }
    bool listed[BOOKINGS_MAX] = {false};
    bool change = take_listed(m, heartbeat, listed);
    /* A report follows every answer of ours. A direct answer does not, unless none of this incarnation carried a start:
     * others' and earlier ones' answers are ruled out by the token and the incarnation that it shows. So a takeover
     * knows what runs as soon as it has asked; waiting for reports took 20 s after a cut. */
    bool proves = is_heartbeat || m->commands.start_incarnation < incarnation;
    if (proves) change |= release_absent(m, listed);
    if (change) events_publish(EVENT_SCHEDULE);
    return true;
}
