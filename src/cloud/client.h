/* Makes calls to the cloud's API and limits their rate. Called on the cloud's thread, without store_lock. */
#ifndef FF_CLOUD_CLIENT_H
#define FF_CLOUD_CLIENT_H
#include <stdbool.h>

#include "../http/client.h"
#include "../http/status.h"
#include "../json/json.h"
#include "../settings/settings.h"

enum call_urgency {
    CALL_ORDINARY,
    CALL_URGENT /* may be made one call ahead of the budget, because the cloud allows short bursts */
};

/* Called once, before the thread is started. The settings must outlive the thread. */
void cloud_client_init(const struct settings *settings);
/* Takes a call out of the budget. Returns false if no call may be made now. */
bool cloud_client_reserve_call(enum call_urgency urgency);
/* Returns a reserved call that was not made to the budget. */
void cloud_client_release_call(void);
/* Ends the pause that cloud_client_call began after a 503. Called if the answer reports only a lack of capacity, which
 * does not mean that the cloud is overloaded. */
void cloud_client_end_pause(void);

struct cloud_answer {
    enum http_outcome outcome;
    long status; /* HTTP status; valid if the outcome is HTTP_ANSWERED */
    cJSON *body; /* NULL: no body, or not JSON */
};
/* Makes a reserved call. A body of NULL sends none. The caller clears the answer with cloud_answer_clear. */
struct cloud_answer cloud_client_call(const char *method, const char *path, const char *body);
/* Tells whether the cloud answered with this status. */
bool cloud_answer_has_status(const struct cloud_answer *answer, enum http_status status);
void cloud_answer_clear(struct cloud_answer *answer);
/* Returns the HTTP client of the cloud's thread, which also sends that thread's requests to the store. */
struct http_client *cloud_client_http(void);
#endif
