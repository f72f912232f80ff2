#ifndef SRC_GOSSIP_THRIFT_BYTES_H_
#define SRC_GOSSIP_THRIFT_BYTES_H_

#include <thrift/Thrift.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace jasminelug::gossip::internal {

// Bounds on the lengths that are accepted when a message is read.
struct ThriftLimits {
  std::int32_t m_max_string_bytes = 0;
  std::int32_t m_max_list_length = 0;
};

using MemoryBuffer = apache::thrift::transport::TMemoryBuffer;
using CompactProtocol =
    apache::thrift::protocol::TCompactProtocolT<MemoryBuffer>;

// Serializes a generated type in the compact protocol.
template <typename Wire>
std::string WriteWire(const Wire& wire) {
  const auto buffer = std::make_shared<MemoryBuffer>();
  CompactProtocol protocol(buffer);
  wire.write(&protocol);
  return buffer->getBufferAsString();
}

// Converts a number to an enumerator. Throws TException if `number` is not one
// of the enumerators from 0 to `last`.
template <typename Enum>
Enum ToEnum(std::int32_t number, Enum last) {
  if (number < 0 || number > static_cast<std::int32_t>(last)) {
    throw apache::thrift::TException("unknown enumerator");
  }
  return static_cast<Enum>(number);
}

// Deserializes what WriteWire() wrote. Throws the exceptions of libthrift if
// the bytes are malformed or more than one message.
template <typename Wire>
Wire ReadWire(std::string_view bytes, const ThriftLimits& limits) {
  // TMemoryBuffer takes a mutable pointer but only reads from it in the mode
  // OBSERVE.
  auto* data = reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data()));
  const auto buffer = std::make_shared<MemoryBuffer>(
      data, static_cast<std::uint32_t>(bytes.size()), MemoryBuffer::OBSERVE);
  CompactProtocol protocol(buffer, limits.m_max_string_bytes,
                           limits.m_max_list_length);
  Wire wire;
  wire.read(&protocol);
  if (buffer->available_read() > 0) {
    throw apache::thrift::TException("bytes after the message");
  }
  return wire;
}

}  // namespace jasminelug::gossip::internal

#endif  // SRC_GOSSIP_THRIFT_BYTES_H_
