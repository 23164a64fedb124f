/* The settings of a controller: the platform's file (JSON), the operators' own file and their file of divided teams
 * (HCL). Read once at the start; afterwards they never change, and any thread reads them without a lock. */
#ifndef FF_SETTINGS_H
#define FF_SETTINGS_H
#include <glib.h>
#include <stdbool.h>
#include <time.h>

#define SETTINGS_TEAMS 256
#define SETTINGS_SEEDS 16
#define SETTINGS_ZONES 32
#define SETTINGS_OBJECTIVES 64

struct settings_team {
    char *name;
    int shards;                            /* that the team is divided over; 1: it is not */
    double cpus, cpus_max, gpus, gpus_max; /* guarantee and limit; a maximum of 0: none */
};

/* Another controller. */
struct settings_seed {
    char *node, *area, *address;
};

enum settings_objective_kind { OBJECTIVE_WAIT, OBJECTIVE_FINISHED, OBJECTIVE_GUARANTEE, OBJECTIVE_DEADLINE };

/* A service-level objective: that fraction of the class's jobs is to start, or be done, within a time. */
struct settings_objective {
    enum settings_objective_kind kind;
    char *job_class; /* empty: all */
    double within_s, fraction;
};

/* The operators' own settings; the design's values are the defaults. */
struct settings_tuning {
    double reception, admission, margin; /* thresholds of occupancy, and the headroom that is kept */
    double window;                       /* heartbeats in an average of occupancy */
    struct timespec drain_reopen;        /* a drain that is still busy after that is cancelled */
    struct timespec silent_return;       /* silence after which a machine is returned */
    struct timespec node_lease;          /* the controllers' leases */
    struct timespec watch_gap;           /* pause between two reads of the store's changes */
    double machines_per_shard;           /* rented at most */
    double spot_backlog; /* backlog, in wanted times, past which work that allows spot gets on-demand machines */
};

/* The operators' settings of divided teams. */
struct settings_quota {
    struct timespec reservation_timeout; /* for so long room is reserved for one job that needs more than is free */
};

struct settings {
    char *node, *area;           /* this controller and its zone */
    char *bind, *cluster_listen; /* addresses for users and workers, and for the other controllers */
    char *cloud, *state;         /* addresses of the cloud and of the state service */
    struct settings_seed seeds[SETTINGS_SEEDS];
    int n_seeds;
    int size; /* controllers in all, and the number of shards */
    char *zones[SETTINGS_ZONES];
    int n_zones;
    struct settings_team teams[SETTINGS_TEAMS];
    int n_teams;
    struct settings_objective objectives[SETTINGS_OBJECTIVES];
    int n_objectives;
    struct timespec heartbeat_interval, lease, gang_wait, gang_peer;
    struct timespec cancel; /* a cancelled job's tasks have to be gone by then */
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

/* What is wrong with a file; the message names file, field and fault. */
#define SETTINGS_ERROR settings_error_quark()
GQuark settings_error_quark(void);
enum settings_error {
    SETTINGS_ERROR_UNREADABLE,   /* the file */
    SETTINGS_ERROR_SYNTAX,       /* not JSON, or not HCL */
    SETTINGS_ERROR_MISSING,      /* a field that is needed */
    SETTINGS_ERROR_INVALID,      /* of another form */
    SETTINGS_ERROR_OUT_OF_RANGE, /* a number */
    SETTINGS_ERROR_CONFLICT,     /* with another field */
    SETTINGS_ERROR_UNKNOWN,      /* no such setting or team */
};

/* Reads the platform's file and those that FIELDFIELD_TUNING and FIELDFIELD_QUOTA name. All readers return false, with
 * the first fault in *error, on failure; what was read is then freed with settings_clear, as on success. */
bool settings_load(const char *path, struct settings *out, GError **error);
/* The same for the text of one file, whose name is told in messages. */
bool settings_parse(const char *json, const char *file, struct settings *out, GError **error);
bool settings_parse_tuning(const char *hcl, const char *file, struct settings_tuning *out, GError **error);
/* Reads which teams are divided, into settings that are read already. */
bool settings_parse_quota(const char *hcl, const char *file, struct settings *settings, GError **error);
void settings_clear(struct settings *settings);

/* The shortest time that an objective of this kind names for the class, or for all; `otherwise` where none does. */
double settings_objective_within(const struct settings *settings, enum settings_objective_kind kind,
                                 const char *job_class, double otherwise);
/* Whether an objective of this kind names the class. */
bool settings_has_objective(const struct settings *settings, enum settings_objective_kind kind, const char *job_class);
/* The home shard of a team: that of all its jobs, unless the team is divided over several. */
int settings_home_shard(const struct settings *settings, int team);
/* The index of a zone or team; -1: unknown. */
int settings_zone(const struct settings *settings, const char *name);
int settings_team(const struct settings *settings, const char *name);
#endif
