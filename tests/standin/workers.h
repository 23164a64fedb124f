/* Stand-ins of the workers: the agents of up to STANDIN_WORKERS_MAX machines, each with a thread that sends heartbeats
 * and a port for commands. They run tasks, and faults of machines and their network can be injected. Tests call these
 * functions from any thread, without the lock; machines are named by their index, in the order of their creation. */
#ifndef FF_STANDIN_WORKERS_H
#define FF_STANDIN_WORKERS_H
#include <stdbool.h>
#include <time.h>

#define STANDIN_WORKERS_MAX 32

/* Before all else; workers report to this controller (address) first. The address must outlive the process's threads.
 */
void standin_workers_start(const char *controller);
/* One more controller to report to; the strings are kept. */
void standin_workers_add_controller(const char *node, const char *controller);
/* The port of the first machine, the next ones follow; before the first is created. */
void standin_workers_set_first_port(int first);
/* How long a machine's tasks run on without an answer to a heartbeat. Unless set, they always do. */
void standin_workers_set_lease(double seconds);

/* For the cloud: a new machine's id, which stays valid; NULL: there are STANDIN_WORKERS_MAX already. */
const char *standin_workers_add(bool spot);
/* For the cloud: the machine is switched off; false: it is none, or was switched off before. */
bool standin_workers_remove(const char *id);
/* Machines that were added and not removed. */
int standin_workers_alive(void);
/* All that were added. */
int standin_workers_added(void);

/* What a machine can't do; index -1: all of them. */
enum standin_worker_fault {
    STANDIN_HEALTHY,
    STANDIN_IGNORES_STOPS,    /* directives to stop do nothing */
    STANDIN_CANNOT_REPORT,    /* its heartbeats are lost; commands arrive */
    STANDIN_CANNOT_HEAR,      /* its heartbeats arrive; answers and commands are lost */
    STANDIN_COMMANDS_DELAYED, /* heartbeats as usual; commands get no answer and are executed when this ends */
    STANDIN_HANGS,            /* does nothing; commands wait until this ends */
    STANDIN_PARTITIONED       /* reaches the first controller only; commands are lost */
};
void standin_workers_inject(int index, enum standin_worker_fault fault);
/* All machines: no heartbeat leaves them, and no command arrives. */
void standin_workers_set_unreachable(bool unreachable);
/* The same of one machine, for good. */
void standin_workers_set_one_unreachable(int index);
/* Of every heartbeat a copy goes to the next controller that long later; 0: none. */
void standin_workers_duplicate_heartbeats(double after_s);
/* From now on workers report to this controller until it sends them elsewhere. */
void standin_workers_report_to(int controller);
/* Images of tasks whose names begin so take that long to fetch; NULL: none. The prefix is kept. */
void standin_workers_set_fetch_time(const char *prefix, double seconds);

/* On how many machines the task runs now, with its image. */
int standin_workers_running(const char *task);
/* The same, and those that still fetch its image. */
int standin_workers_holding(const char *task);
/* Index of a machine that holds the task; -1: none. */
int standin_workers_machine_of(const char *task);
/* The most machines that ever ran one task at the same time. */
int standin_workers_most_copies(void);
/* Starts of tasks so far: of all, and of those whose names begin so. */
int standin_workers_starts(void);
int standin_workers_starts_by_prefix(const char *prefix);
/* When the task was first started; zero: never. */
struct timespec standin_workers_first_start(const char *task);
/* From now on counts the most tasks whose names begin so that any machines held at the same time. The prefix is kept.
 */
void standin_workers_measure_peak(const char *prefix);
int standin_workers_peak(void);
#endif
