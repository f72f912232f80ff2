#ifndef SRC_PEERS_INTERNAL_WIRE_CONVERSION_H_
#define SRC_PEERS_INTERNAL_WIRE_CONVERSION_H_

#include <jasminelug_types.h>

#include "jasminelug/common.h"
#include "src/peers/envelope.h"
#include "src/peers/error.h"

namespace jasminelug::peers::internal {

// Turns an envelope into the generated type.
wire::Envelope ToWire(const Envelope& envelope);

// Turns a received envelope into the package's own type.
//
// Errors: kMalformed where the sender or the body is absent, kUnknownBody
// where the body is of a later release.
Result<Envelope, Error> FromWire(wire::Envelope&& envelope);

}  // namespace jasminelug::peers::internal

#endif  // SRC_PEERS_INTERNAL_WIRE_CONVERSION_H_
