/* Tests the keys of the records. */
#include "store/keys.h"

#include <glib.h>
#include <stdint.h>
#include <string.h>

#include "../../tests/standin/test_settings.h"

static void keys_have_the_prefix_of_their_kind(void **state) {
    (void)state;
    const struct {
        struct store_key key;
        const char *expected;
    } cases[] = {
        {store_key_job("req-10001"), "job/req-10001"},
        {store_key_allocations("req-10001", 12), "run/req-10001/12"},
        {store_key_machine("i-000110"), "machine/i-000110"},
        {store_key_machine_page(3, 255), "fleet/3/255"},
        {store_key_shard(63), "share/63"},
        {store_key_node("n0"), "node/n0"},
        {store_key_schema_version("n0"), "format/n0"},
        {store_key_quota("blue"), "quota/blue"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) assert_string_equal(cases[i].key.text, cases[i].expected);
}

static void longest_id_is_not_truncated(void **state) {
    (void)state;
    char id[64];
    memset(id, '9', sizeof id - 1);
    id[sizeof id - 1] = 0;
    assert_int_equal(strlen(store_key_allocations(id, INT32_MIN).text), strlen("run//-2147483648") + strlen(id));
    assert_int_equal(strlen(store_key_machine(id).text), strlen("machine/") + strlen(id));
}

static void name_that_does_not_fit_is_truncated(void **state) {
    (void)state;
    char name[2 * STORE_KEY_BYTES];
    memset(name, 'x', sizeof name - 1);
    name[sizeof name - 1] = 0;
    struct store_key key = store_key_quota(name);
    assert_int_equal(strlen(key.text), STORE_KEY_BYTES - 1);
    assert_memory_equal(key.text, "quota/xxx", strlen("quota/xxx"));
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(keys_have_the_prefix_of_their_kind),
        cmocka_unit_test(longest_id_is_not_truncated),
        cmocka_unit_test(name_that_does_not_fit_is_truncated),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
