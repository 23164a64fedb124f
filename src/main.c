/* Wires the slices together; every decision is theirs. */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "cloud/cloud.h"
#include "jobs/jobs.h"
#include "membership/membership.h"
#include "peers/peers.h"
#include "pool/pool.h"
#include "settings/settings.h"
#include "store/store.h"
#include "workers/workers.h"

#define VERSION "0.1.0"

static struct settings cfg;

static void on_request(struct http_req *r, void *ctx) {
    (void)ctx;
    if (strcmp(http_path(r), "/up") == 0) {
        if (strcmp(http_method(r), "GET") != 0) {
            http_reply(r, 405, NULL, 0);
            return;
        }
        store_lock();
        bool sees = store_ready() && base_since(store_verified()) < 5;
        bool first = !store_ready();
        store_unlock();
        /* Refused by the store while peers are served: others can help the users. In an outage that all see, the
         * nodes stay and say when to come back. */
        bool up = sees || (!first && !peers_see_store());
        http_reply(r, up ? 200 : 503, NULL, up ? 0 : 1);
        return;
    }
    if (workers_route(r) || jobs_route(r)) return;
    http_reply(r, 404, "{\"error\":\"no such path\"}", 0);
}

int main(int argc, char **argv) {
    gchar *config = NULL;
    gboolean check = FALSE, version = FALSE;
    GOptionEntry entries[] = {
        {"config", 'c', 0, G_OPTION_ARG_FILENAME, &config, "the platform's settings (JSON)", "FILE"},
        {"check", 0, 0, G_OPTION_ARG_NONE, &check, "check the settings and end", NULL},
        {"version", 0, 0, G_OPTION_ARG_NONE, &version, "print the version and end", NULL},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };
    GError *e = NULL;
    GOptionContext *o = g_option_context_new("- a cluster scheduler");
    g_option_context_set_description(o, "Operators' own settings (HCL) are read from the file that FIELDFIELD_TUNING names.\n"
                                        "LOG_LEVEL is error, info or debug.");
    g_option_context_add_main_entries(o, entries, NULL);
    if (!g_option_context_parse(o, &argc, &argv, &e)) {
        fprintf(stderr, "fieldfield: %s\n", e->message);
        return 2;
    }
    g_option_context_free(o);
    if (version) {
        puts("fieldfield " VERSION);
        return 0;
    }
    if (!config || argc > 1) {
        fprintf(stderr, "fieldfield: --config FILE is needed (see --help)\n");
        return 2;
    }
    char err[512];
    if (!settings_load(config, &cfg, err, sizeof err)) {
        fprintf(stderr, "fieldfield: %s\n", err);
        return 2;
    }
    if (check) {
        puts("settings are good");
        settings_clear(&cfg);
        return 0;
    }
    base_log_init(getenv("LOG_LEVEL"));
    log_info("fieldfield " VERSION " on %s", cfg.node);
    store_init(&cfg);
    membership_init(&cfg);
    peers_init(&cfg);
    jobs_init(&cfg);
    workers_init(&cfg);
    cloud_init(&cfg);
    pool_init(&cfg);
    jobs_start();
    if (!http_serve(cfg.bind, (unsigned)cfg.sockets * 3 / 4, on_request, NULL) || !peers_start()) {
        fprintf(stderr, "fieldfield: bind or cluster_listen: cannot listen\n");
        return 1;
    }
    store_mirror_start();
    membership_start();
    pool_start();
    workers_start();
    cloud_start();
    unsigned last = 0;
    for (;;) {
        sleep(10);
        unsigned now = store_budget_used();
        store_lock();
        log_info("status: %u unfinished jobs, %u machines, store %.1f calls/s, store seen %.1f s ago", jobs_active()->len,
                 pool_machines()->len, (now - last) / 10.0, base_since(store_verified()));
        store_unlock();
        last = now;
    }
}
