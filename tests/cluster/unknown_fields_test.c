/* Unknown fields in all messages that controllers receive: nobody notices them. Every job is accepted, known to its
 * user and done, and each of its tasks starts once.
 *
 * Each process runs one row, because every row needs stand-ins that start empty. */
#include "../standin/unknown_fields.h"

#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "../standin/cloud.h"
#include "../standin/cluster.h"
#include "../standin/store.h"
#include "../standin/test_cases.h"
#include "../standin/test_settings.h"
#include "../standin/workers.h"
#include "clock/clock.h"
#include "json/json.h"

#define TEAMS "[{\"name\":\"red\",\"cpus\":0,\"cpus_max\":64,\"gpus\":0,\"gpus_max\":16}]"
#define READY_TIMEOUT_S 20
#define JOBS 6
#define TASKS_PER_JOB 2
#define DONE_TIMEOUT_S 30
#define SETTLED_S 2 /* in which a task that is started a second time would have started */

/* What a submission of the incident had: bytes in all, and this value of 16 KiB. */
#define INCIDENT_BODY_BYTES 18474
#define INCIDENT_VALUE_KB 16
#define INCIDENT_LABELS                                                                              \
    "\"x_labels\":{\"gr\xc3\xb6\xc3\x9f"                                                             \
    "e\":\"\xe6\x97\xa5\xe6\x9c\xac\xe8\xaa\x9e \xe2\x9c\x93\",\"n\":18446744073709551615,\"m\":-7," \
    "\"f\":1.25,\"none\":null,\"l\":[[],{},true],\"deep\":[[[[[]]]]]}"

enum kind { UNREADABLE_VALUES, SIMILAR_NAMES, EARLIER_VERSION };
static const struct {
    const char *name;
    enum standin_sender sender; /* STANDIN_SENDERS: the users */
    enum kind kind;
} rows[] = {
    {"in_submissions", STANDIN_SENDERS, UNREADABLE_VALUES},
    {"in_heartbeats", STANDIN_SENDER_WORKER_HEARTBEAT, UNREADABLE_VALUES},
    {"in_worker_answers", STANDIN_SENDER_WORKER_ANSWER, UNREADABLE_VALUES},
    {"in_store_answers", STANDIN_SENDER_STORE, UNREADABLE_VALUES},
    {"in_cloud_answers", STANDIN_SENDER_CLOUD, UNREADABLE_VALUES},
    {"similar_names_in_heartbeats", STANDIN_SENDER_WORKER_HEARTBEAT, SIMILAR_NAMES},
    {"similar_names_in_worker_answers", STANDIN_SENDER_WORKER_ANSWER, SIMILAR_NAMES},
    {"similar_names_in_store_answers", STANDIN_SENDER_STORE, SIMILAR_NAMES},
    {"similar_names_in_cloud_answers", STANDIN_SENDER_CLOUD, SIMILAR_NAMES},
    {"records_of_the_earlier_version", STANDIN_SENDERS, EARLIER_VERSION},
};
static size_t row;

/* Names that equal known ones up to a zero byte. */
#define SIMILAR_MEMBERS                                                                                           \
    "\"host\\u0000x\":\"i-000001\",\"tenure\\u0000\":7,\"seq\\u0000\":0,\"fence\\u0000\":99999,\"task\\u0000\":"  \
    "\"req-1/0\",\"try\\u0000\":1,\"state\\u0000\":\"ended\",\"cause\\u0000\":\"done\",\"tasks\\u0000\":[],"      \
    "\"path\\u0000\":\"job/req-1\",\"stamp\\u0000\":1,\"epoch\\u0000\":1,\"lease\\u0000\":99,\"rows\\u0000\":[]," \
    "\"events\\u0000\":[],\"set\\u0000\":\"x\",\"data\\u0000\":{},\"has_next\\u0000\":true,\"hosts\\u0000\":[],"  \
    "\"flavours\\u0000\":[],\"sku\\u0000\":\"g\",\"sites\\u0000\":[],\"uid\\u0000\":\"req-1\""

static char *repeated(const char *text, int times) {
    GString *result = g_string_new(NULL);
    for (int i = 0; i < times; i++) g_string_append(result, text);
    return g_string_free(result, FALSE);
}

static char *nested_member(int levels) {
    char *opening = repeated("[", levels), *closing = repeated("]", levels);
    char *member = g_strdup_printf("\"x_deep\":%s%s", opening, closing);
    g_free(opening);
    g_free(closing);
    return member;
}

/* The members that a kind of message gets. */
static char *members_of_kind(enum kind kind) {
    if (kind == SIMILAR_NAMES) return g_strdup(SIMILAR_MEMBERS);
    char *text = g_strnfill(5000, 'x'), *digits = g_strnfill(400, '9'), *nested = nested_member(1100);
    char *members = g_strdup_printf("\"x_text\":\"%s\",\"x_number\":%s,%s,\"x_surrogate\":\"\\ud800\",%s", text, digits,
                                    nested, INCIDENT_LABELS);
    g_free(text);
    g_free(digits);
    g_free(nested);
    return members;
}

/* ---- submissions ---- */

#define KNOWN_MEMBERS                                                                                                \
    "\"jobclass\":\"c\",\"owner\":\"red\",\"shape\":\"batch\",\"rank\":\"high\",\"tasks\":2,\"vcpus\":1,\"gpus\":0," \
    "\"memory_gb\":4,\"image\":\"i\",\"pull_gb\":1,\"together\":false,\"spread\":false,\"reclaimable\":false,"       \
    "\"runtime_s\":1,\"checkpoint_s\":0,\"flush_s\":0"

/* Unknown members of one kind, of about so many bytes. */
typedef char *(*submission_filler)(int bytes);

static char *long_text(int bytes) {
    char *words = repeated("lorem ipsum ", bytes / 12), *member = g_strdup_printf("\"x_text\":\"%s\"", words);
    g_free(words);
    return member;
}

static char *many_members(int bytes) {
    GString *members = g_string_new("\"x\":0");
    for (int i = 0; (int)members->len < bytes; i++) g_string_append_printf(members, ",\"x_%d\":%d", i, i);
    return g_string_free(members, FALSE);
}

static char *long_name(int bytes) {
    char *name = g_strnfill((gsize)bytes, 'n'), *member = g_strdup_printf("\"%s\":1", name);
    g_free(name);
    return member;
}

/* Text that is longer when it is written again: a zero byte ends a C string, and a large number loses its notation. */
static char *escaped_text(int bytes) {
    char *text = repeated("\\u0000\\u001f\\/", bytes / 14), *member = g_strdup_printf("\"x_text\":\"%s\"", text);
    g_free(text);
    return member;
}

static char *growing_numbers(int bytes) {
    char *numbers = repeated("1e20,", bytes / 5), *member = g_strdup_printf("\"x_numbers\":[%s0]", numbers);
    g_free(numbers);
    return member;
}

static char *nested_arrays(int bytes) { return nested_member(bytes / 2); }

static char *lone_surrogates(int bytes) {
    char *text = repeated("\\ud83d", bytes / 6), *member = g_strdup_printf("\"x_text\":\"%s\"", text);
    g_free(text);
    return member;
}

static char *names_like_known_ones(int bytes) {
    (void)bytes;
    return g_strdup("\"uid\\u0000x\":\"req-777777\",\"UID\":\"req-777778\",\"tasks\\u0000\":0,\"owner\\u0000\":7");
}

/* A first member that nests the known names, with other values. */
static char *known_names_inside(int bytes) {
    char *text = long_text(bytes / 2), *member = g_strdup_printf("\"x_old\":{\"uid\":\"req-777779\",%s}", text);
    g_free(text);
    return member;
}

static const struct {
    const char *name;
    submission_filler fill;
} fillers[] = {
    {"long text", long_text},
    {"many members", many_members},
    {"long name", long_name},
    {"escapes", escaped_text},
    {"numbers that grow", growing_numbers},
    {"nesting", nested_arrays},
    {"lone surrogates", lone_surrogates},
    {"names like known ones", names_like_known_ones},
    {"known names inside", known_names_inside},
};

/* A body of as many bytes as in the incident, padded by white space, with the known members in the middle. */
static char *submission_body(const char *job_id, submission_filler fill) {
    char *filler = fill(INCIDENT_BODY_BYTES - 1000);
    char *body = g_strdup_printf("{%s,%s,\"uid\":\"%s\",%s}", filler, KNOWN_MEMBERS, job_id, INCIDENT_LABELS);
    char *padded = g_strdup_printf("%-*s", INCIDENT_BODY_BYTES, body);
    g_free(filler);
    g_free(body);
    return padded;
}

static char *plain_body(const char *job_id) { return g_strdup_printf("{\"uid\":\"%s\",%s}", job_id, KNOWN_MEMBERS); }

static long submit_body(int first, const char *body) {
    long status = 0;
    for (int attempt = 0; attempt < 50 && (status == 0 || status >= 429); attempt++) {
        status = cluster_request((first + attempt) % 2, "POST", "/work", body, NULL, 0);
        if (status == 0 || status >= 429) clock_sleep(clock_from_seconds(0.1));
    }
    return status;
}

static void check_job(const char *name, const char *job_id, int controller) {
    char *body = plain_body(job_id);
    if (!cluster_wait_for_job_state(job_id, "done", DONE_TIMEOUT_S)) fail_msg("%s: %s is not done", name, job_id);
    long status = submit_body(controller, body);
    if (status != 200) fail_msg("%s: another spelling of %s after its end: %ld", name, job_id, status);
    int starts = standin_workers_starts_by_prefix(job_id);
    if (starts != TASKS_PER_JOB) fail_msg("%s: %d starts of %s", name, starts, job_id);
    g_free(body);
}

/* Guards against sound submissions that are refused for what the service does not know, or accepted under another id.
 */
static void sound_submissions_are_accepted(void **state) {
    (void)state;
    char *failed = g_strdup("");
    for (size_t i = 0; i < G_N_ELEMENTS(fillers); i++) {
        char *job_id = g_strdup_printf("req-60%02zu", i), *body = submission_body(job_id, fillers[i].fill),
             *plain = plain_body(job_id);
        long status = submit_body((int)i, body), repeated_status = submit_body((int)i + 1, plain);
        if (status != 201 || repeated_status != 200) {
            char *more = g_strdup_printf("%s\n%s: %ld, repeated without unknown fields: %ld", failed, fillers[i].name,
                                         status, repeated_status);
            g_free(failed);
            failed = more;
        }
        g_free(job_id);
        g_free(body);
        g_free(plain);
    }
    if (*failed) fail_msg("%s", failed);
    g_free(failed);
    for (int index = 0; index < 2; index++) cluster_kill_controller(index);
    for (int index = 0; index < 2; index++) cluster_start_controller(index);
    for (size_t i = 0; i < G_N_ELEMENTS(fillers); i++) {
        char *job_id = g_strdup_printf("req-60%02zu", i), *key = g_strdup_printf("job/%s", job_id);
        check_job(fillers[i].name, job_id, (int)i);
        char *record = standin_store_value(key);
        assert_non_null(record);
        if (strstr(record, "\"x") || strstr(record, "nnn")) fail_msg("%s is in the record", fillers[i].name);
        g_free(record);
        g_free(key);
        g_free(job_id);
    }
    for (int i = 777777; i <= 777779; i++) {
        char path[32];
        g_snprintf(path, sizeof path, "/work/req-%d", i);
        assert_int_equal(cluster_request(0, "GET", path, NULL, NULL, 0), 404);
    }
}

/* ---- versions ---- */

static const char *current_program, *earlier_program;

/* Both controllers end, and are started as this program. */
static void restart_as(const char *program) {
    for (int index = 0; index < 2; index++) cluster_kill_controller(index);
    for (int index = 0; index < 2; index++) {
        cluster_set_program(index, program);
        cluster_start_controller(index);
    }
    assert_true(cluster_wait_for_shard_owners(READY_TIMEOUT_S));
}

static void submit_with_unknown_fields(const char *job_id) {
    char *body = g_strdup_printf("{%s,%s,\"uid\":\"%s\"}", INCIDENT_LABELS, KNOWN_MEMBERS, job_id);
    assert_int_equal(submit_body(0, body), 201);
    g_free(body);
}

static bool record_has(const char *key, const char *text) {
    char *record = standin_store_value(key);
    bool found = record && strstr(record, text);
    g_free(record);
    return found;
}

/* Guards against jobs that an upgrade, or a return to the earlier version, cannot read. */
static void records_pass_between_versions(void **state) {
    (void)state;
    restart_as(earlier_program);
    submit_with_unknown_fields("req-6201");
    assert_true(record_has("job/req-6201", "x_labels"));
    restart_as(current_program);
    check_job("accepted by the earlier version", "req-6201", 1);
    submit_with_unknown_fields("req-6202");
    assert_true(record_has("job/req-6202", "\"uid\""));
    assert_false(record_has("job/req-6202", "x_labels"));
    restart_as(earlier_program);
    check_job("accepted by this version", "req-6202", 0);
    check_job("accepted and read back by the earlier version", "req-6201", 1);
    restart_as(current_program);
    check_job("written by both versions", "req-6202", 1);
    assert_int_equal(standin_workers_most_copies(), 1);
}

/* ---- the other messages ---- */

/* Guards against messages that are refused, or taken for another sender's, because of what the receiver does not know.
 */
static void jobs_are_done(void **state) {
    (void)state;
    for (int i = 0; i < JOBS; i++) {
        char *job_id = g_strdup_printf("req-61%02d", i), *body = plain_body(job_id);
        long status = submit_body(i, body);
        if (status != 201) fail_msg("%s: %ld", job_id, status);
        g_free(job_id);
        g_free(body);
    }
    for (int i = 0; i < JOBS; i++) {
        char *job_id = g_strdup_printf("req-61%02d", i);
        check_job(rows[row].name, job_id, i);
        g_free(job_id);
    }
    assert_true(record_has("types", "\"g4\"")); /* read by controllers that cannot reach the cloud */
    assert_false(record_has("types", "x_text"));
    clock_sleep(clock_from_seconds(SETTLED_S));
    assert_int_equal(standin_workers_starts(), JOBS * TASKS_PER_JOB);
    assert_int_equal(standin_workers_most_copies(), 1);
    assert_int_equal(standin_workers_restarts(), 0);
}

static CMUnitTestFunction test_of_row(void) {
    if (rows[row].kind == EARLIER_VERSION) return records_pass_between_versions;
    return rows[row].sender < STANDIN_SENDERS ? jobs_are_done : sound_submissions_are_accepted;
}

int main(int argc, char **argv) {
    if (test_cases_are_listed(argc, argv)) return test_cases_compare(TEST_CASE_TABLE(rows), argc, argv);
    const struct cluster_settings settings = {
        .controllers = 2, .shards = 2, .teams = {TEAMS}, .value_kb = INCIDENT_VALUE_KB};
    if (argc < 4 || !test_cases_find(TEST_CASE_TABLE(rows), argv[2], &row) || !cluster_start(argv[1], &settings))
        return 2;
    current_program = argv[1];
    earlier_program = argv[3];
    standin_store_set_limits(INCIDENT_VALUE_KB, 8, 500);
    standin_cloud_stop_refusing_rentals();
    static char *members; /* used until the process ends */
    members = members_of_kind(rows[row].kind);
    if (rows[row].sender < STANDIN_SENDERS) standin_unknown_fields_set(rows[row].sender, members);
    cluster_start_controller(0);
    cluster_start_controller(1);
    cluster_wait_for_shard_owners(READY_TIMEOUT_S); /* if it fails, no job will be done */
    const struct CMUnitTest tests[] = {{rows[row].name, test_of_row(), NULL, NULL, NULL}};
    int failed = cmocka_run_group_tests(tests, NULL, NULL);
    cluster_teardown();
    return failed;
}
