#ifndef TEST_FAKE_DATABASE_NUMBERS_H_
#define TEST_FAKE_DATABASE_NUMBERS_H_

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

#include "jasminelug/databases.h"

namespace jasminelug::fake_database {

// Returns the whole of `text` as a number, or nothing.
inline std::optional<std::uint64_t> ToNumber(std::string_view text) {
  std::uint64_t number = 0;
  const char* const last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, number);
  if (text.empty() || error != std::errc() || end != last) {
    return std::nullopt;
  }
  return number;
}

inline std::optional<std::uint64_t> ToNumber(const databases::Value& value) {
  return value ? ToNumber(std::string_view(*value)) : std::nullopt;
}

// An address "ip:port" in its parts.
struct Address {
  std::string m_host;
  std::uint16_t m_port = 0;

  bool operator==(const Address&) const = default;
};

// Returns nothing where `text` is not "ip:port".
inline std::optional<Address> ToAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const auto port = ToNumber(text.substr(colon + 1));
  if (!port || *port > UINT16_MAX) {
    return std::nullopt;
  }
  return Address{std::string(text.substr(0, colon)),
                 static_cast<std::uint16_t>(*port)};
}

}  // namespace jasminelug::fake_database

#endif  // TEST_FAKE_DATABASE_NUMBERS_H_
