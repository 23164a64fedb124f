/* Keys of the records in the store. All keys are built by this module.
 *
 * The functions are pure and may be called from any thread, with or without store_lock. Keys are returned by value:
 * nothing is allocated or freed. */
#ifndef FF_STORE_KEYS_H
#define FF_STORE_KEYS_H

/* Key prefixes, one for each kind of record. Observers are registered for a prefix. */
#define STORE_PREFIX_JOB "job/"
#define STORE_PREFIX_ALLOCATIONS "run/"
#define STORE_PREFIX_MACHINE_PAGE "fleet/"
#define STORE_PREFIX_MACHINE "machine/"
#define STORE_PREFIX_NODE "node/"
#define STORE_PREFIX_SHARD "share/"
#define STORE_PREFIX_SCHEMA_VERSION "format/"
#define STORE_PREFIX_QUOTA "quota/"
#define STORE_PREFIX_QUOTA_VIEW "quota-view/"

/* Keys of the records that exist only once. */
#define STORE_KEY_LEADER "leader"
#define STORE_KEY_FENCING_COUNTER "fence"
#define STORE_KEY_MACHINE_TYPES "types"

/* Size of a key's text, including the terminating null byte. */
#define STORE_KEY_BYTES 128

struct store_key {
    char text[STORE_KEY_BYTES];
};

/* The IDs of jobs and machines are limited to 63 bytes where they are read. An ID that does not fit into a key is a
 * programming error and aborts the program, because a truncated key could be the key of another record. */
struct store_key store_key_job(const char *job_id);
/* Key of the allocations of one chunk of a job's tasks. */
struct store_key store_key_allocations(const char *job_id, int chunk);
struct store_key store_key_machine(const char *machine_id);
/* Key of the machines on one page of a shard. */
struct store_key store_key_machine_page(int shard, int page);
/* Key of the assignment of a shard to its owner. */
struct store_key store_key_shard(int shard);

/* The keys below end with a name from the settings. The length of names is not limited; a name that does not fit is
 * truncated. */
struct store_key store_key_node(const char *node);
struct store_key store_key_schema_version(const char *node);
struct store_key store_key_quota(const char *team);
struct store_key store_key_quota_view(const char *node);
#endif
