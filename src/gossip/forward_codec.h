#ifndef SRC_GOSSIP_FORWARD_CODEC_H_
#define SRC_GOSSIP_FORWARD_CODEC_H_

#include <string>
#include <string_view>

#include "jasminelug/common.h"
#include "src/gateway/forwarding.h"
#include "src/gossip/codec_error.h"

namespace jasminelug::gossip {

// Encodes a message about a forwarded operation in Thrift's compact protocol.
std::string EncodeForward(const gateway::ForwardMessage& message);

// Decodes a message that EncodeForward() encoded.
Result<gateway::ForwardMessage, CodecError> DecodeForward(
    std::string_view bytes);

}  // namespace jasminelug::gossip

#endif  // SRC_GOSSIP_FORWARD_CODEC_H_
