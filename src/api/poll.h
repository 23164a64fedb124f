/* Poll queue: responds to polls from the mirror after the store has confirmed that the mirror is current. It has its
 * own thread, so that a burst of submissions does not delay polls. */
#ifndef FF_API_POLL_H
#define FF_API_POLL_H
#include "../http/server.h"
#include "../settings/settings.h"

/* Called by api_init and api_start. Keeps the pointer to the settings. */
void poll_init(const struct settings *settings);
void poll_start(void);
/* Responds to a poll or queues it. Called on the HTTP server's thread, without store_lock. */
void poll_receive(struct http_request *http, const char *job_id);
#endif
