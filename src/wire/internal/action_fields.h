#ifndef SRC_WIRE_INTERNAL_ACTION_FIELDS_H_
#define SRC_WIRE_INTERNAL_ACTION_FIELDS_H_

#include <core_messages_types.h>

#include "src/core/action.h"
#include "src/core/timeline_event.h"
#include "src/wire/internal/caller_fields.h"
#include "src/wire/internal/database_fields.h"
#include "src/wire/internal/exchange.h"
#include "src/wire/internal/peer_message_fields.h"
#include "src/wire/internal/platform_fields.h"

namespace jasminelug::wire::internal {

// The pairs of fields of actions; see exchange.h.

template <typename Exchange, typename Value>
void ExchangeFields(Exchange& exchange,
                    generated::AnswerRequest& form,
                    Value& value) {
  exchange.Field(form.request, value.m_request);
  exchange.Field(form.answer, value.m_answer);
}

template <typename Exchange, typename Value>
void ExchangeFields(Exchange& exchange,
                    generated::OpenConnection& form,
                    Value& value) {
  exchange.Field(form.connection, value.m_connection);
  exchange.Field(form.database, value.m_database);
  exchange.Field(form.member, value.m_member);
}

template <typename Exchange, typename Value>
void ExchangeFields(Exchange& exchange,
                    generated::CloseConnection& form,
                    Value& value) {
  exchange.Field(form.connection, value.m_connection);
}

template <typename Exchange, typename Value>
void ExchangeFields(Exchange& exchange,
                    generated::RunStatement& form,
                    Value& value) {
  exchange.Field(form.connection, value.m_connection);
  exchange.Enumerator(form.step, value.m_step,
                      core::TransactionStep::kRollback);
  exchange.Field(form.statement, value.m_statement);
  exchange.Field(form.read_only, value.m_read_only);
  exchange.Field(form.request_id, value.m_request_id);
  exchange.Field(form.customer, value.m_customer);
}

template <typename Exchange, typename Value>
void ExchangeFields(Exchange& exchange,
                    generated::CallMember& form,
                    Value& value) {
  exchange.Field(form.call, value.m_call);
  exchange.Field(form.database, value.m_database);
  exchange.Field(form.member, value.m_member);
  exchange.Field(form.connection, value.m_connection);
  exchange.Field(form.request, value.m_request);
}

template <typename Exchange, typename Value>
void ExchangeFields(Exchange& exchange,
                    generated::CallPlatform& form,
                    Value& value) {
  exchange.Field(form.call, value.m_call);
  exchange.Field(form.request, value.m_request);
}

template <typename Exchange, typename Value>
void ExchangeFields(Exchange& exchange,
                    generated::SendToPeer& form,
                    Value& value) {
  exchange.Field(form.peer, value.m_peer);
  exchange.Field(form.address, value.m_address);
  exchange.Field(form.message, value.m_message);
}

template <typename Exchange, typename Value>
void ExchangeFields(Exchange& exchange,
                    generated::TimelineEvent& form,
                    Value& value) {
  exchange.Field(form.sequence, value.m_sequence);
  exchange.Field(form.time_us, value.m_time);
  exchange.Enumerator(form.kind, value.m_kind,
                      core::TimelineKind::kPeerReached);
  exchange.Field(form.request, value.m_request);
  exchange.Field(form.request_id, value.m_request_id);
  exchange.Field(form.customer, value.m_customer);
  exchange.Field(form.database, value.m_database);
  exchange.Field(form.zone, value.m_zone);
  exchange.Field(form.peer, value.m_peer);
  exchange.Field(form.term, value.m_term);
  exchange.Field(form.revision, value.m_revision);
  exchange.Field(form.detail, value.m_detail);
}

template <typename Exchange, typename Value>
void ExchangeFields(Exchange& exchange,
                    generated::RecordEvent& form,
                    Value& value) {
  exchange.Field(form.event, value.m_event);
}

template <typename Exchange, typename Value>
void ExchangeFields(Exchange& exchange,
                    generated::SetReadiness& form,
                    Value& value) {
  exchange.Field(form.ready, value.m_ready);
}

template <typename Exchange, typename Value>
void ExchangeFields(Exchange& /*exchange*/,
                    generated::StopProcess& /*form*/,
                    Value& /*value*/) {}

template <typename Exchange, typename Value>
void ExchangeFields(Exchange& exchange, generated::Action& form, Value& value) {
  form.__isset.answer_request =
      exchange.template Alternative<core::AnswerRequest>(
          form.answer_request, form.__isset.answer_request, value);
  form.__isset.open_connection =
      exchange.template Alternative<core::OpenConnection>(
          form.open_connection, form.__isset.open_connection, value);
  form.__isset.close_connection =
      exchange.template Alternative<core::CloseConnection>(
          form.close_connection, form.__isset.close_connection, value);
  form.__isset.run_statement =
      exchange.template Alternative<core::RunStatement>(
          form.run_statement, form.__isset.run_statement, value);
  form.__isset.call_member = exchange.template Alternative<core::CallMember>(
      form.call_member, form.__isset.call_member, value);
  form.__isset.call_platform =
      exchange.template Alternative<core::CallPlatform>(
          form.call_platform, form.__isset.call_platform, value);
  form.__isset.send_to_peer = exchange.template Alternative<core::SendToPeer>(
      form.send_to_peer, form.__isset.send_to_peer, value);
  form.__isset.record_event = exchange.template Alternative<core::RecordEvent>(
      form.record_event, form.__isset.record_event, value);
  form.__isset.set_readiness =
      exchange.template Alternative<core::SetReadiness>(
          form.set_readiness, form.__isset.set_readiness, value);
  form.__isset.stop_process = exchange.template Alternative<core::StopProcess>(
      form.stop_process, form.__isset.stop_process, value);
  exchange.CheckUnion();
}

}  // namespace jasminelug::wire::internal

#endif  // SRC_WIRE_INTERNAL_ACTION_FIELDS_H_
