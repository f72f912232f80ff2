#ifndef TEST_PLATFORM_ADAPTER_RANDOM_LINES_H_
#define TEST_PLATFORM_ADAPTER_RANDOM_LINES_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "jasminelug/gateway.h"
#include "platform/line_reader.h"

namespace jasminelug::adapter {

// Makes random fields and messages of the line protocol, and splits bytes at
// random.
class RandomLines {
 public:
  explicit RandomLines(std::uint64_t seed) : m_random(seed) {}

  // Returns a number from 0 to `max`, both included.
  std::size_t Number(std::size_t max) {
    return std::uniform_int_distribution<std::size_t>(0, max)(m_random);
  }

  // Returns true once in `count` calls on average.
  bool OneIn(std::size_t count) { return Number(count - 1) == 0; }

  // Returns a field that extends to the end of its line. It may be empty, hold
  // a line end, or make its line too long.
  std::string LastField() {
    std::string field;
    for (std::size_t count = Number(5); count > 0; --count) {
      field += Piece();
    }
    if (OneIn(kLongFieldInterval)) {
      field.resize(kMaxLineBytes - Number(kLongFieldSpread), 'x');
    }
    return field;
  }

  // Returns a field that others may follow: it is not empty and has no blank,
  // but may hold a line end.
  std::string Field() {
    std::string field;
    for (std::size_t count = Number(3); count > 0; --count) {
      field += Piece();
    }
    std::erase(field, ' ');
    return field.empty() ? "f" : field;
  }

  std::string NonEmptyLastField() {
    const std::string field = LastField();
    return field.empty() ? "-" : field;
  }

  gateway::LogPosition Position() {
    return {gateway::Term(m_random()), m_random()};
  }

  gateway::TransactionState State() {
    constexpr std::array kStates = {gateway::TransactionState::kNone,
                                    gateway::TransactionState::kOpen,
                                    gateway::TransactionState::kFailed};
    return kStates.at(Number(kStates.size() - 1));
  }

  gateway::Outcome Outcome() {
    if (OneIn(3)) {
      const auto code = static_cast<gateway::ErrorCode>(
          Number(static_cast<std::size_t>(gateway::ErrorCode::kMalformed)));
      return gateway::Refused{code, NonEmptyLastField()};
    }
    gateway::Completed completed;
    for (std::size_t rows = Number(4); rows > 0; --rows) {
      completed.m_rows.push_back(LastField());
    }
    completed.m_signature = OneIn(2) ? "" : "s" + LastField();
    return completed;
  }

  gateway::Answer Answer() {
    gateway::Answer answer;
    answer.m_outcome = Outcome();
    answer.m_state = State();
    if (OneIn(2)) {
      answer.m_position = Position();
    }
    return answer;
  }

  // Returns a statement as a caller may send it.
  gateway::Statement Statement() {
    using gateway::StatementKind;
    const std::vector<gateway::Statement> kinds = {
        {Field(),
         StatementKind::kRead,
         "READ " + NonEmptyLastField(),
         {},
         {},
         {}},
        {Field(),
         StatementKind::kWrite,
         "WRITE " + NonEmptyLastField(),
         {},
         {},
         {}},
        {Field(), StatementKind::kCommit, "COMMIT", {}, {}, {}},
        {Field(), StatementKind::kRollback, "ROLLBACK", {}, {}, {}},
        {Field(), StatementKind::kBegin, "BEGIN", {}, {}, {}},
        {Field(), StatementKind::kBeginReadOnly, "BEGIN READ", {}, {}, {}},
        Named(StatementKind::kRelease, "RELEASE ", ""),
        Named(StatementKind::kSetValue, "SET ", " " + LastField()),
        Named(StatementKind::kExecute, "EXECUTE ", " " + NonEmptyLastField()),
        Prepare()};
    return kinds.at(Number(kinds.size() - 1));
  }

  // Returns `bytes` in parts of random sizes, from single bytes to many lines.
  std::vector<std::string> Split(std::string_view bytes) {
    constexpr std::array<std::size_t, 4> kMaxPartBytes = {1, 4, 100, 65536};
    const std::size_t limit =
        kMaxPartBytes.at(Number(kMaxPartBytes.size() - 1));
    std::vector<std::string> parts;
    while (!bytes.empty()) {
      const std::size_t size = std::min(1 + Number(limit - 1), bytes.size());
      parts.emplace_back(bytes.substr(0, size));
      bytes.remove_prefix(size);
    }
    return parts;
  }

 private:
  // One field in this many is as long as a line may be, or a few bytes shorter
  // or, with the other fields, longer.
  static constexpr std::size_t kLongFieldInterval = 2000;
  static constexpr std::size_t kLongFieldSpread = 40;

  std::string Piece() {
    static const std::vector<std::string> pieces = {"\n",
                                                    "\r",
                                                    "\r\r",
                                                    "\n\r",
                                                    "\r\n",
                                                    std::string(1, '\0'),
                                                    " ",
                                                    "  ",
                                                    "-",
                                                    "a",
                                                    "\t",
                                                    "\xff",
                                                    "QUERY",
                                                    "ROW",
                                                    "COMPLETE",
                                                    "READY",
                                                    "ERROR",
                                                    "TERM",
                                                    "START",
                                                    "AFTER",
                                                    "3.1",
                                                    "READ",
                                                    "WRITE",
                                                    "x y",
                                                    "\nQUERY 2 WRITE x y",
                                                    "\nREADY I 3.1"};
    if (OneIn(4)) {
      return {static_cast<char>(Number(255))};
    }
    return pieces.at(Number(pieces.size() - 1));
  }

  gateway::Statement Named(gateway::StatementKind kind,
                           const std::string& verb,
                           const std::string& rest) {
    gateway::Statement statement;
    statement.m_id = Field();
    statement.m_kind = kind;
    statement.m_name = Field();
    statement.m_text = verb + statement.m_name + rest;
    statement.m_argument = rest.empty() ? "" : rest.substr(1);
    return statement;
  }

  gateway::Statement Prepare() {
    const bool reads = OneIn(2);
    const std::string shape = NonEmptyLastField();
    gateway::Statement statement =
        Named(gateway::StatementKind::kPrepare, "PREPARE ",
              (reads ? " READ " : " WRITE ") + shape);
    statement.m_argument.clear();
    statement.m_prepared = {
        reads ? gateway::Access::kRead : gateway::Access::kWrite, shape};
    return statement;
  }

  std::mt19937_64 m_random;
};

}  // namespace jasminelug::adapter

#endif  // TEST_PLATFORM_ADAPTER_RANDOM_LINES_H_
