#ifndef SRC_WIRE_INTERNAL_COMPACT_BYTES_H_
#define SRC_WIRE_INTERNAL_COMPACT_BYTES_H_

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cstddef>
#include <cstdint>
#include <exception>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "src/wire/internal/exchange.h"

namespace jasminelug::wire::internal {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
using CompactProtocol = TCompactProtocolT<TMemoryBuffer>;

// What is decoded at the most. The generated code makes room for a list before
// it reads the members, so the limit on lists bounds the memory that a few
// bytes can ask for.
struct Limits {
  std::size_t m_bytes;
  // Members of one list.
  std::int32_t m_list;
};

// Returns the compact encoding of `value` in its Thrift form `Form`; empty
// where libthrift refuses to write it.
template <typename Form, typename Value>
std::string ToBytes(const Value& value) {
  Form form;
  ToForm exchange;
  ExchangeFields(exchange, form, value);
  const auto buffer = std::make_shared<TMemoryBuffer>();
  CompactProtocol protocol(buffer);
  try {
    form.write(&protocol);
  } catch (const std::exception&) {
    return {};
  }
  return buffer->getBufferAsString();
}

// Reads the form from all of `bytes`. Throws what libthrift throws where they
// hold another thing.
template <typename Form>
Form ReadForm(std::string_view bytes, std::int32_t max_list) {
  // TMemoryBuffer takes a mutable pointer and only reads from it in this mode.
  auto* start =
      reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data()));
  const auto size = static_cast<std::uint32_t>(bytes.size());
  const auto buffer =
      std::make_shared<TMemoryBuffer>(start, size, TMemoryBuffer::OBSERVE);
  CompactProtocol protocol(buffer, static_cast<std::int32_t>(size), max_list);
  Form form;
  form.read(&protocol);
  if (buffer->available_read() != 0) {
    throw apache::thrift::TException("bytes after the value");
  }
  return form;
}

// The inverse of ToBytes(). Returns nullopt where the bytes exceed `limits` or
// hold no value of the core's type.
template <typename Form, typename Value>
std::optional<Value> FromBytes(std::string_view bytes, const Limits& limits) {
  if (bytes.empty() || bytes.size() > limits.m_bytes) {
    return std::nullopt;
  }
  try {
    Form form = ReadForm<Form>(bytes, limits.m_list);
    Value value;
    FromForm exchange;
    ExchangeFields(exchange, form, value);
    return value;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace jasminelug::wire::internal

#endif  // SRC_WIRE_INTERNAL_COMPACT_BYTES_H_
