#include "test/fake_database/log.h"

#include <algorithm>
#include <utility>

#include "jasminelug/common.h"

namespace jasminelug::fake_database {

Term LogOutline::TermAt(Position position) const {
  if (position > m_last) {
    return 0;
  }
  Term term = 0;
  for (const TermStart& start : m_terms) {
    if (start.m_position <= position) {
      term = start.m_term;
    }
  }
  return term;
}

const LogEntry& Log::Append(Term term, std::vector<Statement> statements) {
  JASMINELUG_ASSERT(term >= LastTerm(), LOG_TERMS_NEVER_FALL);
  m_entries.push_back({term, LastPosition() + 1, std::move(statements)});
  return m_entries.back();
}

void Log::TruncateTo(Position position) {
  if (position < m_entries.size()) {
    m_entries.resize(position);
  }
}

Term Log::TermAt(Position position) const {
  if (position == 0 || position > m_entries.size()) {
    return 0;
  }
  return m_entries[position - 1].m_term;
}

Position Log::LastTermStart() const {
  const auto first = std::partition_point(
      m_entries.begin(), m_entries.end(),
      [this](const LogEntry& entry) { return entry.m_term < LastTerm(); });
  return first == m_entries.end() ? 0 : first->m_position;
}

const LogEntry& Log::EntryAt(Position position) const {
  JASMINELUG_ASSERT(position >= 1 && position <= m_entries.size(),
                    LOG_HOLDS_POSITION);
  return m_entries[position - 1];
}

LogOutline Log::Outline() const {
  LogOutline outline;
  outline.m_last = LastPosition();
  auto next = m_entries.begin();
  while (next != m_entries.end()) {
    const Term term = next->m_term;
    outline.m_terms.push_back({term, next->m_position});
    next = std::partition_point(
        next, m_entries.end(),
        [term](const LogEntry& entry) { return entry.m_term <= term; });
  }
  return outline;
}

Position Log::CommonPrefix(const LogOutline& other) const {
  Position position = std::min(LastPosition(), other.m_last);
  while (position > 0 && TermAt(position) != other.TermAt(position)) {
    --position;
  }
  return position;
}

}  // namespace jasminelug::fake_database
