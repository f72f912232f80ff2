#ifndef JASMINELUG_WIRE_H_
#define JASMINELUG_WIRE_H_

// Codecs between the core's value types and Thrift's compact protocol.

#include "src/wire/action_codec.h"
#include "src/wire/event_codec.h"
#include "src/wire/peer_message_codec.h"

#endif  // JASMINELUG_WIRE_H_
