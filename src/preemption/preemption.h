/* Who must make way for whom. */
#ifndef FF_PREEMPTION_H
#define FF_PREEMPTION_H
#include <glib.h>
#include <stdbool.h>

#include "../machines/machines.h"

void preemption_init(const struct settings *s);

struct team_usage { /* what a team's tasks take */
    double cpu, gpu;
};
/* Whether the team's limit, or its shard's part of it, leaves room for so many more tasks of the job. */
bool preemption_quota_left(const struct team_usage *u, const struct job *j, int tasks);
void preemption_refresh(void);              /* before a round's questions */
double preemption_over_guarantee(int team); /* what a team holds beyond its guarantee */
bool preemption_evictable(const struct allocation *x, const struct job *j, bool within);
/* An on-demand machine all of whose tasks would give way to others. */
bool preemption_clears_machine(const struct machine *m);
bool preemption_recently_started(const struct allocation *b);
/* Makes room for one task of the job, in a zone or (NULL) anywhere. */
bool preemption_make_room(struct job *j, bool within, GPtrArray *mine, const char *zone, const struct team_usage *u);
/* The zone in which most tasks of a gang have room, counting what would make way; how many have it now, and would. NULL
 * where the gang may be in several. */
const char *preemption_gang_zone(const struct job *j, bool within, GPtrArray *mine, int *now, int *with);
int preemption_tasks_that_fit(const struct machine *m,
                              const struct job_spec *s); /* how many such tasks fit beside what is there */
bool preemption_fetch_too_slow(const struct job *j, const struct machine *m);
#endif
