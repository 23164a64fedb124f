/* A small HTTP/1.1 server and client for the cases of the second review. The server has one thread for each connection.
 * All addresses are on 127.0.0.1. */
#ifndef REVIEW2_NET_H
#define REVIEW2_NET_H
#include <stddef.h>

struct net_request {
    char method[8], path[512];
    char *body; /* ends with a zero */
    int endpoint;
};

/* Returns the HTTP status; 0: the connection is closed without an answer. *answer is freed with free. */
typedef int (*net_handler)(const struct net_request *request, char **answer);

/* Returns a free port. */
int net_free_port(void);
/* Serves the port; endpoint is passed on with each request. Returns -1 if the port is in use, else the socket. */
int net_serve(int port, int endpoint, net_handler handler);
/* Sends one request on a new connection. Returns the HTTP status; 0: no answer in time. *answer (if not NULL) is the
 * body, or NULL; it is freed with free. */
int net_call(int port, const char *method, const char *path, const char *body, double timeout_s, char **answer);

double net_now(void); /* seconds of the steady clock */
void net_sleep(double seconds);
#endif
