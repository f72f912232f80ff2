#ifndef SRC_GOSSIP_REPORT_CODEC_H_
#define SRC_GOSSIP_REPORT_CODEC_H_

#include <string>
#include <string_view>

#include "jasminelug/common.h"
#include "src/gateway/peer_report.h"

namespace jasminelug::gossip {

// Bytes that are no report.
struct CodecError {
  friend bool operator==(const CodecError&, const CodecError&) = default;

  std::string m_message;
};

// Writes a report in Thrift's compact protocol.
std::string EncodeReport(const gateway::PeerReport& report);

// Reads what EncodeReport() wrote.
Result<gateway::PeerReport, CodecError> DecodeReport(std::string_view bytes);

}  // namespace jasminelug::gossip

#endif  // SRC_GOSSIP_REPORT_CODEC_H_
