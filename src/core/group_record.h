#ifndef SRC_CORE_GROUP_RECORD_H_
#define SRC_CORE_GROUP_RECORD_H_

#include <optional>
#include <string>
#include <string_view>

#include "src/core/ids.h"

namespace jasminelug::core {

// Value of a platform object of kind ObjectKind::kGroup: the primary of a
// database group. The object lets instances learn of a promotion sooner; the
// correctness of the system does not depend on it.
struct GroupRecord {
  Term m_term;
  MemberId m_primary;

  friend bool operator==(const GroupRecord&, const GroupRecord&) = default;
};

// Parses {"term": N, "primary": "member"}. Returns nullopt if `text` does not
// have this form. FormatGroupRecord() is the inverse.
std::optional<GroupRecord> ParseGroupRecord(std::string_view text);

std::string FormatGroupRecord(const GroupRecord& record);

}  // namespace jasminelug::core

#endif  // SRC_CORE_GROUP_RECORD_H_
