#include "src/http2/header.h"

namespace jasminelug::http2 {

std::optional<std::string> FindHeader(const Headers& headers,
                                      std::string_view name) {
  for (const Header& header : headers) {
    if (header.m_name == name) {
      return header.m_value;
    }
  }
  return std::nullopt;
}

}  // namespace jasminelug::http2
