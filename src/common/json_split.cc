#include "src/common/json_split.h"

#include <algorithm>
#include <cstddef>

namespace jasminelug {
namespace {

constexpr std::string_view kSpaces = " \t\r\n";

// Reads a text from its beginning to its end, one element at a time.
class Scanner {
 public:
  explicit Scanner(std::string_view text) : m_text(text) { SkipSpaces(); }

  bool is_at_end() const { return m_at == m_text.size(); }

  // Skips `character` and the spaces after it. Returns false if the next
  // character is another one.
  bool Take(char character) {
    if (is_at_end() || m_text[m_at] != character) {
      return false;
    }
    m_at += 1;
    SkipSpaces();
    return true;
  }

  // Returns the string that begins here, with its quotes.
  std::optional<std::string_view> TakeString() {
    const std::size_t begin = m_at;
    if (!SkipString()) {
      return std::nullopt;
    }
    return TakenSince(begin);
  }

  // Returns the value that begins here. Its content is not checked.
  std::optional<std::string_view> TakeValue() {
    const std::size_t begin = m_at;
    const bool complete = IsBracket() ? SkipNested() : SkipScalar();
    if (!complete || m_at == begin) {
      return std::nullopt;
    }
    return TakenSince(begin);
  }

 private:
  bool IsBracket() const {
    return !is_at_end() && (m_text[m_at] == '{' || m_text[m_at] == '[');
  }

  void SkipSpaces() {
    m_at = std::min(m_text.find_first_not_of(kSpaces, m_at), m_text.size());
  }

  std::string_view TakenSince(std::size_t begin) {
    const std::string_view taken = m_text.substr(begin, m_at - begin);
    SkipSpaces();
    return taken;
  }

  bool SkipString() {
    if (is_at_end() || m_text[m_at] != '"') {
      return false;
    }
    m_at += 1;
    while (!is_at_end() && m_text[m_at] != '"') {
      m_at += m_text[m_at] == '\\' ? 2 : 1;
      m_at = std::min(m_at, m_text.size());
    }
    if (is_at_end()) {
      return false;
    }
    m_at += 1;
    return true;
  }

  // Skips a string, number, true, false or null.
  bool SkipScalar() {
    if (!is_at_end() && m_text[m_at] == '"') {
      return SkipString();
    }
    m_at =
        std::min(m_text.find_first_of(" \t\r\n,:\"[]{}", m_at), m_text.size());
    return true;
  }

  // Skips from an opening bracket to its closing one.
  bool SkipNested() {
    std::size_t depth = 0;
    do {
      if (is_at_end()) {
        return false;
      }
      const char character = m_text[m_at];
      if (character == '"') {
        if (!SkipString()) {
          return false;
        }
        continue;
      }
      depth += character == '{' || character == '[' ? 1 : 0;
      depth -= character == '}' || character == ']' ? 1 : 0;
      m_at += 1;
    } while (depth > 0);
    return true;
  }

  const std::string_view m_text;
  std::size_t m_at = 0;
};

std::string_view WithoutQuotes(std::string_view string) {
  return string.substr(1, string.size() - 2);
}

}  // namespace

std::optional<std::vector<JsonMember>> SplitJsonObject(std::string_view text) {
  Scanner scanner(text);
  std::vector<JsonMember> members;
  if (!scanner.Take('{')) {
    return std::nullopt;
  }
  bool ended = scanner.Take('}');
  while (!ended) {
    const auto name = scanner.TakeString();
    if (!name || !scanner.Take(':')) {
      return std::nullopt;
    }
    const auto value = scanner.TakeValue();
    if (!value) {
      return std::nullopt;
    }
    members.push_back({WithoutQuotes(*name), *value});
    ended = scanner.Take('}');
    if (!ended && !scanner.Take(',')) {
      return std::nullopt;
    }
  }
  return scanner.is_at_end() ? std::optional(members) : std::nullopt;
}

std::optional<std::vector<std::string_view>> SplitJsonList(
    std::string_view text) {
  Scanner scanner(text);
  std::vector<std::string_view> items;
  if (!scanner.Take('[')) {
    return std::nullopt;
  }
  bool ended = scanner.Take(']');
  while (!ended) {
    const auto item = scanner.TakeValue();
    if (!item) {
      return std::nullopt;
    }
    items.push_back(*item);
    ended = scanner.Take(']');
    if (!ended && !scanner.Take(',')) {
      return std::nullopt;
    }
  }
  return scanner.is_at_end() ? std::optional(items) : std::nullopt;
}

std::optional<std::string_view> FindJsonMember(
    const std::vector<JsonMember>& members,
    std::string_view name) {
  const auto found = std::find_if(
      members.begin(), members.end(),
      [name](const JsonMember& member) { return member.m_name == name; });
  if (found == members.end()) {
    return std::nullopt;
  }
  return found->m_value;
}

}  // namespace jasminelug
