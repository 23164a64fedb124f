/* The world around the controllers for the cases of the second review: the platform, the state service, the cloud, the
 * workers and the users, as the users' pages describe them, in one process. The controllers are real processes. What
 * happens is written to a record, and each start of a task is checked against the rules. */
#ifndef REVIEW2_WORLD_H
#define REVIEW2_WORLD_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum { WORLD_CONTROLLERS_MAX = 7, WORLD_ZONES_MAX = 4, WORLD_TEAMS_MAX = 8 };

struct world_team {
    const char *name;
    double cpus, cpus_max, gpus, gpus_max;
};

struct world_config {
    int controllers;
    const char *zones[WORLD_ZONES_MAX];
    int n_zones;
    struct world_team teams[WORLD_TEAMS_MAX];
    int n_teams;
    double report_s, lease_s, gang_wait_s, gang_peer_s, cancel_s;
    double rps, write_rps, value_kb;
    int txn_ops;
    double cloud_rps, list_lag_s;
    double cores, mem_mb;
    int sockets;
    double restart_delay_s;
    /* the only machine type; it is offered in all zones */
    const char *sku;
    double vcpus, gpus, memory_gb, local_gb, fetch_gb_per_s, hourly, market_price, startup_s;
    /* machines that the cloud has of each zone: ordinary, spot */
    int ordinary[WORLD_ZONES_MAX], spot[WORLD_ZONES_MAX];
    const char *objectives; /* JSON list */
    int up_at_start;        /* ordinary machines that are up at the start */
    uint64_t first_seq;     /* number of each worker's first report */
};

extern struct world_config world_kerwatt;    /* kit/sites/kerwatt-bids.toml */
extern struct world_config world_aria;       /* kit/sites/aria-etna.toml */
extern struct world_config world_aria_fleet; /* kit/fleet/aria-etna-fleet.toml, with a small cloud */

/* Starts the stand-ins and writes the settings files. The arguments are those of each case's program: the folder of the
 * repository and the path of the record. Ends the process with 2 on failure. */
void world_start(const struct world_config *config, int argc, char **argv);
bool world_trouble(void); /* whether the environment asks for the disruption: TROUBLE is not 0 */
/* Ends all processes and writes the result. Returns the exit status: 1 if broken, else 0. */
int world_finish(bool broken);
void world_log(const char *format, ...) __attribute__((format(printf, 1, 2)));
double world_time(void); /* seconds since world_start */
void world_wait_until(double time);
bool world_controllers_alive(void); /* whether every started controller still runs */

void world_controller_start(int index);
void world_controller_kill(int index);
void world_controller_signal(int index, int signal_number);
int world_controller_pid(int index);

struct world_job {
    const char *uid, *jobclass, *owner, *shape, *rank;
    int tasks;
    double vcpus, gpus, memory_gb, pull_gb;
    bool together, spread, reclaimable;
    double runtime_s, checkpoint_s, flush_s, due_s;
    const char *prereqs, *image, *site;
};
/* Tells the workers of a job that was submitted earlier. */
void world_know(const struct world_job *job);
/* Sends a submission to one controller; the job is known to the workers from then on. Returns the status. */
int world_submit_at(int controller, const struct world_job *job);
/* Submits as a user does: at one controller after the other, for up to 60 s. Returns the last status. */
int world_submit(const struct world_job *job);
/* Asks one controller. Copies the state, or "" if there is none. Returns the status. */
int world_poll_at(int controller, const char *uid, char state[16]);
int world_cancel_at(int controller, const char *uid, char state[16]);

/* The state service, by controller. */
void world_state_refuse(int controller, bool refused); /* 503; leases of this controller run out */
void world_state_outage(bool outage);                  /* 503 to all; leases have their full time afterwards */
/* This share of transactions gets no answer; it is carried out so many seconds later. */
void world_state_late_writes(double share, double from_s, double to_s);
void world_state_put(const char *key, const char *value); /* as if a controller had written it earlier */
char *world_state_get(const char *key);                   /* the value, or NULL; freed with free */
long world_state_epoch(void);
long world_state_over_rate(void); /* requests that got 429 */
void world_state_answer_delay(double seconds);

/* The cloud. */
void world_cloud_capacity(int zone, int ordinary, int spot);
int world_cloud_refusals(void);             /* rentals that were refused for lack of capacity */
int world_machines_rented(int zone);        /* ever; zone -1: all */
int world_machines_held(void);              /* rented and not returned */
int world_machines_up(int zone, bool spot); /* that report */

/* Machines. */
void world_machine_cut(int zone, bool cut);           /* all machines of the zone lose the network; -1: all zones */
void world_machines_hang(const char *uid, bool hang); /* machines with a task of this job stand still */
void world_machines_turn_faulty(void); /* those that are rented now fail each task 2 s after it began to run */
void world_late_reports(double share, double from_s, double to_s);
void world_late_commands(double share, double from_s, double to_s);

/* Tasks. */
int world_starts(const char *uid);  /* starts of tasks of the job so far; NULL: of all jobs */
int world_running(const char *uid); /* tasks of the job that are on a machine now */
int world_running_in(const char *uid, int zone);
int world_violations(void); /* ran_twice, quota, wrong_place, ran_cancelled, too_early seen so far */
void world_told_cancelled(const char *uid);
#endif
