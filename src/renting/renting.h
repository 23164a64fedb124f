/* What to rent, and what to give back. */
#ifndef FF_RENTING_H
#define FF_RENTING_H
#include <glib.h>
#include <stdbool.h>

#include "../machines/machines.h"

void renting_init(const struct settings *s);
int renting_plan(struct rental_request *out, int most);
int renting_return_plan(char ids[][64], int most, int *busy); /* busy: how many of them hold tasks */
bool renting_may_use(const struct job_spec *j, const struct machine_type *f);

struct renting_vm { /* a machine that is there or on its way, with the room left on it */
    struct rental_request o;
    double cpu, gpu, mem; /* left */
    bool foreign;         /* another shard's, for work that needs it only */
    bool kept;            /* up and whole, for gangs only */
};
bool renting_vm_takes(struct renting_vm *v, const struct job *j, const char *site);
void renting_vm_add(GArray *vms, const char *type_name, const char *site, bool spot);
#endif
