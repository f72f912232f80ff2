#include "test/fake_database/sql_text.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <regex>
#include <string_view>

namespace jasminelug::fake_database {
namespace {

using databases::Statement;
using databases::Value;

struct KindOfKeyword {
  std::string_view m_keyword;
  StatementKind m_kind;
};

constexpr KindOfKeyword kKinds[] = {
    {"", StatementKind::kEmpty},
    {"BEGIN", StatementKind::kBegin},
    {"START", StatementKind::kBegin},
    {"COMMIT", StatementKind::kCommit},
    {"END", StatementKind::kCommit},
    {"ROLLBACK", StatementKind::kRollback},
    {"ABORT", StatementKind::kRollback},
    {"SET", StatementKind::kSet},
    {"SAVEPOINT", StatementKind::kUnsupported},
    {"RELEASE", StatementKind::kUnsupported},
    {"PRAGMA", StatementKind::kUnsupported},
    {"ATTACH", StatementKind::kUnsupported},
    {"DETACH", StatementKind::kUnsupported},
    {"VACUUM", StatementKind::kUnsupported},
};

const std::regex& CallPattern() {
  static const std::regex pattern(
      R"(^\s*select\s+(?:\*\s+from\s+)?(group_[a-z_]+)\s*\(([^)]*)\)\s*;?\s*$)",
      std::regex::icase);
  return pattern;
}

std::string Trimmed(const std::string& text) {
  const std::size_t first = text.find_first_not_of(" \t\r\n");
  if (first == std::string::npos) {
    return "";
  }
  return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

std::optional<Value> ParseArgument(const std::string& text,
                                   const Statement& statement) {
  if (text.size() >= 2 && text.front() == '\'' && text.back() == '\'') {
    return text.substr(1, text.size() - 2);
  }
  if (text.starts_with('$')) {
    std::size_t number = 0;
    std::from_chars(text.data() + 1, text.data() + text.size(), number);
    if (number == 0 || number > statement.m_params.size()) {
      return std::nullopt;
    }
    return statement.m_params[number - 1];
  }
  return text;
}

std::vector<std::string> SplitArguments(const std::string& text) {
  std::vector<std::string> parts;
  std::size_t start = 0;
  while (!Trimmed(text).empty() && start <= text.size()) {
    const std::size_t comma = std::min(text.find(',', start), text.size());
    parts.push_back(Trimmed(text.substr(start, comma - start)));
    start = comma + 1;
  }
  return parts;
}

}  // namespace

std::string Keyword(const std::string& sql) {
  std::string keyword;
  for (const char c : Trimmed(sql)) {
    if (std::isalpha(static_cast<unsigned char>(c)) == 0) {
      break;
    }
    keyword.push_back(
        static_cast<char>(std::toupper(static_cast<unsigned char>(c))));
  }
  return keyword;
}

StatementKind KindOf(const std::string& sql) {
  const std::string keyword = Keyword(sql);
  for (const KindOfKeyword& known : kKinds) {
    if (known.m_keyword == keyword) {
      return known.m_kind;
    }
  }
  if (keyword == "SELECT" && std::regex_match(sql, CallPattern())) {
    return StatementKind::kGroupFunction;
  }
  return StatementKind::kSql;
}

std::optional<FunctionCall> ParseFunctionCall(const Statement& statement) {
  std::smatch match;
  if (!std::regex_match(statement.m_sql, match, CallPattern())) {
    return std::nullopt;
  }
  FunctionCall call;
  call.m_name = match[1];
  for (const std::string& text : SplitArguments(match[2])) {
    const std::optional<Value> argument = ParseArgument(text, statement);
    if (!argument) {
      return std::nullopt;
    }
    call.m_args.push_back(*argument);
  }
  return call;
}

}  // namespace jasminelug::fake_database
