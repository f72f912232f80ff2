#ifndef SRC_WIRE_INTERNAL_CALLER_FIELDS_H_
#define SRC_WIRE_INTERNAL_CALLER_FIELDS_H_

#include <core_messages_types.h>

#include "src/core/caller_request.h"
#include "src/wire/internal/exchange.h"

namespace jasminelug::wire::internal {

// The pairs of fields of callers' requests and answers; see exchange.h.

template <typename Exchange, typename Value>
void ExchangeFields(Exchange& exchange, generated::Cell& form, Value& value) {
  form.__isset.text = exchange.Optional(form.text, form.__isset.text, value);
}

template <typename Exchange, typename Value>
void ExchangeFields(Exchange& exchange,
                    generated::Statement& form,
                    Value& value) {
  exchange.Field(form.sql, value.m_sql);
  exchange.Field(form.parameters, value.m_parameters);
}

template <typename Exchange, typename Value>
void ExchangeFields(Exchange& exchange,
                    generated::CallerRequest& form,
                    Value& value) {
  exchange.Enumerator(form.operation, value.m_operation,
                      core::Operation::kRollback);
  exchange.Field(form.key, value.m_key);
  exchange.Field(form.database, value.m_database);
  exchange.Field(form.profile, value.m_profile);
  exchange.Field(form.statement, value.m_statement);
  exchange.Field(form.read_only, value.m_read_only);
  exchange.Field(form.transaction, value.m_transaction);
  form.__isset.deadline_us = exchange.Optional(
      form.deadline_us, form.__isset.deadline_us, value.m_deadline);
  exchange.Field(form.request_id, value.m_request_id);
  exchange.Field(form.idempotent, value.m_idempotent);
  exchange.Field(form.session, value.m_session);
  form.__isset.sequence =
      exchange.Optional(form.sequence, form.__isset.sequence, value.m_sequence);
  form.__isset.max_staleness_us =
      exchange.Optional(form.max_staleness_us, form.__isset.max_staleness_us,
                        value.m_max_staleness);
}

template <typename Exchange, typename Value>
void ExchangeFields(Exchange& exchange,
                    generated::Refusal& form,
                    Value& value) {
  exchange.Enumerator(form.code, value.m_code,
                      core::RefusalCode::kOutcomeUnknown);
  exchange.Enumerator(form.effect, value.m_effect, core::Effect::kUnknown);
  exchange.Field(form.message, value.m_message);
  exchange.Field(form.field, value.m_field);
  form.__isset.retry_after_us = exchange.Optional(
      form.retry_after_us, form.__isset.retry_after_us, value.m_retry_after);
  exchange.Field(form.session, value.m_session);
}

template <typename Exchange, typename Value>
void ExchangeFields(Exchange& exchange, generated::Served& form, Value& value) {
  exchange.Field(form.columns, value.m_columns);
  exchange.Field(form.rows, value.m_rows);
  exchange.Field(form.affected, value.m_affected);
  exchange.Field(form.session, value.m_session);
  exchange.Field(form.transaction, value.m_transaction);
  exchange.Field(form.instance, value.m_instance);
  exchange.Field(form.member, value.m_member);
  exchange.Enumerator(form.role, value.m_role, core::MemberRole::kReplica);
  exchange.Field(form.replayed, value.m_replayed);
}

template <typename Exchange, typename Value>
void ExchangeFields(Exchange& exchange,
                    generated::CallerAnswer& form,
                    Value& value) {
  form.__isset.served = exchange.template Alternative<core::Served>(
      form.served, form.__isset.served, value);
  form.__isset.refusal = exchange.template Alternative<core::Refusal>(
      form.refusal, form.__isset.refusal, value);
  exchange.CheckUnion();
}

}  // namespace jasminelug::wire::internal

#endif  // SRC_WIRE_INTERNAL_CALLER_FIELDS_H_
