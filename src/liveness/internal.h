/* Shared by the files of this package only. */
#ifndef FF_LIVENESS_INTERNAL_H
#define FF_LIVENESS_INTERNAL_H
#include "../settings/settings.h"

extern const struct settings *liveness_settings; /* set once by liveness_init */
#endif
