/* Keys of the records in the store. Every key is built here, and nowhere else.
 *
 * Pure; may be called from any thread, with or without the lock. A key is a value: nothing is allocated or freed. */
#ifndef FF_STORE_KEYS_H
#define FF_STORE_KEYS_H

/* What the keys of one kind begin with. Observers are registered for these. */
#define STORE_PREFIX_JOB "job/"
#define STORE_PREFIX_ALLOCATIONS "run/"
#define STORE_PREFIX_MACHINE_PAGE "fleet/"
#define STORE_PREFIX_MACHINE "machine/"
#define STORE_PREFIX_NODE "node/"
#define STORE_PREFIX_SHARD "share/"
#define STORE_PREFIX_SCHEMA_VERSION "format/"
#define STORE_PREFIX_QUOTA "quota/"
#define STORE_PREFIX_QUOTA_VIEW "quota-view/"

/* Keys of which there is one. */
#define STORE_KEY_LEADER "leader"
#define STORE_KEY_FENCING_COUNTER "fence"
#define STORE_KEY_MACHINE_TYPES "types"

/* Size of a key's text, with the terminating zero byte. */
#define STORE_KEY_BYTES 128

struct store_key {
    char text[STORE_KEY_BYTES];
};

/* IDs of jobs and machines are bounded to 63 bytes where they are read; a longer one that doesn't fit is a programming
 * error and ends the program, since a key that was cut would name the record of something else. */
struct store_key store_key_job(const char *job_id);
/* The record of the allocations of one chunk of a job's tasks. */
struct store_key store_key_allocations(const char *job_id, int chunk);
struct store_key store_key_machine(const char *machine_id);
/* The record of the machines on one page of a shard. */
struct store_key store_key_machine_page(int shard, int page);
/* The record of who owns a shard. */
struct store_key store_key_shard(int shard);

/* Names in the settings have no bound: one that doesn't fit is cut. */
struct store_key store_key_node(const char *node);
struct store_key store_key_schema_version(const char *node);
struct store_key store_key_quota(const char *team);
struct store_key store_key_quota_view(const char *node);
#endif
