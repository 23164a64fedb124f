/* Loopback ports for tests that run in parallel. Each test process claims a block of ports until it ends. The blocks
 * are below the range from which the system chooses ports of outgoing connections, so that a controller that is
 * restarted finds its port free. */
#ifndef FF_STANDIN_PORTS_H
#define FF_STANDIN_PORTS_H
#include <stdbool.h>
#include <stddef.h>

/* Claims a block for this process. Returns false if all blocks are taken. */
bool ports_claim(void);
/* The block's next port that was not given out yet. */
int ports_next(void);
/* Writes the next port as an address, "127.0.0.1:PORT", to text, which holds n bytes. */
void ports_next_address(char *text, size_t n);
#endif
