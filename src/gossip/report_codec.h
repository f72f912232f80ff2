#ifndef SRC_GOSSIP_REPORT_CODEC_H_
#define SRC_GOSSIP_REPORT_CODEC_H_

#include <string>
#include <string_view>

#include "jasminelug/common.h"
#include "src/gateway/peer_report.h"
#include "src/gossip/codec_error.h"

namespace jasminelug::gossip {

// Encodes a report in Thrift's compact protocol.
std::string EncodeReport(const gateway::PeerReport& report);

// Decodes a report that EncodeReport() encoded.
Result<gateway::PeerReport, CodecError> DecodeReport(std::string_view bytes);

}  // namespace jasminelug::gossip

#endif  // SRC_GOSSIP_REPORT_CODEC_H_
