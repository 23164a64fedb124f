/* A machine type that the cloud offers for rent. Types only; guarded by store_lock. */
#ifndef FF_MODEL_MACHINE_TYPE_H
#define FF_MODEL_MACHINE_TYPE_H

#define TYPE_NAME_SIZE 64 /* with the terminating zero */
#define MACHINE_TYPE_ZONES_MAX 32

/* One entry of the cloud's catalogue. The machine_types package keeps all entries. */
struct machine_type {
    char type_name[TYPE_NAME_SIZE];
    double vcpus, gpus, memory_gb;
    double image_cache_gb;               /* disk space for cached images */
    double image_fetch_gb_per_s;         /* rate at which images are fetched */
    double hourly_price, spot_price;     /* price per hour, on-demand and spot */
    double startup_s;                    /* nominal boot time; 0: not promised */
    char *zones[MACHINE_TYPE_ZONES_MAX]; /* zones in which it can be rented */
    int n_zones;
};
#endif
