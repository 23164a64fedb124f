/* What the readers of the settings files share. Internal to this slice. */
#ifndef FF_SETTINGS_READER_H
#define FF_SETTINGS_READER_H
#include <libconfig.h>
#include <stdbool.h>

#include "settings.h"

struct reader {
    const char *file;
    char *err;
    size_t errlen;
    bool ok;
};

extern const struct settings_quota settings_quota_defaults;

/* Names the file, the field and what is wrong with it; only the first fault is told. */
void settings_fail(struct reader *r, const char *field, const char *what);
/* Reads the text into an initialised configuration; on failure the line is named and the configuration destroyed. */
bool settings_read_hcl(struct reader *r, config_t *c, const char *hcl);
#endif
