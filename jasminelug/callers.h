#ifndef JASMINELUG_CALLERS_H_
#define JASMINELUG_CALLERS_H_

// The callers' JSON API: decodes requests to typed values and encodes typed
// answers.

#include "src/callers/caller_answer.h"
#include "src/callers/caller_error.h"
#include "src/callers/caller_key.h"
#include "src/callers/caller_listener.h"
#include "src/callers/caller_request.h"
#include "src/callers/request_handle.h"

#endif  // JASMINELUG_CALLERS_H_
