/* Who must make way for whom. */
#ifndef FF_PREEMPT_H
#define FF_PREEMPT_H
#include <glib.h>
#include <stdbool.h>

#include "../machines/machines.h"

void preempt_init(const struct settings *s);

struct preempt_usage { /* what a team's tasks take */
    double cpu, gpu;
};
/* Whether the team's limit, or its shard's part of it, leaves room for so many more tasks of the job. */
bool preempt_quota_left(const struct preempt_usage *u, const struct job *j, int tasks);
void preempt_refresh(void);      /* before a round's questions */
double preempt_beyond(int team); /* what a team holds beyond its guarantee */
bool preempt_evictable(const struct allocation *x, const struct job *j, bool within);
bool preempt_fresh_start(const struct allocation *b);
/* Makes room for one task of the job, in a zone or (NULL) anywhere. */
bool preempt_for(struct job *j, bool within, GPtrArray *mine, const char *zone, const struct preempt_usage *u);
/* The zone in which most tasks of a gang have room, counting what would make way; how many have it now, and would. NULL
 * where the gang may be in several. */
const char *preempt_gang_zone(const struct job *j, bool within, GPtrArray *mine, int *now, int *with);
int preempt_times(const struct machine *m, const struct job_spec *s); /* how many such tasks fit beside what is there */
bool preempt_fetch_too_slow(const struct job *j, const struct machine *m);
#endif
