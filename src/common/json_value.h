#ifndef SRC_COMMON_JSON_VALUE_H_
#define SRC_COMMON_JSON_VALUE_H_

#include <nlohmann/json.hpp>

#include <chrono>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <utility>
#include <vector>

#include "src/common/field_error.h"

namespace jasminelug {

// Each ReadJsonValue turns `value`, which stands at `path`, into `*out`. On a
// wrong type or range it adds to `*errors`, leaves `*out` and returns false.
// See ObjectReader.

bool ReadJsonValue(const nlohmann::json& value,
                   const std::string& path,
                   std::string* out,
                   FieldErrors* errors);
bool ReadJsonValue(const nlohmann::json& value,
                   const std::string& path,
                   bool* out,
                   FieldErrors* errors);
bool ReadJsonValue(const nlohmann::json& value,
                   const std::string& path,
                   double* out,
                   FieldErrors* errors);

// A whole number that fits T.
template <std::integral T>
requires(!std::same_as<T, bool>) bool ReadJsonValue(const nlohmann::json& value,
                                                    const std::string& path,
                                                    T* out,
                                                    FieldErrors* errors) {
  bool fits = false;
  if (value.is_number_unsigned()) {
    fits = std::in_range<T>(value.get<std::uint64_t>());
  } else if (value.is_number_integer()) {
    fits = std::in_range<T>(value.get<std::int64_t>());
  }
  if (!fits) {
    errors->push_back(
        {path, "must be a whole number from " +
                   std::to_string(std::numeric_limits<T>::min()) + " to " +
                   std::to_string(std::numeric_limits<T>::max())});
    return false;
  }
  *out = value.get<T>();
  return true;
}

// A duration of at most a year, as a whole number of milliseconds.
bool ReadJsonValue(const nlohmann::json& value,
                   const std::string& path,
                   std::chrono::milliseconds* out,
                   FieldErrors* errors);

// A list whose items are read one by one.
template <typename T>
bool ReadJsonValue(const nlohmann::json& value,
                   const std::string& path,
                   std::vector<T>* out,
                   FieldErrors* errors) {
  if (!value.is_array()) {
    errors->push_back({path, "must be a list"});
    return false;
  }
  std::vector<T> items;
  bool ok = true;
  for (std::size_t i = 0; i < value.size(); ++i) {
    T item{};
    ok &= ReadJsonValue(value[i], path + "[" + std::to_string(i) + "]", &item,
                        errors);
    items.push_back(std::move(item));
  }
  if (ok) {
    *out = std::move(items);
  }
  return ok;
}

}  // namespace jasminelug

#endif  // SRC_COMMON_JSON_VALUE_H_
