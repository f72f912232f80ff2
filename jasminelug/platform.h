#ifndef JASMINELUG_PLATFORM_H_
#define JASMINELUG_PLATFORM_H_

// Client for the platform's object API.

#include "src/platform/call_counts.h"
#include "src/platform/client.h"
#include "src/platform/client_options.h"
#include "src/platform/error.h"
#include "src/platform/object.h"
#include "src/platform/object_json.h"
#include "src/platform/percent_coding.h"

#endif  // JASMINELUG_PLATFORM_H_
