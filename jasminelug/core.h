#ifndef JASMINELUG_CORE_H_
#define JASMINELUG_CORE_H_

// The decision engine of an instance, free of I/O. The caller passes in events
// with their times, and the engine returns the actions to execute.

#include "src/core/action.h"
#include "src/core/caller_request.h"
#include "src/core/configuration.h"
#include "src/core/context.h"
#include "src/core/database_answer.h"
#include "src/core/engine.h"
#include "src/core/event.h"
#include "src/core/ids.h"
#include "src/core/lease_record.h"
#include "src/core/log_position.h"
#include "src/core/own_lease.h"
#include "src/core/peer_message.h"
#include "src/core/platform_call.h"
#include "src/core/share_manager.h"
#include "src/core/share_options.h"
#include "src/core/time.h"
#include "src/core/timeline_event.h"

#endif  // JASMINELUG_CORE_H_
