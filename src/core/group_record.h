#ifndef SRC_CORE_GROUP_RECORD_H_
#define SRC_CORE_GROUP_RECORD_H_

#include <optional>
#include <string>
#include <string_view>

#include "src/core/ids.h"

namespace jasminelug::core {

// The platform's object of kind ObjectKind::kGroup: who leads a database
// group. It speeds up how instances learn of a promotion; nothing rests on it.
struct GroupRecord {
  Term m_term;
  MemberId m_primary;

  friend bool operator==(const GroupRecord&, const GroupRecord&) = default;
};

// Reads {"term": N, "primary": "member"}; nullopt if `text` is not of that
// form. See FormatGroupRecord().
std::optional<GroupRecord> ParseGroupRecord(std::string_view text);

std::string FormatGroupRecord(const GroupRecord& record);

}  // namespace jasminelug::core

#endif  // SRC_CORE_GROUP_RECORD_H_
