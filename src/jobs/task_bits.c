#include "task_bits.h"

#include <glib.h>

#define BITS_PER_BYTE 8
#define BITS_PER_DIGIT 4
#define DIGIT_MASK 0xF
#define DIGITS_PER_BYTE 2

static int bytes_of(int tasks) { return (tasks + BITS_PER_BYTE - 1) / BITS_PER_BYTE; }

uint8_t *task_bits_new(int tasks) { return g_malloc0((gsize)tasks / BITS_PER_BYTE + 1); }

bool task_bits_get(const uint8_t *bits, int task) {
    return bits && (bits[task / BITS_PER_BYTE] >> (task % BITS_PER_BYTE) & 1);
}

void task_bits_set(uint8_t *bits, int task) { bits[task / BITS_PER_BYTE] |= (uint8_t)(1 << (task % BITS_PER_BYTE)); }

int task_bits_count(const uint8_t *bits, int from, int n) {
    int count = 0;
    for (int i = from; i < from + n; i++) count += task_bits_get(bits, i);
    return count;
}

char *task_bits_text(const uint8_t *bits, int from, int n) {
    static const char digits[] = "0123456789abcdef";
    const uint8_t *first = bits + from / BITS_PER_BYTE;
    int bytes = bytes_of(n);
    char *text = g_malloc((gsize)bytes * DIGITS_PER_BYTE + 1), *end = text;
    for (int i = 0; i < bytes; i++) {
        *end++ = digits[first[i] >> BITS_PER_DIGIT];
        *end++ = digits[first[i] & DIGIT_MASK];
    }
    *end = 0;
    return text;
}

void task_bits_read(const char *text, uint8_t *bits, int from, int n) {
    uint8_t *first = bits + from / BITS_PER_BYTE;
    for (int i = 0; text && i < bytes_of(n) && text[0] && text[1]; i++, text += DIGITS_PER_BYTE)
        first[i] |= (uint8_t)(g_ascii_xdigit_value(text[0]) << BITS_PER_DIGIT | g_ascii_xdigit_value(text[1]));
}
