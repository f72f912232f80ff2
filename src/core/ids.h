#ifndef SRC_CORE_IDS_H_
#define SRC_CORE_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace jasminelug::core {

// A name that does not mix with the names of other kinds of things.
template <typename Tag>
class Name {
 public:
  Name() = default;
  explicit Name(std::string value) : m_value(std::move(value)) {}

  const std::string& str() const { return m_value; }
  bool empty() const { return m_value.empty(); }

  friend auto operator<=>(const Name&, const Name&) = default;

 private:
  std::string m_value;
};

// A number that does not mix with the numbers of other kinds of things.
template <typename Tag>
class Number {
 public:
  constexpr Number() = default;
  constexpr explicit Number(uint64_t value) : m_value(value) {}

  constexpr uint64_t value() const { return m_value; }

  friend auto operator<=>(const Number&, const Number&) = default;

 private:
  uint64_t m_value = 0;
};

using InstanceId = Name<struct InstanceTag>;
using ZoneName = Name<struct ZoneTag>;
using CustomerName = Name<struct CustomerTag>;
using ProfileName = Name<struct ProfileTag>;
using DatabaseName = Name<struct DatabaseTag>;
using MemberId = Name<struct MemberTag>;
using KeyId = Name<struct KeyTag>;
using TransactionId = Name<struct TransactionTag>;
using RequestId = Name<struct RequestIdTag>;
using Address = Name<struct AddressTag>;

// A run of an instance: a later process under the same InstanceId has a higher
// incarnation and inherits nothing.
using Incarnation = Number<struct IncarnationTag>;

// A caller's request as the callers package knows it.
using RequestHandle = Number<struct RequestHandleTag>;

// A connection to a database member, numbered by the core.
using ConnectionId = Number<struct ConnectionTag>;

// A call to the platform or to a member, numbered by the core.
using CallId = Number<struct CallTag>;

// The platform's revision: grows with each change of any object.
using Revision = Number<struct RevisionTag>;

// A database group's term: grows with each promotion.
using Term = Number<struct TermTag>;

}  // namespace jasminelug::core

template <typename Tag>
struct std::hash<jasminelug::core::Name<Tag>> {
  size_t operator()(const jasminelug::core::Name<Tag>& name) const {
    return std::hash<std::string>()(name.str());
  }
};

template <typename Tag>
struct std::hash<jasminelug::core::Number<Tag>> {
  size_t operator()(const jasminelug::core::Number<Tag>& number) const {
    return std::hash<uint64_t>()(number.value());
  }
};

#endif  // SRC_CORE_IDS_H_
