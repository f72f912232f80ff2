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

// Each ReadJsonValue converts `value`, the field at `path`, to the type of
// `*out`. If `value` has the wrong type or is out of range, it adds an error to
// `*errors`, leaves `*out` unchanged and returns false. See ObjectReader.

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

// Reads an integer in the range of T.
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

// Reads a duration of 0 to 365 days, given in whole milliseconds.
bool ReadJsonValue(const nlohmann::json& value,
                   const std::string& path,
                   std::chrono::milliseconds* out,
                   FieldErrors* errors);

// Reads a list. All items are read, so that `*errors` gets the errors of each
// invalid one.
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
