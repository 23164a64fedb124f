/* Unknown fields in the messages that the stand-ins send. The protocol asks every receiver to ignore them. */
#ifndef FF_STANDIN_UNKNOWN_FIELDS_H
#define FF_STANDIN_UNKNOWN_FIELDS_H
#include "http/server.h"
#include "json/json.h"

/* The senders of messages. */
enum standin_sender {
    STANDIN_SENDER_WORKER_HEARTBEAT,
    STANDIN_SENDER_WORKER_ANSWER,
    STANDIN_SENDER_STORE,
    STANDIN_SENDER_CLOUD,
    STANDIN_SENDERS
};

/* From now on, each object of the sender's messages begins with these members, JSON text such as "\"x\":1,\"y\":2".
 * Values of the store's keys are left as they are. NULL: no unknown fields. The text is kept, not copied. */
void standin_unknown_fields_set(enum standin_sender sender, const char *members);
/* Returns the message's text with the sender's unknown fields. The caller frees it with g_free. */
char *standin_unknown_fields_print(enum standin_sender sender, const cJSON *message);
/* Replies with the message, which is freed. */
void standin_unknown_fields_reply(enum standin_sender sender, struct http_request *request, unsigned status,
                                  cJSON *message);
#endif
