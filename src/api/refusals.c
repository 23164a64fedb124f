#include "refusals.h"

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "../clock/clock.h"
#include "../jobs/jobs.h"
#include "../logging/logging.h"

static struct {
    pthread_mutex_t lock;
    unsigned counts[REFUSAL_REASONS], reported_counts[REFUSAL_REASONS];
    unsigned unlogged, reported_unlogged;
    time_t second; /* of the monotonic clock, to which lines_in_second applies */
    int lines_in_second;
} refusals = {.lock = PTHREAD_MUTEX_INITIALIZER};

static bool is_logged(enum refusal_reason reason) {
    enum http_status status = refusal_status(reason);
    return status == HTTP_BAD_REQUEST || status == HTTP_UNPROCESSABLE;
}

/* Returns whether another line may be logged in this second. Called with the lock held. */
static bool take_line(void) {
    time_t second = clock_now().tv_sec;
    if (second != refusals.second) refusals.lines_in_second = 0;
    refusals.second = second;
    return refusals.lines_in_second++ < REFUSAL_LOG_LINES_PER_S;
}

void refusals_describe(const struct refusal *refusal, size_t bytes_received, char *line, size_t n) {
    char *subject = g_strescape(refusal->subject, NULL);
    int length = snprintf(line, n, "request refused: %d %s, subject \"%s\", %zu bytes received",
                          (int)refusal_status(refusal->reason), refusal_name(refusal->reason), subject, bytes_received);
    if (refusal->record_bytes && (size_t)length < n) {
        snprintf(line + length, n - (size_t)length, ", %zu bytes to be stored, limit %zu", refusal->record_bytes,
                 jobs_record_bytes_max());
    }
    g_free(subject);
}

void refusals_record(const struct refusal *refusal, size_t bytes_received) {
    pthread_mutex_lock(&refusals.lock);
    refusals.counts[refusal->reason]++;
    bool has_line = is_logged(refusal->reason), logged = has_line && take_line();
    if (has_line && !logged) refusals.unlogged++;
    pthread_mutex_unlock(&refusals.lock);
    if (!logged) return;
    char line[REFUSAL_LOG_LINE_SIZE];
    refusals_describe(refusal, bytes_received, line, sizeof line);
    log_info("%s", line);
}

unsigned refusals_count(enum refusal_reason reason) {
    pthread_mutex_lock(&refusals.lock);
    unsigned count = refusals.counts[reason];
    pthread_mutex_unlock(&refusals.lock);
    return count;
}

unsigned refusals_unlogged(void) {
    pthread_mutex_lock(&refusals.lock);
    unsigned unlogged = refusals.unlogged;
    pthread_mutex_unlock(&refusals.lock);
    return unlogged;
}

/* Appends the counts since the last call. Called with the lock held. */
static void append_new_counts(GString *text) {
    for (int reason = 0; reason < REFUSAL_REASONS; reason++) {
        unsigned count = refusals.counts[reason] - refusals.reported_counts[reason];
        refusals.reported_counts[reason] = refusals.counts[reason];
        if (count) g_string_append_printf(text, ", %u %s", count, refusal_name((enum refusal_reason)reason));
    }
    unsigned unlogged = refusals.unlogged - refusals.reported_unlogged;
    refusals.reported_unlogged = refusals.unlogged;
    if (unlogged) g_string_append_printf(text, "; %u of them without a line of their own", unlogged);
}

void refusals_log_status(void) {
    GString *text = g_string_new(NULL);
    pthread_mutex_lock(&refusals.lock);
    append_new_counts(text);
    pthread_mutex_unlock(&refusals.lock);
    if (text->len) log_info("refused requests in 10 s: %s", text->str + strlen(", "));
    g_string_free(text, TRUE);
}
