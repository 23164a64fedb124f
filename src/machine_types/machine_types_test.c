/* Tests how a catalogue of machine types is read. */
#include "machine_types/machine_types.h"

#include <glib.h>
#include <string.h>

#include "../../tests/standin/test_settings.h"

static void apply(const char *json) {
    cJSON *catalogue = cJSON_Parse(json);
    assert_non_null(catalogue);
    machine_types_apply(catalogue);
    cJSON_Delete(catalogue);
}

static void catalogue_is_unknown_until_it_is_read(void **state) {
    (void)state;
    assert_false(machine_types_known());
    assert_null(machine_types_find("g16"));
    apply("{\"flavours\":[]}");
    assert_false(machine_types_known());
}

static void missing_members_of_a_type_get_defaults(void **state) {
    (void)state;
    static const struct {
        const char *description, *json;
        struct machine_type expected;
    } rows[] = {
        {"all members",
         "{\"flavours\":[{\"sku\":\"g16\",\"vcpus\":16,\"gpus\":2,\"memory_gb\":64,\"local_gb\":500,\"fetch_gb_per_s\":"
         "0.5,"
         "\"hourly\":7,\"market_price\":2,\"startup_s\":25,\"sites\":[\"za\",7,\"zb\"]}]}",
         {.vcpus = 16,
          .gpus = 2,
          .memory_gb = 64,
          .image_cache_gb = 500,
          .image_fetch_gb_per_s = 0.5,
          .hourly_price = 7,
          .spot_price = 2,
          .startup_s = 25,
          .zones = {"za", "zb"},
          .n_zones = 2}},
        {"only a name",
         "{\"flavours\":[{\"sku\":\"g16\"}]}",
         {.image_fetch_gb_per_s = 1, .hourly_price = 1, .spot_price = 1, .startup_s = 60}},
        {"no spot price",
         "{\"flavours\":[{\"sku\":\"g16\",\"hourly\":7}]}",
         {.image_fetch_gb_per_s = 1, .hourly_price = 7, .spot_price = 7, .startup_s = 60}},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        apply(rows[i].json);
        const struct machine_type *type = machine_types_find("g16"), *expected = &rows[i].expected;
        assert_non_null(type);
        assert_int_equal(machine_types_count(), 1);
        if (type->vcpus != expected->vcpus || type->gpus != expected->gpus || type->memory_gb != expected->memory_gb ||
            type->image_cache_gb != expected->image_cache_gb ||
            type->image_fetch_gb_per_s != expected->image_fetch_gb_per_s ||
            type->hourly_price != expected->hourly_price || type->spot_price != expected->spot_price ||
            type->startup_s != expected->startup_s)
            fail_msg("%s: a member differs", rows[i].description);
        assert_int_equal(type->n_zones, expected->n_zones);
        for (int zone = 0; zone < type->n_zones; zone++) assert_string_equal(type->zones[zone], expected->zones[zone]);
    }
}

static void malformed_types_are_ignored(void **state) {
    (void)state;
    static const char *const rows[] = {
        "{}",
        "{\"flavours\":7}",
        "{\"flavours\":[7,{}]}",
        "{\"flavours\":[{\"sku\":7}]}",
        "{\"flavours\":[{\"sku\":\"a-name-that-is-longer-than-any-name-that-a-type-may-have-in-this-cloud\"}]}",
    };
    int count_before = machine_types_count();
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        apply(rows[i]);
        if (machine_types_count() != count_before) fail_msg("%s: %d types", rows[i], machine_types_count());
    }
    assert_non_null(machine_types_find("g16"));
}

static void types_beyond_the_maximum_are_ignored(void **state) {
    (void)state;
    const struct machine_type *first = machine_types_find("g16");
    for (int i = 0; i < 100; i++) {
        char json[64];
        g_snprintf(json, sizeof json, "{\"flavours\":[{\"sku\":\"t%d\"}]}", i);
        apply(json);
    }
    assert_int_equal(machine_types_count(), 64);
    assert_non_null(machine_types_find("t62"));
    assert_null(machine_types_find("t63"));
    assert_ptr_equal(machine_types_find("g16"), first);
}

/* Guards against a catalogue that fits no record, or stops its readers, because of what no controller uses. */
static void canonical_catalogue_has_known_members_only(void **state) {
    (void)state;
    static const char known[] =
        "{\"flavours\":[{\"sku\":\"g16\",\"vcpus\":16,\"gpus\":2,\"memory_gb\":64,\"hourly\":7,\"sites\":[\"za\","
        "\"zb\"]}]}";
    cJSON *catalogue = cJSON_Parse(
        "{\"x\":[[[]]],\"flavours\":[{\"x_text\":\"long\",\"sku\":\"g16\",\"vcpus\":16,\"gpus\":2,\"memory_gb\":64,"
        "\"hourly\":7,\"local_gb\":\"none\",\"sites\":[\"za\",{\"x\":1},\"zb\"]},7,{\"x\":1}]}");
    cJSON *canonical = machine_types_canonical(catalogue);
    char *text = cJSON_PrintUnformatted(canonical);
    assert_string_equal(text, known);
    cJSON_free(text);
    cJSON_Delete(canonical);
    cJSON_Delete(catalogue);
}

int main(void) {
    const struct CMUnitTest tests[] = {cmocka_unit_test(catalogue_is_unknown_until_it_is_read),
                                       cmocka_unit_test(missing_members_of_a_type_get_defaults),
                                       cmocka_unit_test(malformed_types_are_ignored),
                                       cmocka_unit_test(types_beyond_the_maximum_are_ignored),
                                       cmocka_unit_test(canonical_catalogue_has_known_members_only)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
