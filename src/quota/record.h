/* The record of a divided team's allotments in the state service, `quota/TEAM`, and what each controller's settings say
 * of the divided teams, `quota-view/NODE`. Only the forms: pure. */
#ifndef FF_QUOTA_RECORD_H
#define FF_QUOTA_RECORD_H
#include <stdbool.h>

#include "../json/json.h"
#include "allotments.h"

/* The value, which belongs to the caller. */
cJSON *quota_record_value(const struct quota_record *record);
/* False, with the fault named, where the value is of another form or breaks the invariant. */
bool quota_record_read(const cJSON *value, int size, struct quota_record *out, const char **fault);

/* What one controller's settings say of a team. */
struct quota_view {
    int shards; /* 0: nothing is known */
    struct quota_amount limit, guarantee;
};
/* Adds to, or reads from, the object of all teams. False: nothing is said of the team, or not in this form. */
void quota_view_add(cJSON *views, const char *team, const struct quota_view *view);
bool quota_view_read(const cJSON *views, const char *team, struct quota_view *out);
#endif
