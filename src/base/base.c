#include "base.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>

struct timespec base_now(void) {
    struct timespec t;
    clock_gettime(CLOCK_MONOTONIC, &t);
    return t;
}

struct timespec base_span(double seconds) {
    struct timespec t = {0, 0};
    if (seconds <= 0) return t;
    t.tv_sec = (time_t)seconds;
    t.tv_nsec = (long)((seconds - (double)t.tv_sec) * 1e9);
    return t;
}

double base_secs(struct timespec t) { return (double)t.tv_sec + (double)t.tv_nsec / 1e9; }

double base_since(struct timespec then) { return base_secs(base_now()) - base_secs(then); }

bool base_passed(struct timespec since, struct timespec span) { return base_since(since) >= base_secs(span); }

void base_sleep(struct timespec span) { nanosleep(&span, NULL); }

struct timespec base_wall_in(struct timespec span) {
    return base_span(base_secs(base_now()) + base_secs(span));
}

void base_cond_init(pthread_cond_t *c) {
    pthread_condattr_t a;
    pthread_condattr_init(&a);
    pthread_condattr_setclock(&a, CLOCK_MONOTONIC);
    pthread_cond_init(c, &a);
    pthread_condattr_destroy(&a);
}

bool base_cond_wait(pthread_cond_t *c, pthread_mutex_t *m, struct timespec span) {
    struct timespec until = base_wall_in(span);
    return pthread_cond_timedwait(c, m, &until) == 0;
}

double base_time_of_day(void) {
    struct timespec t;
    clock_gettime(CLOCK_REALTIME, &t);
    return base_secs(t);
}

void base_wakeup_init(struct base_wakeup *b) {
    pthread_mutex_init(&b->lock, NULL);
    base_cond_init(&b->cond);
    b->signalled = false;
}

void base_wakeup_signal(struct base_wakeup *b) {
    pthread_mutex_lock(&b->lock);
    b->signalled = true;
    pthread_cond_signal(&b->cond);
    pthread_mutex_unlock(&b->lock);
}

void base_wakeup_wait(struct base_wakeup *b, struct timespec most) {
    pthread_mutex_lock(&b->lock);
    if (!b->signalled) base_cond_wait(&b->cond, &b->lock, most);
    b->signalled = false;
    pthread_mutex_unlock(&b->lock);
}

int base_thread(void *(*fn)(void *), void *arg) {
    /* Small stacks: the memory limit counts what is held, and no slice recurses deeply. */
    pthread_attr_t a;
    pthread_t t;
    pthread_attr_init(&a);
    pthread_attr_setstacksize(&a, 256 * 1024);
    pthread_attr_setdetachstate(&a, PTHREAD_CREATE_DETACHED);
    int rc = pthread_create(&t, &a, fn, arg);
    pthread_attr_destroy(&a);
    return rc;
}

static GLogLevelFlags log_most = G_LOG_LEVEL_INFO;

static void log_write(const gchar *domain, GLogLevelFlags level, const gchar *text, gpointer data) {
    (void)domain;
    (void)data;
    GLogLevelFlags l = level & G_LOG_LEVEL_MASK;
    if (l > log_most) return;
    fprintf(stderr, "%s %s\n", l <= G_LOG_LEVEL_CRITICAL ? "error" : l <= G_LOG_LEVEL_INFO ? "info" : "debug", text);
}

void base_log_init(const char *level) {
    if (level && strcmp(level, "error") == 0) log_most = G_LOG_LEVEL_CRITICAL;
    if (level && strcmp(level, "debug") == 0) log_most = G_LOG_LEVEL_DEBUG;
    g_log_set_default_handler(log_write, NULL);
}

const char *base_str(const cJSON *o, const char *name) {
    const cJSON *v = cJSON_GetObjectItemCaseSensitive(o, name);
    return cJSON_IsString(v) ? v->valuestring : NULL;
}

bool base_int(const cJSON *o, const char *name, int64_t *out) {
    const cJSON *v = cJSON_GetObjectItemCaseSensitive(o, name);
    if (!cJSON_IsNumber(v) || v->valuedouble < 0 || v->valuedouble >= 9007199254740992.0) return false;
    int64_t i = (int64_t)v->valuedouble;
    if ((double)i != v->valuedouble) return false;
    *out = i;
    return true;
}

double base_num(const cJSON *o, const char *name, double otherwise) {
    const cJSON *v = cJSON_GetObjectItemCaseSensitive(o, name);
    return cJSON_IsNumber(v) ? v->valuedouble : otherwise;
}

bool base_flag(const cJSON *o, const char *name) { return cJSON_IsTrue(cJSON_GetObjectItemCaseSensitive(o, name)); }
