#ifndef SRC_GOSSIP_STATE_CODEC_H_
#define SRC_GOSSIP_STATE_CODEC_H_

#include <string>
#include <string_view>

#include "jasminelug/common.h"
#include "src/gateway/state_update.h"
#include "src/gossip/codec_error.h"

namespace jasminelug::gossip {

// Encodes a message about copies of the store's objects in Thrift's compact
// protocol.
std::string EncodeState(const gateway::StateMessage& message);

// Decodes a message that EncodeState() encoded.
Result<gateway::StateMessage, CodecError> DecodeState(std::string_view bytes);

}  // namespace jasminelug::gossip

#endif  // SRC_GOSSIP_STATE_CODEC_H_
