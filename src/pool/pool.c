#include "pool.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../cloud/cloud.h"
#include "../membership/membership.h"
#include "../placement/placement.h"
#include "../workers/workers.h"

static const struct settings *cfg;
static GHashTable *by_id;
static GPtrArray *machines;
static GHashTable *gone; /* ids that were ours and are no more: a stale list must not bring them back */

struct newcomer {
    char id[64], address[64], sku[64], site[64];
    bool spot;
    int share;
};
static GHashTable *newcomers; /* id -> newcomer: rented or found, not yet recorded */

/* What the owner remembers of a share. */
struct share_state {
    int64_t fence;
    int64_t next; /* counter of attempts under this fence */
    bool barrier; /* a transaction's outcome is unknown: nothing more before the share's stamp has moved */
    struct timespec since, ledger_at;
    bool fit_nowhere;
};
static struct share_state states[64];

static struct base_bell bell;

void pool_kick(void) { base_bell_ring(&bell); }

/* ---- records ---- */

struct machine *pool_find(const char *id) {
    return g_hash_table_lookup(by_id, id);
}
GPtrArray *pool_machines(void) { return machines; }
bool pool_booking_active(const struct booking *b) { return !b->over; }

int pool_share_of(const char *id) {
    const char *dash = strrchr(id, '-');
    return dash ? (int)(g_ascii_strtoull(dash + 1, NULL, 10) % (guint64)cfg->size) : 0;
}

int64_t pool_token(const struct machine *m) { return MAX(m->fence, membership_share(m->share)->fence); }

bool pool_known(const char *id) {
    return g_hash_table_contains(by_id, id) || g_hash_table_contains(newcomers, id) || g_hash_table_contains(gone, id);
}

/* On its way back to the cloud, or there already. */
static bool leaving(const struct machine *m) { return m->returning || m->want_return || m->dead; }

/* Asks a task to end; the first to ask decides with how much grace. */
static void stop_task(struct booking *b, double grace_s) {
    if (b->stop) return;
    b->stop = true;
    b->grace_s = grace_s;
    b->m->kick = true;
}

static void booking_free(struct booking *b) {
    g_ptr_array_remove(b->job->bookings, b);
    g_free(b);
}

static void machine_free(struct machine *m) {
    while (m->bookings->len) {
        struct booking *b = m->bookings->pdata[m->bookings->len - 1];
        g_ptr_array_set_size(m->bookings, (gint)m->bookings->len - 1);
        booking_free(b);
    }
    g_hash_table_remove(by_id, m->id);
    g_ptr_array_remove(machines, m);
    g_ptr_array_free(m->bookings, TRUE);
    g_array_free(m->strays, TRUE);
    g_hash_table_destroy(m->images);
    g_free(m);
}

static struct booking *find_booking(struct machine *m, const char *uid, int task, int64_t attempt) {
    for (guint i = 0; i < m->bookings->len; i++) {
        struct booking *b = m->bookings->pdata[i];
        if (b->attempt == attempt && b->task == task && strcmp(b->job->spec.uid, uid) == 0) return b;
    }
    return NULL;
}

static bool booked_task(const struct job *j, int task) {
    for (guint i = 0; i < j->bookings->len; i++)
        if (((struct booking *)j->bookings->pdata[i])->task == task) return true;
    return false;
}

static void apply_machine(const char *id, const cJSON *data, int64_t stamp) {
    (void)stamp;
    struct machine *m = pool_find(id);
    g_hash_table_remove(newcomers, id);
    if (!data) {
        g_hash_table_add(gone, g_strdup(id));
        if (m) {
            cloud_reopen(m->sku, m->site, m->spot);
            machine_free(m);
        }
        pool_kick();
        return;
    }
    if (!m) {
        m = g_new0(struct machine, 1);
        g_strlcpy(m->id, id, sizeof m->id);
        m->bookings = g_ptr_array_new();
        m->strays = g_array_new(FALSE, FALSE, sizeof(struct stray));
        m->images = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        m->warning = -1;
        m->share = m->pass_to = -1;
        g_hash_table_insert(by_id, m->id, m);
        g_ptr_array_add(machines, m);
    }
    int64_t share = 0;
    base_int(data, "share", &share);
    if (share >= cfg->size) share = 0;
    if (m->share != (int)share) {
        m->owned_fence = 0;
        m->pass_to = -1;
    }
    m->share = (int)share;
    if (!base_int(data, "fence", &m->fence)) m->fence = 0;
    const char *v;
    if ((v = base_str(data, "address")) && *v) g_strlcpy(m->address, v, sizeof m->address);
    if ((v = base_str(data, "flavour"))) g_strlcpy(m->sku, v, sizeof m->sku);
    if ((v = base_str(data, "site"))) g_strlcpy(m->site, v, sizeof m->site);
    m->spot = base_flag(data, "spot");
    m->returning = base_flag(data, "ret");
    m->born = base_num(data, "born", 0);
    const cJSON *list = cJSON_GetObjectItemCaseSensitive(data, "b"), *x;
    cJSON_ArrayForEach(x, cJSON_GetObjectItemCaseSensitive(data, "img")) if (cJSON_IsString(x))
        g_hash_table_add(m->images, g_strdup(x->valuestring));
    GPtrArray *keep = g_ptr_array_new();
    cJSON_ArrayForEach(x, list) {
        const cJSON *u = cJSON_GetArrayItem(x, 0), *t = cJSON_GetArrayItem(x, 1), *a = cJSON_GetArrayItem(x, 2);
        if (!cJSON_IsString(u) || !cJSON_IsNumber(t) || !cJSON_IsNumber(a)) continue;
        int64_t attempt = (int64_t)a->valuedouble;
        struct booking *b = find_booking(m, u->valuestring, t->valueint, attempt);
        if (!b) {
            b = g_new0(struct booking, 1);
            b->job = jobs_find_or_stub(u->valuestring);
            b->m = m;
            b->task = t->valueint;
            b->attempt = attempt;
            b->booked = b->changed = base_now();
            b->stop = b->job->state != JOB_QUEUED || booked_task(b->job, b->task);
            if (booked_task(b->job, b->task)) {
                /* A booking that was thought not to be written turns up beside its successor: it is never started. */
                b->twin = true;
                if (membership_mine(m->share))
                    log_info("task %s/%d is booked twice; not starting it on machine %s", b->job->spec.uid, b->task,
                             m->id);
            }
            g_ptr_array_add(b->job->bookings, b);
        }
        g_ptr_array_add(keep, b);
    }
    for (guint i = 0; i < m->bookings->len; i++) {
        struct booking *b = m->bookings->pdata[i];
        if (g_ptr_array_find(keep, b, NULL)) continue;
        /* Who may take the machine over some day knows its images from this. */
        if (b->job->spec.image && base_since(b->booked) > 20) g_hash_table_add(m->images, g_strdup(b->job->spec.image));
        booking_free(b);
    }
    g_ptr_array_free(m->bookings, TRUE);
    m->bookings = keep;
    if (keep->len) m->had_task = true;
}

bool pool_mine(struct machine *m) {
    if (!membership_mine(m->share)) return false;
    int64_t f = membership_share(m->share)->fence;
    if (m->owned_fence == f) return true;
    m->owned_fence = f;
    m->heard = m->reported = m->mine_since = base_now();
    m->unknown = m->need_raise = m->draining = m->want_return = m->dead = false;
    m->pass_to = -1;
    m->seen_fence = 0;
    m->up = m->bookings->len > 0;
    m->rows = 0;
    m->hello = m->kick = m->address[0] != 0;
    for (guint i = 0; i < m->bookings->len; i++) {
        struct booking *b = m->bookings->pdata[i];
        b->seen = b->over = b->stop_sent = false;
        b->state = TASK_UNSEEN;
        int same = 0;
        for (guint n = 0; n < b->job->bookings->len; n++)
            same += ((struct booking *)b->job->bookings->pdata[n])->task == b->task;
        b->twin = b->twin && same > 1;
        b->stop = b->twin || b->job->state != JOB_QUEUED;
        b->grace_s = 0;
    }
    return true;
}

void pool_row(struct machine *m) {
    double c = 0, g = 0, r = 0;
    for (guint i = 0; i < m->bookings->len; i++) {
        const struct job_spec *s = &((struct booking *)m->bookings->pdata[i])->job->spec;
        /* On a dear machine, work that could run on a cheap one is no pressure: it only fills what stands idle, and
         * makes way. Counted, it would rent dear machines for itself and hold them. */
        if (!m->spot && s->reclaimable) continue;
        c += s->vcpus;
        g += s->gpus;
        r += s->memory_gb;
    }
    const struct flavour_info *f = m->flavour ? m->flavour : (m->flavour = cloud_flavour(m->sku));
    if (!f) return;
    double *row = m->occ[m->rows % POOL_WINDOW];
    row[0] = f->vcpus > 0 ? c / f->vcpus : 0;
    row[1] = f->memory_gb > 0 ? r / f->memory_gb : 0;
    row[2] = f->gpus > 0 ? g / f->gpus : 0;
    m->rows++;
}

void pool_job_changed(struct job *j) {
    if (j->state != JOB_QUEUED)
        for (guint i = 0; i < j->bookings->len; i++) {
            struct booking *b = j->bookings->pdata[i];
            if (j->state == JOB_DONE && j->spec.shape == JOB_GROUP) continue; /* they complete together */
            b->stop = true;
            b->grace_s = 0;
            b->m->kick = true;
        }
    pool_kick();
    workers_kick();
}

void pool_stranger(const char *id, const char *address, const char *sku, const char *site, bool spot) {
    int k = pool_share_of(id);
    if (pool_known(id) || !membership_mine(k)) return;
    struct newcomer *n = g_new0(struct newcomer, 1);
    g_strlcpy(n->id, id, sizeof n->id);
    g_strlcpy(n->address, address, sizeof n->address);
    g_strlcpy(n->sku, sku, sizeof n->sku);
    g_strlcpy(n->site, site, sizeof n->site);
    n->spot = spot;
    n->share = k;
    g_hash_table_insert(newcomers, n->id, n);
    log_info("machine %s: unexpected, adopting it for share %d", id, k);
    pool_kick();
}

void pool_rented(int share, const struct rent_order *o, const char *id) {
    if (pool_find(id)) return;
    struct newcomer *n = g_new0(struct newcomer, 1);
    g_strlcpy(n->id, id, sizeof n->id);
    g_strlcpy(n->sku, o->sku, sizeof n->sku);
    g_strlcpy(n->site, o->site, sizeof n->site);
    n->spot = o->spot;
    n->share = share;
    g_hash_table_insert(newcomers, n->id, n);
    pool_kick();
}

static cJSON *machine_value(const struct machine *m, int share, int64_t fence, bool returning) {
    cJSON *o = cJSON_CreateObject();
    cJSON_AddNumberToObject(o, "share", share);
    cJSON_AddNumberToObject(o, "fence", (double)fence);
    cJSON_AddStringToObject(o, "address", m->address);
    cJSON_AddStringToObject(o, "flavour", m->sku);
    cJSON_AddStringToObject(o, "site", m->site);
    cJSON_AddBoolToObject(o, "spot", m->spot);
    if (returning) cJSON_AddBoolToObject(o, "ret", true);
    cJSON_AddNumberToObject(o, "born", m->born);
    if (m->images && g_hash_table_size(m->images)) {
        /* For who takes it over: a start where the image is needs no fetch. */
        GHashTableIter it;
        gpointer name;
        int n = 0;
        cJSON *list = cJSON_AddArrayToObject(o, "img");
        g_hash_table_iter_init(&it, m->images);
        while (g_hash_table_iter_next(&it, &name, NULL) && (n += (int)strlen(name) + 3) < cfg->value_kb * 1024 / 6)
            cJSON_AddItemToArray(list, cJSON_CreateString(name));
    }
    return o;
}

static cJSON *booking_value(const char *uid, int task, int64_t attempt) {
    cJSON *x = cJSON_CreateArray();
    cJSON_AddItemToArray(x, cJSON_CreateString(uid));
    cJSON_AddItemToArray(x, cJSON_CreateNumber(task));
    cJSON_AddItemToArray(x, cJSON_CreateNumber((double)attempt));
    return x;
}

/* ---- a round: decide under the lock, write outside it, apply what was written ---- */

struct round {
    int share;
    GArray *plans;   /* placement_plan */
    GPtrArray *txns; /* store_txn */
    bool more;
};

static struct store_txn *round_txn(struct round *r, int writes, int conds) {
    struct store_txn *t = r->txns->len ? r->txns->pdata[r->txns->len - 1] : NULL;
    if (!t || t->writes + writes > cfg->txn_ops || cJSON_GetArraySize(t->conds) + conds > cfg->txn_ops * 4) {
        t = g_new0(struct store_txn, 1);
        store_txn_init(t);
        char key[32];
        snprintf(key, sizeof key, "share/%d", r->share);
        store_txn_if(t, key, membership_share(r->share)->stamp);
        g_ptr_array_add(r->txns, t);
    }
    return t;
}

static struct machine *reception_of(int k) {
    struct machine *best = NULL;
    for (guint i = 0; i < machines->len; i++) {
        struct machine *m = machines->pdata[i];
        if (m->share != k || m->spot || leaving(m) || !m->up || m->warning >= 0) continue;
        if (!best || m->born < best->born || (m->born == best->born && strcmp(m->id, best->id) < 0)) best = m;
    }
    return best;
}

static void scratch(int k) {
    for (guint i = 0; i < machines->len; i++) {
        struct machine *m = machines->pdata[i];
        if (m->share != k || !pool_mine(m)) continue;
        if (!m->flavour) m->flavour = cloud_flavour(m->sku);
        m->touched = false;
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
        double quiet = base_secs(cfg->report) * 2 + 1;
        m->open = m->up && m->flavour && !leaving(m) && !m->draining && m->pass_to < 0 && m->warning < 0 &&
                  !m->need_raise && !m->unknown && m->seen_fence >= pool_token(m) && base_since(m->reported) < quiet &&
                  m->bookings->len < (guint)(cfg->value_kb * 1024 / 64) - 6;
    }
}

struct ranked {
    struct job *j;
    bool within;
    double due; /* time of day */
};

/* When the job is due: the first of the times named by its class's aims that it can still keep; past the last, twice
 * that, and so on. In an overload work that can't be in time any more steps back behind work that can, instead of
 * making all late one after the other; it comes first again when its next time draws near. */
static double due_of(const struct job *j, double now) {
    double age = now - j->submitted, last = 0;
    for (double after = 0;;) {
        double next = -1;
        for (int i = 0; i < cfg->n_objectives; i++) {
            const struct settings_objective *o = &cfg->objectives[i];
            if (o->kind == AIM_FINISHED && strcmp(o->jobclass, j->spec.jobclass) == 0 && o->within_s > after &&
                (next < 0 || o->within_s < next))
                next = o->within_s;
        }
        if (next < 0) break;
        if (age + j->spec.runtime_s <= next) return j->submitted + next;
        after = last = next;
    }
    if (last <= 0) return j->submitted + settings_within(cfg, AIM_WAIT, j->spec.jobclass, 0);
    double d = last * 2;
    while (age + j->spec.runtime_s > d) d *= 2;
    return j->submitted + d;
}

static int rank_order(gconstpointer a, gconstpointer b) {
    const struct ranked *x = a, *y = b;
    if (x->within != y->within) return x->within ? -1 : 1;
    if (x->j->spec.rank != y->j->spec.rank) return x->j->spec.rank > y->j->spec.rank ? -1 : 1;
    if (x->due != y->due) return x->due < y->due ? -1 : 1;
    return strcmp(x->j->spec.uid, y->j->spec.uid);
}

static bool has_guarantee(const struct settings_team *t) { return t->cpus > 0 || t->gpus > 0; }

/* The share's unfinished jobs: those within a guarantee first, then by rank, then by when they are due. */
static GArray *rank_jobs(int k) {
    GArray *out = g_array_new(FALSE, FALSE, sizeof(struct ranked));
    double cpu[SETTINGS_TEAMS] = {0}, gpu[SETTINGS_TEAMS] = {0};
    double now = base_time_of_day();
    GPtrArray *jobs = jobs_active();
    for (guint i = 0; i < jobs->len; i++) {
        struct job *j = jobs->pdata[i];
        if (jobs_share(j) != k || j->spec.team < 0) continue;
        const struct settings_team *t = &cfg->teams[j->spec.team];
        int left = j->spec.tasks - j->n_pend;
        cpu[j->spec.team] += left * j->spec.vcpus;
        gpu[j->spec.team] += left * j->spec.gpus;
        struct ranked r = {j,
                           has_guarantee(t) && (t->cpus <= 0 || cpu[j->spec.team] <= t->cpus + 1e-6) &&
                               (t->gpus <= 0 || gpu[j->spec.team] <= t->gpus + 1e-6),
                           due_of(j, now)};
        g_array_append_val(out, r);
    }
    g_array_sort(out, rank_order);
    return out;
}

static bool planned_task(const GArray *plans, const struct job *j, int task) {
    for (guint i = 0; i < plans->len; i++) {
        const struct placement_plan *p = &g_array_index(plans, struct placement_plan, i);
        if (p->j == j && p->task == task) return true;
    }
    return false;
}

static void take(struct machine *m, const struct job_spec *s, int sign) {
    m->used_cpu += sign * s->vcpus;
    m->used_gpu += sign * s->gpus;
    m->used_mem += sign * s->memory_gb;
}

struct usage {
    double cpu, gpu;
};

static bool quota_left(const struct usage *u, const struct job_spec *s, int tasks) {
    const struct settings_team *t = &cfg->teams[s->team];
    return (t->cpus_max <= 0 || u->cpu + tasks * s->vcpus <= t->cpus_max + 1e-6) &&
           (t->gpus_max <= 0 || u->gpu + tasks * s->gpus <= t->gpus_max + 1e-6);
}

static int64_t next_attempt(int k) { return states[k].fence * 1048576 + ++states[k].next; }

static void plan_task(struct round *r, struct machine *m, struct job *j, int task, int64_t attempt, struct usage *u) {
    struct placement_plan p = {m, j, task, attempt};
    g_array_append_val(r->plans, p);
    take(m, &j->spec, 1);
    u[j->spec.team].cpu += j->spec.vcpus;
    u[j->spec.team].gpu += j->spec.gpus;
}

/* A gang: all of it or nothing, in one zone if it asks for that. */
static bool plan_gang(struct round *r, struct job *j, GPtrArray *mine, const struct placement_rules *rules,
                      struct usage *u) {
    if (!quota_left(&u[j->spec.team], &j->spec, j->spec.tasks)) return true;
    for (int z = 0; z < (j->spec.together ? cfg->n_zones : 1); z++) {
        const char *zone = j->spec.together ? cfg->zones[z] : NULL;
        guint from = r->plans->len;
        struct usage before = u[j->spec.team];
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
            take(p->m, &j->spec, -1);
        }
        g_array_set_size(r->plans, from);
        u[j->spec.team] = before;
    }
    return false;
}

/* What a team holds beyond its guarantee, in GPUs (or CPUs where only those are guaranteed). */
static double beyond(int team) {
    if (team < 0) return 0;
    const struct settings_team *t = &cfg->teams[team];
    double gpus = 0, cpus = 0;
    GPtrArray *jobs = jobs_active();
    for (guint i = 0; i < jobs->len; i++) {
        struct job *j = jobs->pdata[i];
        if (j->spec.team != team) continue;
        gpus += j->bookings->len * j->spec.gpus;
        cpus += j->bookings->len * j->spec.vcpus;
    }
    return t->gpus > 0 || t->cpus <= 0 ? gpus - t->gpus : cpus - t->cpus;
}

/* A task may be stopped for a job of higher rank, or, to give a team its guarantee, where its own team is beyond its.
 * The claim holds only while the claiming team is below its guarantee and the other stays at or above: two teams that
 * each had some work beyond once stopped one another's tasks for minutes. */
static bool evictable(const struct booking *x, const struct job *j, bool within) {
    if (x->over || x->stop || x->job->spec.shape != JOB_BATCH) return false;
    if (x->job->spec.rank < j->spec.rank) return true;
    return within && x->job->spec.team != j->spec.team && beyond(j->spec.team) + j->spec.gpus <= 1e-6 &&
           beyond(x->job->spec.team) >= MAX(x->job->spec.gpus, 1e-3);
}

/* A task stopped soon after its start counts as never started to its user. */
static bool fresh_start(const struct booking *b) {
    return b->state == TASK_UNSEEN || b->state == TASK_FETCHING ||
           (b->state == TASK_RUNNING && base_since(b->changed) < 32);
}

/* Stops lower-ranked tasks on one machine so that a task of the job fits there; the machine that already has the
 * image comes first, then the one that loses least. The room goes to the job in the round after their release, since
 * it is ranked before them. */
static bool preempt_for(struct job *j, bool within, GPtrArray *mine, const struct usage *u) {
    struct machine *best = NULL;
    double best_cost = 0;
    const struct flavour_info *f;
    if (!quota_left(&u[j->spec.team], &j->spec, 1)) return false;
    for (guint i = 0; i < mine->len; i++) {
        struct machine *m = mine->pdata[i];
        const char *together =
            j->spec.together && j->bookings->len ? ((struct booking *)j->bookings->pdata[0])->m->site : NULL;
        if (!m->open || !(f = m->flavour) || !placement_allowed(m, j, together, NULL)) continue;
        double cpu = m->used_cpu, gpu = m->used_gpu, mem = m->used_mem, cost = 0;
        for (guint b = 0; b < m->bookings->len; b++) {
            struct booking *x = m->bookings->pdata[b];
            if (!evictable(x, j, within)) continue;
            cpu -= x->job->spec.vcpus;
            gpu -= x->job->spec.gpus;
            mem -= x->job->spec.memory_gb;
            cost += fresh_start(x) ? 3 : 1;
        }
        if (cpu + j->spec.vcpus > f->vcpus + 1e-6 || gpu + j->spec.gpus > f->gpus + 1e-6 ||
            mem + j->spec.memory_gb > f->memory_gb + 1e-6)
            continue;
        if (!g_hash_table_contains(m->images, j->spec.image)) cost += 100;
        if (!best || cost < best_cost) {
            best = m;
            best_cost = cost;
        }
    }
    if (!best) return false;
    f = best->flavour;
    double quick = settings_within(cfg, AIM_WAIT, j->spec.jobclass, 60);
    /* Those whose start has counted first, and of them the youngest: they lose least. */
    for (guint n = 2 * best->bookings->len; n-- > 0;) {
        struct booking *x = best->bookings->pdata[n % best->bookings->len];
        if (placement_fits(best, &j->spec)) break;
        if (!evictable(x, j, within) || (n >= best->bookings->len && fresh_start(x))) continue;
        x->stop = true;
        x->grace_s = x->job->spec.checkpoint_s > 0 && x->job->spec.flush_s + 1 < quick ? x->job->spec.flush_s + 1 : 0;
        take(best, &x->job->spec, -1);
        log_info("task %s/%d on machine %s makes way for %s", x->job->spec.uid, x->task, best->id, j->spec.uid);
    }
    take(best, &j->spec, 1); /* kept free for the rest of this round */
    best->kick = true;
    return true;
}

/* Whether a fetch would make the job miss the wait that its users accept. */
static bool fetch_too_slow(const struct job *j, const struct machine *m) {
    return !g_hash_table_contains(m->images, j->spec.image) && m->flavour &&
           j->spec.pull_gb / MAX(m->flavour->fetch_rate, 1e-3) > settings_within(cfg, AIM_WAIT, j->spec.jobclass, 1e9);
}

/* The attempt of a gang that has not started and whose remaining tasks were all just reported as fetching or waiting;
 * 0 otherwise. Such a gang can be completed under the same attempt. */
int64_t pool_gang_open(const struct job *j) {
    int64_t attempt = 0;
    for (guint b = 0; b < j->bookings->len; b++) {
        const struct booking *x = j->bookings->pdata[b];
        if (attempt && x->attempt != attempt) return 0;
        attempt = x->attempt;
        if (x->over || x->stop || !x->seen || (x->state != TASK_FETCHING && x->state != TASK_GATHERING)) return 0;
        if (base_since(x->m->reported) > base_secs(cfg->report) * 1.25 + 1) return 0;
    }
    return attempt;
}

static bool holds_ended(const struct machine *m, const char *uid, int task, int64_t attempt) {
    char name[96];
    snprintf(name, sizeof name, "%s/%d", uid, task);
    for (guint i = 0; i < m->strays->len; i++) {
        const struct stray *s = &g_array_index(m->strays, struct stray, i);
        if (s->attempt == attempt && strcmp(s->task, name) == 0) return true;
    }
    return false;
}

/* Replaces what a gang lost before its start, so that the others need not fetch and wait again. */
static bool replace_gang_tasks(struct round *r, struct job *j, GPtrArray *mine, const struct placement_rules *rules,
                               struct usage *u) {
    int64_t attempt = pool_gang_open(j);
    int missing = j->spec.tasks - (int)j->bookings->len;
    if (!attempt || !quota_left(&u[j->spec.team], &j->spec, missing)) return false;
    guint from = r->plans->len;
    struct usage before = u[j->spec.team];
    for (int t = 0; t < j->spec.tasks; t++) {
        if (booked_task(j, t)) continue;
        struct machine *m = placement_pick(mine, j, NULL, rules, r->plans);
        /* A machine that still holds this very attempt would do nothing. */
        if (m && !holds_ended(m, j->spec.uid, t, attempt)) {
            plan_task(r, m, j, t, attempt, u);
            continue;
        }
        for (guint i = from; i < r->plans->len; i++)
            take(g_array_index(r->plans, struct placement_plan, i).m, &j->spec, -1);
        g_array_set_size(r->plans, from);
        u[j->spec.team] = before;
        return false;
    }
    log_info("gang %s: %d of its %d tasks replaced under the same attempt", j->spec.uid, missing, j->spec.tasks);
    return true;
}

static void plan_jobs(struct round *r, int k) {
    GArray *order = rank_jobs(k);
    GPtrArray *mine = g_ptr_array_new();
    struct usage u[SETTINGS_TEAMS];
    memset(u, 0, sizeof u);
    struct placement_rules rules = {cfg->tuning.reception, cfg->tuning.admission, reception_of(k)};
    for (guint i = 0; i < machines->len; i++) {
        struct machine *m = machines->pdata[i];
        if (m->share == k) g_ptr_array_add(mine, m);
        /* A team's tasks count wherever they are, also on a machine that is another share's by now. */
        for (guint b = 0; b < m->bookings->len; b++) {
            struct booking *x = m->bookings->pdata[b];
            if (x->job->spec.team < 0) continue;
            u[x->job->spec.team].cpu += x->job->spec.vcpus;
            u[x->job->spec.team].gpu += x->job->spec.gpus;
        }
    }
    states[k].fit_nowhere = false;
    for (guint i = 0; i < order->len; i++) {
        struct job *j = g_array_index(order, struct ranked, i).j;
        bool within = g_array_index(order, struct ranked, i).within;
        j->hungry = false;
        if (r->plans->len >= 40) {
            r->more = true;
            continue;
        }
        if (base_since(j->retry_at) < 0) continue;
        if (j->spec.shape == JOB_GROUP) {
            if (j->bookings->len == 0) {
                if (j->n_pend < j->spec.tasks && !plan_gang(r, j, mine, &rules, u)) {
                    j->hungry = true;
                    if ((within || j->spec.rank > RANK_IDLE) && base_since(j->preempted) > 3) {
                        bool any = false;
                        for (int t = 0; t < j->spec.tasks; t++) any |= preempt_for(j, within, mine, u);
                        if (any) j->preempted = base_now();
                    }
                }
            } else if (j->bookings->len < (guint)j->spec.tasks) {
                if (replace_gang_tasks(r, j, mine, &rules, u)) continue;
                /* A part of it is gone, or never got booked: the rest makes way for a new attempt. */
                for (guint b = 0; b < j->bookings->len; b++) {
                    struct booking *x = j->bookings->pdata[b];
                    stop_task(x, 0);
                }
            }
        } else {
            int left = j->spec.tasks - j->n_pend - (int)j->bookings->len, tried = 0;
            for (guint b = 0; b < j->bookings->len; b++) {
                struct booking *x = j->bookings->pdata[b];
                if (jobs_bit(j->pend, x->task)) left++;
            }
            for (int t = 0; t < j->spec.tasks && left > 0; t++) {
                if (jobs_bit(j->pend, t) || booked_task(j, t) || planned_task(r->plans, j, t)) continue;
                if (!quota_left(&u[j->spec.team], &j->spec, 1)) break;
                struct machine *m = placement_pick(mine, j, NULL, &rules, r->plans);
                if ((!m || fetch_too_slow(j, m)) && (within || j->spec.rank > RANK_IDLE) &&
                    base_since(j->preempted) > 3) {
                    bool any = false;
                    for (int w = 0; w < left; w++) any |= preempt_for(j, within, mine, u);
                    if (any) {
                        j->preempted = base_now();
                        break;
                    }
                }
                if (!m) {
                    j->hungry = true;
                    break;
                }
                plan_task(r, m, j, t, next_attempt(k), u);
                left--;
                if (++tried >= 40) break;
            }
        }
        if (j->hungry) states[k].fit_nowhere = true;
    }
    /* Only what stays planned is written: a gang's tries that came to nothing are not. */
    for (guint i = 0; i < r->plans->len; i++) g_array_index(r->plans, struct placement_plan, i).m->touched = true;
    g_array_free(order, TRUE);
    g_ptr_array_free(mine, TRUE);
}

/* Writes one machine's record: released bookings out, planned ones in. */
static void write_machine(struct round *r, struct machine *m, int share, int64_t fence, int fence_writes) {
    char key[96];
    guint adds = 0;
    for (guint i = 0; i < r->plans->len; i++) adds += g_array_index(r->plans, struct placement_plan, i).m == m;
    struct store_txn *t = round_txn(r, 1 + fence_writes, (int)adds + 3);
    cJSON *o = machine_value(m, share, fence, m->returning || m->want_return), *list = cJSON_AddArrayToObject(o, "b");
    for (guint i = 0; i < m->bookings->len; i++) {
        struct booking *b = m->bookings->pdata[i];
        if (!b->over) cJSON_AddItemToArray(list, booking_value(b->job->spec.uid, b->task, b->attempt));
    }
    for (guint i = 0; i < r->plans->len; i++) {
        struct placement_plan *p = &g_array_index(r->plans, struct placement_plan, i);
        if (p->m != m) continue;
        cJSON_AddItemToArray(list, booking_value(p->j->spec.uid, p->task, p->attempt));
        /* Not if the job was cancelled meanwhile. */
        snprintf(key, sizeof key, "job/%s", p->j->spec.uid);
        store_txn_if(t, key, store_stamp(key));
    }
    snprintf(key, sizeof key, "machine/%s", m->id);
    store_txn_if(t, key, store_stamp(key));
    store_txn_set(t, key, o, 0);
    if (fence_writes) {
        store_txn_if(t, "fence", store_stamp("fence"));
        store_txn_set(t, "fence", cJSON_CreateNumber((double)fence), 0);
    }
}

static void add_newcomers(struct round *r, int k) {
    GHashTableIter it;
    gpointer v;
    int n = 0;
    g_hash_table_iter_init(&it, newcomers);
    while (g_hash_table_iter_next(&it, NULL, &v) && n++ < 30) {
        struct newcomer *c = v;
        if (c->share != k) continue;
        struct machine m;
        memset(&m, 0, sizeof m);
        m.share = k;
        m.spot = c->spot;
        m.born = base_time_of_day();
        g_strlcpy(m.address, c->address, sizeof m.address);
        g_strlcpy(m.sku, c->sku, sizeof m.sku);
        g_strlcpy(m.site, c->site, sizeof m.site);
        char key[96];
        snprintf(key, sizeof key, "machine/%s", c->id);
        struct store_txn *t = round_txn(r, 1, 1);
        store_txn_if(t, key, 0);
        store_txn_set(t, key, machine_value(&m, k, 0, false), 0);
    }
}

static bool may_use(const struct job_spec *j, const struct flavour_info *f) {
    return (!j->flavours || g_strv_contains((const char *const *)j->flavours, f->sku)) && j->vcpus <= f->vcpus + 1e-6 &&
           j->gpus <= f->gpus + 1e-6 && j->memory_gb <= f->memory_gb + 1e-6;
}

struct virtual_machine {
    struct rent_order o;
    double cpu, gpu, mem; /* left */
    bool foreign;         /* another share's, for work that needs it only */
};

static bool vm_takes(struct virtual_machine *v, const struct job *j, const char *site) {
    const struct job_spec *s = &j->spec;
    if ((v->o.spot && !s->reclaimable) || (v->foreign && s->reclaimable)) return false;
    if ((site && strcmp(site, v->o.site) != 0) || (s->site && strcmp(s->site, v->o.site) != 0)) return false;
    if (s->flavours && !g_strv_contains((const char *const *)s->flavours, v->o.sku)) return false;
    if (s->vcpus > v->cpu + 1e-6 || s->gpus > v->gpu + 1e-6 || s->memory_gb > v->mem + 1e-6) return false;
    v->cpu -= s->vcpus;
    v->gpu -= s->gpus;
    v->mem -= s->memory_gb;
    return true;
}

static void vm_add(GArray *vms, const char *sku, const char *site, bool spot) {
    const struct flavour_info *f = cloud_flavour(sku);
    if (!f) return;
    struct virtual_machine v = {{"", "", spot, 0, 0}, f->vcpus, f->gpus, f->memory_gb, false};
    g_strlcpy(v.o.sku, sku, sizeof v.o.sku);
    g_strlcpy(v.o.site, site, sizeof v.o.site);
    g_array_append_val(vms, v);
}

/* ---- machines that pass from share to share ---- */

/* An ordinary machine whose tasks would all make way. Its share keeps at least one other. */
static bool passable(const struct machine *m) {
    if (m->spot || leaving(m) || m->warning >= 0 || !m->address[0]) return false;
    for (guint b = 0; b < m->bookings->len; b++) {
        const struct job_spec *s = &((struct booking *)m->bookings->pdata[b])->job->spec;
        if (!s->reclaimable || s->shape != JOB_BATCH) return false;
    }
    int others = 0;
    for (guint i = 0; i < machines->len; i++) {
        struct machine *x = machines->pdata[i];
        others += x != m && x->share == m->share && !x->spot && !x->returning && x->address[0];
    }
    return others > 0;
}

/* Not in a round that books on it or releases from it: the plan is not in its list yet. A machine was once passed
 * together with a task of its old share's, which then counted nowhere against the team's limit. */
bool pool_may_pass(const struct machine *m) {
    return m->pass_to >= 0 && m->bookings->len == 0 && !m->touched && !m->unknown && !m->sending && !m->need_raise &&
           !m->want_return && !m->returning && !m->dead;
}

/* A spread job's part in the zone is used up. */
static bool zone_full(const struct job *j, const char *site) {
    int here = 0;
    for (guint i = 0; i < j->bookings->len; i++)
        here += strcmp(((struct booking *)j->bookings->pdata[i])->m->site, site) == 0;
    return j->spec.spread && here >= (j->spec.tasks + 1) / 2;
}

/* The first job of another share that waits for a machine none of its own can give: every controller mirrors all
 * records, so that the donor sees it without being asked. */
static struct job *needy_job(int s, bool reclaimable, bool *within) {
    GArray *vms = g_array_new(FALSE, FALSE, sizeof(struct virtual_machine));
    for (guint i = 0; i < machines->len; i++) {
        struct machine *m = machines->pdata[i];
        if ((m->share != s && m->pass_to != s) || m->returning || (m->spot && !reclaimable)) continue;
        guint before = vms->len;
        vm_add(vms, m->sku, m->site, m->spot);
        if (vms->len == before) continue;
        struct virtual_machine *v = &g_array_index(vms, struct virtual_machine, before);
        for (guint b = 0; b < m->bookings->len && m->share == s; b++) {
            const struct job_spec *x = &((struct booking *)m->bookings->pdata[b])->job->spec;
            v->cpu -= x->vcpus;
            v->gpu -= x->gpus;
            v->mem -= x->memory_gb;
        }
    }
    struct job *found = NULL;
    GArray *order = rank_jobs(s);
    for (guint i = 0; i < order->len && !found; i++) {
        struct job *j = g_array_index(order, struct ranked, i).j;
        if (j->spec.reclaimable != reclaimable || base_since(j->seen) < 0.4) continue;
        const struct settings_team *t = &cfg->teams[j->spec.team];
        int left = j->spec.tasks - j->n_done - (int)j->bookings->len, tasks = j->spec.shape == JOB_BATCH ? 1 : left;
        if (left <= 0 || (t->gpus_max > 0 && beyond(j->spec.team) + t->gpus + tasks * j->spec.gpus > t->gpus_max))
            continue;
        const char *site =
            j->spec.together && j->bookings->len ? ((struct booking *)j->bookings->pdata[0])->m->site : NULL;
        for (int n = 0; n < left && !found; n++) {
            bool taken = false;
            for (guint y = 0; y < vms->len && !taken; y++) {
                struct virtual_machine *v = &g_array_index(vms, struct virtual_machine, y);
                taken = !zone_full(j, v->o.site) && vm_takes(v, j, site);
            }
            if (!taken) {
                found = j;
                *within = g_array_index(order, struct ranked, i).within;
            }
        }
    }
    g_array_free(order, TRUE);
    g_array_free(vms, TRUE);
    return found;
}

/* The machine of share K that is easiest to spare for the job: an empty one, else one whose tasks may all be stopped
 * for it. */
static struct machine *donation(int k, const struct job *j, bool within) {
    struct machine *best = NULL, *reception = reception_of(k);
    double best_cost = 0;
    const char *site = j->spec.together && j->bookings->len ? ((struct booking *)j->bookings->pdata[0])->m->site : NULL;
    /* What waits here comes first, unless the other's job goes before it. */
    GPtrArray *jobs = jobs_active();
    for (guint i = 0; i < jobs->len; i++) {
        struct job *o = jobs->pdata[i];
        if (jobs_share(o) == k && o->hungry && o->spec.rank >= j->spec.rank) return NULL;
    }
    for (guint i = 0; i < machines->len; i++) {
        struct machine *m = machines->pdata[i];
        if (m->share != k || m == reception || m->touched || base_since(m->mine_since) < 5 || m->pass_to >= 0 ||
            !m->up || !pool_mine(m) || !m->flavour)
            continue;
        if (leaving(m) || m->warning >= 0 || !m->address[0]) continue;
        if (base_since(m->heard) > base_secs(cfg->report) * 2 + 1 || !may_use(&j->spec, m->flavour)) continue;
        if (!placement_allowed(m, j, site, NULL)) continue;
        /* For work that could use cheap machines a dear one goes only if it is surplus here. */
        if (j->spec.reclaimable && !within && !m->spot && !m->draining) continue;
        if (j->spec.reclaimable && m->bookings->len == 0 && states[k].fit_nowhere && !within) continue;
        bool all = true;
        for (guint b = 0; b < m->bookings->len; b++) all &= evictable(m->bookings->pdata[b], j, within);
        if (!all) continue;
        double cost = m->bookings->len * 2.0;
        for (guint b = 0; b < m->bookings->len; b++) cost += fresh_start(m->bookings->pdata[b]);
        cost += (g_hash_table_contains(m->images, j->spec.image) ? 0 : 3);
        if (best && cost >= best_cost) continue;
        best = m;
        best_cost = cost;
    }
    return best;
}

static void plan_passing(int k) {
    for (guint i = 0; i < machines->len; i++) {
        struct machine *m = machines->pdata[i];
        if (m->share == k && m->pass_to >= 0 && base_since(m->pass_since) > 12) m->pass_to = -1;
    }
    for (int s = 0; s < cfg->size; s++) {
        if (s == k) continue;
        struct machine *m = NULL;
        struct job *j = NULL;
        for (int reclaimable = 0; reclaimable < 2 && !m; reclaimable++) {
            bool within = false;
            j = needy_job(s, reclaimable, &within);
            if (j) m = donation(k, j, within);
        }
        if (!m) continue;
        m->pass_to = s;
        m->pass_since = base_now();
        log_info("machine %s: passing it from share %d to share %d for %s", m->id, k, s, j->spec.uid);
        for (guint b = 0; b < m->bookings->len; b++) {
            struct booking *x = m->bookings->pdata[b];
            stop_task(x, x->job->spec.checkpoint_s > 0 ? x->job->spec.flush_s + 1 : 0);
        }
    }
}

static void plan_round(struct round *r) {
    int k = r->share;
    scratch(k);
    /* A task's completion is recorded before the booking goes. */
    GPtrArray *jobs = jobs_active();
    for (guint i = 0; i < jobs->len && r->txns->len < 6; i++) {
        struct job *j = jobs->pdata[i];
        if (j->known && jobs_dirty(j) && (jobs_share(j) == k || !membership_mine(jobs_share(j))))
            jobs_adds(j, round_txn(r, 1, 2), cfg->txn_ops);
    }
    add_newcomers(r, k);
    plan_jobs(r, k);
    plan_passing(k);
    bool raised = false;
    for (guint i = 0; i < machines->len; i++) {
        struct machine *m = machines->pdata[i];
        if (m->share != k || r->txns->len >= 8) continue;
        if (m->dead) {
            char key[96];
            snprintf(key, sizeof key, "machine/%s", m->id);
            struct store_txn *t = round_txn(r, 1, 1);
            store_txn_if(t, key, store_stamp(key));
            store_txn_remove(t, key);
            continue;
        }
        int64_t fence = m->fence;
        bool pass = pool_may_pass(m) && !raised, raise = pass || (m->need_raise && !raised);
        if (raise) {
            fence = membership_fence() + 1;
            raised = true;
        }
        if (m->touched || raise || (m->want_return && !m->returning))
            write_machine(r, m, pass ? m->pass_to : k, fence, raise ? 1 : 0);
    }
}

static void txn_free(gpointer p) {
    store_txn_free(p);
    g_free(p);
}

static void apply_written(const struct store_txn *t, int64_t epoch) {
    const cJSON *x;
    cJSON_ArrayForEach(x, t->ops) {
        const char *set = base_str(x, "set"), *gone_key = base_str(x, "remove");
        if (set && g_str_has_prefix(set, "machine/")) {
            struct machine *m = pool_find(set + 8);
            if (m) m->need_raise = m->need_raise && pool_token(m) <= m->unknown_fence;
        }
        if (set) store_apply(set, cJSON_GetObjectItemCaseSensitive(x, "data"), epoch);
        if (gone_key) store_apply(gone_key, NULL, epoch);
        if (set && g_str_has_prefix(set, "machine/")) {
            struct machine *m = pool_find(set + 8);
            if (m && m->need_raise && pool_token(m) > m->unknown_fence) m->need_raise = false;
            if (m && m->bookings->len) m->kick = true;
        }
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
        store_apply(key, cJSON_GetObjectItemCaseSensitive(cJSON_GetArrayItem(t.ops, 0), "data"), a.epoch);
        store_unlock();
        store_nudge();
        ok = true;
        store_answer_clear(&a);
    }
    store_txn_free(&t);
    return ok;
}

static bool run_round(struct http_client *c, int k) {
    struct round r = {k, g_array_new(FALSE, FALSE, sizeof(struct placement_plan)),
                      g_ptr_array_new_with_free_func(txn_free), false};
    bool again = false;
    store_lock();
    bool mine = membership_mine(k);
    if (mine) {
        int64_t f = membership_share(k)->fence;
        if (states[k].fence != f) {
            states[k].fence = f;
            states[k].next = 0;
            states[k].barrier = false;
            states[k].since = base_now();
            log_info("share %d: ours under fence %lld", k, (long long)f);
        }
    }
    bool blocked = states[k].barrier;
    if (mine && !blocked) plan_round(&r);
    store_unlock();
    if (mine && blocked) {
        if (barrier(c, k)) states[k].barrier = false;
        again = true;
    }
    for (guint i = 0; i < r.txns->len; i++) {
        struct store_txn *t = r.txns->pdata[i];
        struct store_answer a;
        if (!t->writes) continue;
        enum store_result rc = store_multi(c, r.plans->len ? STORE_BOOK : STORE_PROGRESS, t, &a);
        if (rc == STORE_OK) {
            store_lock();
            apply_written(t, a.epoch);
            store_unlock();
            again = true;
        } else if (rc == STORE_CONFLICT) {
            for (guint f = 0; f < a.failed->len; f++) store_refresh(c, a.failed->pdata[f]);
            again = true;
        } else if (rc == STORE_UNKNOWN || rc == STORE_BAD) {
            states[k].barrier = true;
        }
        store_answer_clear(&a);
        if (rc != STORE_OK) break;
    }
    workers_kick();
    g_array_free(r.plans, TRUE);
    g_ptr_array_free(r.txns, TRUE);
    return again || r.more;
}

/* ---- ledger, silence, notices ---- */

static double boot_limit(const struct machine *m) {
    const struct flavour_info *f = cloud_flavour(m->sku);
    return 3.5 * (f && f->startup_s > 0 ? f->startup_s : 60) + 10;
}

bool pool_try_workers(struct http_client *c) {
    char urls[3][128];
    int n = 0;
    store_lock();
    for (guint i = 0; i < machines->len && n < 3; i++) {
        struct machine *m = machines->pdata[g_random_int_range(0, (gint32)machines->len)];
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

/* How many of our machines are up, and how many of them spoke lately. The time is shorter than any silence that has a
 * consequence: with the same time for both, a controller that lost all workers at once found the first of them silent
 * while it had "just" heard the others, and returned one healthy machine after the other. */
static void count_heard(int *up, int *heard, int *reported) {
    double lately = MIN(base_secs(cfg->report) * 1.25 + 1, base_secs(cfg->tuning.silent_return) * 0.6);
    *up = *heard = *reported = 0;
    for (guint i = 0; i < machines->len; i++) {
        struct machine *m = machines->pdata[i];
        if (!membership_mine(m->share) || !pool_mine(m) || !m->up || leaving(m)) continue;
        (*up)++;
        *heard += base_since(m->heard) < lately;
        *reported += base_since(m->reported) < lately;
    }
}

static void watch_machines(int k, int up, int heard) {
    for (guint i = 0; i < machines->len; i++) {
        struct machine *m = machines->pdata[i];
        if (m->share != k || leaving(m)) continue;
        /* If most are silent it is more likely us than them. */
        if (m->up && base_since(m->heard) > base_secs(cfg->report) * 1.6 && base_since(m->probed) > 1.5) {
            /* Asked directly, so that silence is not just a report on its way round the controllers. */
            m->probed = base_now();
            m->hello = true;
        }
        bool silent = base_passed(m->heard, cfg->tuning.silent_return) ||
                      base_since(m->reported) > base_secs(cfg->lease) + base_secs(cfg->tuning.silent_return);
        if (m->up && silent && heard * 2 >= up - 1) {
            log_info("machine %s: silent for %.0f s, returning it", m->id, base_since(m->heard));
            m->want_return = true;
        }
        if (!m->up && base_time_of_day() - m->born > boot_limit(m) && base_since(m->mine_since) > 20) {
            log_info("machine %s: never came up, returning it", m->id);
            m->want_return = true;
        }
        if (m->warning >= 0) {
            double left = m->warning - base_since(m->warned);
            for (guint b = 0; b < m->bookings->len; b++) {
                struct booking *x = m->bookings->pdata[b];
                if (!x->stop && x->job->spec.checkpoint_s > 0 && left < x->job->spec.flush_s + 6) {
                    /* A gang saves only if all its tasks are told at about the same time. */
                    bool gang = x->job->spec.shape == JOB_GROUP;
                    for (guint n = 0; n < (gang ? x->job->bookings->len : 1); n++) {
                        struct booking *y = gang ? x->job->bookings->pdata[n] : x;
                        stop_task(y, y->job->spec.flush_s + 2);
                    }
                }
            }
            if (m->bookings->len == 0) m->want_return = true;
        }
        if (m->draining && m->bookings->len == 0) {
            log_info("machine %s: drained, returning it", m->id);
            m->want_return = true;
        } else if (m->draining && base_passed(m->drain_since, cfg->tuning.drain_reopen)) {
            log_info("machine %s: still busy, drain given up", m->id);
            m->draining = false;
        }
    }
}

/* Where a replica could go on at once: room, and the image at hand. */
static struct machine *replica_target(const struct booking *b) {
    const struct job *j = b->job;
    for (guint i = 0; i < machines->len; i++) {
        struct machine *m = machines->pdata[i];
        if (m == b->m || m->share != b->m->share || !m->open || m->draining || !placement_fits(m, &j->spec)) continue;
        if (!g_hash_table_contains(m->images, j->spec.image) || (m->used_gpu <= 0 && m->used_cpu <= 0)) continue;
        /* In its own zone it takes its own place among a spread job's tasks. */
        struct job alone = *j;
        if (strcmp(m->site, b->m->site) == 0) alone.spec.spread = alone.spec.together = false;
        if (placement_allowed(m, &alone, alone.spec.together ? b->m->site : NULL, NULL)) return m;
    }
    return NULL;
}

/* The paper's commanded moves, for tasks that lose next to nothing by them: those that save, and replicas that start
 * again at once where their image is. Without them a drain that holds a replica would be paid for until it gives up.
 * All or none: a machine that keeps one task is not given back. */
static void move_off(struct machine *m) {
    scratch(m->share);
    for (guint b = 0; b < m->bookings->len; b++) {
        struct booking *x = m->bookings->pdata[b];
        const struct job_spec *s = &x->job->spec;
        if (!x->stop && fresh_start(x)) return;
        if (x->stop || (s->shape == JOB_BATCH && s->checkpoint_s > 0)) continue;
        struct machine *to = s->shape == JOB_STANDING && x->state == TASK_RUNNING ? replica_target(x) : NULL;
        if (!to) return;
        take(to, s, 1);
    }
    for (guint b = 0; b < m->bookings->len; b++) {
        struct booking *x = m->bookings->pdata[b];
        stop_task(x, x->job->spec.checkpoint_s > 0 ? x->job->spec.flush_s + 2 : 0);
    }
}

/* One ledger for each kind: headroom on cheap machines is none for work that may not use them. */
static void run_ledger(int k, bool spot) {
    struct machine *reception = reception_of(k), *least = NULL;
    double occupied = 0, least_occ = 0;
    int n = 0;
    bool draining = false, rows = true;
    for (guint i = 0; i < machines->len; i++) {
        struct machine *m = machines->pdata[i];
        if (m->share != k || m->spot != spot || !pool_mine(m) || !m->up || leaving(m)) continue;
        double occ = placement_occupancy(m, (int)cfg->tuning.window);
        occupied += occ;
        draining |= m->draining;
        if (m->draining) continue;
        n++;
        if (m->rows < (int)cfg->tuning.window) rows = false;
        /* One rented for waiting tasks stays until it has had its first. */
        if (m == reception || m->warning >= 0 || (!m->had_task && base_time_of_day() - m->born < boot_limit(m)))
            continue;
        if (!least || occ < least_occ) {
            least = m;
            least_occ = occ;
        }
    }
    double h =
        placement_headroom(n, occupied, spot ? cfg->tuning.admission : cfg->tuning.reception, cfg->tuning.admission);
    if (!rows || draining || !least || states[k].fit_nowhere || h <= cfg->tuning.margin * cfg->tuning.admission) return;
    least->draining = true;
    least->drain_since = base_now();
    if (!spot) move_off(least);
    log_info("machine %s: draining (share %d, %s, N %d, O %.2f, H %.2f)", least->id, k, spot ? "spot" : "ordinary", n,
             occupied, h);
}

/* The periodic line of a share: what waits, what there is, what is left. */
static void tell_share(int k) {
    int up[2] = {0, 0}, booting[2] = {0, 0}, draining = 0, waiting[4] = {0, 0, 0, 0};
    double gpus[2] = {0, 0}, used[2] = {0, 0}, filler = 0, occupied = 0;
    for (guint i = 0; i < machines->len; i++) {
        struct machine *m = machines->pdata[i];
        if (m->share != k || m->returning || m->dead) continue;
        (m->up ? up : booting)[m->spot]++;
        draining += m->draining;
        if (!m->up || !m->flavour) continue;
        gpus[m->spot] += m->flavour->gpus;
        occupied += placement_occupancy(m, (int)cfg->tuning.window);
        for (guint b = 0; b < m->bookings->len; b++) {
            const struct job_spec *s = &((struct booking *)m->bookings->pdata[b])->job->spec;
            used[m->spot] += s->gpus;
            if (!m->spot && s->reclaimable) filler += s->gpus;
        }
    }
    GPtrArray *jobs = jobs_active();
    for (guint i = 0; i < jobs->len; i++) {
        struct job *j = jobs->pdata[i];
        if (jobs_share(j) == k) waiting[j->spec.rank] += MAX(0, j->spec.tasks - j->n_pend - (int)j->bookings->len);
    }
    log_info(
        "share %d: waiting %d/%d/%d/%d tasks (production to idle), up %d ordinary %d spot, booting %d+%d, draining %d, "
        "gpus booked %.0f of %.0f ordinary (%.0f by work that makes way), %.0f of %.0f spot, occupancy %.2f, headroom "
        "%.2f",
        k, waiting[3], waiting[2], waiting[1], waiting[0], up[0], up[1], booting[0], booting[1], draining, used[0],
        gpus[0], filler, used[1], gpus[1], occupied,
        placement_headroom(up[0] + up[1] - draining, occupied, cfg->tuning.reception, cfg->tuning.admission));
}

static void *pool_main(void *arg) {
    (void)arg;
    struct http_client *c = http_client_new();
    struct timespec watched = {0, 0}, told = {0, 0}, hearing = base_now();
    for (;;) {
        base_bell_await(&bell, base_span(0.5));
        bool again = false;
        for (int k = 0; k < cfg->size; k++) again |= run_round(c, k);
        if (base_since(watched) > 0.5) {
            watched = base_now();
            store_lock();
            int up, heard, reported;
            count_heard(&up, &heard, &reported);
            /* Cut from the store as well, what it holds ours is no longer known. */
            if (up < 4 || reported * 10 >= up * 3 || base_since(store_verified()) > 4) hearing = base_now();
            if (base_since(hearing) > base_secs(cfg->report) && !membership_deaf()) membership_set_deaf(true);
            for (int k = 0; k < cfg->size; k++)
                if (membership_mine(k) && membership_verified()) {
                    watch_machines(k, up, heard);
                    run_ledger(k, false);
                    run_ledger(k, true);
                }
            if (base_since(told) > 10) {
                told = base_now();
                for (int k = 0; k < cfg->size; k++)
                    if (membership_mine(k)) tell_share(k);
            }
            store_unlock();
            workers_kick();
        }
        base_sleep(base_span(0.03));
        if (again) pool_kick();
    }
    return NULL;
}

/* ---- renting and returning ---- */

/* The cheapest type that fits, its kind, and a zone that has not just refused. */
static bool choose(const struct job *j, const char *site, bool dear, struct rent_order *o) {
    for (int spot = j->spec.reclaimable ? 1 : 0; spot >= (j->spec.reclaimable && !dear ? 1 : 0); spot--) {
        double best = 0;
        bool found = false;
        for (int i = 0; i < cloud_flavours_count(); i++) {
            const struct flavour_info *f = &cloud_flavours()[i];
            if (!may_use(&j->spec, f)) continue;
            double price = spot ? f->market : f->hourly;
            for (int z = 0; z < f->n_sites; z++) {
                const char *s = f->sites[z];
                if ((site && strcmp(site, s) != 0) || (j->spec.site && strcmp(j->spec.site, s) != 0)) continue;
                if (!cloud_open(f->sku, s, spot == 1)) continue;
                /* Among equal prices, the zone where this share has least. */
                int here = 0;
                for (guint m = 0; m < machines->len; m++) {
                    struct machine *x = machines->pdata[m];
                    here += x->share == jobs_share(j) && strcmp(x->site, s) == 0;
                }
                double cost = price * (1 + 0.001 * here);
                if (found && cost >= best) continue;
                found = true;
                best = cost;
                g_strlcpy(o->sku, f->sku, sizeof o->sku);
                g_strlcpy(o->site, s, sizeof o->site);
                o->spot = spot == 1;
            }
        }
        if (found) return true;
    }
    return false;
}

static void rent_for_share(int k, struct rent_order *out, int most, int *n) {
    GArray *vms = g_array_new(FALSE, FALSE, sizeof(struct virtual_machine));
    int have = 0, fresh = 0, steady = 0;
    double backlog = 0, slots = 0; /* work that waits, and GPUs that work it off */
    bool roomy = false, booting = false;
    struct machine *reception = reception_of(k);
    for (guint i = 0; i < machines->len; i++) {
        struct machine *m = machines->pdata[i];
        if (m->share != k || leaving(m)) continue;
        have++;
        const struct flavour_info *f = cloud_flavour(m->sku);
        if (f && m->spot) slots += f->gpus;
        for (guint b = 0; !m->spot && b < m->bookings->len; b++) {
            const struct job_spec *s = &((struct booking *)m->bookings->pdata[b])->job->spec;
            if (s->reclaimable) slots += s->gpus;
        }
        if (!m->up) {
            vm_add(vms, m->sku, m->site, m->spot);
            booting = true;
        } else if (!m->spot && !m->draining && m->warning < 0) {
            steady++;
            if (m != reception && placement_occupancy(m, (int)cfg->tuning.window) < cfg->tuning.admission) roomy = true;
        }
    }
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, newcomers);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct newcomer *c = v;
        if (c->share != k) continue;
        vm_add(vms, c->sku, c->site, c->spot);
        have++;
        booting = true;
    }
    GArray *order = rank_jobs(k);
    /* What another share is about to pass needs no rental; if it doesn't come soon, it is rented after all. */
    double waited = 0;
    for (guint i = 0; i < order->len; i++) {
        struct job *j = g_array_index(order, struct ranked, i).j;
        if (j->hungry && !j->spec.reclaimable) waited = MAX(waited, base_since(j->seen));
    }
    for (guint i = 0; i < machines->len && waited < 4; i++) {
        struct machine *m = machines->pdata[i];
        if (m->share == k || !passable(m) || m->pass_to >= 0) continue;
        guint before = vms->len;
        vm_add(vms, m->sku, m->site, false);
        if (vms->len > before) g_array_index(vms, struct virtual_machine, before).foreign = true;
    }
    guint first_new = vms->len;
    /* Work that may use cheap machines gets dear ones only for what the present ones can't work off in a part of
     * the time in which its users want it done. */
    int cap = (int)cfg->tuning.machines_per_share;
    for (guint i = 0; i < order->len; i++) {
        struct job *j = g_array_index(order, struct ranked, i).j;
        if (!j->hungry) continue;
        int left = j->spec.shape == JOB_GROUP ? j->spec.tasks : j->spec.tasks - j->n_pend - (int)j->bookings->len;
        double used = 0;
        char site[64] = "";
        if (j->spec.together && j->bookings->len)
            g_strlcpy(site, ((struct booking *)j->bookings->pdata[0])->m->site, sizeof site);
        const struct settings_team *t = &cfg->teams[j->spec.team];
        for (int x = 0; x < left && x < 64; x++) {
            used += j->spec.gpus;
            if (t->gpus_max > 0 && used > t->gpus_max) break;
            /* Spread jobs ask for a zone that has none of them yet. */
            const char *want = site[0] ? site : NULL;
            if (j->spec.spread && !want)
                for (int z = 0; z < cfg->n_zones && !want; z++) {
                    int here = 0;
                    for (guint b = 0; b < j->bookings->len; b++)
                        here += strcmp(((struct booking *)j->bookings->pdata[b])->m->site, cfg->zones[z]) == 0;
                    if (here < (j->spec.tasks + 1) / 2 && j->bookings->len && here == 0) want = cfg->zones[z];
                }
            bool dear = !j->spec.reclaimable;
            if (!dear) {
                backlog += MAX(j->spec.runtime_s, 1) * j->spec.gpus;
                dear = g_array_index(order, struct ranked, i).within ||
                       (slots > 0 && backlog / slots > cfg->tuning.dear_backlog *
                                                           settings_within(cfg, AIM_FINISHED, j->spec.jobclass, 120));
            }
            bool taken = false;
            for (guint y = 0; y < vms->len && !taken; y++) {
                struct virtual_machine *vm = &g_array_index(vms, struct virtual_machine, y);
                taken = vm_takes(vm, j, want);
                if (taken && j->spec.together && !site[0]) g_strlcpy(site, vm->o.site, sizeof site);
            }
            struct rent_order o;
            memset(&o, 0, sizeof o);
            if (!taken && have + fresh < cap && choose(j, want, dear, &o)) {
                vm_add(vms, o.sku, o.site, o.spot);
                fresh++;
                if (j->spec.reclaimable && cloud_flavour(o.sku)) slots += cloud_flavour(o.sku)->gpus;
                vm_takes(&g_array_index(vms, struct virtual_machine, vms->len - 1), j, want);
                if (j->spec.together && !site[0]) g_strlcpy(site, o.site, sizeof site);
            }
        }
    }
    /* Pressure: no other machine under the admission threshold, or a lone reception past its own. */
    if (fresh == 0 && !booting && reception && !roomy && have < cap) {
        bool lone = steady == 1;
        double occ = placement_occupancy(reception, (int)cfg->tuning.window);
        struct job *like = NULL;
        for (guint b = 0; b < reception->bookings->len; b++) {
            struct booking *x = reception->bookings->pdata[b];
            if (!x->job->spec.reclaimable) like = x->job;
        }
        struct rent_order o;
        memset(&o, 0, sizeof o);
        if (like && (!lone || occ > cfg->tuning.reception) && choose(like, NULL, true, &o))
            vm_add(vms, o.sku, o.site, o.spot);
    }
    for (guint y = first_new; y < vms->len; y++) {
        struct rent_order *o = &g_array_index(vms, struct virtual_machine, y).o;
        int i;
        for (i = 0; i < *n; i++)
            if (out[i].share == k && out[i].spot == o->spot && !strcmp(out[i].sku, o->sku) &&
                !strcmp(out[i].site, o->site))
                break;
        if (i == *n && *n < most) {
            out[i] = *o;
            out[i].share = k;
            out[i].count = 0;
            (*n)++;
        }
        if (i < *n && out[i].count < 50) out[i].count++;
    }
    g_array_free(order, TRUE);
    g_array_free(vms, TRUE);
}

int pool_rent_plan(struct rent_order *out, int most) {
    int n = 0;
    for (int k = 0; k < cfg->size; k++)
        if (membership_mine(k) && membership_verified() && base_since(states[k].since) > 4)
            rent_for_share(k, out, most, &n);
    return n;
}

int pool_return_plan(char ids[][64], int most) {
    int n = 0;
    for (guint i = 0; i < machines->len && n < most; i++) {
        struct machine *m = machines->pdata[i];
        if (m->returning && !m->dead && pool_mine(m)) g_strlcpy(ids[n++], m->id, 64);
    }
    return n;
}

void pool_returned(const char *id) {
    struct machine *m = pool_find(id);
    if (!m) return;
    m->dead = true;
    /* The answer proves that all that was on it is gone; its record goes with its bookings. */
    pool_kick();
}

void pool_init(const struct settings *s) {
    cfg = s;
    by_id = g_hash_table_new(g_str_hash, g_str_equal);
    gone = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    newcomers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    machines = g_ptr_array_new();
    base_bell_init(&bell);
    store_observe("machine/", apply_machine);
}

void pool_start(void) { base_thread(pool_main, NULL); }
