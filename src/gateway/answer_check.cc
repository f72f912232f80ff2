#include "src/gateway/answer_check.h"

#include <algorithm>
#include <functional>

namespace jasminelug::gateway {
namespace {

std::uint64_t HashOf(std::string_view signature) {
  return std::hash<std::string_view>()(signature);
}

TransactionState StateIn(bool transaction) {
  return transaction ? TransactionState::kOpen : TransactionState::kNone;
}

bool IsPlain(const Completed& completed) {
  return completed.m_signature.empty() && completed.m_rows.empty();
}

bool IsRepetition(const Completed& completed,
                  const std::optional<ExpectedAnswer>& expected,
                  const SignatureHistory& history) {
  if (IsPlain(completed)) {
    return !expected || expected->m_signed;
  }
  return !completed.m_signature.empty() &&
         history.Contains(completed.m_signature);
}

bool Matches(const Completed& completed,
             TransactionState state,
             const ExpectedAnswer& expected) {
  return completed.m_signature.empty() != expected.m_signed &&
         (!expected.m_rows || completed.m_rows.size() == *expected.m_rows) &&
         state == expected.m_state;
}

}  // namespace

ExpectedAnswer ExpectedAnswerTo(MemberVerb verb,
                                bool in_transaction,
                                bool ends_transaction) {
  switch (verb) {
    case MemberVerb::kForward:
    case MemberVerb::kExecute:
      return {true, std::nullopt, StateIn(in_transaction && !ends_transaction)};
    case MemberVerb::kSetValue:
    case MemberVerb::kPrepare:
    case MemberVerb::kReset:
      return {false, 0, StateIn(in_transaction)};
    case MemberVerb::kBegin:
    case MemberVerb::kBeginReadOnly:
      return {false, 0, TransactionState::kOpen};
    case MemberVerb::kStatus:
    case MemberVerb::kStepDown:
      return {false, 1, TransactionState::kNone};
  }
  return {};
}

void SignatureHistory::Add(std::string_view signature) {
  m_hashes.push_back(HashOf(signature));
}

bool SignatureHistory::Contains(std::string_view signature) const {
  return std::find(m_hashes.begin(), m_hashes.end(), HashOf(signature)) !=
         m_hashes.end();
}

const char* NameOf(AnswerFit fit) {
  switch (fit) {
    case AnswerFit::kFits:
      return "fits";
    case AnswerFit::kRepeated:
      return "repeated";
    case AnswerFit::kUnfitting:
      return "unfitting";
  }
  return "unknown";
}

AnswerFit CheckAnswer(const Answer& answer,
                      const std::optional<ExpectedAnswer>& expected,
                      const SignatureHistory& history) {
  const Completed* completed = std::get_if<Completed>(&answer.m_outcome);
  if (completed && IsRepetition(*completed, expected, history)) {
    return AnswerFit::kRepeated;
  }
  if (!expected) {
    return AnswerFit::kUnfitting;
  }
  const bool fits =
      !completed || Matches(*completed, answer.m_state, *expected);
  return fits ? AnswerFit::kFits : AnswerFit::kUnfitting;
}

}  // namespace jasminelug::gateway
