#include "store.h"

#include "request.h"

void store_init(const struct settings *settings) {
    store_request_init(settings);
    store_budget_init(settings);
    store_mirror_init(settings);
}
