#include "task_bits.h"

#include <glib.h>

#define BITS_PER_BYTE 8
#define BITS_PER_HEX_DIGIT 4
#define HEX_DIGIT_MASK 0xF
#define HEX_DIGITS_PER_BYTE 2

static int byte_count(int n_tasks) { return (n_tasks + BITS_PER_BYTE - 1) / BITS_PER_BYTE; }

uint8_t *task_bits_new(int n_tasks) { return g_malloc0((gsize)n_tasks / BITS_PER_BYTE + 1); }

bool task_bits_get(const uint8_t *bits, int task) {
    return bits && (bits[task / BITS_PER_BYTE] >> (task % BITS_PER_BYTE) & 1);
}

void task_bits_set(uint8_t *bits, int task) { bits[task / BITS_PER_BYTE] |= (uint8_t)(1 << (task % BITS_PER_BYTE)); }

int task_bits_count(const uint8_t *bits, int first_task, int n_tasks) {
    int count = 0;
    for (int i = first_task; i < first_task + n_tasks; i++) count += task_bits_get(bits, i);
    return count;
}

char *task_bits_text(const uint8_t *bits, int first_task, int n_tasks) {
    static const char digits[] = "0123456789abcdef";
    const uint8_t *first_byte = bits + first_task / BITS_PER_BYTE;
    int n_bytes = byte_count(n_tasks);
    char *text = g_malloc((gsize)n_bytes * HEX_DIGITS_PER_BYTE + 1), *end = text;
    for (int i = 0; i < n_bytes; i++) {
        *end++ = digits[first_byte[i] >> BITS_PER_HEX_DIGIT];
        *end++ = digits[first_byte[i] & HEX_DIGIT_MASK];
    }
    *end = 0;
    return text;
}

void task_bits_read(const char *text, uint8_t *bits, int first_task, int n_tasks) {
    uint8_t *first_byte = bits + first_task / BITS_PER_BYTE;
    for (int i = 0; text && i < byte_count(n_tasks) && text[0] && text[1]; i++, text += HEX_DIGITS_PER_BYTE)
        first_byte[i] |= (uint8_t)(g_ascii_xdigit_value(text[0]) << BITS_PER_HEX_DIGIT | g_ascii_xdigit_value(text[1]));
}
