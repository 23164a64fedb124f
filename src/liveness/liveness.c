#include "liveness.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "../allocations/allocations.h"
#include "../clock/clock.h"
#include "../cloud/cloud.h"
#include "../http/client.h"
#include "../json/json.h"
#include "../logging/logging.h"
#include "../membership/membership.h"
#include "../provisioning/provisioning.h"
#include "../quarantine/quarantine.h"

static const struct settings *cfg;

#define ALARM_S 4.0      /* how long a first failure to answer makes us ask all */
#define UNANSWERED_S 5.0 /* silence that counts if questions went unanswered */

/* Reports come up to a quarter late; then a machine is asked directly, a few times. Shorter than that, healthy machines
 * that report every 8 s were returned by the hundred. */
static double silent_limit(void) {
    return MAX(clock_to_seconds(cfg->tuning.silent_return), clock_to_seconds(cfg->heartbeat_interval) * 1.25 + 4);
}

bool liveness_probe_workers(struct http_client *c) {
    char urls[3][128];
    int n = 0;
    store_lock();
    for (guint i = 0; i < machines_all()->len && n < 3; i++) {
        struct machine *m = machines_all()->pdata[g_random_int_range(0, (gint32)machines_all()->len)];
        if (m->address[0]) snprintf(urls[n++], sizeof urls[0], "http://%s/inspect", m->address);
    }
    store_unlock();
    for (int i = 0; i < n; i++) {
        long status;
        cJSON *a = NULL;
        bool ok = http_call(c, "GET", urls[i], NULL, 500, &status, &a) == HTTP_ANSWERED && status == 200;
        cJSON_Delete(a);
        if (ok) return true;
    }
    return n == 0;
}

/* Shorter than any silence that has a consequence: with the same time for both, a controller that lost all workers at
 * once found the first of them silent while it had "just" heard the others, and returned one healthy machine after the
 * other. */
static double heard_lately(void) {
    return MIN(clock_to_seconds(cfg->heartbeat_interval) * 1.25 + 1, silent_limit() * 0.6);
}

struct liveness_summary liveness_summary(void) {
    struct liveness_summary h = {0, 0, 0, HUGE_VAL};
    double lately = heard_lately();
    for (int k = 0; k < cfg->size; k++)
        for (guint i = 0; membership_owns(k) && i < machines_of_shard(k)->len; i++) {
            struct machine *m = machines_of_shard(k)->pdata[i];
            if (!machines_owned(m) || !m->liveness.up || machines_leaving(m)) continue;
            h.up++;
            h.heard += clock_seconds_since(m->liveness.last_heard) < lately;
            h.reported += clock_seconds_since(m->liveness.last_heartbeat) < lately;
            h.newest_s = MIN(h.newest_s, clock_seconds_since(m->liveness.last_heard));
        }
    return h;
}

#define DEAF_MACHINES 20 /* fewer may fall silent by themselves */
#define DEAF_MORE_S 2.0  /* beyond the silence that shows a cut zone */

bool liveness_controller_isolated(int up, double newest_s, double report_s) {
    return up >= DEAF_MACHINES && newest_s > liveness_zone_silence_s(up, report_s) + DEAF_MORE_S;
}

double liveness_zone_silence_s(int machines, double report_s) {
    /* So many machines are heard that often between them; five times that, and something is cut. */
    return machines < 4 ? 1e9 : MIN(report_s * 1.25 + 1, 1.5 + report_s * 5 / machines);
}

struct zone_watch {
    int up, heard;
    double newest; /* seconds since any of its machines was heard */
};

static bool zone_cut[SHARDS_MAX][SETTINGS_ZONES]; /* as of the last look */
static struct timespec zone_back[SHARDS_MAX][SETTINGS_ZONES];

bool liveness_zone_unreachable(int k, const char *site) {
    int z = settings_zone(cfg, site);
    return z >= 0 && membership_owns(k) && zone_cut[k][z];
}

/* How long the tasks of a machine in a cut zone may live on after it was last heard: a controller in there, if there is
 * one, answers it for as long as its last look at the store is good, and then its lease runs out. */
double liveness_zone_grace_s(const char *site) {
    bool inside = strcmp(cfg->area, site) == 0;
    for (int i = 0; i < cfg->n_seeds; i++) inside |= strcmp(cfg->seeds[i].area, site) == 0;
    return clock_to_seconds(cfg->lease) + (inside ? membership_read_validity_s() + 1 : 0);
}

/* Zones of a shard in which nothing is heard any more: cut off rather than dead, machine by machine. */
static void look_at_zones(int k, struct zone_watch *z) {
    double lately = heard_lately();
    for (int i = 0; i < cfg->n_zones; i++) z[i] = (struct zone_watch){0, 0, 1e9};
    for (guint i = 0; i < machines_of_shard(k)->len; i++) {
        const struct machine *m = machines_of_shard(k)->pdata[i];
        if (!m->liveness.up || machines_leaving(m)) continue;
        int n = settings_zone(cfg, m->zone);
        if (n < 0) continue;
        z[n].up++;
        z[n].heard += clock_seconds_since(m->liveness.last_heard) < lately;
        z[n].newest = MIN(z[n].newest, clock_seconds_since(m->liveness.last_heard));
    }
    for (int i = 0; i < cfg->n_zones; i++) {
        bool cut = z[i].newest > liveness_zone_silence_s(z[i].up, clock_to_seconds(cfg->heartbeat_interval));
        if (zone_cut[k][i] != cut)
            log_info("shard %d: zone %s is %s", k, cfg->zones[i], cut ? "unreachable" : "reachable again");
        if (zone_cut[k][i] && !cut) zone_back[k][i] = clock_now();
        zone_cut[k][i] = cut;
    }
}

/* Its replicas may have to start elsewhere soon: what they need may boot meanwhile. */
static void replicas_at_risk(const struct machine *m) {
    for (guint b = 0; b < m->allocations->len; b++) {
        struct allocation *x = m->allocations->pdata[b];
        x->job->replicas_at_risk += !x->released && x->job->spec.kind == JOB_SERVICE;
    }
}

/* A machine of a cut zone. It may be back before its tasks' end; until then they run on. If it is not, their replicas
 * should find machines that have booted meanwhile. True: nothing is to be done about it yet. */
static bool wait_for_zone(struct machine *m, const struct zone_watch *z) {
    double keeps = liveness_zone_grace_s(m->zone), boot = m->type ? m->type->startup_s : 60;
    if (z->newest >= keeps) return false;
    if (z->newest > MAX(5, keeps - 1.5 * boot - 5)) replicas_at_risk(m);
    bool runs = false;
    for (guint b = 0; b < m->allocations->len; b++) {
        const struct allocation *x = m->allocations->pdata[b];
        runs |= !x->released && (x->seen || x->inherited);
    }
    /* Nothing runs there, and what was ordered last may never have come: given back, its tasks start elsewhere now. */
    return runs || m->allocations->len == 0 || z->newest < 5;
}

bool liveness_stop_overdue(double ended_s, double reported_s, double lease_s, double cancel_s) {
    /* Time for the record, the call and a few that go before it. One that has not reported for a lease has killed it.
     */
    double lead = MIN(MAX(4, (cancel_s - lease_s) / 4), (cancel_s - lease_s) / 2);
    return ended_s > cancel_s - lead && reported_s < lease_s;
}

/* Every answer carries the stop, and renews the lease by which the task would otherwise end: a machine that reports and
 * does not end it has to go, whatever else runs there. */
static bool holds_cancelled(const struct machine *m) {
    for (guint i = 0; i < m->allocations->len; i++) {
        const struct allocation *b = m->allocations->pdata[i];
        if (!b->released && b->seen && b->job->state == JOB_CANCELLED &&
            liveness_stop_overdue(clock_seconds_since(b->job->ended), clock_seconds_since(m->liveness.last_heartbeat),
                                  clock_to_seconds(cfg->lease), clock_to_seconds(cfg->cancel)))
            return true;
    }
    return false;
}

#define FAULTY_S 5.0 /* time for other machines to show that a job is at fault */

/* A machine on which different jobs fail has got no work since it showed; it goes unless the jobs prove to be at fault.
 */
static bool faulty_for_long(struct machine *m) {
    if (!quarantine_machine_faulty(m)) {
        m->faulty_since = (struct timespec){0, 0};
        return false;
    }
    if (!m->faulty_since.tv_sec) m->faulty_since = clock_now();
    return clock_seconds_since(m->faulty_since) > FAULTY_S;
}

void liveness_check_machines(int k, const struct liveness_summary *hearing) {
    for (guint i = 0; i < jobs_active_of(k)->len; i++)
        ((struct job *)jobs_active_of(k)->pdata[i])->replicas_at_risk = 0;
    struct zone_watch zones[SETTINGS_ZONES];
    look_at_zones(k, zones);
    /* If most are silent it is more likely us than them; not so if one zone is silent and another is heard well. */
    bool hears = hearing->heard * 2 >= hearing->up - 1;
    for (int z = 0; z < cfg->n_zones; z++) hears |= zones[z].up >= 4 && zones[z].heard * 10 >= zones[z].up * 8;
    for (guint i = 0; i < machines_of_shard(k)->len; i++) {
        struct machine *m = machines_of_shard(k)->pdata[i];
        if (machines_leaving(m)) continue;
        int z = settings_zone(cfg, m->zone);
        bool cut = z >= 0 && zone_cut[k][z];
        /* Of a cut zone a few are asked, in turn: each that does not answer costs a sender its time limit. Where one
         * has just failed to answer, all are asked: what took it may have taken a hundred at once. */
        double again = cut ? MAX(1.5, zones[z].up / 4.0) : 1.5,
               quiet = clock_seconds_since(shard_states[k].suspicion_at) < ALARM_S
                           ? ALARM_S / 2
                           : clock_to_seconds(cfg->heartbeat_interval) * 1.1;
        if (m->liveness.up && clock_seconds_since(m->liveness.last_heard) > quiet &&
            clock_seconds_since(m->commands.last_probe) > again) {
            /* Asked directly, so that silence is not just a report on its way round the controllers. */
            m->commands.last_probe = clock_now();
            m->commands.needs_token_probe = true;
        }
        bool silent = clock_seconds_since(m->liveness.last_heard) > silent_limit() ||
                      clock_seconds_since(m->liveness.last_heartbeat) > clock_to_seconds(cfg->lease) + silent_limit();
        /* Two questions without an answer tell it sooner; only where a cut of the whole zone would have shown before.
         */
        if (m->liveness.unanswered_probes >= 2 && clock_seconds_since(m->liveness.last_heard) > UNANSWERED_S &&
            z >= 0 &&
            liveness_zone_silence_s(zones[z].up, clock_to_seconds(cfg->heartbeat_interval)) < UNANSWERED_S - 1)
            silent = true;
        if (m->liveness.up && m->liveness.unanswered_probes && !cut) replicas_at_risk(m);
        /* It reports, but nothing of what we answer reaches it: its lease runs out though it is not silent. */
        if (m->liveness.up && m->liveness.ignored_responses >= 3) {
            log_info("machine %s: its heartbeats arrive, our responses don't reach it; returning it", m->id);
            m->retirement.return_wanted = true;
        }
        /* When a cut zone is heard again, its machines come one after the other: 65 healthy ones were once returned in
         * the moment in which the first of them answered. */
        if (z >= 0 && clock_seconds_since(zone_back[k][z]) < silent_limit()) silent = false;
        if (m->liveness.up && cut) silent = !wait_for_zone(m, &zones[z]);
        if (m->liveness.up && silent && hears) {
            log_info("machine %s: unreachable for %.0f s, returning it", m->id,
                     clock_seconds_since(m->liveness.last_heard));
            m->retirement.return_wanted = true;
        }
        if (m->liveness.up && faulty_for_long(m)) {
            log_info("machine %s: cordoned, different jobs fail on it, returning it", m->id);
            m->retirement.return_wanted = true;
        }
        if (!m->liveness.up && clock_time_of_day() - m->created_at > provisioning_give_up_s(m) &&
            clock_seconds_since(m->owned_since) > 20) {
            log_info("machine %s: never came up, returning it", m->id);
            m->retirement.return_wanted = true;
        }
        if (m->liveness.up && holds_cancelled(m)) {
            log_info("machine %s: does not stop a cancelled task, returning it", m->id);
            m->retirement.return_wanted = true;
        }
        if (m->liveness.preemption_notice_s >= 0) {
            double left = m->liveness.preemption_notice_s - clock_seconds_since(m->liveness.notice_received);
            for (guint b = 0; b < m->allocations->len; b++) {
                struct allocation *x = m->allocations->pdata[b];
                if (!x->stop_requested && x->job->spec.checkpoint_s > 0 && left < x->job->spec.checkpoint_flush_s + 6) {
                    /* A gang saves only if all its tasks are told at about the same time. */
                    bool gang = x->job->spec.kind == JOB_GANG;
                    for (guint n = 0; n < (gang ? x->job->allocations->len : 1); n++) {
                        struct allocation *y = gang ? x->job->allocations->pdata[n] : x;
                        allocations_request_stop(y, y->job->spec.checkpoint_flush_s + 2);
                    }
                }
            }
            if (m->allocations->len == 0) m->retirement.return_wanted = true;
        }
        if (m->retirement.draining && m->allocations->len == 0) {
            log_info("machine %s: drained, returning it", m->id);
            m->retirement.return_wanted = true;
        } else if (m->retirement.draining && clock_has_elapsed(m->retirement.drain_since, cfg->tuning.drain_reopen)) {
            log_info("machine %s: still busy, drain cancelled", m->id);
            m->retirement.draining = false;
        }
    }
}

/* What is counted from that time on counts anew; a time that was never set stays so. */
static void count_anew(struct timespec *since) {
    if (since->tv_sec || since->tv_nsec) *since = clock_now();
}

/* A controller that came back after a minute once took the silence of all its machines for theirs: the first that were
 * heard again made the others look silent alone. */
void liveness_reset_silence(void) {
    for (guint i = 0; i < machines_all()->len; i++) {
        struct machine *m = machines_all()->pdata[i];
        count_anew(&m->liveness.last_heard);
        count_anew(&m->liveness.last_heartbeat);
        count_anew(&m->owned_since); /* a boot that was over meanwhile has not been heard of */
        m->liveness.unanswered_probes = 0;
    }
}

void liveness_init(const struct settings *s) {
    cfg = s;
    memset(zone_cut, 0, sizeof zone_cut);
    memset(zone_back, 0, sizeof zone_back);
}
