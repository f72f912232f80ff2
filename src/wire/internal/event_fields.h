#ifndef SRC_WIRE_INTERNAL_EVENT_FIELDS_H_
#define SRC_WIRE_INTERNAL_EVENT_FIELDS_H_

#include <core_messages_types.h>

#include "src/core/event.h"
#include "src/wire/internal/caller_fields.h"
#include "src/wire/internal/database_fields.h"
#include "src/wire/internal/exchange.h"
#include "src/wire/internal/peer_message_fields.h"
#include "src/wire/internal/platform_fields.h"

namespace jasminelug::wire::internal {

// The pairs of fields of events; see exchange.h.

template <typename Exchange, typename Value>
void ExchangeFields(Exchange& exchange,
                    generated::RequestReceived& form,
                    Value& value) {
  exchange.Field(form.request, value.m_request);
  exchange.Field(form.body, value.m_body);
}

template <typename Exchange, typename Value>
void ExchangeFields(Exchange& exchange,
                    generated::CallerGone& form,
                    Value& value) {
  exchange.Field(form.request, value.m_request);
}

template <typename Exchange, typename Value>
void ExchangeFields(Exchange& exchange,
                    generated::ConnectionOpened& form,
                    Value& value) {
  exchange.Field(form.connection, value.m_connection);
}

template <typename Exchange, typename Value>
void ExchangeFields(Exchange& exchange,
                    generated::ConnectionClosed& form,
                    Value& value) {
  exchange.Field(form.connection, value.m_connection);
  exchange.Field(form.refused, value.m_refused);
  exchange.Field(form.is_full, value.m_is_full);
}

template <typename Exchange, typename Value>
void ExchangeFields(Exchange& exchange,
                    generated::StatementFinished& form,
                    Value& value) {
  exchange.Field(form.connection, value.m_connection);
  exchange.Field(form.outcome, value.m_outcome);
}

template <typename Exchange, typename Value>
void ExchangeFields(Exchange& exchange,
                    generated::ControlAnswered& form,
                    Value& value) {
  exchange.Field(form.call, value.m_call);
  exchange.Field(form.answer, value.m_answer);
}

template <typename Exchange, typename Value>
void ExchangeFields(Exchange& exchange,
                    generated::PlatformAnswered& form,
                    Value& value) {
  exchange.Field(form.call, value.m_call);
  exchange.Field(form.answer, value.m_answer);
}

template <typename Exchange, typename Value>
void ExchangeFields(Exchange& exchange,
                    generated::PeerSender& form,
                    Value& value) {
  exchange.Field(form.instance, value.m_instance);
  exchange.Field(form.incarnation, value.m_incarnation);
}

template <typename Exchange, typename Value>
void ExchangeFields(Exchange& exchange,
                    generated::PeerMessageReceived& form,
                    Value& value) {
  exchange.Field(form.sender, value.m_from);
  exchange.Field(form.message, value.m_message);
}

template <typename Exchange, typename Value>
void ExchangeFields(Exchange& exchange,
                    generated::PeerUnreachable& form,
                    Value& value) {
  exchange.Field(form.peer, value.m_peer);
  exchange.Field(form.refused, value.m_refused);
  exchange.Field(form.number, value.m_number);
}

template <typename Exchange, typename Value>
void ExchangeFields(Exchange& /*exchange*/,
                    generated::Tick& /*form*/,
                    Value& /*value*/) {}

template <typename Exchange, typename Value>
void ExchangeFields(Exchange& /*exchange*/,
                    generated::ShutdownRequested& /*form*/,
                    Value& /*value*/) {}

template <typename Exchange, typename Value>
void ExchangeFields(Exchange& exchange,
                    generated::SwitchoverRequested& form,
                    Value& value) {
  exchange.Field(form.database, value.m_database);
  exchange.Field(form.successor, value.m_successor);
}

template <typename Exchange, typename Value>
void ExchangeFields(Exchange& exchange, generated::Event& form, Value& value) {
  form.__isset.request_received =
      exchange.template Alternative<core::RequestReceived>(
          form.request_received, form.__isset.request_received, value);
  form.__isset.caller_gone = exchange.template Alternative<core::CallerGone>(
      form.caller_gone, form.__isset.caller_gone, value);
  form.__isset.connection_opened =
      exchange.template Alternative<core::ConnectionOpened>(
          form.connection_opened, form.__isset.connection_opened, value);
  form.__isset.connection_closed =
      exchange.template Alternative<core::ConnectionClosed>(
          form.connection_closed, form.__isset.connection_closed, value);
  form.__isset.statement_finished =
      exchange.template Alternative<core::StatementFinished>(
          form.statement_finished, form.__isset.statement_finished, value);
  form.__isset.control_answered =
      exchange.template Alternative<core::ControlAnswered>(
          form.control_answered, form.__isset.control_answered, value);
  form.__isset.platform_answered =
      exchange.template Alternative<core::PlatformAnswered>(
          form.platform_answered, form.__isset.platform_answered, value);
  form.__isset.peer_message_received =
      exchange.template Alternative<core::PeerMessageReceived>(
          form.peer_message_received, form.__isset.peer_message_received,
          value);
  form.__isset.peer_unreachable =
      exchange.template Alternative<core::PeerUnreachable>(
          form.peer_unreachable, form.__isset.peer_unreachable, value);
  form.__isset.tick = exchange.template Alternative<core::Tick>(
      form.tick, form.__isset.tick, value);
  form.__isset.shutdown_requested =
      exchange.template Alternative<core::ShutdownRequested>(
          form.shutdown_requested, form.__isset.shutdown_requested, value);
  form.__isset.switchover_requested =
      exchange.template Alternative<core::SwitchoverRequested>(
          form.switchover_requested, form.__isset.switchover_requested, value);
  exchange.CheckUnion();
}

}  // namespace jasminelug::wire::internal

#endif  // SRC_WIRE_INTERNAL_EVENT_FIELDS_H_
