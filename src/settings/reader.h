/* Error reporting and parsing of HCL, shared by the readers of the settings files. Used inside the package only. */
#ifndef FF_SETTINGS_READER_H
#define FF_SETTINGS_READER_H
#include <glib.h>
#include <libconfig.h>
#include <stdbool.h>

#include "settings.h"

/* The reader of one file. Reading may go on after the first error, but later errors are not reported. */
struct settings_reader {
    const char *file; /* the file's name in messages */
    GError **error;   /* receives the first error; may be NULL */
    bool failed;
};

extern const struct settings_tuning settings_tuning_defaults;
extern const struct settings_quota settings_quota_defaults;

/* Reports an error as "FILE: FIELD: PROBLEM" if it is the first one. */
void settings_reader_fail(struct settings_reader *reader, enum settings_error code, const char *field,
                          const char *problem);
/* Parses HCL's `name = value` lines into an initialised configuration. On failure it reports the line and destroys the
 * configuration. */
bool settings_reader_parse_hcl(struct settings_reader *reader, config_t *config, const char *hcl);
#endif
