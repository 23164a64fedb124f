#include "ports.h"

#include <arpa/inet.h>
#include <glib.h>
#include <stdint.h>
#include <sys/socket.h>
#include <unistd.h>

#define FIRST_BLOCK_PORT 10000
#define BLOCK_PORTS 100
#define BLOCKS 220

static int next_port;

/* Claims a block by listening on its first port; the socket stays open until the process ends. */
static bool claim_block(int first_port) {
    struct sockaddr_in address = {
        .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK), .sin_port = htons((uint16_t)first_port)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0) return false;
    if (bind(fd, (struct sockaddr *)&address, sizeof address) == 0 && listen(fd, 1) == 0) return true;
    close(fd);
    return false;
}

bool ports_claim(void) {
    for (int n = 0; n < BLOCKS; n++) {
        int first = FIRST_BLOCK_PORT + ((int)getpid() + n) % BLOCKS * BLOCK_PORTS;
        if (!claim_block(first)) continue;
        next_port = first + 1;
        return true;
    }
    return false;
}

int ports_next(void) { return next_port++; }

void ports_next_address(char *text, size_t n) { g_snprintf(text, (gulong)n, "127.0.0.1:%d", ports_next()); }
