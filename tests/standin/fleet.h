/* Stand-ins of the cloud and of workers: enough of both to rent, run, fall silent and be returned. */
#ifndef FF_STANDIN_FLEET_H
#define FF_STANDIN_FLEET_H
#include <stdbool.h>
#include <time.h>

bool standin_cloud_start(const char *address, const char *controller);
int standin_cloud_rented(void);
int standin_cloud_rentals_refused(void);       /* it refuses the first three rentals, each in another way */
void standin_cloud_refuse_no_rental(void);     /* it refuses none */
void standin_cloud_set_capacity(int machines); /* it has no more than so many at a time */
int standin_cloud_returned(void);
int standin_cloud_claims_reused(void); /* a claim used for two different orders */

void standin_workers_add_controller(const char *node, const char *controller); /* one more controller to report to */
void standin_workers_set_lease(double seconds);                                /* without it leases never end */
void standin_workers_set_unreachable(bool all);                                /* neither report nor answer */
void standin_workers_set_one_unreachable(int index);
int standin_workers_running(const char *task); /* on how many machines the task is now, with its image */
int standin_workers_holding(const char *task); /* the same, and those that still fetch for it */
int standin_workers_most_copies(void);         /* the most machines that ever ran one task at the same time */
int standin_workers_starts(void);
int standin_workers_starts_by_prefix(const char *prefix);      /* of tasks whose names begin so */
struct timespec standin_workers_first_start(const char *task); /* its first start; zero: never */
void standin_workers_set_first_port(int first);                /* where machines listen; before the first is rented */
/* The most tasks whose names begin so that were ever held at the same time, by any machine. */
void standin_workers_measure_peak(const char *prefix);
int standin_workers_peak(void);
int standin_workers_machine_of(const char *task); /* index of a machine that holds it, -1: none */

/* Tasks whose names begin so take that long to fetch; NULL: none. */
void standin_workers_set_fetch_time(const char *prefix, double seconds);

/* What reaches a machine, and what of it reaches others; index -1: all of them. */
enum standin_worker_fault {
    STANDIN_HEALTHY,
    STANDIN_IGNORES_STOPS,    /* all is well, but stops do nothing */
    STANDIN_CANNOT_REPORT,    /* reaches no controller; direct commands reach it */
    STANDIN_CANNOT_HEAR,      /* its reports arrive; answers and commands are lost */
    STANDIN_COMMANDS_DELAYED, /* reports as usual; commands get no answer and are executed when this ends */
    STANDIN_HANGS,            /* does nothing; what comes waits until this ends */
    STANDIN_PARTITIONED       /* reaches the first controller only; commands are lost */
};
void standin_workers_inject(int index, enum standin_worker_fault reach);

/* Of every report a copy goes to the other controllers that long later; 0: none. */
void standin_workers_duplicate_heartbeats(double after_s);
/* From now on workers report to this controller until it sends them away. */
void standin_workers_report_to(int controller);
#endif
