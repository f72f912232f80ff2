#ifndef JASMINELUG_COMMON_H_
#define JASMINELUG_COMMON_H_

// What every package shares: assertions, results, rings, logs, settings.

#include "src/common/assert.h"

#endif  // JASMINELUG_COMMON_H_
