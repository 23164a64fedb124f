/* What the readers of the settings files have in common: where a fault is noted. Internal to this package. */
#ifndef FF_SETTINGS_READER_H
#define FF_SETTINGS_READER_H
#include <glib.h>
#include <libconfig.h>
#include <stdbool.h>

#include "settings.h"

/* One file being read. After the first fault the rest may be read on, but no later fault is noted. */
struct settings_reader {
    const char *file; /* its name in messages */
    GError **error;   /* where the first fault goes; NULL: nowhere */
    bool failed;
};

extern const struct settings_tuning settings_tuning_defaults;
extern const struct settings_quota settings_quota_defaults;

/* Notes a fault as "FILE: FIELD: WHAT". */
void settings_reader_fail(struct settings_reader *reader, enum settings_error code, const char *field,
                          const char *what);
/* Reads HCL's `name = value` lines into an initialised configuration. On failure the line is named, and the
 * configuration is destroyed. */
bool settings_reader_parse_hcl(struct settings_reader *reader, config_t *config, const char *hcl);
#endif
