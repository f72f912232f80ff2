#ifndef SRC_CORE_IDS_H_
#define SRC_CORE_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace jasminelug::core {

// A string identifier. Names with different tags are different types, so that
// they cannot be confused.
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

// A numeric identifier. Numbers with different tags are different types, so
// that they cannot be confused.
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

// Identifies one process of an instance. A later process under the same
// InstanceId has a higher incarnation and takes over nothing from the earlier
// one.
using Incarnation = Number<struct IncarnationTag>;

// Identifies a caller's request between the core and the callers package.
using RequestHandle = Number<struct RequestHandleTag>;

// Identifies a connection to a database member. Assigned by the core.
using ConnectionId = Number<struct ConnectionTag>;

// Identifies a call to the platform or to a database member. Assigned by the
// core.
using CallId = Number<struct CallTag>;

// The platform's revision, which increases with each change of any object.
using Revision = Number<struct RevisionTag>;

// A database group's term, which increases with each promotion of a member.
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
