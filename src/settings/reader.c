#include "reader.h"

#include <stdio.h>

#define LINE_LABEL_BYTES 32

GQuark settings_error_quark(void) { return g_quark_from_static_string("fieldfield-settings-error"); }

void settings_reader_fail(struct settings_reader *reader, enum settings_error code, const char *field,
                          const char *problem) {
    if (!reader->failed)
        g_set_error(reader->error, SETTINGS_ERROR, (gint)code, "%s: %s: %s", reader->file, field, problem);
    reader->failed = true;
}

/* Parses with libconfig, because no HCL parser is packaged for C and libconfig's syntax is the closest to HCL. */
bool settings_reader_parse_hcl(struct settings_reader *reader, config_t *config, const char *hcl) {
    config_set_options(config, CONFIG_OPTION_AUTOCONVERT);
    if (config_read_string(config, hcl)) return true;
    char line[LINE_LABEL_BYTES];
    snprintf(line, sizeof line, "line %d", config_error_line(config));
    settings_reader_fail(reader, SETTINGS_ERROR_SYNTAX, line, config_error_text(config));
    config_destroy(config);
    return false;
}
