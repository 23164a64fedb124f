/* The connections of an HTTP server: closes those that hold a place without need, so that slow or broken clients cannot
 * keep others out.
 *
 * A connection's request has a deadline from its first byte to its last, whatever arrives in between; so has a new
 * connection for its first request. If nearly all places are taken, the connections whose request has been incomplete
 * for longest are closed, and then those that have been idle for longest, until half of the places are free. A
 * connection with a complete request stays open until its response is sent. */
#ifndef FF_HTTP_CONNECTIONS_H
#define FF_HTTP_CONNECTIONS_H

#define HTTP_REQUEST_DEADLINE_S 5.0 /* users wait as long for an answer */

struct http_connections;
struct http_connection;

/* Creates the table of a server's connections. max_connections: the number of places. */
struct http_connections *http_connections_new(unsigned max_connections);
/* Frees a table without connections whose thread was not started. */
void http_connections_free(struct http_connections *connections);
/* Starts the thread that closes connections. The table must live as long as the process. */
void http_connections_start(struct http_connections *connections);

/* The functions below are called on the server's thread. */

/* Adds a connection that was just accepted. */
struct http_connection *http_connections_add(struct http_connections *connections, int socket_fd);
/* Removes and frees a connection whose socket is about to be closed. */
void http_connections_remove(struct http_connections *connections, struct http_connection *connection);
/* A complete request has arrived; its response has been sent, or it was given up. */
void http_connections_begin_request(struct http_connections *connections, struct http_connection *connection);
void http_connections_end_request(struct http_connections *connections, struct http_connection *connection);
#endif
