#ifndef SRC_WIRE_INTERNAL_FIELD_MAPPING_H_
#define SRC_WIRE_INTERNAL_FIELD_MAPPING_H_

#include <thrift/protocol/TProtocolException.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "jasminelug/common.h"
#include "src/core/caller_request.h"
#include "src/core/ids.h"
#include "src/core/time.h"

namespace jasminelug::wire::internal {

// ToThrift and FromThrift convert between a core type and its Thrift type, one
// for each direction. Both have the same members, so that a single function
// `MapFields(mapper, thrift, value)` per type lists each pair of fields once
// and serves both directions. The two directions therefore cannot diverge.
//
// Field() converts a plain field, Optional() a field that may be absent, and
// Alternative() one member of a union. CheckUnion() must be called after the
// last Alternative(). Optional() and Alternative() return whether the field of
// the Thrift type is to be marked as set; the caller assigns the result to the
// `__isset` flag, because libthrift keeps these flags in bit fields, to which
// no reference can be passed. Each nested struct gets a mapper of its own, so a
// union may contain another union.

// Converts a core value to its Thrift type.
class ToThrift {
 public:
  void Field(bool& thrift, bool value) { thrift = value; }
  void Field(std::int32_t& thrift, std::uint32_t value) {
    thrift = static_cast<std::int32_t>(value);
  }
  void Field(std::int64_t& thrift, std::uint64_t value) {
    thrift = static_cast<std::int64_t>(value);
  }
  void Field(std::int64_t& thrift, core::Duration value) {
    thrift = value.count();
  }
  void Field(std::int64_t& thrift, core::Time value) {
    thrift = value.time_since_epoch().count();
  }
  void Field(std::string& thrift, const std::string& value) { thrift = value; }
  void Field(std::string& thrift, const core::Secret& value) {
    thrift = value.Reveal();
  }

  template <typename Tag>
  void Field(std::string& thrift, const core::Name<Tag>& value) {
    thrift = value.str();
  }

  template <typename Tag>
  void Field(std::int64_t& thrift, const core::Number<Tag>& value) {
    Field(thrift, value.value());
  }

  template <typename ThriftType, typename Value>
  void Field(std::vector<ThriftType>& thrift, const std::vector<Value>& value) {
    thrift.resize(value.size());
    for (std::size_t i = 0; i < value.size(); ++i) {
      Field(thrift[i], value[i]);
    }
  }

  // Converts an enumeration. `last` is its highest enumerator.
  template <typename Value>
  void Enumerator(std::int32_t& thrift, Value value, Value /*last*/) {
    thrift = static_cast<std::int32_t>(value);
  }

  template <typename ThriftType, typename Value>
  void Field(ThriftType& thrift,
             const Value& value) requires(std::is_class_v<ThriftType>) {
    ToThrift nested;
    MapFields(nested, thrift, value);
  }

  template <typename ThriftType, typename Value>
  bool Optional(ThriftType& thrift,
                bool /*is_set*/,
                const std::optional<Value>& value) {
    if (value) {
      Field(thrift, *value);
    }
    return value.has_value();
  }

  template <typename Member, typename ThriftType, typename Union>
  bool Alternative(ThriftType& thrift, bool /*is_set*/, const Union& value) {
    const Member* member = std::get_if<Member>(&value);
    if (member != nullptr) {
      ++m_set_members;
      Field(thrift, *member);
    }
    return member != nullptr;
  }

  // Asserts that exactly one member of the union was set: each alternative of
  // the core type must have one.
  void CheckUnion() {
    JASMINELUG_ASSERT(std::exchange(m_set_members, 0) == 1,
                      EACH_ALTERNATIVE_HAS_ONE_THRIFT_FORM);
  }

 private:
  int m_set_members = 0;
};

// Converts a Thrift value to its core type. Throws TProtocolException if the
// value is not valid for the core type.
class FromThrift {
 public:
  void Field(bool thrift, bool& value) { value = thrift; }
  void Field(std::int32_t thrift, std::uint32_t& value) {
    value = static_cast<std::uint32_t>(thrift);
  }
  void Field(std::int64_t thrift, std::uint64_t& value) {
    value = static_cast<std::uint64_t>(thrift);
  }
  void Field(std::int64_t thrift, core::Duration& value) {
    value = core::Duration(thrift);
  }
  void Field(std::int64_t thrift, core::Time& value) {
    value = core::Time(core::Duration(thrift));
  }
  void Field(std::string& thrift, std::string& value) {
    value = std::move(thrift);
  }
  void Field(std::string& thrift, core::Secret& value) {
    value = core::Secret(std::move(thrift));
  }

  template <typename Tag>
  void Field(std::string& thrift, core::Name<Tag>& value) {
    value = core::Name<Tag>(std::move(thrift));
  }

  template <typename Tag>
  void Field(std::int64_t thrift, core::Number<Tag>& value) {
    value = core::Number<Tag>(static_cast<std::uint64_t>(thrift));
  }

  template <typename ThriftType, typename Value>
  void Field(std::vector<ThriftType>& thrift, std::vector<Value>& value) {
    value.resize(thrift.size());
    for (std::size_t i = 0; i < thrift.size(); ++i) {
      Field(thrift[i], value[i]);
    }
  }

  // Converts an enumeration. A number above `last`, its highest enumerator, may
  // come from a later release and is rejected.
  template <typename Value>
  void Enumerator(std::int32_t thrift, Value& value, Value last) {
    if (thrift < 0 || thrift > static_cast<std::int32_t>(last)) {
      throw MalformedError("unknown enumerator");
    }
    value = static_cast<Value>(thrift);
  }

  template <typename ThriftType, typename Value>
  void Field(ThriftType& thrift,
             Value& value) requires(std::is_class_v<ThriftType>) {
    FromThrift nested;
    MapFields(nested, thrift, value);
  }

  template <typename ThriftType, typename Value>
  bool Optional(ThriftType& thrift, bool is_set, std::optional<Value>& value) {
    if (is_set) {
      Field(thrift, value.emplace());
    }
    return is_set;
  }

  template <typename Member, typename ThriftType, typename Union>
  bool Alternative(ThriftType& thrift, bool is_set, Union& value) {
    if (is_set) {
      ++m_set_members;
      Field(thrift, value.template emplace<Member>());
    }
    return is_set;
  }

  // Throws unless exactly one known member of the union was set. libthrift
  // itself accepts a union with any number of members.
  void CheckUnion() {
    if (std::exchange(m_set_members, 0) != 1) {
      throw MalformedError("union without exactly one known member");
    }
  }

 private:
  static apache::thrift::protocol::TProtocolException MalformedError(
      const char* message) {
    using apache::thrift::protocol::TProtocolException;
    return {TProtocolException::INVALID_DATA, message};
  }

  int m_set_members = 0;
};

}  // namespace jasminelug::wire::internal

#endif  // SRC_WIRE_INTERNAL_FIELD_MAPPING_H_
