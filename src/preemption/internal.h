/* The settings of the package. Internal to it. */
#ifndef FF_PREEMPTION_INTERNAL_H
#define FF_PREEMPTION_INTERNAL_H
#include "../settings/settings.h"

/* Those given to preemption_init. Read only. */
extern const struct settings *preemption_settings;
#endif
