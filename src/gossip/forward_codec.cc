#include "src/gossip/forward_codec.h"

#include <exception>
#include <optional>
#include <utility>

#include "gossip_types.h"
#include "src/gossip/thrift_bytes.h"

namespace jasminelug::gossip {
namespace {

using internal::ToEnum;

// Bounds on strings, in bytes, and on lists. A message between instances holds
// at most 1 MiB.
constexpr internal::ThriftLimits kLimits{1 << 20, 64 * 1024};

std::int64_t ToSigned(std::uint64_t number) {
  return static_cast<std::int64_t>(number);
}

std::uint64_t ToUnsigned(std::int64_t number) {
  return static_cast<std::uint64_t>(number);
}

wire::Position ToWire(const gateway::LogPosition& position) {
  wire::Position out;
  out.term = ToSigned(position.m_term.value());
  out.index = ToSigned(position.m_index);
  return out;
}

gateway::LogPosition FromWire(const wire::Position& position) {
  return {gateway::Term(ToUnsigned(position.term)), ToUnsigned(position.index)};
}

wire::Route ToWire(const gateway::Route& route) {
  wire::Route out;
  out.group = route.m_group.str();
  out.consistency = static_cast<std::int32_t>(route.m_consistency);
  out.max_staleness_us = route.m_max_staleness.count();
  out.statement_timeout_us = route.m_statement_timeout.count();
  out.objective_us = route.m_objective.count();
  out.priority = route.m_priority;
  out.is_public = route.m_public;
  return out;
}

gateway::Route FromWire(const wire::Route& route) {
  gateway::Route out;
  out.m_group = gateway::GroupName(route.group);
  out.m_consistency =
      ToEnum(route.consistency, gateway::Consistency::kReadYourWrites);
  out.m_max_staleness = gateway::Duration(route.max_staleness_us);
  out.m_statement_timeout = gateway::Duration(route.statement_timeout_us);
  out.m_objective = gateway::Duration(route.objective_us);
  out.m_priority = route.priority;
  out.m_public = route.is_public;
  return out;
}

wire::Statement ToWire(const gateway::Statement& statement) {
  wire::Statement out;
  out.id = statement.m_id;
  out.kind = static_cast<std::int32_t>(statement.m_kind);
  out.text = statement.m_text;
  out.name = statement.m_name;
  out.argument = statement.m_argument;
  out.prepared.access =
      static_cast<std::int32_t>(statement.m_prepared.m_access);
  out.prepared.text = statement.m_prepared.m_shape;
  return out;
}

gateway::Statement FromWire(wire::Statement&& statement) {
  gateway::Statement out;
  out.m_id = std::move(statement.id);
  out.m_kind = ToEnum(statement.kind, gateway::StatementKind::kMalformed);
  out.m_text = std::move(statement.text);
  out.m_name = std::move(statement.name);
  out.m_argument = std::move(statement.argument);
  out.m_prepared.m_access =
      ToEnum(statement.prepared.access, gateway::Access::kWrite);
  out.m_prepared.m_shape = std::move(statement.prepared.text);
  return out;
}

void SetBody(const gateway::ForwardedStatement& forwarded,
             wire::ForwardMessage& out) {
  wire::ForwardedStatement body;
  body.operation = ToSigned(forwarded.m_operation.value());
  body.begins = forwarded.m_starts_operation;
  body.transaction = static_cast<std::int32_t>(forwarded.m_transaction);
  body.customer = forwarded.m_customer.str();
  body.route = ToWire(forwarded.m_route);
  body.statement = ToWire(forwarded.m_statement);
  body.values = forwarded.m_values;
  if (forwarded.m_last_commit) {
    wire::Commit commit;
    commit.age_us = forwarded.m_last_commit->m_age.count();
    commit.position = ToWire(forwarded.m_last_commit->m_position);
    body.__set_last_commit(commit);
  }
  if (forwarded.m_number) {
    body.__set_number(*forwarded.m_number);
  }
  out.__set_statement(body);
}

gateway::ForwardedStatement FromWire(wire::ForwardedStatement&& body) {
  gateway::ForwardedStatement out;
  out.m_operation = gateway::OperationId(ToUnsigned(body.operation));
  out.m_starts_operation = body.begins;
  out.m_transaction =
      ToEnum(body.transaction, gateway::TransactionMode::kReadOnly);
  out.m_customer = gateway::CustomerName(body.customer);
  out.m_route = FromWire(body.route);
  out.m_statement = FromWire(std::move(body.statement));
  out.m_values = std::move(body.values);
  if (body.__isset.last_commit) {
    out.m_last_commit = {gateway::Duration(body.last_commit.age_us),
                         FromWire(body.last_commit.position)};
  }
  if (body.__isset.number) {
    out.m_number = body.number;
  }
  return out;
}

wire::Outcome ToWire(const gateway::Outcome& outcome) {
  wire::Outcome out;
  if (const auto* completed = std::get_if<gateway::Completed>(&outcome)) {
    wire::Completed body;
    body.rows = completed->m_rows;
    body.signature = completed->m_signature;
    out.__set_completed(body);
    return out;
  }
  const auto& refused = std::get<gateway::Refused>(outcome);
  wire::Refused body;
  body.code = static_cast<std::int32_t>(refused.m_code);
  body.message = refused.m_message;
  body.try_elsewhere = refused.m_try_elsewhere;
  out.__set_refused(body);
  return out;
}

gateway::Outcome FromWire(wire::Outcome&& outcome) {
  if (outcome.__isset.completed) {
    return gateway::Completed{std::move(outcome.completed.rows),
                              std::move(outcome.completed.signature)};
  }
  if (!outcome.__isset.refused) {
    throw apache::thrift::TException("an answer without an outcome");
  }
  return gateway::Refused{
      ToEnum(outcome.refused.code, gateway::ErrorCode::kMalformed),
      std::move(outcome.refused.message), outcome.refused.try_elsewhere};
}

void SetBody(const gateway::ForwardedAnswer& answer,
             wire::ForwardMessage& out) {
  wire::ForwardedAnswer body;
  body.operation = ToSigned(answer.m_operation.value());
  body.outcome = ToWire(answer.m_answer.m_outcome);
  body.state = static_cast<std::int32_t>(answer.m_answer.m_state);
  if (answer.m_answer.m_position) {
    body.__set_position(ToWire(*answer.m_answer.m_position));
  }
  if (answer.m_number) {
    body.__set_number(*answer.m_number);
  }
  out.__set_answer(body);
}

gateway::ForwardedAnswer FromWire(wire::ForwardedAnswer&& body) {
  gateway::ForwardedAnswer out;
  out.m_operation = gateway::OperationId(ToUnsigned(body.operation));
  out.m_answer.m_outcome = FromWire(std::move(body.outcome));
  out.m_answer.m_state = ToEnum(body.state, gateway::TransactionState::kFailed);
  if (body.__isset.position) {
    out.m_answer.m_position = FromWire(body.position);
  }
  if (body.__isset.number) {
    out.m_number = body.number;
  }
  return out;
}

void SetBody(const gateway::ForwardedEnd& end, wire::ForwardMessage& out) {
  wire::ForwardedEnd body;
  body.operation = ToSigned(end.m_operation.value());
  out.__set_ended(body);
}

void SetBody(const gateway::ForwardPing&, wire::ForwardMessage& out) {
  out.__set_ping(wire::ForwardPing());
}

void SetBody(const gateway::ForwardProgress& progress,
             wire::ForwardMessage& out) {
  wire::ForwardProgress body;
  for (const gateway::OperationId operation : progress.m_operations) {
    body.operations.push_back(ToSigned(operation.value()));
  }
  out.__set_progress(body);
}

gateway::ForwardProgress FromWire(const wire::ForwardProgress& body) {
  gateway::ForwardProgress out;
  for (const std::int64_t operation : body.operations) {
    out.m_operations.emplace_back(ToUnsigned(operation));
  }
  return out;
}

gateway::ForwardMessage FromWire(wire::ForwardMessage&& message) {
  if (message.__isset.statement) {
    return FromWire(std::move(message.statement));
  }
  if (message.__isset.answer) {
    return FromWire(std::move(message.answer));
  }
  if (message.__isset.ended) {
    return gateway::ForwardedEnd{
        gateway::OperationId(ToUnsigned(message.ended.operation))};
  }
  if (message.__isset.ping) {
    return gateway::ForwardPing{};
  }
  if (message.__isset.progress) {
    return FromWire(message.progress);
  }
  throw apache::thrift::TException("a message of an unknown kind");
}

}  // namespace

std::string EncodeForward(const gateway::ForwardMessage& message) {
  wire::ForwardMessage out;
  std::visit([&out](const auto& body) { SetBody(body, out); }, message);
  return internal::WriteWire(out);
}

Result<gateway::ForwardMessage, CodecError> DecodeForward(
    std::string_view bytes) {
  try {
    return FromWire(internal::ReadWire<wire::ForwardMessage>(bytes, kLimits));
  } catch (const std::exception& error) {
    return CodecError{error.what()};
  }
}

}  // namespace jasminelug::gossip
