#include "src/common/json_value.h"

namespace jasminelug {
namespace {

// Maximum duration: 365 days. A longer setting is a mistake, and sums of such
// durations could overflow.
constexpr std::chrono::milliseconds kMaxDuration = std::chrono::hours(24 * 365);

}  // namespace

bool ReadJsonValue(const nlohmann::json& value,
                   const std::string& path,
                   std::string* out,
                   FieldErrors* errors) {
  if (!value.is_string()) {
    errors->push_back({path, "must be a string"});
    return false;
  }
  *out = value.get<std::string>();
  return true;
}

bool ReadJsonValue(const nlohmann::json& value,
                   const std::string& path,
                   bool* out,
                   FieldErrors* errors) {
  if (!value.is_boolean()) {
    errors->push_back({path, "must be true or false"});
    return false;
  }
  *out = value.get<bool>();
  return true;
}

bool ReadJsonValue(const nlohmann::json& value,
                   const std::string& path,
                   double* out,
                   FieldErrors* errors) {
  if (!value.is_number()) {
    errors->push_back({path, "must be a number"});
    return false;
  }
  *out = value.get<double>();
  return true;
}

bool ReadJsonValue(const nlohmann::json& value,
                   const std::string& path,
                   std::chrono::milliseconds* out,
                   FieldErrors* errors) {
  const bool fits = value.is_number_unsigned() &&
                    value.get<std::uint64_t>() <=
                        static_cast<std::uint64_t>(kMaxDuration.count());
  if (!fits) {
    errors->push_back(
        {path, "must be a whole number of milliseconds from 0 to " +
                   std::to_string(kMaxDuration.count())});
    return false;
  }
  *out = std::chrono::milliseconds(value.get<std::int64_t>());
  return true;
}

}  // namespace jasminelug
