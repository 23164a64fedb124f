/* Ports of the loopback address for tests that run side by side. They come in blocks below those that the system gives
 * to outgoing connections: a process that is started again must find its own free. A block belongs to this process as
 * long as it runs. */
#ifndef FF_STANDIN_PORTS_H
#define FF_STANDIN_PORTS_H
#include <stdbool.h>
#include <stddef.h>

/* Claims a block for this process; false where all are taken. */
bool ports_claim(void);
/* The next port of the block. */
int ports_next(void);
/* The next one as an address, "127.0.0.1:PORT". */
void ports_next_address(char *text, size_t n);
#endif
