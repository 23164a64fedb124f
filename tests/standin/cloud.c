#include "cloud.h"

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "http/server.h"
#include "http/status.h"
#include "json/json.h"
#include "unknown_fields.h"
#include "workers.h"

#define CONNECTIONS_MAX 16
#define HTTP_INTERNAL_ERROR 500

static const char catalogue[] =
    "{\"flavours\":[{\"sku\":\"g4\",\"vcpus\":16,\"gpus\":4,\"memory_gb\":64,\"local_gb\":50,"
    "\"fetch_gb_per_s\":1,\"hourly\":10,\"market_price\":3,\"startup_s\":1,\"sites\":[\"za\"]}]}";

/* The responses to the first rentals, in this order. */
static const struct {
    unsigned status;
    const char *body;
} refusals[] = {{HTTP_TOO_MANY_REQUESTS, "{}"},
                {HTTP_SERVICE_UNAVAILABLE, "{\"error\":\"trouble\"}"},
                {HTTP_SERVICE_UNAVAILABLE, "{\"error\":\"no capacity\"}"}};

/* Lock order: this lock is taken before that of the workers. */
static struct {
    pthread_mutex_t lock;
    GHashTable *claims; /* claim -> text of its latest request */
    int claims_reused, returned, capacity;
    unsigned refused; /* number of refused rentals; also the index of the next refusal */
    bool delays;
    GHashTable *delayed;       /* claim, or text of a return -> request, as cJSON */
    GHashTable *rented_claims; /* claim -> text of the answer */
    int delayed_rentals, delayed_returns;
} cloud = {.lock = PTHREAD_MUTEX_INITIALIZER, .capacity = STANDIN_WORKERS_MAX};

/* With the lock held. */
static void record_claim(const cJSON *rental) {
    const char *claim = json_get_string(rental, "claim"), *earlier = g_hash_table_lookup(cloud.claims, claim);
    char *text = cJSON_PrintUnformatted(rental);
    if (earlier && strcmp(earlier, text) != 0) cloud.claims_reused++;
    g_hash_table_insert(cloud.claims, g_strdup(claim), g_strdup(text));
    free(text);
}

/* With the lock held. */
static cJSON *rent(const cJSON *rental) {
    int64_t wanted = 0;
    json_get_int64(rental, "how_many", &wanted);
    cJSON *answer = cJSON_CreateObject(), *hosts = cJSON_AddArrayToObject(answer, "hosts");
    int64_t available = MIN(wanted, cloud.capacity - standin_workers_alive());
    for (int64_t i = 0; i < available; i++) {
        const char *id = standin_workers_add(json_get_bool(rental, "reclaimable"));
        if (!id) break;
        cJSON_AddItemToArray(hosts, cJSON_CreateString(id));
    }
    return answer;
}

/* Rents machines, or gives the answer to an earlier request with the same claim. With the lock held. */
static cJSON *rent_once(const cJSON *rental) {
    const char *claim = json_get_string(rental, "claim"), *earlier = g_hash_table_lookup(cloud.rented_claims, claim);
    if (earlier) return cJSON_Parse(earlier);
    cJSON *answer = rent(rental);
    char *text = cJSON_PrintUnformatted(answer);
    g_hash_table_insert(cloud.rented_claims, g_strdup(claim), g_strdup(text));
    free(text);
    return answer;
}

/* Keeps a request until it is executed. With the lock held. */
static cJSON *delay_request(const char *key, const cJSON *request, int *count, unsigned *status) {
    if (!g_hash_table_contains(cloud.delayed, key)) {
        g_hash_table_insert(cloud.delayed, g_strdup(key), cJSON_Duplicate(request, true));
        ++*count;
    }
    *status = HTTP_INTERNAL_ERROR;
    return cJSON_CreateObject();
}

/* With the lock held. */
static cJSON *answer_rental(const cJSON *rental, unsigned *status) {
    record_claim(rental);
    if (cloud.delays) return delay_request(json_get_string(rental, "claim"), rental, &cloud.delayed_rentals, status);
    if (cloud.refused >= G_N_ELEMENTS(refusals)) return rent_once(rental);
    *status = refusals[cloud.refused].status;
    return cJSON_Parse(refusals[cloud.refused++].body);
}

/* With the lock held. */
static cJSON *answer_return(const cJSON *list) {
    const cJSON *host;
    cJSON_ArrayForEach(host, cJSON_GetObjectItem(list, "hosts")) {
        if (standin_workers_remove(host->valuestring)) cloud.returned++;
    }
    return cJSON_CreateObject();
}

static void on_request(struct http_request *request, void *ctx) {
    (void)ctx;
    size_t length;
    const char *path = http_path(request), *body = http_body(request, &length);
    cJSON *object = cJSON_ParseWithLength(body, length), *answer;
    unsigned status = HTTP_OK;
    pthread_mutex_lock(&cloud.lock);
    if (strcmp(path, "/flavors") == 0) {
        answer = cJSON_Parse(catalogue);
    } else if (strcmp(path, "/rentals/return") == 0) {
        answer = cloud.delays ? delay_request(body, object, &cloud.delayed_returns, &status) : answer_return(object);
    } else if (strcmp(http_method(request), "POST") == 0) {
        answer = answer_rental(object, &status);
    } else {
        answer = cJSON_Parse("{\"hosts\":[],\"has_next\":false}");
    }
    pthread_mutex_unlock(&cloud.lock);
    cJSON_Delete(object);
    standin_unknown_fields_reply(STANDIN_SENDER_CLOUD, request, status, answer);
}

bool standin_cloud_start(const char *address) {
    cloud.claims = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    cloud.rented_claims = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    cloud.delayed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)cJSON_Delete);
    return http_server_start(address, CONNECTIONS_MAX, on_request, NULL) != NULL;
}

void standin_cloud_stop_refusing_rentals(void) {
    pthread_mutex_lock(&cloud.lock);
    cloud.refused = G_N_ELEMENTS(refusals);
    pthread_mutex_unlock(&cloud.lock);
}

void standin_cloud_delay_requests(void) {
    pthread_mutex_lock(&cloud.lock);
    cloud.delays = true;
    pthread_mutex_unlock(&cloud.lock);
}

void standin_cloud_execute_delayed(void) {
    GHashTableIter iterator;
    gpointer request;
    pthread_mutex_lock(&cloud.lock);
    cloud.delays = false;
    g_hash_table_iter_init(&iterator, cloud.delayed);
    while (g_hash_table_iter_next(&iterator, NULL, &request))
        cJSON_Delete(json_get_string(request, "claim") ? rent_once(request) : answer_return(request));
    g_hash_table_remove_all(cloud.delayed);
    pthread_mutex_unlock(&cloud.lock);
}

int standin_cloud_delayed_rentals(void) {
    pthread_mutex_lock(&cloud.lock);
    int rentals = cloud.delayed_rentals;
    pthread_mutex_unlock(&cloud.lock);
    return rentals;
}

int standin_cloud_delayed_returns(void) {
    pthread_mutex_lock(&cloud.lock);
    int returns = cloud.delayed_returns;
    pthread_mutex_unlock(&cloud.lock);
    return returns;
}

void standin_cloud_set_capacity(int machines) {
    pthread_mutex_lock(&cloud.lock);
    cloud.capacity = machines;
    pthread_mutex_unlock(&cloud.lock);
}

int standin_cloud_rented(void) { return standin_workers_added(); }

int standin_cloud_rentals_refused(void) {
    pthread_mutex_lock(&cloud.lock);
    int refused = (int)cloud.refused;
    pthread_mutex_unlock(&cloud.lock);
    return refused;
}

int standin_cloud_returned(void) {
    pthread_mutex_lock(&cloud.lock);
    int returned = cloud.returned;
    pthread_mutex_unlock(&cloud.lock);
    return returned;
}

int standin_cloud_claims_reused(void) {
    pthread_mutex_lock(&cloud.lock);
    int reused = cloud.claims_reused;
    pthread_mutex_unlock(&cloud.lock);
    return reused;
}
