/* A type of machine that the cloud rents. Types only; guarded by store_lock. */
#ifndef FF_MODEL_MACHINE_TYPE_H
#define FF_MODEL_MACHINE_TYPE_H

#define TYPE_NAME_SIZE 64 /* with the terminating zero */
#define MACHINE_TYPE_ZONES_MAX 32

/* One entry of the cloud's catalogue; machine_types keeps them. */
struct machine_type {
    char type_name[TYPE_NAME_SIZE];
    double vcpus, gpus, memory_gb;
    double local_gb;                     /* room for cached images */
    double fetch_rate;                   /* of images, GB per second */
    double hourly_price, spot_price;     /* per hour, on-demand and spot */
    double startup_s;                    /* nominal boot time; 0: not promised */
    char *zones[MACHINE_TYPE_ZONES_MAX]; /* in which it can be rented */
    int n_zones;
};
#endif
