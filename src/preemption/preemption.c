#include "preemption.h"

#include "internal.h"

const struct settings *preemption_settings;

void preemption_init(const struct settings *settings) { preemption_settings = settings; }
