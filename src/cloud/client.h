/* Calls to the cloud, and the rate at which they may be made. On the cloud's thread, without the lock. */
#ifndef FF_CLOUD_CLIENT_H
#define FF_CLOUD_CLIENT_H
#include <stdbool.h>

#include "../http/client.h"
#include "../http/status.h"
#include "../json/json.h"
#include "../settings/settings.h"

enum call_urgency {
    CALL_ORDINARY,
    CALL_URGENT /* may use up the next call's part: the cloud allows short bursts */
};

/* Called once, before the thread is started. */
void cloud_client_init(const struct settings *settings);
/* Takes a call out of the budget; false: none may be made now. */
bool cloud_client_take_call(enum call_urgency urgency);
/* Puts a call that was not made back. */
void cloud_client_put_call_back(void);
/* A refusal that says nothing of the cloud's state: the next call need not wait. */
void cloud_client_end_pause(void);

struct cloud_answer {
    enum http_outcome outcome;
    long status; /* of HTTP_ANSWERED */
    cJSON *body; /* NULL: none that can be read */
};
/* Makes a call that was taken out of the budget. body NULL: none. The answer is cleared by cloud_answer_clear. */
struct cloud_answer cloud_client_call(const char *method, const char *path, const char *body);
bool cloud_answer_has_status(const struct cloud_answer *answer, enum http_status status);
void cloud_answer_clear(struct cloud_answer *answer);
/* For requests to the store from the cloud's thread. */
struct http_client *cloud_client_http(void);
#endif
