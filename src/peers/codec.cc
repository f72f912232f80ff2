#include "src/peers/codec.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <exception>
#include <memory>
#include <utility>

#include "src/peers/internal/wire_conversion.h"

namespace jasminelug::peers {
namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
using CompactProtocol = TCompactProtocolT<TMemoryBuffer>;

// Maximum length of a list; no message has a longer one. libthrift skips the
// elements of an unknown list one by one, even if they take no bytes, so
// without this limit a few bytes could cause an arbitrary amount of work.
constexpr std::int32_t kMaxContainerLength = 64 * 1024;

std::string EncodeFrameLength(std::size_t length) {
  std::string header(kFrameHeaderBytes, '\0');
  for (std::size_t i = 0; i < kFrameHeaderBytes; ++i) {
    const std::size_t shift = 8 * (kFrameHeaderBytes - 1 - i);
    header[i] = static_cast<char>((length >> shift) & 0xff);
  }
  return header;
}

Error TooLargeError(std::size_t length) {
  return Error{ErrorKind::kTooLarge,
               "envelope too large: " + std::to_string(length) + " bytes"};
}

// Reads one envelope, which must take up all of `payload`. Throws libthrift's
// exceptions if the bytes are not an envelope, and TException if bytes remain.
wire::Envelope ParseWireEnvelope(std::string_view payload) {
  // TMemoryBuffer takes a mutable pointer but only reads from it in OBSERVE
  // mode.
  auto* bytes =
      reinterpret_cast<std::uint8_t*>(const_cast<char*>(payload.data()));
  const auto buffer = std::make_shared<TMemoryBuffer>(
      bytes, static_cast<std::uint32_t>(payload.size()),
      TMemoryBuffer::OBSERVE);
  CompactProtocol protocol(buffer, static_cast<std::int32_t>(kMaxFrameBytes),
                           kMaxContainerLength);
  wire::Envelope envelope;
  envelope.read(&protocol);
  if (buffer->available_read() != 0) {
    throw apache::thrift::TException("bytes after the envelope");
  }
  return envelope;
}

}  // namespace

Result<std::string, Error> EncodeFrame(const Envelope& envelope) {
  const auto buffer = std::make_shared<TMemoryBuffer>();
  CompactProtocol protocol(buffer);
  try {
    internal::ToWire(envelope).write(&protocol);
  } catch (const std::exception& error) {
    return Error{ErrorKind::kTooLarge, error.what()};
  }
  const std::string payload = buffer->getBufferAsString();
  if (payload.size() > kMaxFrameBytes) {
    return TooLargeError(payload.size());
  }
  return EncodeFrameLength(payload.size()) + payload;
}

std::uint32_t DecodeFrameLength(std::string_view header) {
  std::uint32_t length = 0;
  for (std::size_t i = 0; i < kFrameHeaderBytes; ++i) {
    length = (length << 8) | static_cast<std::uint8_t>(header[i]);
  }
  return length;
}

Result<Envelope, Error> DecodeEnvelope(std::string_view payload) {
  if (payload.size() > kMaxFrameBytes) {
    return TooLargeError(payload.size());
  }
  try {
    return internal::FromWire(ParseWireEnvelope(payload));
  } catch (const std::exception& error) {
    return Error{ErrorKind::kMalformed, error.what()};
  }
}

}  // namespace jasminelug::peers
