/* The platform's JSON file and the operators' own HCL file. */
#ifndef FF_SETTINGS_H
#define FF_SETTINGS_H
#include <stdbool.h>
#include <time.h>

#define SETTINGS_TEAMS 256
#define SETTINGS_SEEDS 16
#define SETTINGS_ZONES 32
#define SETTINGS_OBJECTIVES 64

struct settings_team {
    char *name;
    int shards;                            /* that the team is divided over; 1: it is not */
    double cpus, cpus_max, gpus, gpus_max; /* a maximum of 0: none */
};
struct settings_seed {
    char *node, *area, *address;
};

enum settings_aim { AIM_WAIT, AIM_FINISHED, AIM_GUARANTEE, AIM_DEADLINE };
struct settings_objective {
    enum settings_aim kind;
    char *job_class; /* empty: all */
    double within_s, fraction;
};

/* Operators' settings; the design's values are the defaults. */
struct settings_tuning {
    double reception, admission, margin;
    double window;
    struct timespec drain_reopen, silent_return, node_lease, watch_gap;
    double machines_per_shard;
    double dear_backlog; /* part of the wanted time that cheap work's backlog may last before dear machines help */
};

/* Operators' settings of divided teams. */
struct settings_quota {
    struct timespec gather; /* for so long room is held back for one job that needs more than is free */
};

struct settings {
    char *node, *area, *bind, *cluster_listen, *cloud, *state;
    struct settings_seed seeds[SETTINGS_SEEDS];
    int n_seeds;
    int size;
    char *zones[SETTINGS_ZONES];
    int n_zones;
    struct settings_team teams[SETTINGS_TEAMS];
    int n_teams;
    struct settings_objective objectives[SETTINGS_OBJECTIVES];
    int n_objectives;
    struct timespec heartbeat_interval, lease, gang_wait, gang_peer, cancel;
    /* The state service's limits. The service may lower them once, without notice, to those of `state.next`: rates and
     * operations are the smaller of both, since they cost little from the start; a value may have the present size as
     * long as the layout of the records needs it. */
    double state_rps, state_write_rps;
    int txn_ops;
    double value_kb;      /* at present */
    double next_value_kb; /* after the change; never above value_kb */
    double cloud_rps;
    struct timespec list_lag;
    int sockets;
    struct settings_tuning tuning;
    struct settings_quota quota;
};

/* On failure err says file and field. */
bool settings_load(const char *path, struct settings *out, char *err, size_t errlen);
bool settings_parse(const char *json, const char *name, struct settings *out, char *err, size_t errlen);
bool settings_parse_tuning(const char *hcl, const char *name, struct settings_tuning *out, char *err, size_t errlen);
/* Reads which teams are divided, into settings that are read already. */
bool settings_parse_quota(const char *hcl, const char *name, struct settings *out, char *err, size_t errlen);
void settings_clear(struct settings *s);
/* The shortest time that an aim of this kind names for the class; otherwise, where none does. */
double settings_within(const struct settings *s, enum settings_aim kind, const char *job_class, double otherwise);
bool settings_has_aim(const struct settings *s, enum settings_aim kind, const char *job_class);
int settings_zone(const struct settings *s, const char *name); /* -1: unknown */
int settings_team(const struct settings *s, const char *name);
#endif
