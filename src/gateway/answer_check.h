#ifndef SRC_GATEWAY_ANSWER_CHECK_H_
#define SRC_GATEWAY_ANSWER_CHECK_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "src/gateway/answer.h"
#include "src/gateway/statement.h"

namespace jasminelug::gateway {

// What a member's answer to a statement looks like if the statement succeeds.
struct ExpectedAnswer {
  friend bool operator==(const ExpectedAnswer&,
                         const ExpectedAnswer&) = default;

  // Whether the answer has a signature. A member signs only the answers to
  // reads, writes and commits.
  bool m_signed = false;
  // Number of rows; unset if any number is allowed.
  std::optional<std::size_t> m_rows;
  TransactionState m_state = TransactionState::kNone;
};

// Returns what a member answers to `verb`. `in_transaction` tells whether the
// connection is in a transaction before the statement, and `ends_transaction`
// whether the statement is a commit.
ExpectedAnswer ExpectedAnswerTo(MemberVerb verb,
                                bool in_transaction,
                                bool ends_transaction);

// Signatures of the answers that were received on one member connection. Each
// answer has a signature of its own, so one that comes again is a repetition.
//
// Load pattern: one addition and one search for each answer; the search reads
// all signatures, of which there are at most a few hundred.
class SignatureHistory {
 public:
  // Number of signatures from which on the history is full. The connection is
  // then replaced, so that the memory is bounded and no signature is forgotten.
  static constexpr std::size_t kCapacity = 512;

  void Add(std::string_view signature);
  bool Contains(std::string_view signature) const;
  bool is_full() const { return m_hashes.size() >= kCapacity; }

 private:
  std::vector<std::uint64_t> m_hashes;
};

// Relation between an answer and the statement that it seems to answer.
enum class AnswerFit {
  kFits,
  // The answer repeats an earlier one. The answer that belongs to the statement
  // is still to come.
  kRepeated,
  // The answer cannot belong to the statement, or there is no statement. It is
  // unknown which statement the next answer would belong to.
  kUnfitting,
};

// Returns the name of `fit` for logs.
const char* NameOf(AnswerFit fit);

// Decides whether `answer` may be the one to the oldest unanswered statement of
// its connection. `expected` is nullopt if there is no such statement.
// An answer without signature and rows where a signed one or none is due can
// only repeat that to an earlier statement, because a member answers in order.
// An error fits every statement, so a connection must not be used again once it
// has returned one: a repetition of the error could not be told from an answer
// to the next statement. The same holds for the success of a BEGIN, which fits
// the next BEGIN, and for a member's status.
AnswerFit CheckAnswer(const Answer& answer,
                      const std::optional<ExpectedAnswer>& expected,
                      const SignatureHistory& history);

}  // namespace jasminelug::gateway

#endif  // SRC_GATEWAY_ANSWER_CHECK_H_
