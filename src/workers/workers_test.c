#include "workers/workers.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>
#include <time.h>

#include "../../tests/standin/owned.h"
#include "../../tests/standin/site.h"
#include "../../tests/standin/state.h"
#include "allocations/allocations.h"
#include "clock/clock.h"
#include "cloud/cloud.h"
#include "json/json.h"
#include "liveness/liveness.h"
#include "membership/membership.h"
#include "peers/peers.h"
#include "scheduler/scheduler.h"

static struct settings cfg;

static void put(const char *key, const char *json, int64_t mod_revision) {
    cJSON *x = cJSON_Parse(json);
    store_apply(key, x, mod_revision);
    cJSON_Delete(x);
}

#define SPEC(job_id, shape, n)                                                                                     \
    "{\"spec\":{\"uid\":\"" job_id "\",\"jobclass\":\"c\",\"owner\":\"red\",\"shape\":\"" shape                    \
    "\",\"rank\":\"high\",\"tasks\":" n                                                                            \
    ",\"vcpus\":1,\"gpus\":1,\"memory_gb\":1,\"image\":\"i\",\"pull_gb\":1,"                                       \
    "\"together\":false,\"spread\":false,\"reclaimable\":false,\"runtime_s\":1,\"checkpoint_s\":0,\"flush_s\":0}," \
    "\"state\":\"queued\",\"done\":\"00\",\"at\":1}"

static int64_t mod_revision = 1000000;

/* One machine on a page of its own, with allocations of one job under base 5, ordered by us unless inherited. */
static struct machine *fresh(const char *id, int64_t fencing_token, const char *job_id, const char *allocations,
                             bool inherited) {
    char key[64], json[400];
    g_snprintf(json, sizeof json,
               "{\"sku\":[\"g\"],\"site\":[\"za\"],\"img\":[],\"m\":[[\"%s\",\"\",0,0,0,%lld,1,\"\"]]}", id,
               (long long)fencing_token);
    put("fleet/0/0", json, ++mod_revision);
    struct machine *m = machines_find(id);
    assert_non_null(m);
    g_snprintf(key, sizeof key, "run/%s/0", job_id);
    g_snprintf(json, sizeof json, "{\"f\":5,\"b\":\"%s\"}", allocations);
    put(key, json, ++mod_revision);
    assert_true(machines_owned(m));
    for (guint i = 0; i < m->allocations->len; i++)
        ((struct allocation *)m->allocations->pdata[i])->inherited = inherited;
    return m;
}

static void away(const char *job_id) {
    char key[64];
    g_snprintf(key, sizeof key, "run/%s/0", job_id);
    store_apply(key, NULL, ++mod_revision);
    store_apply("fleet/0/0", NULL, ++mod_revision);
}

static bool heartbeat(struct machine *m, int incarnation, int sequence, int64_t fencing_token, const char *tasks,
                      bool is_heartbeat) {
    char json[600];
    g_snprintf(json, sizeof json, "{\"tenure\":%d,\"seq\":%d,\"fence\":%lld,\"warning_s\":null,\"tasks\":[%s]}",
               incarnation, sequence, (long long)fencing_token, tasks);
    cJSON *o = cJSON_Parse(json);
    assert_non_null(o);
    bool newest = workers_reconcile(m, o, is_heartbeat);
    cJSON_Delete(o);
    return newest;
}

static int directives(struct machine *m, const char *verb) {
    cJSON *l = workers_directives(m, false);
    const cJSON *x;
    int n = 0;
    cJSON_ArrayForEach(x, l) n += strcmp(json_get_string(x, "verb"), verb) == 0;
    cJSON_Delete(l);
    return n;
}

#define T(state) "{\"task\":\"req-10001/0\",\"try\":5,\"state\":\"" state "\"}"
#define BOOKED(id) "0@" id "+0"

/* When an allocation counts as gone. Each row: reports in order, then whether it is released. */
static void proofs(void **state) {
    (void)state;
    int64_t f = membership_shard(0)->fencing_token;
    static const struct {
        const char *what, *first, *second;
        int incarnation, sequence, less; /* of the second report; less: fence below ours */
        bool is_heartbeat, unknown, inherited, over;
        int ordered; /* incarnation in which an answer to a report carried starts */
    } rows[] = {
        {"seen, then not listed", T("running"), "", 1, 3, 0, true, false, false, true, 0},
        {"seen, then not listed by an older report", T("running"), "", 1, 1, 0, true, false, false, false, 0},
        {"under a former owner's token", T("running"), "", 1, 3, 1, true, false, false, false, 0},
        {"not listed by a direct answer, a start may be on its way", T("running"), "", 1, 3, 0, false, false, false,
         false, 1},
        {"not listed by a direct answer, and no answer carried a start", T("running"), "", 1, 3, 0, false, false, true,
         true, 0},
        {"the same, while a direct command is under way", T("running"), "", 1, 3, 0, false, true, true, false, 0},
        {"a direct answer in a session after the one with starts", T("running"), "", 2, 1, 0, false, false, false, true,
         1},
        {"a command may still be under way", T("running"), "", 1, 3, 0, true, true, false, false, 0},
        {"never seen: it is started again, not released", "", "", 1, 3, 0, true, false, false, false, 0},
        {"a former owner's, and not there: released, not started", "", "", 1, 3, 0, true, false, true, true, 0},
        {"a former owner's, but under an older token", NULL, "", 1, 3, 1, true, false, true, false, 0},
        {"ended", T("running"), T("ended"), 1, 3, 0, true, false, false, true, 0},
        {"a new session has killed it", T("running"), "", 2, 1, 0, true, false, false, true, 0},
        {"a state not known to us may run", T("running"), T("resting"), 1, 3, 0, true, false, false, false, 0},
    };
    store_lock();
    put("job/req-10001", SPEC("req-10001", "batch", "2"), ++mod_revision);
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        char id[32];
        g_snprintf(id, sizeof id, "i-%06zu", 100 + i);
        char at[48];
        g_snprintf(at, sizeof at, "0@%s+0", id);
        struct machine *m = fresh(id, 0, "req-10001", at, rows[i].inherited);
        struct allocation *b = m->allocations->pdata[0];
        if (rows[i].first) assert_true(heartbeat(m, 1, 2, f, rows[i].first, true));
        m->commands.start_incarnation = rows[i].ordered;
        if (rows[i].unknown) {
            m->commands.outcome_unknown = true;
            m->commands.unknown_token = f;
            m->commands.unknown_incarnation = 1;
        }
        heartbeat(m, rows[i].incarnation, rows[i].sequence, f - rows[i].less, rows[i].second, rows[i].is_heartbeat);
        if (b->released != rows[i].over) fail_msg("%s: over is %d", rows[i].what, b->released);
        away("req-10001");
    }
    store_unlock();
}

/* A takeover with a start still in flight: nothing is ordered or released until the worker shows our token. */
static void takeover_in_flight(void **state) {
    (void)state;
    int64_t f = membership_shard(0)->fencing_token;
    store_lock();
    struct machine *m = fresh("i-000900", 0, "req-10001", BOOKED("i-000900"), true);
    struct allocation *b = m->allocations->pdata[0];
    heartbeat(m, 1, 1, f - 1, "", true);
    assert_false(b->released);
    assert_int_equal(directives(m, "run"), 0);
    heartbeat(m, 1, 2, f, T("fetching"), true); /* the former owner's command came before our token */
    assert_int_equal(directives(m, "run"), 0);
    assert_int_equal(b->state, TASK_FETCHING);
    /* Not allocated and running: stopped. Not allocated and ended: forgotten. */
    heartbeat(m, 1, 3, f, T("running") ",{\"task\":\"req-10001/1\",\"try\":4,\"state\":\"running\"},"
                                    "{\"task\":\"req-10001/1\",\"try\":3,\"state\":\"ended\",\"cause\":\"done\"}", true);
    assert_int_equal(directives(m, "stop"), 1);
    assert_int_equal(directives(m, "forget"), 1);
    away("req-10001");
    store_unlock();
}

/* A raise of the machine's token is the proof that an unanswered command can't come any more. */
static void raise_fencing_token(void **state) {
    (void)state;
    int64_t f = membership_shard(0)->fencing_token;
    store_lock();
    struct machine *m = fresh("i-000901", 0, "req-10001", BOOKED("i-000901"), false);
    struct allocation *b = m->allocations->pdata[0];
    heartbeat(m, 1, 1, f, "", true);
    m->commands.outcome_unknown = true;
    m->commands.unknown_token = f;
    m->commands.unknown_incarnation = 1;
    b->stop_requested = true;
    heartbeat(m, 1, 2, f, "", true);
    assert_true(m->commands.outcome_unknown);
    assert_false(b->released);
    char json[300];
    g_snprintf(json, sizeof json, "{\"sku\":[\"g\"],\"site\":[\"za\"],\"m\":[[\"i-000901\",\"\",0,0,0,%lld,1,\"\"]]}",
               (long long)f + 7);
    put("fleet/0/0", json, ++mod_revision);
    assert_int_equal(machines_fencing_token(m), f + 7);
    assert_true(machines_find("i-000901")->allocations->pdata[0] == b); /* what is known of it stays */
    heartbeat(m, 1, 3, f + 7, "", true);
    assert_false(m->commands.outcome_unknown);
    assert_true(b->released);
    away("req-10001");
    store_unlock();
}

static void cancelled(void **state) {
    (void)state;
    int64_t f = membership_shard(0)->fencing_token;
    store_lock();
    put("job/req-10002", SPEC("req-10002", "batch", "2"), ++mod_revision);
    struct machine *m = fresh("i-000902", 0, "req-10002", "0@i-000902+0 1@i-000902+1", false);
    heartbeat(m, 1, 1, f, "{\"task\":\"req-10002/0\",\"try\":5,\"state\":\"running\"}", true);
    assert_int_equal(directives(m, "run"), 1);
    char *text = site_with(SPEC("req-10002", "batch", "2"), "\"queued\"", "\"cancelled\"");
    put("job/req-10002", text, ++mod_revision);
    g_free(text);
    assert_int_equal(directives(m, "run"), 0);
    assert_int_equal(directives(m, "stop"), 1);
    /* Completed after the cancellation: it stays cancelled. */
    heartbeat(m, 1, 2, f, "{\"task\":\"req-10002/0\",\"try\":5,\"state\":\"ended\",\"cause\":\"done\"}", true);
    assert_int_equal(jobs_find("req-10002")->state, JOB_CANCELLED);
    assert_true(((struct allocation *)m->allocations->pdata[1])->released);
    away("req-10002");
    store_unlock();
}

/* Controllers that end every few seconds: each answers the worker's report for the first time, and renews its lease.
 * The stop of a cancelled task goes with that first answer. */
static void cancelled_under_old_token(void **state) {
    (void)state;
    int64_t f = membership_shard(0)->fencing_token;
    store_lock();
    put("job/req-10004", SPEC("req-10004", "batch", "2"), ++mod_revision);
    struct machine *m = fresh("i-000940", 0, "req-10004", "0@i-000940+0 1@i-000940+1", true);
    static const char tasks[] =
        "{\"task\":\"req-10004/0\",\"try\":5,\"state\":\"running\"},"
        "{\"task\":\"req-10004/1\",\"try\":6,\"state\":\"ended\",\"cause\":\"done\"}";
    heartbeat(m, 1, 1, f - 1, tasks, true);
    assert_int_equal(directives(m, "stop"), 0);
    char *text = site_with(SPEC("req-10004", "batch", "2"), "\"queued\"", "\"cancelled\"");
    put("job/req-10004", text, ++mod_revision);
    g_free(text);
    heartbeat(m, 1, 2, f - 1, tasks, true);
    assert_int_equal(directives(m, "stop"), 1);
    assert_int_equal(directives(m, "forget"), 0);
    assert_int_equal(directives(m, "run"), 0);
    away("req-10004");
    store_unlock();
}

/* Copies of reports, from seconds to minutes late, before and after a change of owner. */
static void late_copies(void **state) {
    (void)state;
    int64_t f = membership_shard(0)->fencing_token;
    store_lock();
    struct machine *m = fresh("i-000920", 0, "req-10001", BOOKED("i-000920"), false);
    struct allocation *b = m->allocations->pdata[0];
    assert_true(heartbeat(m, 2, 8, f, T("running"), true));
    m->liveness.last_heard.tv_sec -= 20;
    struct timespec heard = m->liveness.last_heard;
    static const struct {
        int incarnation, sequence, less;
        const char *tasks;
    } copies[] = {{2, 8, 0, ""}, {2, 7, 0, ""}, {1, 99, 0, ""}, {2, 5, 1, T("ended")}};
    for (size_t i = 0; i < G_N_ELEMENTS(copies); i++)
        assert_false(
            heartbeat(m, copies[i].incarnation, copies[i].sequence, f - copies[i].less, copies[i].tasks, true));
    assert_false(b->released);
    assert_int_equal(m->agent.incarnation, 2);
    assert_int_equal(m->agent.sequence, 8);
    assert_int_equal(m->liveness.last_heard.tv_sec, heard.tv_sec);
    /* To an owner that knows nothing of the machine yet the copy is new, but its token is old. */
    m->owned_token = 0;
    m->agent.incarnation = m->agent.sequence = 0;
    assert_true(machines_owned(m));
    heard = m->liveness.last_heard;
    m->liveness.up = false;
    heartbeat(m, 2, 4, f - 1, "", true);
    assert_false(b->released);
    assert_false(m->liveness.up);
    assert_true(m->liveness.last_heard.tv_sec == heard.tv_sec && m->liveness.last_heard.tv_nsec == heard.tv_nsec);
    assert_true(m->commands.needs_token_probe); /* it is asked */
    heartbeat(m, 2, 9, f, T("running"), true);
    assert_true(m->liveness.up);
    assert_false(b->released);
    away("req-10001");
    store_unlock();
}

/* A machine that took long to boot and is first heard by a direct answer. */
static void first_answer(void **state) {
    (void)state;
    int64_t f = membership_shard(0)->fencing_token;
    store_lock();
    struct machine *m = fresh("i-000950", 0, "req-10001", BOOKED("i-000950"), false);
    m->liveness.up = false;
    m->liveness.last_heartbeat.tv_sec -= 300;
    heartbeat(m, 1, 1, f, "", false);
    assert_true(m->liveness.up);
    assert_true(clock_seconds_since(m->liveness.last_heartbeat) < 5);
    m->liveness.last_heartbeat.tv_sec -= 300;
    heartbeat(m, 1, 2, f, "", false); /* once up, only reports count */
    assert_true(clock_seconds_since(m->liveness.last_heartbeat) > 200);
    away("req-10001");
    store_unlock();
}

/* Reports arrive, answers and orders don't: not silent, yet of no use. */
static void out_of_reach(void **state) {
    (void)state;
    int64_t f = membership_shard(0)->fencing_token;
    static const struct {
        const char *what;
        int less, ordered, tenure_step;
        int ignored; /* after four more reports */
    } rows[] = {
        {"all is well", 0, 0, 0, 0},
        {"the token is not taken up", 1, 0, 0, 4},
        {"an order answered twice is not taken up", 0, 2, 0, 4},
        {"an order answered once may be under way", 0, 1, 0, 0},
        {"its session rises though it was answered", 0, 0, 1, 8},
    };
    store_lock();
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct machine *m = fresh("i-000930", 0, "req-10001", BOOKED("i-000930"), false);
        struct allocation *b = m->allocations->pdata[0];
        heartbeat(m, 1, 1, f, rows[i].ordered ? "" : T("running"), true);
        m->liveness.heartbeat_acknowledged = true;
        b->starts_sent = rows[i].ordered;
        for (int n = 0; n < 4; n++) {
            m->liveness.last_heartbeat = clock_now();
            heartbeat(m, 1 + rows[i].tenure_step * (n + 1), 2 + n, f - rows[i].less,
                      rows[i].ordered ? "" : T("running"), true);
        }
        if (m->liveness.ignored_responses != rows[i].ignored)
            fail_msg("%s: %d", rows[i].what, m->liveness.ignored_responses);
        away("req-10001");
    }
    store_unlock();
}

/* A zone that lost the others: a controller in there answers for owners outside, as long as its last look is good. */
static void stands_in(void **state) {
    (void)state;
    store_lock();
    put("share/1", "{\"owner\":\"n1\",\"inc\":\"x\",\"fence\":70}", ++mod_revision);
    put("fleet/1/0",
        "{\"sku\":[\"g\"],\"site\":[\"za\",\"zb\"],\"m\":[[\"i-000960\",\"\",0,0,0,0,1,\"\"],"
        "[\"i-000961\",\"\",0,1,0,0,1,\"\"]]}",
        ++mod_revision);
    struct machine *here = machines_find("i-000960"), *there = machines_find("i-000961");
    char *text = site_with(SPEC("req-10005", "batch", "2"), "\"queued\"", "\"cancelled\"");
    put("job/req-10005", SPEC("req-10005", "batch", "2"), ++mod_revision);
    put("job/req-10005", text, ++mod_revision);
    g_free(text);
    assert_false(workers_may_proxy(here)); /* the store is in reach */
    store_unlock();
    standin_state_trouble(STANDIN_OUTAGE);
    struct timespec start = clock_now();
    bool away = false;
    while (!away && clock_seconds_since(start) < 8) {
        clock_sleep(clock_from_seconds(0.1));
        store_lock();
        away = store_unreachable();
        store_unlock();
    }
    store_lock();
    assert_true(workers_may_proxy(here));
    assert_false(workers_may_proxy(there));
    cJSON *o = cJSON_Parse(
        "{\"tasks\":[{\"task\":\"req-10005/0\",\"try\":4,\"state\":\"running\"},"
        "{\"task\":\"req-10001/0\",\"try\":4,\"state\":\"running\"}]}");
    cJSON *a = workers_proxy_answer(here, o), *directives = cJSON_GetObjectItemCaseSensitive(a, "orders");
    assert_int_equal(json_get_double(a, "fence", 0), 70);
    assert_int_equal(cJSON_GetArraySize(directives), 1); /* the cancelled one ends, nothing else is ordered */
    assert_string_equal(json_get_string(cJSON_GetArrayItem(directives, 0), "verb"), "stop");
    assert_string_equal(json_get_string(cJSON_GetArrayItem(directives, 0), "task"), "req-10005/0");
    cJSON_Delete(a);
    cJSON_Delete(o);
    struct settings short_of = cfg;
    short_of.cancel = clock_from_seconds(clock_to_seconds(cfg.lease) + 1);
    membership_init(&short_of); /* a look as old as this is no longer good */
    assert_false(workers_may_proxy(here));
    store_unlock();
    standin_state_trouble(STANDIN_NONE);
}

/* What is on its way to the machine, and whether a report that does not list a seen task proves its end. */
static void under_way(void **state) {
    (void)state;
    int64_t f = membership_shard(0)->fencing_token;
    static const struct {
        const char *what;
        bool sending, asking, unknown, over;
    } rows[] = {{"nothing", false, false, false, true},
                {"a start", true, false, true, false},
                {"a question only", true, true, false, true},
                {"a question, and a start in doubt from before", true, true, true, false}};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        store_lock();
        struct machine *m = fresh("i-000970", 0, "req-10001", BOOKED("i-000970"), false);
        struct allocation *b = m->allocations->pdata[0];
        heartbeat(m, 1, 1, f, T("running"), true);
        m->commands.in_flight = rows[i].sending;
        m->commands.probe_in_flight = rows[i].asking;
        m->commands.outcome_unknown = rows[i].unknown;
        m->commands.unknown_token = f;
        m->commands.unknown_incarnation = 1;
        heartbeat(m, 1, 2, f, "", true);
        bool over = b->released;
        away("req-10001");
        store_unlock();
        if (over != rows[i].over) fail_msg("%s: %d", rows[i].what, over);
    }
}

/* Reports that can't be read, or come from elsewhere, are no news: nothing is released, nobody is alive by them. */
static void unreadable(void **state) {
    (void)state;
    int64_t f = membership_shard(0)->fencing_token;
    static const struct {
        const char *what, *heartbeat;
        bool news;
    } rows[] = {
        {"good", "{\"host\":\"i-000980\",\"tenure\":1,\"seq\":%d,\"fence\":%lld,\"tasks\":[]}", true},
        {"another machine at the address", "{\"host\":\"i-7\",\"tenure\":1,\"seq\":%d,\"fence\":%lld,\"tasks\":[]}",
         false},
        {"no tasks", "{\"host\":\"i-000980\",\"tenure\":1,\"seq\":%d,\"fence\":%lld}", false},
        {"tasks that are no list", "{\"tenure\":1,\"seq\":%d,\"fence\":%lld,\"tasks\":{}}", false},
        {"a task without a name", "{\"tenure\":1,\"seq\":%d,\"fence\":%lld,\"tasks\":[{\"try\":5}]}", false},
        {"a task without an attempt",
         "{\"tenure\":1,\"seq\":%d,\"fence\":%lld,\"tasks\":[{\"task\":\"req-10001/0\",\"state\":\"ended\"}]}", false},
        {"a sequence that is no number", "{\"tenure\":1,\"seq\":\"%d\",\"fence\":%lld,\"tasks\":[]}", false},
        {"no session", "{\"seq\":%d,\"fence\":%lld,\"tasks\":[]}", false},
    };
    store_lock();
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct machine *m = fresh("i-000980", 0, "req-10001", BOOKED("i-000980"), false);
        struct allocation *b = m->allocations->pdata[0];
        assert_true(heartbeat(m, 1, 1, f, T("running"), true));
        m->liveness.last_heard.tv_sec -= 20;
        char json[300];
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wformat-nonliteral"
        g_snprintf(json, sizeof json, rows[i].heartbeat, 2, (long long)f);
#pragma GCC diagnostic pop
        cJSON *o = cJSON_Parse(json);
        assert_non_null(o);
        bool news = workers_reconcile(m, o, true);
        if (news != rows[i].news || b->released != rows[i].news ||
            (clock_seconds_since(m->liveness.last_heard) < 10) != rows[i].news)
            fail_msg("%s: news %d, over %d", rows[i].what, news, b->released);
        cJSON_Delete(o);
        away("req-10001");
    }
    store_unlock();
}

/* Booked and not yet ordered when the store goes out of reach: workers are still answered, but nothing starts. */
static void starts_need_a_look(void **state) {
    (void)state;
    store_lock();
    int64_t f = membership_shard(0)->fencing_token;
    struct machine *m = fresh("i-000981", 0, "req-10001", BOOKED("i-000981"), false);
    assert_true(heartbeat(m, 1, 1, f, "", true));
    assert_int_equal(directives(m, "run"), 1);
    store_unlock();
    standin_state_trouble(STANDIN_OUTAGE);
    struct timespec start = clock_now();
    bool may = true, verified = true;
    while (may && clock_seconds_since(start) < 8) {
        clock_sleep(clock_from_seconds(0.05));
        store_lock();
        may = membership_may_start_tasks();
        verified = membership_may_answer();
        store_unlock();
    }
    assert_false(may);
    assert_true(verified);
    assert_true(clock_seconds_since(start) < 4);
    store_lock();
    assert_int_equal(directives(m, "run"), 0);
    store_unlock();
    standin_state_trouble(STANDIN_NONE);
    start = clock_now();
    while (!may && clock_seconds_since(start) < 8) {
        clock_sleep(clock_from_seconds(0.05));
        store_lock();
        may = membership_may_start_tasks();
        store_unlock();
    }
    store_lock();
    assert_int_equal(directives(m, "run"), 1);
    away("req-10001");
    store_unlock();
}

/* A start of a cancelled job that the owner may have sent before it knew: a stand-in must not keep the incarnation
 * alive for it. */
static void start_in_doubt(void **state) {
    (void)state;
    static const struct {
        const char *what, *tasks;
        bool cancelled, doubt;
    } rows[] = {
        {"runs", T("running"), true, false},
        {"ended, on record still", T("ended"), true, false},
        {"not listed", "", true, true},
        {"listed under another attempt", "{\"task\":\"req-10001/0\",\"try\":4,\"state\":\"running\"}", true, true},
        {"not cancelled", "", false, false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        char job_id[32], key[48], tasks[200], booked[48], id[32];
        g_snprintf(job_id, sizeof job_id, "req-1060%zu", i);
        g_snprintf(key, sizeof key, "job/%s", job_id);
        g_snprintf(id, sizeof id, "i-00099%zu", i);
        g_snprintf(booked, sizeof booked, "0@%s+0", id);
        g_snprintf(tasks, sizeof tasks, "{\"tasks\":[%s]}", rows[i].tasks);
        char *at = strstr(tasks, "req-");
        if (at) memcpy(at, job_id, strlen(job_id));
        store_lock();
        char *spec = site_with(SPEC("req-10601", "batch", "2"), "req-10601", job_id);
        put(key, spec, ++mod_revision);
        struct machine *m = fresh(id, 0, job_id, booked, true);
        if (rows[i].cancelled) {
            char *text = site_with(spec, "\"queued\"", "\"cancelled\"");
            put(key, text, ++mod_revision);
            g_free(text);
        }
        cJSON *o = cJSON_Parse(tasks);
        assert_non_null(o);
        bool doubt = workers_start_in_doubt(m, o);
        cJSON_Delete(o);
        away(job_id);
        store_unlock();
        g_free(spec);
        if (doubt != rows[i].doubt) fail_msg("%s: %d", rows[i].what, doubt);
    }
}

/* Orders of a controller that stood still. */
static void stood_still(void **state) {
    (void)state;
    static const struct {
        bool run;
        double age;
        bool ours, verified, want;
    } rows[] = {
        {true, 0.1, true, true, true},   {true, 40, true, true, false},   {true, 0.1, false, true, false},
        {true, 0.1, true, false, false}, {false, 40, false, false, true}, /* a stop or a token harms nobody */
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
        assert_int_equal(workers_directives_still_valid(rows[i].run, rows[i].age, rows[i].ours, rows[i].verified),
                         rows[i].want);
}

int main(void) {
    char *text = site_json();
    if (!settings_parse(text, "f.json", &cfg, NULL) || !standin_state_start(cfg.state)) return 1;
    g_free(text);
    owned_start(&cfg);
    const struct CMUnitTest tests[] = {cmocka_unit_test(proofs),
                                       cmocka_unit_test(takeover_in_flight),
                                       cmocka_unit_test(raise_fencing_token),
                                       cmocka_unit_test(cancelled),
                                       cmocka_unit_test(cancelled_under_old_token),
                                       cmocka_unit_test(late_copies),
                                       cmocka_unit_test(first_answer),
                                       cmocka_unit_test(out_of_reach),
                                       cmocka_unit_test(under_way),
                                       cmocka_unit_test(unreadable),
                                       cmocka_unit_test(starts_need_a_look),
                                       cmocka_unit_test(start_in_doubt),
                                       cmocka_unit_test(stands_in),
                                       cmocka_unit_test(stood_still)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
