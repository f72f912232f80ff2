#ifndef SRC_PEERS_ENVELOPE_H_
#define SRC_PEERS_ENVELOPE_H_

#include <cstdint>
#include <string>
#include <variant>

namespace jasminelug::peers {

// First message on a connection: the sender's availability zone and the
// address at which it accepts connections from its peers.
struct Hello {
  std::string m_zone;
  std::string m_address;

  bool operator==(const Hello&) const = default;
};

// A payload that this package does not interpret. m_kind tells the receiver
// how to decode m_payload.
struct Opaque {
  std::string m_kind;
  std::string m_payload;

  bool operator==(const Opaque&) const = default;
};

// Content of one message between daemons. To add a kind of message, add a
// struct here, a member of Body in jasminelug.thrift and the conversions in
// both directions in internal/wire_conversion.cc.
using Body = std::variant<Hello, Opaque>;

// A message body with the header fields that every message carries.
struct Envelope {
  std::string m_sender_instance;
  // Increases each time the sending instance's daemon starts.
  std::int64_t m_sender_incarnation = 0;
  // Version of the newest configuration that the sender applies.
  std::int64_t m_configuration_version = 0;
  // Increases by one with each message within one incarnation.
  std::int64_t m_sequence = 0;
  Body m_body;

  bool operator==(const Envelope&) const = default;
};

}  // namespace jasminelug::peers

#endif  // SRC_PEERS_ENVELOPE_H_
