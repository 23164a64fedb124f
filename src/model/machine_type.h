/* A type of machine that the cloud rents. */
#ifndef FF_MODEL_MACHINE_TYPE_H
#define FF_MODEL_MACHINE_TYPE_H

#define MACHINE_TYPE_ZONES_MAX 32

struct machine_type {
    char type_name[64];
    double vcpus, gpus, memory_gb;
    double local_gb;                 /* room for cached images */
    double fetch_rate;               /* image fetch, GB per second */
    double hourly_price, spot_price; /* per hour, on demand and spot */
    double startup_s;                /* nominal boot time */
    char *zones[MACHINE_TYPE_ZONES_MAX];
    int n_zones;
};
#endif
