/* What is read of the cloud's catalogue of machine types. */
#include "machine_types/machine_types.h"

#include <glib.h>
#include <string.h>

#include "../../tests/standin/site.h"

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

static void type_is_read_with_defaults_for_what_it_lacks(void **state) {
    (void)state;
    static const struct {
        const char *what, *json;
        struct machine_type expected;
    } rows[] = {
        {"all members",
         "{\"flavours\":[{\"sku\":\"g16\",\"vcpus\":16,\"gpus\":2,\"memory_gb\":64,\"local_gb\":500,\"fetch_gb_per_s\":"
         "0.5,"
         "\"hourly\":7,\"market_price\":2,\"startup_s\":25,\"sites\":[\"za\",7,\"zb\"]}]}",
         {.vcpus = 16,
          .gpus = 2,
          .memory_gb = 64,
          .local_gb = 500,
          .fetch_rate = 0.5,
          .hourly_price = 7,
          .spot_price = 2,
          .startup_s = 25,
          .zones = {"za", "zb"},
          .n_zones = 2}},
        {"a name alone",
         "{\"flavours\":[{\"sku\":\"g16\"}]}",
         {.fetch_rate = 1, .hourly_price = 1, .spot_price = 1, .startup_s = 60}},
        {"no spot price",
         "{\"flavours\":[{\"sku\":\"g16\",\"hourly\":7}]}",
         {.fetch_rate = 1, .hourly_price = 7, .spot_price = 7, .startup_s = 60}},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        apply(rows[i].json);
        const struct machine_type *type = machine_types_find("g16"), *expected = &rows[i].expected;
        assert_non_null(type);
        assert_int_equal(machine_types_count(), 1);
        if (type->vcpus != expected->vcpus || type->gpus != expected->gpus || type->memory_gb != expected->memory_gb ||
            type->local_gb != expected->local_gb || type->fetch_rate != expected->fetch_rate ||
            type->hourly_price != expected->hourly_price || type->spot_price != expected->spot_price ||
            type->startup_s != expected->startup_s)
            fail_msg("%s: a member differs", rows[i].what);
        assert_int_equal(type->n_zones, expected->n_zones);
        for (int zone = 0; zone < type->n_zones; zone++) assert_string_equal(type->zones[zone], expected->zones[zone]);
    }
}

static void malformed_type_leaves_the_others(void **state) {
    (void)state;
    static const char *const rows[] = {
        "{}",
        "{\"flavours\":7}",
        "{\"flavours\":[7,{}]}",
        "{\"flavours\":[{\"sku\":7}]}",
        "{\"flavours\":[{\"sku\":\"a-name-that-is-longer-than-any-name-that-a-type-may-have-in-this-cloud\"}]}",
    };
    int before = machine_types_count();
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        apply(rows[i]);
        if (machine_types_count() != before) fail_msg("%s: %d types", rows[i], machine_types_count());
    }
    assert_non_null(machine_types_find("g16"));
}

static void types_beyond_the_last_place_are_left_out(void **state) {
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

int main(void) {
    const struct CMUnitTest tests[] = {cmocka_unit_test(catalogue_is_unknown_until_it_is_read),
                                       cmocka_unit_test(type_is_read_with_defaults_for_what_it_lacks),
                                       cmocka_unit_test(malformed_type_leaves_the_others),
                                       cmocka_unit_test(types_beyond_the_last_place_are_left_out)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
