#include "src/core/group_record.h"

#include <cstdint>
#include <nlohmann/json.hpp>

namespace jasminelug::core {
namespace {

constexpr const char* kTermField = "term";
constexpr const char* kPrimaryField = "primary";

}  // namespace

std::optional<GroupRecord> ParseGroupRecord(std::string_view text) {
  const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
  if (!json.is_object() || !json.contains(kTermField) ||
      !json.contains(kPrimaryField) || !json[kTermField].is_number_unsigned() ||
      !json[kPrimaryField].is_string()) {
    return std::nullopt;
  }
  return GroupRecord{Term(json[kTermField].get<uint64_t>()),
                     MemberId(json[kPrimaryField].get<std::string>())};
}

std::string FormatGroupRecord(const GroupRecord& record) {
  return nlohmann::json{{kTermField, record.m_term.value()},
                        {kPrimaryField, record.m_primary.str()}}
      .dump();
}

}  // namespace jasminelug::core
