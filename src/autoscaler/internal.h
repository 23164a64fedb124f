/* The settings that the files of this package share. Internal to the package. */
#ifndef FF_AUTOSCALER_INTERNAL_H
#define FF_AUTOSCALER_INTERNAL_H
#include "../settings/settings.h"

extern const struct settings *autoscaler_settings; /* set once by scale_in_init */
#endif
