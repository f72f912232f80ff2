#ifndef SRC_PEERS_INTERNAL_WIRE_CONVERSION_H_
#define SRC_PEERS_INTERNAL_WIRE_CONVERSION_H_

#include <jasminelug_types.h>

#include "jasminelug/common.h"
#include "src/peers/envelope.h"
#include "src/peers/error.h"

namespace jasminelug::peers::internal {

// Converts an envelope to its generated Thrift type.
wire::Envelope ToWire(const Envelope& envelope);

// Converts a received envelope from its generated Thrift type.
//
// Errors: kMalformed if the sender or the body is missing, kUnknownBody if the
// body is of a kind that only a later release knows.
Result<Envelope, Error> FromWire(wire::Envelope&& envelope);

}  // namespace jasminelug::peers::internal

#endif  // SRC_PEERS_INTERNAL_WIRE_CONVERSION_H_
