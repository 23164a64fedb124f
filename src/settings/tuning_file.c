/* Reads the operators' tuning file, which has lines `name = value`. Each setting has a default and bounds
 * (docs/operations.md). */
#include <stddef.h>
#include <string.h>

#include "../clock/clock.h"
#include "reader.h"

const struct settings_tuning settings_tuning_defaults = {
    .reception_threshold = 0.5,
    .admission_threshold = 0.8,
    .headroom_margin = 1.5,
    .occupancy_window_heartbeats = 6,
    .drain_timeout = {60, 0},
    .silence_timeout = {8, 0},
    .controller_lease = {2, 500000000},
    .watch_gap = {0, 80000000},
    .machines_per_shard = 5000, /* one team may use nearly the whole fleet, and the fleet may double */
    .spot_backlog_factor = 1.5,
};

enum field_type { FIELD_NUMBER, FIELD_DURATION };

/* A setting: its name in the file, its bounds (in seconds if it is a duration), and the offset of its member in struct
 * settings_tuning. */
struct tuning_field {
    const char *name;
    double minimum, maximum;
    enum field_type type;
    size_t offset;
};

static const struct tuning_field tuning_fields[] = {
    {"reception", 0, 1, FIELD_NUMBER, offsetof(struct settings_tuning, reception_threshold)},
    {"admission", 0.05, 1.01, FIELD_NUMBER, offsetof(struct settings_tuning, admission_threshold)},
    {"margin", 0.5, 20, FIELD_NUMBER, offsetof(struct settings_tuning, headroom_margin)},
    {"window", 1, 60, FIELD_NUMBER, offsetof(struct settings_tuning, occupancy_window_heartbeats)},
    {"drain_reopen", 5, 3600, FIELD_DURATION, offsetof(struct settings_tuning, drain_timeout)},
    {"silent_return", 2, 3600, FIELD_DURATION, offsetof(struct settings_tuning, silence_timeout)},
    {"node_lease", 1, 60, FIELD_DURATION, offsetof(struct settings_tuning, controller_lease)},
    {"watch_gap", 0, 5, FIELD_DURATION, offsetof(struct settings_tuning, watch_gap)},
    {"machines_per_share", 1, 10000, FIELD_NUMBER, offsetof(struct settings_tuning, machines_per_shard)},
    {"dear_backlog", 0, 100, FIELD_NUMBER, offsetof(struct settings_tuning, spot_backlog_factor)},
};

static const struct tuning_field *find_field(const char *name) {
    for (size_t i = 0; i < G_N_ELEMENTS(tuning_fields); i++)
        if (strcmp(tuning_fields[i].name, name) == 0) return &tuning_fields[i];
    return NULL;
}

static void store_value(const struct tuning_field *field, double value, struct settings_tuning *out) {
    void *member = (char *)out + field->offset;
    if (field->type == FIELD_DURATION) {
        *(struct timespec *)member = clock_from_seconds(value);
    } else {
        *(double *)member = value;
    }
}

static void read_setting(struct settings_reader *reader, const config_setting_t *setting, struct settings_tuning *out) {
    const struct tuning_field *field = find_field(config_setting_name(setting));
    if (!field) {
        settings_reader_fail(reader, SETTINGS_ERROR_UNKNOWN, config_setting_name(setting), "no such setting");
        return;
    }
    double value = config_setting_is_number(setting) ? config_setting_get_float(setting) : -1;
    if (value >= field->minimum && value <= field->maximum) {
        store_value(field, value, out);
    } else {
        settings_reader_fail(reader, SETTINGS_ERROR_OUT_OF_RANGE, field->name, "not a number within its bounds");
    }
}

bool settings_parse_tuning(const char *hcl, const char *file, struct settings_tuning *out, GError **error) {
    struct settings_reader reader = {file, error, false};
    config_t config;
    *out = settings_tuning_defaults;
    config_init(&config);
    if (!settings_reader_parse_hcl(&reader, &config, hcl)) return false;
    const config_setting_t *root = config_root_setting(&config);
    for (int i = 0; i < config_setting_length(root) && !reader.failed; i++)
        read_setting(&reader, config_setting_get_elem(root, (unsigned)i), out);
    config_destroy(&config);
    return !reader.failed;
}
