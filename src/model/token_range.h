/* Fencing tokens. A grant, which is written to the store together with the fencing counter, gives an owner a range of
 * tokens that no other grant contains. The owner begins with the first token and raises it within the range without a
 * write. Types only. */
#ifndef FF_MODEL_TOKEN_RANGE_H
#define FF_MODEL_TOKEN_RANGE_H
#include <stdbool.h>
#include <stdint.h>

/* Number of tokens in a grant. Part of the layout of machine pages, which record only the first token of a range. */
#define FENCING_TOKENS_PER_GRANT 128

struct token_range {
    int64_t first, last;
};

/* Returns the range of a whole grant that begins with this token. Pure. */
static inline struct token_range token_range_of_grant(int64_t first) {
    return (struct token_range){first, first + FENCING_TOKENS_PER_GRANT - 1};
}

/* Returns whether the range contains the token. Pure. */
static inline bool token_range_contains(struct token_range range, int64_t token) {
    return token >= range.first && token <= range.last;
}
#endif
