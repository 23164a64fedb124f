#include "client.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>
#include <stdio.h>
#include <time.h>

#include "../clock/clock.h"
#include "../membership/membership.h"
#include "../quota/quota.h"
#include "../store/store.h"

#define CALL_TIMEOUT_MS 5000
#define URL_SIZE 256
#define BURST_S 1.5          /* unused calls of this period may be made later */
#define MIN_SHARES_TOTAL 0.2 /* sum of the minimum shares of all live controllers in the cloud's rate */
#define ERROR_PAUSE_S 0.5
#define OVER_RATE_PAUSE_MIN_S 0.3
#define OVER_RATE_PAUSE_MAX_S 1.1

static struct {
    const struct settings *settings;
    struct http_client *http;
    double available_calls;      /* calls that may be made now; negative after urgent calls */
    struct timespec refilled_at; /* when the calls earned until then were added to available_calls */
    struct timespec paused_until;
} client;

void cloud_client_init(const struct settings *settings) {
    client.settings = settings;
    client.refilled_at = clock_now();
    client.available_calls = 1;
}

struct http_client *cloud_client_http(void) {
    if (!client.http) client.http = http_client_new();
    return client.http;
}

/* Returns this controller's share of the cloud's rate limit, in calls per second. The limit covers all controllers
 * together, so each has a share in proportion to the shards that it owns. A controller without a shard makes few calls
 * and has a small share. */
static double own_call_rate(void) {
    const struct settings *settings = client.settings;
    int n_owned = 0;
    store_lock();
    int n_shards = quota_any_divided() ? settings->n_shards : MIN(settings->n_shards, settings->n_teams);
    for (int shard = 0; shard < n_shards; shard++) n_owned += membership_owns(shard);
    double min_share = MIN_SHARES_TOTAL / membership_live_controllers();
    store_unlock();
    return settings->cloud_requests_per_s * fmax((double)n_owned / n_shards, min_share);
}

bool cloud_client_reserve_call(enum call_urgency urgency) {
    double rate = own_call_rate();
    struct timespec now = clock_now();
    double earned_calls = (clock_to_seconds(now) - clock_to_seconds(client.refilled_at)) * rate;
    client.available_calls = fmin(client.available_calls + earned_calls, fmax(1, rate * BURST_S));
    client.refilled_at = now;
    bool paused = clock_to_seconds(now) < clock_to_seconds(client.paused_until);
    if (paused || client.available_calls < (urgency == CALL_URGENT ? 0 : 1)) return false;
    client.available_calls -= 1;
    return true;
}

void cloud_client_release_call(void) { client.available_calls += 1; }

void cloud_client_end_pause(void) { client.paused_until = clock_now(); }

static void pause_calls(double pause_s) { client.paused_until = clock_now_plus(clock_from_seconds(pause_s)); }

/* Pauses calls after an error. The cloud does not count a call that it refused for exceeding the rate, so the call is
 * released. The pause after such a refusal is random: otherwise, controllers that start together keep calling at the
 * same moments, and a controller may be refused for 40 s. */
static void pause_after_error(const struct cloud_answer *answer) {
    if (cloud_answer_has_status(answer, HTTP_TOO_MANY_REQUESTS)) {
        pause_calls(g_random_double_range(OVER_RATE_PAUSE_MIN_S, OVER_RATE_PAUSE_MAX_S));
        cloud_client_release_call();
    }
    if (answer->outcome != HTTP_ANSWERED || answer->status == HTTP_SERVICE_UNAVAILABLE) pause_calls(ERROR_PAUSE_S);
}

struct cloud_answer cloud_client_call(const char *method, const char *path, const char *body) {
    char url[URL_SIZE];
    struct cloud_answer answer = {HTTP_NOT_SENT, 0, NULL};
    snprintf(url, sizeof url, "http://%s%s", client.settings->cloud_address, path);
    answer.outcome = http_call(cloud_client_http(), method, url, body, CALL_TIMEOUT_MS, &answer.status, &answer.body);
    pause_after_error(&answer);
    return answer;
}

bool cloud_answer_has_status(const struct cloud_answer *answer, enum http_status status) {
    return answer->outcome == HTTP_ANSWERED && answer->status == (long)status;
}

void cloud_answer_clear(struct cloud_answer *answer) {
    cJSON_Delete(answer->body);
    answer->body = NULL;
}
