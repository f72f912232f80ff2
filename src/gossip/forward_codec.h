#ifndef SRC_GOSSIP_FORWARD_CODEC_H_
#define SRC_GOSSIP_FORWARD_CODEC_H_

#include <string>
#include <string_view>

#include "jasminelug/common.h"
#include "src/gateway/forwarding.h"
#include "src/gossip/codec_error.h"

namespace jasminelug::gossip {

// Writes a message of a forwarded operation in Thrift's compact protocol.
std::string EncodeForward(const gateway::ForwardMessage& message);

// Reads what EncodeForward() wrote.
Result<gateway::ForwardMessage, CodecError> DecodeForward(
    std::string_view bytes);

}  // namespace jasminelug::gossip

#endif  // SRC_GOSSIP_FORWARD_CODEC_H_
