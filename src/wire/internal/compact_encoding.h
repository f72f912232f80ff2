#ifndef SRC_WIRE_INTERNAL_COMPACT_ENCODING_H_
#define SRC_WIRE_INTERNAL_COMPACT_ENCODING_H_

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cstddef>
#include <cstdint>
#include <exception>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "src/wire/internal/field_mapping.h"

namespace jasminelug::wire::internal {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
using CompactProtocol = TCompactProtocolT<TMemoryBuffer>;

// Limits on the input of a decoder. The generated code allocates a list of the
// announced length before it reads the elements, so without m_max_list_length a
// few bytes could make it allocate an arbitrary amount of memory.
struct DecodeLimits {
  std::size_t m_max_bytes;
  // Maximum number of elements in one list.
  std::int32_t m_max_list_length;
};

// Converts `value` to `ThriftType` and returns that in the compact protocol.
// Returns an empty string if libthrift cannot encode it.
template <typename ThriftType, typename Value>
std::string EncodeCompact(const Value& value) {
  ThriftType thrift;
  ToThrift mapper;
  MapFields(mapper, thrift, value);
  const auto buffer = std::make_shared<TMemoryBuffer>();
  CompactProtocol protocol(buffer);
  try {
    thrift.write(&protocol);
  } catch (const std::exception&) {
    return {};
  }
  return buffer->getBufferAsString();
}

// Reads one `ThriftType`, which must take up all of `bytes`. Throws libthrift's
// exceptions, and TException if bytes remain.
template <typename ThriftType>
ThriftType ReadThrift(std::string_view bytes, std::int32_t max_list) {
  // TMemoryBuffer takes a mutable pointer but only reads from it in OBSERVE
  // mode.
  auto* start =
      reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data()));
  const auto size = static_cast<std::uint32_t>(bytes.size());
  const auto buffer =
      std::make_shared<TMemoryBuffer>(start, size, TMemoryBuffer::OBSERVE);
  CompactProtocol protocol(buffer, static_cast<std::int32_t>(size), max_list);
  ThriftType thrift;
  thrift.read(&protocol);
  if (buffer->available_read() != 0) {
    throw apache::thrift::TException("bytes after the value");
  }
  return thrift;
}

// Decodes the result of EncodeCompact(). Returns nullopt if the bytes exceed
// `limits` or do not hold a valid `Value`.
template <typename ThriftType, typename Value>
std::optional<Value> DecodeCompact(std::string_view bytes,
                                   const DecodeLimits& limits) {
  if (bytes.empty() || bytes.size() > limits.m_max_bytes) {
    return std::nullopt;
  }
  try {
    ThriftType thrift = ReadThrift<ThriftType>(bytes, limits.m_max_list_length);
    Value value;
    FromThrift mapper;
    MapFields(mapper, thrift, value);
    return value;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace jasminelug::wire::internal

#endif  // SRC_WIRE_INTERNAL_COMPACT_ENCODING_H_
