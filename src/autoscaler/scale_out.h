/* What to rent, and what to give back. */
#ifndef FF_AUTOSCALER_SCALE_OUT_H
#define FF_AUTOSCALER_SCALE_OUT_H
#include <glib.h>
#include <stdbool.h>

#include "../machines/machines.h"

void scale_out_init(const struct settings *s);
int scale_out_plan(struct rental_request *out, int most);
int scale_in_plan_returns(char ids[][64], int most, int *busy); /* busy: how many of them hold tasks */
bool scale_out_type_fits(const struct job_spec *j, const struct machine_type *f);

struct planned_machine { /* a machine that is there or on its way, with the room left on it */
    struct rental_request o;
    double cpu, gpu, mem; /* left */
    bool foreign;         /* another shard's, for work that needs it only */
    bool kept;            /* up and whole, for gangs only */
};
bool planned_machine_take(struct planned_machine *v, const struct job *j, const char *site);
void planned_machine_add(GArray *vms, const char *type_name, const char *site, bool spot);
#endif
