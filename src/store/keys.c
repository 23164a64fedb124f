#include "keys.h"

#include <glib.h>
#include <stdio.h>

struct store_key store_key_job(const char *job_id) {
    struct store_key key;
    int length = snprintf(key.text, sizeof key.text, STORE_PREFIX_JOB "%s", job_id);
    g_assert(length < STORE_KEY_BYTES);
    return key;
}

struct store_key store_key_allocations(const char *job_id, int chunk) {
    struct store_key key;
    int length = snprintf(key.text, sizeof key.text, STORE_PREFIX_ALLOCATIONS "%s/%d", job_id, chunk);
    g_assert(length < STORE_KEY_BYTES);
    return key;
}

struct store_key store_key_machine(const char *machine_id) {
    struct store_key key;
    int length = snprintf(key.text, sizeof key.text, STORE_PREFIX_MACHINE "%s", machine_id);
    g_assert(length < STORE_KEY_BYTES);
    return key;
}

struct store_key store_key_machine_page(int shard, int page) {
    struct store_key key;
    int length = snprintf(key.text, sizeof key.text, STORE_PREFIX_MACHINE_PAGE "%d/%d", shard, page);
    g_assert(length < STORE_KEY_BYTES);
    return key;
}

struct store_key store_key_shard(int shard) {
    struct store_key key;
    int length = snprintf(key.text, sizeof key.text, STORE_PREFIX_SHARD "%d", shard);
    g_assert(length < STORE_KEY_BYTES);
    return key;
}

static struct store_key key_with_name(const char *prefix, const char *name) {
    struct store_key key;
    g_strlcpy(key.text, prefix, sizeof key.text);
    g_strlcat(key.text, name, sizeof key.text);
    return key;
}

struct store_key store_key_node(const char *node) {
    return key_with_name(STORE_PREFIX_NODE, node);
}
struct store_key store_key_schema_version(const char *node) {
    return key_with_name(STORE_PREFIX_SCHEMA_VERSION, node);
}
struct store_key store_key_quota(const char *team) {
    return key_with_name(STORE_PREFIX_QUOTA, team);
}

struct store_key store_key_quota_view(const char *node) {
    return key_with_name(STORE_PREFIX_QUOTA_VIEW, node);
}
