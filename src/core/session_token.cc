#include "src/core/session_token.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <system_error>
#include <utility>
#include <vector>

namespace jasminelug::core {
namespace {

// Text form: "1;sequence;database=term.index.flag;...;checksum".
constexpr std::string_view kVersion = "1";
constexpr char kFieldSeparator = ';';
constexpr char kPartSeparator = '.';
constexpr char kNameSeparator = '=';
constexpr char kCertain = 'c';
constexpr char kUncertain = 'u';

// Maximum length of a token in bytes. Longer ones are rejected without parsing.
constexpr size_t kMaxTokenBytes = 4096;

void AppendNumber(std::string* text, uint64_t number) {
  std::array<char, 20> digits{};
  const auto end =
      std::to_chars(digits.data(), digits.data() + digits.size(), number).ptr;
  text->append(digits.data(), end);
}

bool ParseNumber(std::string_view text, uint64_t* number) {
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, *number);
  return result.ec == std::errc() && result.ptr == end;
}

// Returns the text before `separator` and removes both from `rest`. Returns
// nullopt if there is no separator.
std::optional<std::string_view> TakeField(std::string_view* rest,
                                          char separator) {
  const size_t end = rest->find(separator);
  if (end == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view field = rest->substr(0, end);
  rest->remove_prefix(end + 1);
  return field;
}

uint64_t Checksum(std::string_view body) {
  return XXH3_64bits(body.data(), body.size());
}

bool ParseMark(std::string_view field,
               DatabaseName* database,
               SessionMark* mark) {
  const auto name = TakeField(&field, kNameSeparator);
  const auto term = TakeField(&field, kPartSeparator);
  const auto index = TakeField(&field, kPartSeparator);
  uint64_t term_number = 0;
  if (!name || !term || !index || field.size() != 1 ||
      !ParseNumber(*term, &term_number) ||
      !ParseNumber(*index, &mark->m_position.m_index)) {
    return false;
  }
  *database = DatabaseName(std::string(*name));
  mark->m_position.m_term = Term(term_number);
  mark->m_uncertain = field.front() == kUncertain;
  return true;
}

}  // namespace

std::optional<SessionToken> SessionToken::Parse(std::string_view text) {
  if (text.empty()) {
    return SessionToken();
  }
  const size_t body_end = text.rfind(kFieldSeparator);
  if (text.size() > kMaxTokenBytes || body_end == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view rest = text.substr(0, body_end + 1);
  uint64_t checksum = 0;
  if (!ParseNumber(text.substr(body_end + 1), &checksum) ||
      checksum != Checksum(rest)) {
    return std::nullopt;
  }
  SessionToken token;
  const auto version = TakeField(&rest, kFieldSeparator);
  const auto sequence = TakeField(&rest, kFieldSeparator);
  if (version != kVersion || !sequence ||
      !ParseNumber(*sequence, &token.m_sequence)) {
    return std::nullopt;
  }
  while (const auto field = TakeField(&rest, kFieldSeparator)) {
    DatabaseName database;
    SessionMark mark;
    if (!ParseMark(*field, &database, &mark)) {
      return std::nullopt;
    }
    token.m_marks.emplace(std::move(database), mark);
  }
  return token;
}

std::string SessionToken::Format() const {
  std::string text(kVersion);
  text += kFieldSeparator;
  AppendNumber(&text, m_sequence);
  text += kFieldSeparator;
  for (const auto& [database, mark] : m_marks) {
    text += database.str();
    text += kNameSeparator;
    AppendNumber(&text, mark.m_position.m_term.value());
    text += kPartSeparator;
    AppendNumber(&text, mark.m_position.m_index);
    text += kPartSeparator;
    text += mark.m_uncertain ? kUncertain : kCertain;
    text += kFieldSeparator;
  }
  AppendNumber(&text, Checksum(text));
  return text;
}

SessionMark SessionToken::MarkOf(const DatabaseName& database) const {
  const auto found = m_marks.find(database);
  return found == m_marks.end() ? SessionMark() : found->second;
}

SessionToken SessionToken::WithSequence(uint64_t sequence) const {
  SessionToken token = *this;
  token.m_sequence = sequence;
  return token;
}

SessionToken SessionToken::WithPosition(const DatabaseName& database,
                                        const LogPosition& position) const {
  SessionToken token = *this;
  SessionMark& mark = token.m_marks[database];
  mark.m_position = std::max(mark.m_position, position);
  mark.m_uncertain = false;
  return token;
}

SessionToken SessionToken::WithUncertainty(const DatabaseName& database) const {
  SessionToken token = *this;
  token.m_marks[database].m_uncertain = true;
  return token;
}

}  // namespace jasminelug::core
