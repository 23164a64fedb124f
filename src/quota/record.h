/* JSON codecs of two records in the store: `quota/TEAM`, the allotments of a divided team, and
 * `quota-view/NODE`, the divided teams in one controller's settings. Pure. */
#ifndef FF_QUOTA_RECORD_H
#define FF_QUOTA_RECORD_H
#include <stdbool.h>

#include "../json/json.h"
#include "allotments.h"

/* Returns the record as JSON, owned by the caller. */
cJSON *quota_record_value(const struct quota_record *record);
/* Reads a record of a cluster with `cluster_shards` shards. Returns false and sets *fault to a description if the value
 * has another form or the record violates the invariant. */
bool quota_record_read(const cJSON *value, int cluster_shards, struct quota_record *out, const char **fault);

/* A view: one team in one controller's settings. */
struct quota_view {
    int n_shards; /* 0: the view is unknown */
    struct quota_amount limit, guarantee;
};
/* Adds the team's view to `views`, the JSON object with the views of all teams. */
void quota_view_add(cJSON *views, const char *team, const struct quota_view *view);
/* Reads the team's view from `views`. Returns false and zeroes *out if `views` has none or it has another form. */
bool quota_view_read(const cJSON *views, const char *team, struct quota_view *out);
#endif
