/* The settings that the files of this package share. Internal to the package. */
#ifndef FF_PREEMPTION_INTERNAL_H
#define FF_PREEMPTION_INTERNAL_H
#include "../settings/settings.h"

/* Set once by preemption_init. Read only. */
extern const struct settings *preemption_settings;
#endif
