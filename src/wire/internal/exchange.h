#ifndef SRC_WIRE_INTERNAL_EXCHANGE_H_
#define SRC_WIRE_INTERNAL_EXCHANGE_H_

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

// Two classes with the same members carry values between a Thrift form and the
// core's type, one for each direction. The function
// `ExchangeFields(exchange, form, value)` of a struct names each pair of
// fields once and so serves both directions, which cannot drift apart.
//
// Field() carries a plain field, Optional() one that may be absent, and
// Alternative() one member of a union; CheckUnion() follows the last of these.
// Both return whether the form is set from then on, as libthrift keeps that in
// bit fields, to which nothing can refer. Each struct has an exchange of its
// own, so unions may lie in unions.

// From the core's value to the Thrift form.
class ToForm {
 public:
  void Field(bool& form, bool value) { form = value; }
  void Field(std::int32_t& form, std::uint32_t value) {
    form = static_cast<std::int32_t>(value);
  }
  void Field(std::int64_t& form, std::uint64_t value) {
    form = static_cast<std::int64_t>(value);
  }
  void Field(std::int64_t& form, core::Duration value) { form = value.count(); }
  void Field(std::int64_t& form, core::Time value) {
    form = value.time_since_epoch().count();
  }
  void Field(std::string& form, const std::string& value) { form = value; }
  void Field(std::string& form, const core::Secret& value) {
    form = value.Reveal();
  }

  template <typename Tag>
  void Field(std::string& form, const core::Name<Tag>& value) {
    form = value.str();
  }

  template <typename Tag>
  void Field(std::int64_t& form, const core::Number<Tag>& value) {
    Field(form, value.value());
  }

  template <typename Form, typename Value>
  void Field(std::vector<Form>& form, const std::vector<Value>& value) {
    form.resize(value.size());
    for (std::size_t i = 0; i < value.size(); ++i) {
      Field(form[i], value[i]);
    }
  }

  // An enumeration; `last` is its highest enumerator.
  template <typename Value>
  void Enumerator(std::int32_t& form, Value value, Value /*last*/) {
    form = static_cast<std::int32_t>(value);
  }

  template <typename Form, typename Value>
  void Field(Form& form, const Value& value) requires(std::is_class_v<Form>) {
    ToForm nested;
    ExchangeFields(nested, form, value);
  }

  template <typename Form, typename Value>
  bool Optional(Form& form,
                bool /*is_set*/,
                const std::optional<Value>& value) {
    if (value) {
      Field(form, *value);
    }
    return value.has_value();
  }

  template <typename Member, typename Form, typename Union>
  bool Alternative(Form& form, bool /*is_set*/, const Union& value) {
    const Member* member = std::get_if<Member>(&value);
    if (member != nullptr) {
      ++m_members;
      Field(form, *member);
    }
    return member != nullptr;
  }

  // Each alternative of the core's type has its member of the union.
  void CheckUnion() {
    JASMINELUG_ASSERT(std::exchange(m_members, 0) == 1,
                      EACH_ALTERNATIVE_HAS_ONE_THRIFT_FORM);
  }

 private:
  int m_members = 0;
};

// From the Thrift form to the core's value. Throws TProtocolException where
// the form holds no value of the core's type.
class FromForm {
 public:
  void Field(bool form, bool& value) { value = form; }
  void Field(std::int32_t form, std::uint32_t& value) {
    value = static_cast<std::uint32_t>(form);
  }
  void Field(std::int64_t form, std::uint64_t& value) {
    value = static_cast<std::uint64_t>(form);
  }
  void Field(std::int64_t form, core::Duration& value) {
    value = core::Duration(form);
  }
  void Field(std::int64_t form, core::Time& value) {
    value = core::Time(core::Duration(form));
  }
  void Field(std::string& form, std::string& value) { value = std::move(form); }
  void Field(std::string& form, core::Secret& value) {
    value = core::Secret(std::move(form));
  }

  template <typename Tag>
  void Field(std::string& form, core::Name<Tag>& value) {
    value = core::Name<Tag>(std::move(form));
  }

  template <typename Tag>
  void Field(std::int64_t form, core::Number<Tag>& value) {
    value = core::Number<Tag>(static_cast<std::uint64_t>(form));
  }

  template <typename Form, typename Value>
  void Field(std::vector<Form>& form, std::vector<Value>& value) {
    value.resize(form.size());
    for (std::size_t i = 0; i < form.size(); ++i) {
      Field(form[i], value[i]);
    }
  }

  // An enumeration; what is above `last` is of a later release.
  template <typename Value>
  void Enumerator(std::int32_t form, Value& value, Value last) {
    if (form < 0 || form > static_cast<std::int32_t>(last)) {
      throw Malformed("unknown enumerator");
    }
    value = static_cast<Value>(form);
  }

  template <typename Form, typename Value>
  void Field(Form& form, Value& value) requires(std::is_class_v<Form>) {
    FromForm nested;
    ExchangeFields(nested, form, value);
  }

  template <typename Form, typename Value>
  bool Optional(Form& form, bool is_set, std::optional<Value>& value) {
    if (is_set) {
      Field(form, value.emplace());
    }
    return is_set;
  }

  template <typename Member, typename Form, typename Union>
  bool Alternative(Form& form, bool is_set, Union& value) {
    if (is_set) {
      ++m_members;
      Field(form, value.template emplace<Member>());
    }
    return is_set;
  }

  // libthrift reads a union with any number of members, this one takes one.
  void CheckUnion() {
    if (std::exchange(m_members, 0) != 1) {
      throw Malformed("union without exactly one known member");
    }
  }

 private:
  static apache::thrift::protocol::TProtocolException Malformed(
      const char* message) {
    using apache::thrift::protocol::TProtocolException;
    return {TProtocolException::INVALID_DATA, message};
  }

  int m_members = 0;
};

}  // namespace jasminelug::wire::internal

#endif  // SRC_WIRE_INTERNAL_EXCHANGE_H_
