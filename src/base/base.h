/* Clock, log, and HTTP in both directions: what every slice needs and none owns. */
#ifndef FF_BASE_H
#define FF_BASE_H
#include <cjson/cJSON.h>
#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/* Instants are struct timespec on the steady clock; spans are struct timespec as well. */
struct timespec base_now(void);
struct timespec base_span(double seconds);
double base_secs(struct timespec t);
double base_since(struct timespec then); /* seconds since an instant */
bool base_passed(struct timespec since, struct timespec span);
void base_sleep(struct timespec span);
struct timespec base_wall_in(struct timespec span); /* CLOCK_MONOTONIC deadline for base_cond_wait */
void base_cond_init(pthread_cond_t *c);
bool base_cond_wait(pthread_cond_t *c, pthread_mutex_t *m, struct timespec span); /* false: time ran out */
double base_time_of_day(void);

/* A wakeup that wakes one waiting thread; rung while nobody waits, the next wait returns at once. */
struct base_wakeup {
    pthread_mutex_t lock;
    pthread_cond_t cond;
    bool signalled;
};
void base_wakeup_init(struct base_wakeup *b);
void base_wakeup_signal(struct base_wakeup *b);
void base_wakeup_wait(struct base_wakeup *b, struct timespec most);
int base_thread(void *(*fn)(void *), void *arg);

void base_log_init(const char *level);
#define log_error(...) g_log("fieldfield", G_LOG_LEVEL_CRITICAL, __VA_ARGS__)
#define log_info(...) g_log("fieldfield", G_LOG_LEVEL_INFO, __VA_ARGS__)
#define log_debug(...) g_log("fieldfield", G_LOG_LEVEL_DEBUG, __VA_ARGS__)

/* JSON access that checks type and range; integers stay below 2^53 because cJSON numbers are doubles. */
const char *base_str(const cJSON *o, const char *name);
bool base_int(const cJSON *o, const char *name, int64_t *out);
double base_num(const cJSON *o, const char *name, double otherwise);
bool base_flag(const cJSON *o, const char *name);

/* Server. A handler answers with http_reply, at once or later from any thread after http_hold. */
struct http_req;
typedef void (*http_handler)(struct http_req *req, void *ctx);
struct http_server;
struct http_server *http_serve(const char *address, unsigned max_connections, http_handler fn, void *ctx);
const char *http_method(const struct http_req *r);
const char *http_path(const struct http_req *r);
const char *http_body(const struct http_req *r, size_t *len);
bool http_too_large(const struct http_req *r);
void http_short_lived(struct http_req *r); /* one of very many: its connection need not be kept */
bool http_crowded(unsigned connections, unsigned most);
void http_hold(struct http_req *r);
/* Pure: an answer that was decided so long ago is not sent any more: the process stood still in between, and what was
 * true then may have changed. */
bool http_answer_stale(double age_s);
void http_reply(struct http_req *r, unsigned status, const char *body, int retry_after_s);
void http_reply_json(struct http_req *r, unsigned status, cJSON *body, int retry_after_s); /* takes body */

/* Client: one per thread, keeps its connections. */
struct http_client;
enum http_outcome { HTTP_ANSWERED, HTTP_NOT_SENT, HTTP_UNKNOWN };
struct http_client *http_client_new(void);
void http_client_free(struct http_client *c);
/* The same on a connection of its own: a kept connection that ends before the answer makes the client send the request
 * once more, and the first copy may be carried out much later. */
enum http_outcome http_call_once(struct http_client *c, const char *method, const char *url, const char *body,
                                 long timeout_ms, long *status, cJSON **answer);
enum http_outcome http_call(struct http_client *c, const char *method, const char *url, const char *body,
                            long timeout_ms, long *status, cJSON **answer);
#endif
