#ifndef JASMINELUG_COMMON_H_
#define JASMINELUG_COMMON_H_

// Utilities used by every package: assertions, result types, ring buffers,
// logging, and reading of JSON settings.

#include "src/common/assert.h"
#include "src/common/bounded_ring.h"
#include "src/common/field_error.h"
#include "src/common/json_document.h"
#include "src/common/json_lines_layout.h"
#include "src/common/json_log_event.h"
#include "src/common/json_split.h"
#include "src/common/log_field.h"
#include "src/common/logging.h"
#include "src/common/object_reader.h"
#include "src/common/result.h"

#endif  // JASMINELUG_COMMON_H_
