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
#define URL_MAX 256
#define BURST_S 1.5             /* for so long calls that were not made are saved up */
#define OWNERLESS_CALL_PART 0.2 /* of the calls for controllers that own no shard, all of them together */
#define TROUBLE_PAUSE_S 0.5
#define OVER_RATE_PAUSE_MIN_S 0.3
#define OVER_RATE_PAUSE_MAX_S 1.1

static struct {
    const struct settings *settings;
    struct http_client *http;
    double calls; /* that may be made now */
    struct timespec counted_at;
    struct timespec paused_until;
} client;

void cloud_client_init(const struct settings *settings) {
    client.settings = settings;
    client.counted_at = clock_now();
    client.calls = 1;
}

struct http_client *cloud_client_http(void) {
    if (!client.http) client.http = http_client_new();
    return client.http;
}

/* Calls a second. The cloud counts those of all controllers: each keeps to the part that goes with the shards owned;
 * one that owns none has little to ask. */
static double call_rate(void) {
    const struct settings *settings = client.settings;
    int n_owned = 0;
    store_lock();
    int n_shards = quota_any_divided() ? settings->n_shards : MIN(settings->n_shards, settings->n_teams);
    for (int shard = 0; shard < n_shards; shard++) n_owned += membership_owns(shard);
    double least = OWNERLESS_CALL_PART / membership_live_controllers();
    store_unlock();
    return settings->cloud_rps * fmax((double)n_owned / n_shards, least);
}

bool cloud_client_take_call(enum call_urgency urgency) {
    double rate = call_rate();
    struct timespec now = clock_now();
    double gained = (clock_to_seconds(now) - clock_to_seconds(client.counted_at)) * rate;
    client.calls = fmin(client.calls + gained, fmax(1, rate * BURST_S));
    client.counted_at = now;
    bool paused = clock_to_seconds(now) < clock_to_seconds(client.paused_until);
    if (paused || client.calls < (urgency == CALL_URGENT ? 0 : 1)) return false;
    client.calls -= 1;
    return true;
}

void cloud_client_put_call_back(void) { client.calls += 1; }

void cloud_client_end_pause(void) { client.paused_until = clock_now(); }

static void pause_calls(double pause_s) { client.paused_until = clock_now_plus(clock_from_seconds(pause_s)); }

/* A call over the rate cost nothing and is soon made again, at a time of its own: controllers that started together
 * once asked together ever after, and the last of them got nothing for 40 s. */
static void slow_down(const struct cloud_answer *answer) {
    if (cloud_answer_has_status(answer, HTTP_TOO_MANY_REQUESTS)) {
        pause_calls(g_random_double_range(OVER_RATE_PAUSE_MIN_S, OVER_RATE_PAUSE_MAX_S));
        cloud_client_put_call_back();
    }
    if (answer->outcome != HTTP_ANSWERED || answer->status == HTTP_SERVICE_UNAVAILABLE) pause_calls(TROUBLE_PAUSE_S);
}

struct cloud_answer cloud_client_call(const char *method, const char *path, const char *body) {
    char url[URL_MAX];
    struct cloud_answer answer = {HTTP_NOT_SENT, 0, NULL};
    snprintf(url, sizeof url, "http://%s%s", client.settings->cloud_address, path);
    answer.outcome = http_call(cloud_client_http(), method, url, body, CALL_TIMEOUT_MS, &answer.status, &answer.body);
    slow_down(&answer);
    return answer;
}

bool cloud_answer_has_status(const struct cloud_answer *answer, enum http_status status) {
    return answer->outcome == HTTP_ANSWERED && answer->status == (long)status;
}

void cloud_answer_clear(struct cloud_answer *answer) {
    cJSON_Delete(answer->body);
    answer->body = NULL;
}
