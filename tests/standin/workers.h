/* Stand-ins of the workers: the agents of up to STANDIN_WORKERS_MAX machines, each with a thread that sends heartbeats
 * and a port for commands. They simulate tasks, and tests can inject faults of machines and their network. The
 * functions may be called from any thread, without store_lock. Machines are named by their index, in the order of their
 * creation. */
#ifndef FF_STANDIN_WORKERS_H
#define FF_STANDIN_WORKERS_H
#include <stdbool.h>
#include <time.h>

#define STANDIN_WORKERS_MAX 32

/* Called before the other functions, except standin_workers_set_first_port. Workers send heartbeats to this address of
 * a controller first. The string is kept, not copied. */
void standin_workers_start(const char *controller);
/* Adds a controller to which workers can send heartbeats. The strings are kept, not copied. */
void standin_workers_add_controller(const char *node, const char *controller);
/* Sets the port of the first machine; further machines use the ports above it. Called before a machine is added. */
void standin_workers_set_first_port(int first);
/* Sets after how many seconds without an answer to a heartbeat a machine kills its tasks. Without this call, machines
 * do not kill tasks for that reason. */
void standin_workers_set_lease(double seconds);

/* For the stand-in of the cloud: adds a machine and returns its id, which stays valid; NULL: STANDIN_WORKERS_MAX
 * machines were added before. */
const char *standin_workers_add(bool spot);
/* For the stand-in of the cloud: switches the machine off. Returns false if the machine does not exist or was switched
 * off before. */
bool standin_workers_remove(const char *id);
/* Number of machines that were added and not removed. */
int standin_workers_alive(void);
/* Whether the machine was added and not removed. */
bool standin_workers_is_alive(int index);
/* Number of machines that were added. */
int standin_workers_added(void);

#define STANDIN_COMMAND_DELAY_S 0.3
#define STANDIN_RESPONSE_DELAY_S 2.5 /* a worker drops a response 4 s after it sent the heartbeat */

/* Faults of a machine, or of its network. */
enum standin_worker_fault {
    STANDIN_HEALTHY,
    STANDIN_IGNORES_STOPS,    /* ignores stop directives */
    STANDIN_CANNOT_REPORT,    /* heartbeats are lost; commands arrive */
    STANDIN_CANNOT_RECEIVE,   /* heartbeats arrive; their answers and commands are lost */
    STANDIN_COMMANDS_DELAYED, /* heartbeats work; commands get an error and are executed when the fault ends */
    STANDIN_HANGS,            /* sends nothing; commands get an error and are executed when the fault ends */
    STANDIN_STARTS_DELAYED,   /* commands arrive STANDIN_COMMAND_DELAY_S late; responses to heartbeats that bring a new
                                 start arrive STANDIN_RESPONSE_DELAY_S late */
    STANDIN_PARTITIONED,      /* sends heartbeats to the first controller only; commands are lost */
    STANDIN_DEAF              /* heartbeats arrive; their answers are lost, commands get an error and are executed when
                                 the fault ends */
};
/* Replaces the machine's fault; index -1: the faults of all machines. */
void standin_workers_inject(int index, enum standin_worker_fault fault);
/* Number of starts of tasks with this prefix in the commands that wait for a fault to end. */
int standin_workers_delayed_starts(const char *prefix);
/* Makes a machine forget everything, as if it had been replaced under its name within a moment: it has no tasks, is in
 * its first incarnation and has received no fencing token. */
void standin_workers_replace(int index);
/* Sets whether all machines are unreachable: they send no heartbeats, and commands are lost. */
void standin_workers_set_unreachable(bool unreachable);
/* Makes one machine unreachable until the process ends. */
void standin_workers_set_machine_unreachable(int index);
/* Sends a copy of every heartbeat to the next controller, so many seconds later; 0: no copies. */
void standin_workers_duplicate_heartbeats(double after_s);
/* How long after a command was answered its copy arrives, in seconds, chosen at random with the seed. */
struct standin_copy_delay {
    double shortest_s, longest_s;
    unsigned seed;
};
/* Delivers every command that starts tasks once more, to the same worker, after the worker has answered it; NULL: makes
 * no more copies. */
void standin_workers_copy_commands(const struct standin_copy_delay *delay);
/* Delivers all copies of commands now that were made so far. */
void standin_workers_deliver_command_copies(void);
/* Number of copies of commands that workers have carried out, and that they have refused. */
struct standin_copy_counts {
    int carried_out, refused;
};
struct standin_copy_counts standin_workers_command_copies(void);
/* Makes workers send their heartbeats to this controller. A worker changes to another controller when a heartbeat gets
 * no answer, or an answer other than 200. */
void standin_workers_report_to(int controller);
/* Sets the time to fetch the images of tasks with this prefix; NULL: no task needs time. The prefix is kept, not
 * copied. */
void standin_workers_set_fetch_time(const char *prefix, double seconds);

/* Number of machines on which the task runs, with its image fetched. */
int standin_workers_running(const char *task);
/* Number of machines on which the task runs or its image is being fetched. */
int standin_workers_holding(const char *task);
/* Index of a machine on which the task runs or its image is being fetched; -1: none. */
int standin_workers_machine_of(const char *task);
/* The highest number of machines on which one task ran at the same time. */
int standin_workers_most_copies(void);
/* Number of task starts so far: of all tasks, and of tasks with this prefix. */
int standin_workers_starts(void);
int standin_workers_starts_by_prefix(const char *prefix);
/* Number of starts of an attempt on a machine on which the same attempt had been started before. */
int standin_workers_restarts(void);
/* The highest number of tasks, ended ones included, that one machine has listed in a heartbeat since the last call. */
int standin_workers_longest_list(void);
/* Number of responses to heartbeats that were delayed by STANDIN_STARTS_DELAYED. */
int standin_workers_delayed_responses(void);
/* When the task was first started; zero: never. */
struct timespec standin_workers_first_start(const char *task);
/* Restarts the measurement of the highest number of tasks with this prefix that all machines together hold at the same
 * time. The prefix is kept, not copied. */
void standin_workers_measure_peak(const char *prefix);
/* The result of that measurement so far. */
int standin_workers_peak(void);
#endif
