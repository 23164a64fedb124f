/* Shared by the source files of liveness; not for other packages. */
#ifndef FF_LIVENESS_INTERNAL_H
#define FF_LIVENESS_INTERNAL_H
#include "../settings/settings.h"

extern const struct settings *liveness_settings; /* set by liveness_init */
#endif
