/* The settings of a controller, from three files: the platform's file (JSON), the operators' tuning file and their file
 * of divided teams (both HCL). The files are read once at the start. The settings never change afterwards, so any
 * thread may read them without a lock. */
#ifndef FF_SETTINGS_H
#define FF_SETTINGS_H
#include <glib.h>
#include <stdbool.h>
#include <time.h>

#define SETTINGS_TEAMS_MAX 256
#define SETTINGS_PEERS_MAX 16
#define SETTINGS_ZONES_MAX 32
#define SETTINGS_OBJECTIVES_MAX 64

/* A team with its guarantee and its limit. */
struct settings_team {
    char *name;
    int n_shards; /* the number of shards that the team is divided over; 1: undivided */
    double guaranteed_cpus, cpus_max, guaranteed_gpus, gpus_max; /* cpus_max and gpus_max: the limit; 0: none */
};

/* Another controller: its name, its zone, and the address at which it listens for controllers. The platform's file
 * calls it a seed. */
struct settings_peer {
    char *node, *zone, *address;
};

enum settings_objective_kind { OBJECTIVE_WAIT, OBJECTIVE_FINISHED, OBJECTIVE_GUARANTEE, OBJECTIVE_DEADLINE };

/* A service-level objective: this fraction of the class's jobs has to start, or finish, within the time. */
struct settings_objective {
    enum settings_objective_kind kind;
    char *job_class; /* empty: all classes */
    double within_s, job_fraction;
};

/* The operators' tuning settings. */
struct settings_tuning {
    /* Occupancies, from 0 to 1, below which placement prefers a machine: the shard's reception machine, to which tasks
     * go first, and the other machines. Drains start only while the headroom is above headroom_margin times the
     * admission threshold. */
    double reception_threshold, admission_threshold, headroom_margin;
    double occupancy_window_heartbeats; /* number of heartbeats over which occupancy is averaged */
    struct timespec drain_timeout;      /* a drain whose machine is still busy after this time is cancelled */
    struct timespec silence_timeout;  /* lower bound of the time without heartbeats after which a machine is returned */
    struct timespec controller_lease; /* duration of a controller's lease in the store */
    struct timespec watch_gap;        /* pause between two watch requests to the store */
    double machines_per_shard;        /* upper limit on a shard's machines, present or requested */
    /* Jobs that allow spot machines also get on-demand machines if the present machines need more time for these jobs'
     * waiting tasks than this multiple of the time within which the jobs should finish. */
    double spot_backlog_factor;
};

/* The operators' settings for divided teams, apart from the numbers of shards (settings_team.n_shards). */
struct settings_quota {
    struct timespec reservation_timeout; /* how long capacity stays reserved for one job that needs more than is free */
};

/* All settings of a controller. */
struct settings {
    char *node, *zone;                          /* this controller's name and zone */
    char *listen_address, *peer_listen_address; /* listens for users and workers; for other controllers */
    char *cloud_address, *store_address;        /* the platform's file calls the store the state service */
    struct settings_peer peers[SETTINGS_PEERS_MAX];
    int n_peers;
    int n_shards; /* number of shards, equal to the number of controllers */
    char *zones[SETTINGS_ZONES_MAX];
    int n_zones;
    struct settings_team teams[SETTINGS_TEAMS_MAX];
    int n_teams;
    struct settings_objective objectives[SETTINGS_OBJECTIVES_MAX];
    int n_objectives;
    /* Settings of the workers. gang_wait and gang_peer are checked when they are read, but not used. */
    struct timespec heartbeat_interval, worker_lease, gang_wait, gang_peer;
    struct timespec cancel_timeout; /* tasks of a cancelled job must have ended within this time */
    /* The store's limits (`settings.state` in the platform's file). The store may lower them once, without notice, to
     * the limits in `state.next`. For rates and operations, the lower of both limits applies from the start, since this
     * costs little. Values may have the current maximum size as long as the layout of the records needs it. */
    double store_requests_per_s, store_changes_per_s; /* of all controllers together; a change is one operation */
    int txn_operations_max;                           /* operations per transaction */
    double value_max_kb;                              /* size of a value, in KiB, before the limits are lowered */
    double next_value_max_kb;                         /* the same afterwards; never above value_max_kb */
    double cloud_requests_per_s;                      /* of all controllers together */
    struct timespec machine_list_lag; /* delay of the cloud's list of machines; checked when it is read, but not used */
    int sockets_max;                  /* open sockets of this controller */
    struct settings_tuning tuning;
    struct settings_quota quota;
};

/* Errors in the settings files. The message names the file, the field and the problem. */
#define SETTINGS_ERROR settings_error_quark()
GQuark settings_error_quark(void);
enum settings_error {
    SETTINGS_ERROR_UNREADABLE,   /* the file cannot be read */
    SETTINGS_ERROR_SYNTAX,       /* the file is not valid JSON or HCL */
    SETTINGS_ERROR_MISSING,      /* a required field is missing */
    SETTINGS_ERROR_INVALID,      /* a field has another type or form */
    SETTINGS_ERROR_OUT_OF_RANGE, /* a number is out of range */
    SETTINGS_ERROR_CONFLICT,     /* a field contradicts another field */
    SETTINGS_ERROR_UNKNOWN,      /* there is no such setting or team */
};

/* Reads the platform's file at `path`, and the files that the environment variables FIELDFIELD_TUNING and
 * FIELDFIELD_QUOTA name. On failure, this function and the three settings_parse functions return false with the first
 * error in *error. settings_clear frees what was read, also after a failure. */
bool settings_load(const char *path, struct settings *out, GError **error);
/* Parses the text of the platform's file. `file` is its name in messages. */
bool settings_parse(const char *json, const char *file, struct settings *out, GError **error);
/* Parses the text of the tuning file. */
bool settings_parse_tuning(const char *hcl, const char *file, struct settings_tuning *out, GError **error);
/* Parses the text of the file of divided teams into settings that settings_parse has filled. */
bool settings_parse_quota(const char *hcl, const char *file, struct settings *settings, GError **error);
void settings_clear(struct settings *settings);

/* Returns the shortest time in seconds of all objectives of this kind that apply to the class, or `default_s` if there
 * is none. */
double settings_shortest_objective_s(const struct settings *settings, enum settings_objective_kind kind,
                                     const char *job_class, double default_s);
/* Returns whether an objective of this kind names this class itself; an objective that applies to all classes does not
 * count. */
bool settings_has_objective(const struct settings *settings, enum settings_objective_kind kind, const char *job_class);
/* Returns the home shard of a team, which holds all its jobs unless the team is divided over several shards. */
int settings_home_shard(const struct settings *settings, int team);
/* Return the index of the zone or team of this name, or -1 if it is unknown. */
int settings_zone(const struct settings *settings, const char *name);
int settings_team(const struct settings *settings, const char *name);
#endif
