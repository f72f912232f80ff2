#ifndef SRC_WIRE_INTERNAL_ACTION_FIELDS_H_
#define SRC_WIRE_INTERNAL_ACTION_FIELDS_H_

#include <core_messages_types.h>

#include "src/core/action.h"
#include "src/core/timeline_event.h"
#include "src/wire/internal/caller_fields.h"
#include "src/wire/internal/database_fields.h"
#include "src/wire/internal/field_mapping.h"
#include "src/wire/internal/peer_message_fields.h"
#include "src/wire/internal/platform_fields.h"

namespace jasminelug::wire::internal {

// Field mappings of actions; see field_mapping.h.

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper, generated::AnswerRequest& thrift, Value& value) {
  mapper.Field(thrift.request, value.m_request);
  mapper.Field(thrift.answer, value.m_answer);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper,
               generated::OpenConnection& thrift,
               Value& value) {
  mapper.Field(thrift.connection, value.m_connection);
  mapper.Field(thrift.database, value.m_database);
  mapper.Field(thrift.member, value.m_member);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper,
               generated::CloseConnection& thrift,
               Value& value) {
  mapper.Field(thrift.connection, value.m_connection);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper, generated::RunStatement& thrift, Value& value) {
  mapper.Field(thrift.connection, value.m_connection);
  mapper.Enumerator(thrift.step, value.m_step,
                    core::TransactionStep::kRollback);
  mapper.Field(thrift.statement, value.m_statement);
  mapper.Field(thrift.read_only, value.m_read_only);
  mapper.Field(thrift.request_id, value.m_request_id);
  mapper.Field(thrift.customer, value.m_customer);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper, generated::CallMember& thrift, Value& value) {
  mapper.Field(thrift.call, value.m_call);
  mapper.Field(thrift.database, value.m_database);
  mapper.Field(thrift.member, value.m_member);
  mapper.Field(thrift.connection, value.m_connection);
  mapper.Field(thrift.request, value.m_request);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper, generated::CallPlatform& thrift, Value& value) {
  mapper.Field(thrift.call, value.m_call);
  mapper.Field(thrift.request, value.m_request);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper, generated::SendToPeer& thrift, Value& value) {
  mapper.Field(thrift.peer, value.m_peer);
  mapper.Field(thrift.address, value.m_address);
  mapper.Field(thrift.message, value.m_message);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper, generated::TimelineEvent& thrift, Value& value) {
  mapper.Field(thrift.sequence, value.m_sequence);
  mapper.Field(thrift.time_us, value.m_time);
  mapper.Enumerator(thrift.kind, value.m_kind,
                    core::TimelineKind::kPeerReached);
  mapper.Field(thrift.request, value.m_request);
  mapper.Field(thrift.request_id, value.m_request_id);
  mapper.Field(thrift.customer, value.m_customer);
  mapper.Field(thrift.database, value.m_database);
  mapper.Field(thrift.zone, value.m_zone);
  mapper.Field(thrift.peer, value.m_peer);
  mapper.Field(thrift.term, value.m_term);
  mapper.Field(thrift.revision, value.m_revision);
  mapper.Field(thrift.detail, value.m_detail);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper, generated::RecordEvent& thrift, Value& value) {
  mapper.Field(thrift.event, value.m_event);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper, generated::SetReadiness& thrift, Value& value) {
  mapper.Field(thrift.ready, value.m_ready);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& /*mapper*/,
               generated::StopProcess& /*thrift*/,
               Value& /*value*/) {}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper, generated::Action& thrift, Value& value) {
  thrift.__isset.answer_request =
      mapper.template Alternative<core::AnswerRequest>(
          thrift.answer_request, thrift.__isset.answer_request, value);
  thrift.__isset.open_connection =
      mapper.template Alternative<core::OpenConnection>(
          thrift.open_connection, thrift.__isset.open_connection, value);
  thrift.__isset.close_connection =
      mapper.template Alternative<core::CloseConnection>(
          thrift.close_connection, thrift.__isset.close_connection, value);
  thrift.__isset.run_statement =
      mapper.template Alternative<core::RunStatement>(
          thrift.run_statement, thrift.__isset.run_statement, value);
  thrift.__isset.call_member = mapper.template Alternative<core::CallMember>(
      thrift.call_member, thrift.__isset.call_member, value);
  thrift.__isset.call_platform =
      mapper.template Alternative<core::CallPlatform>(
          thrift.call_platform, thrift.__isset.call_platform, value);
  thrift.__isset.send_to_peer = mapper.template Alternative<core::SendToPeer>(
      thrift.send_to_peer, thrift.__isset.send_to_peer, value);
  thrift.__isset.record_event = mapper.template Alternative<core::RecordEvent>(
      thrift.record_event, thrift.__isset.record_event, value);
  thrift.__isset.set_readiness =
      mapper.template Alternative<core::SetReadiness>(
          thrift.set_readiness, thrift.__isset.set_readiness, value);
  thrift.__isset.stop_process = mapper.template Alternative<core::StopProcess>(
      thrift.stop_process, thrift.__isset.stop_process, value);
  mapper.CheckUnion();
}

}  // namespace jasminelug::wire::internal

#endif  // SRC_WIRE_INTERNAL_ACTION_FIELDS_H_
