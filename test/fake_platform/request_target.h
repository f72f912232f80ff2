#ifndef TEST_FAKE_PLATFORM_REQUEST_TARGET_H_
#define TEST_FAKE_PLATFORM_REQUEST_TARGET_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jasminelug/platform.h"

namespace jasminelug::fake_platform {

// A request's path and query, percent-decoded.
class RequestTarget {
 public:
  explicit RequestTarget(std::string_view text);

  // The path without the query.
  const std::string& Path() const { return m_path; }

  // The key of "/v1/objects/KIND/NAME".
  std::optional<platform::ObjectKey> Key() const;

  // A query parameter, empty where it is absent or badly encoded.
  std::string Parameter(const std::string& name) const;

  // A query parameter that is a whole number of zero or more.
  std::optional<std::int64_t> Number(const std::string& name) const;

 private:
  std::string m_path;
  std::map<std::string, std::string> m_parameters;
};

}  // namespace jasminelug::fake_platform

#endif  // TEST_FAKE_PLATFORM_REQUEST_TARGET_H_
