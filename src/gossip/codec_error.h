#ifndef SRC_GOSSIP_CODEC_ERROR_H_
#define SRC_GOSSIP_CODEC_ERROR_H_

#include <string>

namespace jasminelug::gossip {

// Reason why bytes could not be decoded as a message between gateways.
struct CodecError {
  friend bool operator==(const CodecError&, const CodecError&) = default;

  std::string m_message;
};

}  // namespace jasminelug::gossip

#endif  // SRC_GOSSIP_CODEC_ERROR_H_
