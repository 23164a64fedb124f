/* All slices wired as in the service, with one share owned: what tests of an owner's decisions begin from. */
#ifndef FF_STANDIN_OWNED_H
#define FF_STANDIN_OWNED_H
#include "membership/membership.h"
#include "service/service.h"
#include "store/store.h"

static inline void owned_start(const struct settings *s) {
    base_log_init("error");
    service_init(s);
    store_mirror_start();
    membership_start();
    for (int i = 0; i < 100; i++) {
        store_lock();
        bool mine = membership_mine(0);
        store_unlock();
        if (mine) break;
        base_sleep(base_span(0.1));
    }
}
#endif
