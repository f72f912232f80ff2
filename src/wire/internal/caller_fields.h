#ifndef SRC_WIRE_INTERNAL_CALLER_FIELDS_H_
#define SRC_WIRE_INTERNAL_CALLER_FIELDS_H_

#include <core_messages_types.h>

#include "src/core/caller_request.h"
#include "src/wire/internal/field_mapping.h"

namespace jasminelug::wire::internal {

// Field mappings of the requests of callers and of their answers; see
// field_mapping.h.

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper, generated::Cell& thrift, Value& value) {
  thrift.__isset.text =
      mapper.Optional(thrift.text, thrift.__isset.text, value);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper, generated::Statement& thrift, Value& value) {
  mapper.Field(thrift.sql, value.m_sql);
  mapper.Field(thrift.parameters, value.m_parameters);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper, generated::CallerRequest& thrift, Value& value) {
  mapper.Enumerator(thrift.operation, value.m_operation,
                    core::Operation::kRollback);
  mapper.Field(thrift.key, value.m_key);
  mapper.Field(thrift.database, value.m_database);
  mapper.Field(thrift.profile, value.m_profile);
  mapper.Field(thrift.statement, value.m_statement);
  mapper.Field(thrift.read_only, value.m_read_only);
  mapper.Field(thrift.transaction, value.m_transaction);
  thrift.__isset.deadline_us = mapper.Optional(
      thrift.deadline_us, thrift.__isset.deadline_us, value.m_deadline);
  mapper.Field(thrift.request_id, value.m_request_id);
  mapper.Field(thrift.idempotent, value.m_idempotent);
  mapper.Field(thrift.session, value.m_session);
  thrift.__isset.sequence = mapper.Optional(
      thrift.sequence, thrift.__isset.sequence, value.m_sequence);
  thrift.__isset.max_staleness_us =
      mapper.Optional(thrift.max_staleness_us, thrift.__isset.max_staleness_us,
                      value.m_max_staleness);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper, generated::Refusal& thrift, Value& value) {
  mapper.Enumerator(thrift.code, value.m_code,
                    core::RefusalCode::kOutcomeUnknown);
  mapper.Enumerator(thrift.effect, value.m_effect, core::Effect::kUnknown);
  mapper.Field(thrift.message, value.m_message);
  mapper.Field(thrift.field, value.m_field);
  thrift.__isset.retry_after_us =
      mapper.Optional(thrift.retry_after_us, thrift.__isset.retry_after_us,
                      value.m_retry_after);
  mapper.Field(thrift.session, value.m_session);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper, generated::Served& thrift, Value& value) {
  mapper.Field(thrift.columns, value.m_columns);
  mapper.Field(thrift.rows, value.m_rows);
  mapper.Field(thrift.affected, value.m_affected);
  mapper.Field(thrift.session, value.m_session);
  mapper.Field(thrift.transaction, value.m_transaction);
  mapper.Field(thrift.instance, value.m_instance);
  mapper.Field(thrift.member, value.m_member);
  mapper.Enumerator(thrift.role, value.m_role, core::MemberRole::kReplica);
  mapper.Field(thrift.replayed, value.m_replayed);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper, generated::CallerAnswer& thrift, Value& value) {
  thrift.__isset.served = mapper.template Alternative<core::Served>(
      thrift.served, thrift.__isset.served, value);
  thrift.__isset.refusal = mapper.template Alternative<core::Refusal>(
      thrift.refusal, thrift.__isset.refusal, value);
  mapper.CheckUnion();
}

}  // namespace jasminelug::wire::internal

#endif  // SRC_WIRE_INTERNAL_CALLER_FIELDS_H_
