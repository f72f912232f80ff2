#include "src/platform/percent_coding.h"

#include <charconv>
#include <cstddef>
#include <cstdint>

namespace jasminelug::platform {
namespace {

constexpr std::size_t kHexDigits = 2;

// Returns whether `c` is unreserved in RFC 3986. Does not use std::isalnum,
// which depends on the locale.
bool IsUnreserved(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-' || c == '~';
}

std::string Escape(char c) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  const auto byte = static_cast<std::uint8_t>(c);
  return {'%', kDigits[byte >> 4], kDigits[byte & 0xf]};
}

// Decodes the two hexadecimal digits at the start of `text`.
std::optional<char> Unescape(std::string_view text) {
  std::uint8_t byte = 0;
  const std::string_view digits = text.substr(0, kHexDigits);
  const char* const end = digits.data() + digits.size();
  const auto [stop, error] = std::from_chars(digits.data(), end, byte, 16);
  if (digits.size() < kHexDigits || error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return static_cast<char>(byte);
}

}  // namespace

std::string PercentEncode(std::string_view text) {
  std::string result;
  for (const char c : text) {
    result += IsUnreserved(c) ? std::string(1, c) : Escape(c);
  }
  return result;
}

std::optional<std::string> PercentDecode(std::string_view text) {
  std::string result;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      result += text[i];
      continue;
    }
    const std::optional<char> c = Unescape(text.substr(i + 1));
    if (!c) {
      return std::nullopt;
    }
    result += *c;
    i += kHexDigits;
  }
  return result;
}

}  // namespace jasminelug::platform
