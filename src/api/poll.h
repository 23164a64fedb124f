/* Polls: answered from the mirror once the store has confirmed that it is up to date. The poll queue has a thread of
 * its own, so that a burst of submissions does not hold up polls. */
#ifndef FF_API_POLL_H
#define FF_API_POLL_H
#include "../http/server.h"
#include "../settings/settings.h"

/* By api_init and api_start. */
void poll_init(const struct settings *settings);
void poll_start(void);
/* Answers or queues a poll. On the HTTP server's thread, without the lock. */
void poll_receive(struct http_request *http, const char *job_id);
#endif
