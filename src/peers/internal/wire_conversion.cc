#include "src/peers/internal/wire_conversion.h"

#include <optional>
#include <utility>

namespace jasminelug::peers::internal {
namespace {

void SetBody(const Hello& hello, wire::Body& body) {
  wire::Hello converted;
  converted.__set_zone(hello.m_zone);
  converted.__set_address(hello.m_address);
  body.__set_hello(converted);
}

void SetBody(const Opaque& opaque, wire::Body& body) {
  wire::Opaque converted;
  converted.__set_kind(opaque.m_kind);
  converted.__set_payload(opaque.m_payload);
  body.__set_opaque(converted);
}

// Moves the body out of the union. Returns nullopt if no member that this
// release knows is set.
std::optional<Body> TakeBody(wire::Body&& body) {
  if (body.__isset.hello) {
    return Hello{std::move(body.hello.zone), std::move(body.hello.address)};
  }
  if (body.__isset.opaque) {
    return Opaque{std::move(body.opaque.kind), std::move(body.opaque.payload)};
  }
  return std::nullopt;
}

}  // namespace

wire::Envelope ToWire(const Envelope& envelope) {
  wire::Envelope result;
  result.__set_sender_instance(envelope.m_sender_instance);
  result.__set_sender_incarnation(envelope.m_sender_incarnation);
  result.__set_configuration_version(envelope.m_configuration_version);
  result.__set_sequence(envelope.m_sequence);
  wire::Body body;
  std::visit([&](const auto& member) { SetBody(member, body); },
             envelope.m_body);
  result.__set_body(body);
  return result;
}

Result<Envelope, Error> FromWire(wire::Envelope&& envelope) {
  if (!envelope.__isset.sender_instance ||
      !envelope.__isset.sender_incarnation || !envelope.__isset.body) {
    return Error{ErrorKind::kMalformed, "envelope has no sender or no body"};
  }
  std::optional<Body> body = TakeBody(std::move(envelope.body));
  if (!body) {
    return Error{ErrorKind::kUnknownBody, "unknown kind of message body from " +
                                              envelope.sender_instance};
  }
  return Envelope{std::move(envelope.sender_instance),
                  envelope.sender_incarnation, envelope.configuration_version,
                  envelope.sequence, std::move(*body)};
}

}  // namespace jasminelug::peers::internal
