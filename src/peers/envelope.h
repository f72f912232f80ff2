#ifndef SRC_PEERS_ENVELOPE_H_
#define SRC_PEERS_ENVELOPE_H_

#include <cstdint>
#include <string>
#include <variant>

namespace jasminelug::peers {

// First message on a connection: the sender's availability zone and the
// address at which it listens for its peers.
struct Hello {
  std::string m_zone;
  std::string m_address;

  bool operator==(const Hello&) const = default;
};

// Bytes whose meaning the receiver looks up by their kind.
struct Opaque {
  std::string m_kind;
  std::string m_payload;

  bool operator==(const Opaque&) const = default;
};

// One message between daemons. A new kind of message is a struct here, a
// member of Body in jasminelug.thrift and a pair of conversions in
// internal/wire_conversion.cc.
using Body = std::variant<Hello, Opaque>;

// A message with what every message carries.
struct Envelope {
  std::string m_sender_instance;
  // Rises with each start of the sending instance's daemon.
  std::int64_t m_sender_incarnation = 0;
  // The newest configuration that the sender has in force.
  std::int64_t m_configuration_version = 0;
  // Rises by one with each message of one incarnation.
  std::int64_t m_sequence = 0;
  Body m_body;

  bool operator==(const Envelope&) const = default;
};

}  // namespace jasminelug::peers

#endif  // SRC_PEERS_ENVELOPE_H_
