#ifndef SRC_DATABASES_INTERNAL_ROW_READER_H_
#define SRC_DATABASES_INTERNAL_ROW_READER_H_

#include <cstdint>
#include <string_view>

#include "src/databases/group_report.h"
#include "src/databases/result.h"

namespace jasminelug::databases::internal {

// Reads the columns of a one-row result by name, and records whether any was
// missing or malformed. The values are valid only if IsValid() is true after
// the last column was read.
class RowReader {
 public:
  explicit RowReader(const StatementResult& result);

  // Returns whether the result has one row and all columns read so far were
  // present and well formed.
  bool IsValid() const { return m_is_valid; }

  bool IsNull(std::string_view column);
  std::uint64_t Number(std::string_view column);
  bool Bool(std::string_view column);
  Role RoleOf(std::string_view column);

 private:
  const Value* Find(std::string_view column);
  std::string_view Text(std::string_view column);

  const StatementResult& m_result;
  bool m_is_valid;
};

}  // namespace jasminelug::databases::internal

#endif  // SRC_DATABASES_INTERNAL_ROW_READER_H_
