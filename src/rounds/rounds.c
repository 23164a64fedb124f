#include "rounds.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../bookings/bookings.h"
#include "../chains/chains.h"
#include "../cloud/cloud.h"
#include "../ledger/ledger.h"
#include "../membership/membership.h"
#include "../placement/placement.h"
#include "../preempt/preempt.h"
#include "../renting/renting.h"
#include "../transfer/transfer.h"
#include "../watch/watch.h"
#include "../workers/workers.h"

static const struct settings *cfg;

static struct base_wakeup wakeup;

void rounds_kick(void) { base_wakeup_signal(&wakeup); }

/* ---- a round: decide under the lock, write outside it, apply what was written ---- */

struct round {
    int share;
    GArray *plans;   /* placement_plan */
    GPtrArray *txns; /* store_txn */
    int left;        /* changes that the budget allows */
    int64_t first;   /* attempts above this one are this round's */
    bool more;
    bool apart; /* one record a transaction: the service has refused one of them lately */
};

static void txn_free(gpointer p) {
    store_txn_free(p);
    g_free(p);
}

static void plan_round(struct round *r);

static struct store_txn *round_txn(struct round *r, int writes, int conds) {
    struct store_txn *t = r->txns->len ? r->txns->pdata[r->txns->len - 1] : NULL;
    if (!t || (r->apart && t->writes > 0) || t->writes + writes > cfg->txn_ops ||
        cJSON_GetArraySize(t->conds) + conds > cfg->txn_ops * 4) {
        t = g_new0(struct store_txn, 1);
        store_txn_init(t);
        char key[32];
        snprintf(key, sizeof key, "share/%d", r->share);
        store_txn_if(t, key, membership_share(r->share)->stamp);
        g_ptr_array_add(r->txns, t);
    }
    r->left -= writes;
    return t;
}

struct machine *rounds_reception(int k) {
    struct machine *best = NULL;
    for (guint i = 0; i < records_of(k)->len; i++) {
        struct machine *m = records_of(k)->pdata[i];
        if (m->spot || records_leaving(m) || !m->up || m->warning >= 0) continue;
        if (!best || m->born < best->born || (m->born == best->born && strcmp(m->id, best->id) < 0)) best = m;
    }
    return best;
}

void rounds_scratch(int k) {
    double quiet = base_secs(cfg->report) * 2 + 1;
    for (guint i = 0; i < records_of(k)->len; i++) {
        struct machine *m = records_of(k)->pdata[i];
        if (!records_mine(m)) continue;
        if (!m->flavour) m->flavour = cloud_flavour(m->sku);
        m->touched = m->leave = false;
        m->next_fence = 0;
        m->next_page = -1;
        m->occupancy = placement_occupancy(m, (int)cfg->tuning.window);
        m->used_cpu = m->used_gpu = m->used_mem = 0;
        for (guint b = 0; b < m->bookings->len; b++) {
            struct booking *x = m->bookings->pdata[b];
            if (x->over) {
                m->touched = true;
                continue;
            }
            m->used_cpu += x->job->spec.vcpus;
            m->used_gpu += x->job->spec.gpus;
            m->used_mem += x->job->spec.memory_gb;
        }
        m->open = m->up && m->page >= 0 && m->flavour && !records_leaving(m) && !m->draining && m->transfer_to < 0 &&
                  m->warning < 0 && !m->need_raise && !m->unknown && m->ignored == 0 &&
                  m->seen_fence >= records_token(m) && base_since(m->reported) < quiet && m->bookings->len < 200 &&
                  !watch_zone_cut(k, m->site);
    }
}

#define WAIT_BOUND 90

/* When the job is due: the first of the times named by its class's aims that it can still keep; past the last, twice
 * that, and so on. In an overload work that can't be in time any more steps back behind work that can, instead of
 * making all late one after the other; it comes first again when its next time draws near. */
static double due_of(const struct job *j, double now) {
    double age = now - j->ready, last = 0;
    /* Late or large work must not step back for ever: what nothing of has begun for this long goes first in its rank.
     */
    if (age > WAIT_BOUND && j->bookings->len == 0 && j->n_pend == 0) return j->ready;
    for (double after = 0;;) {
        double next = -1;
        for (int i = 0; i < cfg->n_objectives; i++) {
            const struct settings_objective *o = &cfg->objectives[i];
            if (o->kind == AIM_FINISHED && strcmp(o->jobclass, j->spec.jobclass) == 0 && o->within_s > after &&
                (next < 0 || o->within_s < next))
                next = o->within_s;
        }
        if (next < 0) break;
        if (age + j->spec.runtime_s <= next) return j->ready + next;
        after = last = next;
    }
    if (last <= 0) return j->ready + settings_within(cfg, AIM_WAIT, j->spec.jobclass, 0);
    double d = last * 2;
    while (age + j->spec.runtime_s > d) d *= 2;
    return j->ready + d;
}

static int rank_order(gconstpointer a, gconstpointer b) {
    const struct rounds_ranked *x = a, *y = b;
    if (x->within != y->within) return x->within ? -1 : 1;
    if (x->j->rank != y->j->rank) return x->j->rank > y->j->rank ? -1 : 1;
    if (x->due != y->due) return x->due < y->due ? -1 : 1;
    return strcmp(x->j->spec.uid, y->j->spec.uid);
}

bool rounds_has_guarantee(const struct settings_team *t) { return t->cpus > 0 || t->gpus > 0; }

/* The share's unfinished jobs: those within a guarantee first, then by rank, then by when they are due. */
GArray *rounds_rank(int k) {
    GArray *out = g_array_new(FALSE, FALSE, sizeof(struct rounds_ranked));
    double cpu[SETTINGS_TEAMS] = {0}, gpu[SETTINGS_TEAMS] = {0};
    double now = base_time_of_day();
    GPtrArray *jobs = jobs_active_of(k);
    for (guint i = 0; i < jobs->len; i++) {
        struct job *j = jobs->pdata[i];
        if (j->spec.team < 0 || chains_waits(j)) continue;
        const struct settings_team *t = &cfg->teams[j->spec.team];
        int left = j->spec.tasks - j->n_pend;
        cpu[j->spec.team] += left * j->spec.vcpus;
        gpu[j->spec.team] += left * j->spec.gpus;
        struct rounds_ranked r = {j,
                                  rounds_has_guarantee(t) && (t->cpus <= 0 || cpu[j->spec.team] <= t->cpus + 1e-6) &&
                                      (t->gpus <= 0 || gpu[j->spec.team] <= t->gpus + 1e-6),
                                  MIN(due_of(j, now), j->deadline)};
        g_array_append_val(out, r);
    }
    g_array_sort(out, rank_order);
    return out;
}

int rounds_missing(const struct job *j) {
    int n = j->spec.tasks - j->n_pend;
    for (guint b = 0; b < j->bookings->len; b++) {
        const struct booking *x = j->bookings->pdata[b];
        n -= !x->over && !jobs_bit(j->pend, x->task);
    }
    return n;
}

static int64_t next_attempt(int k) { return records_shares[k].fence * 1048576 + ++records_shares[k].next; }

static void plan_task(struct round *r, struct machine *m, struct job *j, int task, int64_t attempt,
                      struct preempt_usage *u) {
    struct placement_plan p = {m, j, task, attempt};
    g_array_append_val(r->plans, p);
    placement_take(m, &j->spec, 1);
    u[j->spec.team].cpu += j->spec.vcpus;
    u[j->spec.team].gpu += j->spec.gpus;
}

/* A gang: all of it or nothing, in one zone if it asks for that. */
static bool plan_gang(struct round *r, struct job *j, GPtrArray *mine, const struct placement_rules *rules,
                      struct preempt_usage *u) {
    if (!preempt_quota_left(&u[j->spec.team], &j->spec, j->spec.tasks)) return true;
    for (int z = 0; z < (j->spec.together ? cfg->n_zones : 1); z++) {
        const char *zone = j->spec.together ? cfg->zones[z] : NULL;
        guint from = r->plans->len;
        struct preempt_usage before = u[j->spec.team];
        int64_t attempt = next_attempt(r->share);
        int t;
        for (t = 0; t < j->spec.tasks; t++) {
            struct machine *m = placement_pick(mine, j, zone, rules, r->plans);
            if (!m) break;
            plan_task(r, m, j, t, attempt, u);
        }
        if (t == j->spec.tasks) return true;
        for (guint i = from; i < r->plans->len; i++) {
            struct placement_plan *p = &g_array_index(r->plans, struct placement_plan, i);
            placement_take(p->m, &j->spec, -1);
        }
        g_array_set_size(r->plans, from);
        u[j->spec.team] = before;
    }
    return false;
}

/* The attempt of a gang that has not started and whose remaining tasks were all just reported as fetching or waiting;
 * 0 otherwise. Such a gang can be completed under the same attempt. */
int64_t rounds_gang_open(const struct job *j) {
    int64_t attempt = 0;
    for (guint b = 0; b < j->bookings->len; b++) {
        const struct booking *x = j->bookings->pdata[b];
        if (x->over) return 0; /* on record still, perhaps on the very machine that would be picked */
        if (attempt && x->attempt != attempt) return 0;
        attempt = x->attempt;
        if (x->stop || !x->seen || (x->state != TASK_FETCHING && x->state != TASK_GATHERING)) return 0;
        if (base_since(x->m->reported) > base_secs(cfg->report) * 1.25 + 1) return 0;
    }
    return attempt;
}

static bool holds_ended(const struct machine *m, const char *uid, int task, int64_t attempt) {
    char name[96];
    snprintf(name, sizeof name, "%s/%d", uid, task);
    for (guint i = 0; i < m->unknown_tasks->len; i++) {
        const struct unknown_task *s = &g_array_index(m->unknown_tasks, struct unknown_task, i);
        if (s->attempt == attempt && strcmp(s->task, name) == 0) return true;
    }
    return false;
}

/* Replaces what a gang lost before its start, so that the others need not fetch and wait again. */
static bool replace_gang_tasks(struct round *r, struct job *j, GPtrArray *mine, const struct placement_rules *rules,
                               struct preempt_usage *u) {
    int64_t attempt = rounds_gang_open(j);
    int missing = j->spec.tasks - bookings_count(j);
    if (!attempt || !preempt_quota_left(&u[j->spec.team], &j->spec, missing)) return false;
    guint from = r->plans->len;
    struct preempt_usage before = u[j->spec.team];
    for (int t = 0; t < j->spec.tasks; t++) {
        if (bookings_booked(j, t)) continue;
        struct machine *m = placement_pick(mine, j, NULL, rules, r->plans);
        /* A machine that still holds this very attempt would do nothing. */
        if (m && !holds_ended(m, j->spec.uid, t, attempt)) {
            plan_task(r, m, j, t, attempt, u);
            continue;
        }
        for (guint i = from; i < r->plans->len; i++)
            placement_take(g_array_index(r->plans, struct placement_plan, i).m, &j->spec, -1);
        g_array_set_size(r->plans, from);
        u[j->spec.team] = before;
        return false;
    }
    log_info("gang %s: %d of its %d tasks replaced under the same attempt", j->spec.uid, missing, j->spec.tasks);
    return true;
}

/* A chunk's record has room for the entry, however long the names are. */
static bool record_full(const struct job *j, int in_chunk, const struct machine *m) {
    double bits = MIN(j->spec.tasks, bookings_write_stretch(j)) / 4.0;
    return (in_chunk + 1) * ((double)strlen(m->id) + 15) + bits + 64 > bookings_value_most();
}

#define PLANS_MOST 600

/* Arrays and services, task by task. True if a task found no place. */
static bool plan_tasks(struct round *r, struct job *j, bool within, int missing, GPtrArray *mine, GPtrArray *room,
                       const struct placement_rules *rules, struct preempt_usage *u) {
    int size = bookings_write_stretch(j), chunk = -1, in_chunk = 0;
    uint8_t *busy = g_malloc0((gsize)j->spec.tasks / 8 + 1);
    memcpy(busy, j->pend, (gsize)j->spec.tasks / 8 + 1);
    for (guint b = 0; b < j->bookings->len; b++) {
        const struct booking *x = j->bookings->pdata[b];
        if (!x->over) busy[x->task / 8] |= (uint8_t)(1 << (x->task % 8));
    }
    bool unplaced = false;
    for (int t = 0; t < j->spec.tasks && missing > 0; t++) {
        if (jobs_bit(busy, t)) continue;
        if (!preempt_quota_left(&u[j->spec.team], &j->spec, 1)) break;
        if (r->plans->len >= PLANS_MOST) {
            r->more = true;
            break;
        }
        struct machine *m = placement_pick(room, j, NULL, rules, r->plans);
        if ((!m || preempt_fetch_too_slow(j, m)) && (within || j->rank > RANK_IDLE) && base_since(j->preempted) > 3) {
            bool any = false;
            for (int w = 0; w < missing && w < 32; w++) {
                if (!preempt_for(j, within, mine, NULL, u)) break;
                any = true;
            }
            if (any) {
                j->preempted = base_now();
                break;
            }
        }
        if (!m) {
            unplaced = true;
            break;
        }
        if (t / size != chunk) {
            chunk = t / size;
            in_chunk = 0;
            for (guint b = 0; b < j->bookings->len; b++)
                in_chunk += ((struct booking *)j->bookings->pdata[b])->task / size == chunk;
        }
        if (record_full(j, in_chunk++, m)) {
            t = (chunk + 1) * size - 1;
            continue;
        }
        plan_task(r, m, j, t, next_attempt(r->share), u);
        missing--;
    }
    g_free(busy);
    return unplaced;
}

static bool plan_group(struct round *r, struct job *j, bool within, GPtrArray *mine, GPtrArray *room,
                       const struct placement_rules *rules, struct preempt_usage *u) {
    int booked = bookings_count(j);
    if (booked == 0) {
        if (j->n_pend == j->spec.tasks || plan_gang(r, j, room, rules, u)) return false;
        int now, with;
        const char *zone = preempt_gang_zone(j, within, mine, &now, &with);
        if (with < j->spec.tasks && j->zone) zone = j->zone;
        /* What room there is in its zone is kept for it: taken piece by piece by what comes after it in order, it once
         * made gangs of eight wait for minutes. */
        guint kept = 0;
        for (guint i = 0; i < mine->len && kept < (guint)j->spec.tasks; i++) {
            struct machine *m = mine->pdata[i];
            if (!m->open || (zone && strcmp(zone, m->site) != 0) || !placement_allowed(m, j, NULL, NULL)) continue;
            for (int n = preempt_times(m, &j->spec); n > 0 && kept < (guint)j->spec.tasks; n--, kept++)
                placement_take(m, &j->spec, 1);
        }
        /* Only if all of it gets room by that: a gang that lacks one place runs as little as one that lacks all. */
        if ((within || j->rank > RANK_IDLE) && with >= j->spec.tasks && base_since(j->preempted) > 3) {
            bool any = false;
            for (int t = (int)kept; t < j->spec.tasks; t++) any |= preempt_for(j, within, mine, zone, u);
            if (any) j->preempted = base_now();
        }
        return true;
    }
    if (booked == j->spec.tasks || replace_gang_tasks(r, j, room, rules, u)) return false;
    /* A part of it is gone, or never got booked: the rest makes way for a new attempt. */
    for (guint b = 0; b < j->bookings->len; b++) bookings_stop(j->bookings->pdata[b], 0);
    return false;
}

static void plan_jobs(struct round *r, int k) {
    GArray *order = rounds_rank(k);
    GPtrArray *mine = records_of(k), *room = g_ptr_array_new();
    struct preempt_usage u[SETTINGS_TEAMS];
    memset(u, 0, sizeof u);
    struct placement_rules rules = {cfg->tuning.reception, cfg->tuning.admission, rounds_reception(k)};
    /* A team's jobs are all this share's; what is over has been proven gone. */
    GPtrArray *lists[] = {jobs_active_of(k), jobs_ended_of(k)};
    for (int l = 0; l < 2; l++)
        for (guint i = 0; i < lists[l]->len; i++) {
            const struct job *j = lists[l]->pdata[i];
            int n = bookings_count(j);
            if (j->spec.team < 0) continue;
            u[j->spec.team].cpu += n * j->spec.vcpus;
            u[j->spec.team].gpu += n * j->spec.gpus;
        }
    preempt_refresh();
    /* Only what waits is looked at, and only machines with room for the smallest of it. */
    int *missing = g_new0(int, order->len + 1);
    double cpu = 1e18, gpu = 1e18, mem = 1e18;
    for (guint i = 0; i < order->len; i++) {
        struct job *j = g_array_index(order, struct rounds_ranked, i).j;
        missing[i] = rounds_missing(j);
        if (missing[i] <= 0) j->unplaced = false;
        if (missing[i] <= 0) continue;
        cpu = MIN(cpu, j->spec.vcpus);
        gpu = MIN(gpu, j->spec.gpus);
        mem = MIN(mem, j->spec.memory_gb);
    }
    struct job_spec smallest = {.vcpus = cpu, .gpus = gpu, .memory_gb = mem};
    for (guint i = 0; i < mine->len; i++) {
        struct machine *m = mine->pdata[i];
        if (m->open && placement_fits(m, &smallest)) g_ptr_array_add(room, m);
    }
    records_shares[k].fit_nowhere = false;
    int jobs_planned = 0;
    double free_cpu = 0, free_gpu = 0;
    for (guint i = 0; i < room->len; i++) {
        const struct machine *m = room->pdata[i];
        free_cpu += m->flavour->vcpus - m->used_cpu;
        free_gpu += m->flavour->gpus - m->used_gpu;
    }
    for (guint i = 0; i < order->len; i++) {
        struct job *j = g_array_index(order, struct rounds_ranked, i).j;
        bool within = g_array_index(order, struct rounds_ranked, i).within;
        if (missing[i] <= 0 || base_since(j->retry_at) < 0) continue;
        if (jobs_planned >= r->left || r->plans->len >= PLANS_MOST) {
            /* The budget carries no more: the next round goes on. What surely has no room needs machines already now:
             * at a start from nothing they were once asked for half a minute late. */
            r->more = true;
            for (; i < order->len; i++) {
                j = g_array_index(order, struct rounds_ranked, i).j;
                if (missing[i] <= 0 || base_since(j->retry_at) < 0) continue;
                free_cpu -= missing[i] * j->spec.vcpus;
                free_gpu -= missing[i] * j->spec.gpus;
                j->unplaced = free_cpu < 0 || free_gpu < 0;
                records_shares[k].fit_nowhere |= j->unplaced;
            }
            break;
        }
        free_cpu -= missing[i] * j->spec.vcpus;
        free_gpu -= missing[i] * j->spec.gpus;
        guint before = r->plans->len;
        j->unplaced = j->spec.shape == JOB_GROUP ? plan_group(r, j, within, mine, room, &rules, u)
                                                 : plan_tasks(r, j, within, missing[i], mine, room, &rules, u);
        jobs_planned += r->plans->len > before;
        if (j->unplaced) records_shares[k].fit_nowhere = true;
    }
    /* Only what stays planned is written: a gang's tries that came to nothing are not. */
    for (guint i = 0; i < r->plans->len; i++) g_array_index(r->plans, struct placement_plan, i).m->touched = true;
    g_free(missing);
    g_array_free(order, TRUE);
    g_ptr_array_free(room, TRUE);
}

/* Keys whose write the service has refused as malformed, until when they are left alone: repeated unchanged it would be
 * refused again, and what else is to be written must not wait for it. */
static GHashTable *refused_until;
#define REFUSED_S 5.0

static bool refused_lately(const char *key) {
    const struct timespec *until = g_hash_table_lookup(refused_until, key);
    return until && base_since(*until) < 0;
}

static void note_refused(const struct store_txn *t) {
    const cJSON *op;
    cJSON_ArrayForEach(op, t->ops) {
        const char *key = base_str(op, "set") ? base_str(op, "set") : base_str(op, "remove");
        struct timespec *until = g_new0(struct timespec, 1);
        *until = base_wall_in(base_span(REFUSED_S));
        g_hash_table_replace(refused_until, g_strdup(key), until);
    }
}

/* A change of a job's record of bookings, or its removal where nothing is to be kept. */
static void add_run(struct store_txn *t, const struct job *j, int chunk, cJSON *value) {
    char key[128];
    /* Not if the job was cancelled meanwhile, and not over a newer record: a transaction whose answer was lost, or a
     * second copy of one that the connection's end made the client send again, may be carried out after later ones of
     * ours. */
    snprintf(key, sizeof key, "job/%s", j->spec.uid);
    store_txn_if(t, key, store_stamp(key));
    bookings_key(j, chunk, key, sizeof key);
    store_txn_if(t, key, store_stamp(key));
    if (value)
        store_txn_set(t, key, value, 0);
    else
        store_txn_remove(t, key);
}

/* Writes all records of a job in a new stretch, in one transaction: each names it, and one with nothing to keep stands
 * as well, so that what the old records said of its tasks is replaced. */
static void write_new_stretch(struct round *r, struct job *j, int stretch) {
    int chunks = bookings_chunks_of(j, stretch);
    struct store_txn *t = round_txn(r, chunks, chunks + 1);
    for (int c = 0; c < chunks; c++) {
        cJSON *value = bookings_value(j, c, stretch, r->plans, false);
        if (!value) {
            value = cJSON_CreateObject();
            cJSON_AddNumberToObject(value, "n", stretch);
        }
        add_run(t, j, c, value);
    }
}

/* Whether anything of the job is to be kept on record. */
static bool keeps_bookings(const struct round *r, const struct job *j) {
    if (bookings_count(j) > 0 || (j->state == JOB_QUEUED && j->n_pend > 0)) return true;
    for (guint i = 0; i < r->plans->len; i++)
        if (g_array_index(r->plans, struct placement_plan, i).j == j) return true;
    return false;
}

/* Writes what is known of a job: completions, bookings that came and went, done tasks. */
static void write_job(struct round *r, struct job *j) {
    bool final = jobs_complete(j);
    char key[128];
    snprintf(key, sizeof key, "run/%s/0", j->spec.uid);
    if (refused_lately(key)) return;
    int stretch = bookings_write_stretch(j);
    if (j->n_runs == 0) jobs_set_stretch(j, stretch);
    if (stretch != bookings_stretch(j) && !final && keeps_bookings(r, j)) {
        write_new_stretch(r, j, stretch);
        return;
    }
    stretch = bookings_stretch(j);
    int chunks = bookings_chunks(j);
    uint8_t *need = g_malloc0((gsize)chunks + 1);
    for (int c = 0; j->runs && c < chunks; c++) need[c] = (j->runs[c] & 2) != 0 || (final && (j->runs[c] & 1));
    for (guint i = 0; i < r->plans->len; i++) {
        const struct placement_plan *p = &g_array_index(r->plans, struct placement_plan, i);
        if (p->j == j) need[p->task / stretch] = 2;
    }
    snprintf(key, sizeof key, "job/%s", j->spec.uid);
    if (final && !refused_lately(key)) {
        struct store_txn *t = round_txn(r, 2, 1);
        store_txn_if(t, key, store_stamp(key));
        store_txn_set(t, key, jobs_final_value(j, JOB_DONE), 0);
        r->left++; /* the second was room for a chunk's record beside it */
    }
    for (int c = 0; c < chunks && (r->left > 0 || c == 0); c++) {
        if (!need[c]) continue;
        cJSON *v = bookings_value(j, c, stretch, r->plans, final);
        bool there = j->runs && (j->runs[c] & 1), same = need[c] == 1 && !final && !bookings_differ(j, c);
        if ((!v && !there) || same) {
            cJSON_Delete(v);
            jobs_run_record(j, c, there);
            continue;
        }
        add_run(round_txn(r, 1, 2), j, c, v);
    }
    g_free(need);
}

/* What is to be done with each page of a share in a round. */
enum { PAGE_LATER = 1, PAGE_NOW = 2, PAGE_RAISE = 4 };
struct page_plan {
    uint8_t need[RECORDS_PAGES];
    bool large[RECORDS_PAGES]; /* can't be rewritten under the service's next limit */
    int64_t fence;             /* the token of machines that are raised */
    int raise_writes;          /* changes of the transaction that raises; the fence is one */
    bool raised;
};

#define MOVES_PAGES 2 /* pages that a round fills with machines of large ones */

/* Gives machines of large pages a place on others, those first that are to be changed. */
static void move_from_large(int k, struct page_plan *p, bool tidy) {
    bool opened[RECORDS_PAGES] = {false};
    int pages = 0;
    for (int urgent = 1; urgent >= (tidy ? 0 : 1); urgent--)
        for (guint i = 0; i < records_of(k)->len; i++) {
            struct machine *m = records_of(k)->pdata[i];
            if (m->page < 0 || m->page >= RECORDS_PAGES || !p->large[m->page] || m->next_page >= 0) continue;
            bool change = m->need_raise || (m->want_return && !m->returning) || m->transfer_to >= 0;
            if (m->dead || (urgent && !change)) continue;
            int to = records_page_for(k, m->id);
            if (to < 0 || (!opened[to] && pages == MOVES_PAGES)) return;
            pages += !opened[to];
            opened[to] = true;
            m->next_page = to;
            p->need[to] |= PAGE_NOW;
        }
}

/* A machine that came from another share, or whose record is to change. */
static void plan_machine(struct machine *m, struct page_plan *p) {
    int page = m->next_page >= 0 ? m->next_page : m->page;
    if (page < 0 || page >= RECORDS_PAGES || p->large[page]) return;
    bool pass = transfer_allowed(m);
    if (pass || m->need_raise) {
        int writes = pass + ((p->need[page] & PAGE_RAISE) == 0);
        if (p->raise_writes + writes <= cfg->txn_ops) {
            p->raise_writes += writes;
            m->next_fence = p->fence;
            m->leave = pass;
            p->raised = true;
            p->need[page] |= PAGE_RAISE;
        }
    }
    if (m->want_return && !m->returning) p->need[page] |= PAGE_NOW;
    if (m->dead || m->unwritten) p->need[page] |= PAGE_LATER;
}

static void plan_machines(int k, struct page_plan *p) {
    int incoming = 0;
    for (guint i = 0; i < records_of(k)->len; i++) {
        struct machine *m = records_of(k)->pdata[i];
        if (m->page >= 0) {
            plan_machine(m, p);
            continue;
        }
        if (incoming++ < cfg->txn_ops / 2 && (m->next_page = records_page_for(k, m->id)) >= 0)
            p->need[m->next_page] |= PAGE_NOW;
    }
}

static void plan_unregistered(int k, struct page_plan *p) {
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, records_unregistered_all());
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct records_unregistered *c = v;
        if (c->share == k) c->page = -1;
    }
    g_hash_table_iter_init(&it, records_unregistered_all());
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct records_unregistered *c = v;
        if (c->share == k && (c->page = records_page_for(k, c->id)) >= 0) p->need[c->page] |= PAGE_NOW;
    }
}

/* Raises and passings move the fence in the same transaction, which is one of their own. */
static void write_raises(struct round *r, int k, struct page_plan *p) {
    char key[96];
    int n;
    struct store_txn *t = round_txn(r, cfg->txn_ops, 3);
    r->left += cfg->txn_ops - p->raise_writes;
    store_txn_if(t, "fence", store_stamp("fence"));
    store_txn_set(t, "fence", cJSON_CreateNumber((double)p->fence), 0);
    for (int page = 0; page < RECORDS_PAGES; page++) {
        if (!(p->need[page] & PAGE_RAISE)) continue;
        snprintf(key, sizeof key, "fleet/%d/%d", k, page);
        store_txn_if(t, key, store_stamp(key));
        store_txn_set(t, key, records_page_value(k, page, &n), 0);
        p->need[page] = 0;
    }
    for (guint i = 0; i < records_of(k)->len; i++) {
        struct machine *m = records_of(k)->pdata[i];
        if (!m->leave) continue;
        snprintf(key, sizeof key, "machine/%s", m->id);
        store_txn_if(t, key, 0);
        store_txn_set(t, key, records_single_value(m, m->transfer_to, p->fence), 0);
    }
}

/* Comes from another share, to this page: its own record goes with the write. */
static bool arrives_at(const struct machine *m, int page) { return m->page < 0 && m->next_page == page; }

static void write_page(struct round *r, int k, int page) {
    char key[96];
    int incoming = 0, n;
    for (guint i = 0; i < records_of(k)->len; i++) incoming += arrives_at(records_of(k)->pdata[i], page);
    snprintf(key, sizeof key, "fleet/%d/%d", k, page);
    if (1 + incoming > cfg->txn_ops || refused_lately(key)) return;
    struct store_txn *t = round_txn(r, 1 + incoming, 2 + incoming);
    store_txn_if(t, key, store_stamp(key));
    cJSON *value = records_page_value(k, page, &n);
    if (n > 0) {
        store_txn_set(t, key, value, 0);
    } else {
        cJSON_Delete(value);
        store_txn_remove(t, key);
    }
    for (guint i = 0; i < records_of(k)->len; i++) {
        struct machine *m = records_of(k)->pdata[i];
        if (!arrives_at(m, page)) continue;
        snprintf(key, sizeof key, "machine/%s", m->id);
        store_txn_if(t, key, store_stamp(key));
        store_txn_remove(t, key);
    }
}

#define TIDY_S 2 /* between writes of what can wait */

/* The pages of the share's machines. */
static void write_pages(struct round *r, int k) {
    struct page_plan p = {.fence = membership_fence() + 1, .raise_writes = 1};
    bool tidy = base_since(records_shares[k].tidied) > TIDY_S;
    if (tidy) records_shares[k].tidied = base_now();
    records_large_pages(k, p.large);
    move_from_large(k, &p, tidy);
    plan_machines(k, &p);
    plan_unregistered(k, &p);
    for (int page = 0; page < RECORDS_PAGES; page++)
        if (records_page_stale(k, page)) p.need[page] |= PAGE_LATER;
    if (p.raised) write_raises(r, k, &p);
    for (int page = 0; page < RECORDS_PAGES && r->left > 0; page++) {
        bool due = p.need[page] & PAGE_NOW || (p.need[page] & PAGE_LATER && tidy);
        if (due && !p.large[page]) write_page(r, k, page);
    }
}

static int longest_touched(gconstpointer a, gconstpointer b) {
    const struct job *x = *(struct job *const *)a, *y = *(struct job *const *)b;
    double d = base_secs(x->touched) - base_secs(y->touched);
    return d < 0 ? -1 : d > 0;
}

struct round *rounds_decide(int k, int left) {
    struct round *r = g_new0(struct round, 1);
    r->share = k;
    r->plans = g_array_new(FALSE, FALSE, sizeof(struct placement_plan));
    r->txns = g_ptr_array_new_with_free_func(txn_free);
    r->left = left;
    r->apart = base_since(records_shares[k].apart_until) < 0;
    /* With nothing left of the budget there is nothing to decide: the more has gathered, the more the next carries. */
    if (left >= 2) plan_round(r);
    return r;
}

int rounds_planned(const struct round *r, const char *uid) {
    int n = 0;
    for (guint i = 0; i < r->plans->len; i++)
        n += !uid || strcmp(g_array_index(r->plans, struct placement_plan, i).j->spec.uid, uid) == 0;
    return n;
}
int rounds_changes(const struct round *r) {
    int n = 0;
    for (guint i = 0; i < r->txns->len; i++) n += ((struct store_txn *)r->txns->pdata[i])->writes;
    return n;
}
const GPtrArray *rounds_transactions(const struct round *r) { return r->txns; }

int rounds_largest(const struct round *r) {
    int n = 0;
    for (guint i = 0; i < r->txns->len; i++) n = MAX(n, ((struct store_txn *)r->txns->pdata[i])->writes);
    return n;
}

void rounds_round_free(struct round *r) {
    g_array_free(r->plans, TRUE);
    g_ptr_array_free(r->txns, TRUE);
    g_free(r);
}

static void plan_round(struct round *r) {
    int k = r->share;
    rounds_scratch(k);
    r->first = records_shares[k].fence * 1048576 + records_shares[k].next;
    /* Completions are what users wait for; then starts; then what else is known, longest first. */
    GPtrArray *late = g_ptr_array_new(), *lists[] = {jobs_active_of(k), jobs_ended_of(k)};
    for (int l = 0; l < 2; l++)
        for (guint i = 0; i < lists[l]->len; i++) {
            struct job *j = lists[l]->pdata[i];
            if (jobs_complete(j) && r->left > 1)
                write_job(r, j);
            else if (j->n_touched)
                g_ptr_array_add(late, j);
        }
    if (r->left > 0) plan_jobs(r, k);
    transfer_plan(k);
    if (r->left > 0) write_pages(r, k);
    for (guint i = 0; i < r->plans->len; i++) {
        struct job *j = g_array_index(r->plans, struct placement_plan, i).j;
        if (i > 0 && j == g_array_index(r->plans, struct placement_plan, i - 1).j) continue;
        write_job(r, j);
        g_ptr_array_remove(late, j);
    }
    g_ptr_array_sort(late, longest_touched);
    for (guint i = 0; i < late->len && r->left > 0; i++) write_job(r, late->pdata[i]);
    r->more |= late->len > 0 && r->left <= 0;
    g_ptr_array_free(late, TRUE);
}

void rounds_apply(const struct round *r, const struct store_txn *t, int64_t epoch) {
    const cJSON *x;
    store_apply_written(t, epoch);
    cJSON_ArrayForEach(x, t->ops) {
        const char *set = base_str(x, "set");
        if (!set || !g_str_has_prefix(set, "run/")) continue;
        char uid[64];
        g_strlcpy(uid, set + 4, MIN(sizeof uid, strcspn(set + 4, "/") + 1));
        struct job *j = jobs_find(uid);
        for (guint i = 0; j && i < j->bookings->len; i++) {
            struct booking *b = j->bookings->pdata[i];
            if (!b->inherited || b->attempt <= r->first) continue;
            b->inherited = false;
            b->m->kick = true;
        }
    }
    for (guint i = 0; i < records_of(r->share)->len; i++) {
        struct machine *m = records_of(r->share)->pdata[i];
        if (m->need_raise && records_token(m) > m->unknown_fence) m->need_raise = false;
    }
}

/* After an unknown outcome the share's stamp is moved, so that what may still come late fails. */
static bool barrier(struct http_client *c, int k) {
    char key[32];
    struct store_txn t;
    struct store_answer a;
    snprintf(key, sizeof key, "share/%d", k);
    store_refresh(c, key);
    store_txn_init(&t);
    store_lock();
    bool mine = membership_mine(k);
    const struct share *s = membership_share(k);
    store_txn_if(&t, key, s->stamp);
    cJSON *o = cJSON_CreateObject();
    cJSON_AddStringToObject(o, "owner", s->owner);
    cJSON_AddStringToObject(o, "inc", s->inc);
    cJSON_AddNumberToObject(o, "fence", (double)s->fence);
    store_txn_set(&t, key, o, 0);
    store_unlock();
    bool ok = false;
    if (mine && store_multi(c, STORE_BOOK, &t, &a) == STORE_OK) {
        store_lock();
        store_apply_written(&t, a.epoch);
        store_unlock();
        store_nudge();
        ok = true;
        store_answer_clear(&a);
    }
    store_txn_free(&t);
    return ok;
}

static bool run_round(struct http_client *c, int k) {
    struct round *r = NULL;
    int left = store_budget_room(STORE_PROGRESS);
    bool again = false;
    store_lock();
    bool mine = membership_mine(k);
    if (mine) {
        int64_t f = membership_share(k)->fence;
        if (records_shares[k].fence != f) {
            records_shares[k].fence = f;
            records_shares[k].next = 0;
            records_shares[k].barrier = false;
            records_shares[k].since = base_now();
            log_info("share %d: ours under fence %lld", k, (long long)f);
        }
    }
    bool blocked = records_shares[k].barrier;
    if (mine && !blocked) r = rounds_decide(k, left);
    store_unlock();
    if (mine && blocked) {
        if (barrier(c, k)) records_shares[k].barrier = false;
        again = true;
    }
    for (guint i = 0; r && i < r->txns->len; i++) {
        struct store_txn *t = r->txns->pdata[i];
        struct store_answer a;
        if (!t->writes) continue;
        enum store_result rc = store_multi(c, STORE_BOOK, t, &a);
        if (rc == STORE_OK) {
            store_lock();
            rounds_apply(r, t, a.epoch);
            store_unlock();
            again = true;
        } else if (rc == STORE_CONFLICT) {
            /* Bookings and pages only in the order of the watch: read on their own they would be ahead of the records
             * that they rest on. */
            for (guint f = 0; f < a.failed->len; f++)
                if (!g_str_has_prefix(a.failed->pdata[f], "run/") && !g_str_has_prefix(a.failed->pdata[f], "fleet/"))
                    store_refresh(c, a.failed->pdata[f]);
            store_nudge();
            again = true;
        } else if (rc == STORE_BAD) {
            /* Surely not executed. What it held is written apart from other work from now on, and not at once again. */
            if (r->apart || t->writes == 1) note_refused(t);
            records_shares[k].apart_until = base_wall_in(base_span(2 * REFUSED_S));
            again = true;
        } else if (rc == STORE_UNKNOWN) {
            records_shares[k].barrier = true;
        }
        store_answer_clear(&a);
        /* A conflict is one transaction's own: a fence that all controllers move once kept a share from booking
         * anything for minutes, because what stood behind the raise was dropped with it. */
        if (rc != STORE_OK && rc != STORE_CONFLICT && rc != STORE_BAD) break;
    }
    workers_kick();
    again |= (r && r->more) || (mine && left < 2);
    if (r) rounds_round_free(r);
    return again;
}

static void *rounds_main(void *arg) {
    (void)arg;
    struct http_client *c = http_client_new();
    struct timespec watched = {0, 0}, told = {0, 0}, hearing = base_now();
    for (;;) {
        base_wakeup_wait(&wakeup, base_span(0.5));
        bool again = false;
        for (int k = 0; k < cfg->size; k++) again |= run_round(c, k);
        if (base_since(watched) > 0.5) {
            watched = base_now();
            store_lock();
            int up, heard, reported;
            watch_count_heard(&up, &heard, &reported);
            /* Cut from the store as well, what it holds ours is no longer known. */
            if (up < 4 || reported * 10 >= up * 3 || base_since(store_verified()) > 4) hearing = base_now();
            if (base_since(hearing) > base_secs(cfg->report) && !membership_workers_lost())
                membership_set_workers_lost(true);
            for (int k = 0; k < cfg->size; k++)
                if (membership_mine(k) && membership_verified()) {
                    watch_machines(k, up, heard);
                    ledger_run(k, false);
                    ledger_run(k, true);
                }
            if (base_since(told) > 10) {
                told = base_now();
                for (int k = 0; k < cfg->size; k++)
                    if (membership_mine(k)) ledger_tell(k);
            }
            store_unlock();
            workers_kick();
        }
        base_sleep(base_span(0.03));
        if (again) rounds_kick();
    }
    return NULL;
}

void rounds_init(const struct settings *s) {
    cfg = s;
    base_wakeup_init(&wakeup);
    refused_until = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void rounds_start(void) { base_thread(rounds_main, NULL); }
