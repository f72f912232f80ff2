#ifndef SRC_WIRE_INTERNAL_EVENT_FIELDS_H_
#define SRC_WIRE_INTERNAL_EVENT_FIELDS_H_

#include <core_messages_types.h>

#include "src/core/event.h"
#include "src/wire/internal/caller_fields.h"
#include "src/wire/internal/database_fields.h"
#include "src/wire/internal/field_mapping.h"
#include "src/wire/internal/peer_message_fields.h"
#include "src/wire/internal/platform_fields.h"

namespace jasminelug::wire::internal {

// Field mappings of events; see field_mapping.h.

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper,
               generated::RequestReceived& thrift,
               Value& value) {
  mapper.Field(thrift.request, value.m_request);
  mapper.Field(thrift.body, value.m_body);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper, generated::CallerGone& thrift, Value& value) {
  mapper.Field(thrift.request, value.m_request);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper,
               generated::ConnectionOpened& thrift,
               Value& value) {
  mapper.Field(thrift.connection, value.m_connection);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper,
               generated::ConnectionClosed& thrift,
               Value& value) {
  mapper.Field(thrift.connection, value.m_connection);
  mapper.Field(thrift.refused, value.m_refused);
  mapper.Field(thrift.is_full, value.m_is_full);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper,
               generated::StatementFinished& thrift,
               Value& value) {
  mapper.Field(thrift.connection, value.m_connection);
  mapper.Field(thrift.outcome, value.m_outcome);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper,
               generated::ControlAnswered& thrift,
               Value& value) {
  mapper.Field(thrift.call, value.m_call);
  mapper.Field(thrift.answer, value.m_answer);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper,
               generated::PlatformAnswered& thrift,
               Value& value) {
  mapper.Field(thrift.call, value.m_call);
  mapper.Field(thrift.answer, value.m_answer);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper, generated::PeerSender& thrift, Value& value) {
  mapper.Field(thrift.instance, value.m_instance);
  mapper.Field(thrift.incarnation, value.m_incarnation);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper,
               generated::PeerMessageReceived& thrift,
               Value& value) {
  mapper.Field(thrift.sender, value.m_from);
  mapper.Field(thrift.message, value.m_message);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper,
               generated::PeerUnreachable& thrift,
               Value& value) {
  mapper.Field(thrift.peer, value.m_peer);
  mapper.Field(thrift.refused, value.m_refused);
  mapper.Field(thrift.number, value.m_number);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& /*mapper*/,
               generated::Tick& /*thrift*/,
               Value& /*value*/) {}

template <typename Mapper, typename Value>
void MapFields(Mapper& /*mapper*/,
               generated::ShutdownRequested& /*thrift*/,
               Value& /*value*/) {}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper,
               generated::SwitchoverRequested& thrift,
               Value& value) {
  mapper.Field(thrift.database, value.m_database);
  mapper.Field(thrift.successor, value.m_successor);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper, generated::Event& thrift, Value& value) {
  thrift.__isset.request_received =
      mapper.template Alternative<core::RequestReceived>(
          thrift.request_received, thrift.__isset.request_received, value);
  thrift.__isset.caller_gone = mapper.template Alternative<core::CallerGone>(
      thrift.caller_gone, thrift.__isset.caller_gone, value);
  thrift.__isset.connection_opened =
      mapper.template Alternative<core::ConnectionOpened>(
          thrift.connection_opened, thrift.__isset.connection_opened, value);
  thrift.__isset.connection_closed =
      mapper.template Alternative<core::ConnectionClosed>(
          thrift.connection_closed, thrift.__isset.connection_closed, value);
  thrift.__isset.statement_finished =
      mapper.template Alternative<core::StatementFinished>(
          thrift.statement_finished, thrift.__isset.statement_finished, value);
  thrift.__isset.control_answered =
      mapper.template Alternative<core::ControlAnswered>(
          thrift.control_answered, thrift.__isset.control_answered, value);
  thrift.__isset.platform_answered =
      mapper.template Alternative<core::PlatformAnswered>(
          thrift.platform_answered, thrift.__isset.platform_answered, value);
  thrift.__isset.peer_message_received =
      mapper.template Alternative<core::PeerMessageReceived>(
          thrift.peer_message_received, thrift.__isset.peer_message_received,
          value);
  thrift.__isset.peer_unreachable =
      mapper.template Alternative<core::PeerUnreachable>(
          thrift.peer_unreachable, thrift.__isset.peer_unreachable, value);
  thrift.__isset.tick = mapper.template Alternative<core::Tick>(
      thrift.tick, thrift.__isset.tick, value);
  thrift.__isset.shutdown_requested =
      mapper.template Alternative<core::ShutdownRequested>(
          thrift.shutdown_requested, thrift.__isset.shutdown_requested, value);
  thrift.__isset.switchover_requested =
      mapper.template Alternative<core::SwitchoverRequested>(
          thrift.switchover_requested, thrift.__isset.switchover_requested,
          value);
  mapper.CheckUnion();
}

}  // namespace jasminelug::wire::internal

#endif  // SRC_WIRE_INTERNAL_EVENT_FIELDS_H_
