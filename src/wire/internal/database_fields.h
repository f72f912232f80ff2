#ifndef SRC_WIRE_INTERNAL_DATABASE_FIELDS_H_
#define SRC_WIRE_INTERNAL_DATABASE_FIELDS_H_

#include <core_messages_types.h>

#include "src/core/configuration.h"
#include "src/core/database_answer.h"
#include "src/core/log_position.h"
#include "src/wire/internal/caller_fields.h"
#include "src/wire/internal/field_mapping.h"

namespace jasminelug::wire::internal {

// Field mappings of members, of statement outcomes, and of control requests to
// members and their answers; see field_mapping.h.

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper, generated::Member& thrift, Value& value) {
  mapper.Field(thrift.id, value.m_id);
  mapper.Field(thrift.address, value.m_address);
  mapper.Field(thrift.zone, value.m_zone);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper, generated::LogPosition& thrift, Value& value) {
  mapper.Field(thrift.term, value.m_term);
  mapper.Field(thrift.index, value.m_index);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper, generated::TermLineage& thrift, Value& value) {
  mapper.Field(thrift.term, value.m_term);
  mapper.Field(thrift.start_index, value.m_start_index);
  mapper.Field(thrift.previous_term, value.m_previous_term);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper, generated::StatementDone& thrift, Value& value) {
  mapper.Field(thrift.columns, value.m_columns);
  mapper.Field(thrift.rows, value.m_rows);
  mapper.Field(thrift.affected, value.m_affected);
  mapper.Field(thrift.position, value.m_position);
  mapper.Enumerator(thrift.role, value.m_role, core::MemberRole::kReplica);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper,
               generated::StatementRejected& thrift,
               Value& value) {
  mapper.Enumerator(thrift.kind, value.m_kind,
                    core::RejectionKind::kNotPrimary);
  mapper.Field(thrift.sqlstate, value.m_sqlstate);
  mapper.Field(thrift.message, value.m_message);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper, generated::StatementLost& thrift, Value& value) {
  mapper.Field(thrift.sent, value.m_sent);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper,
               generated::StatementOutcome& thrift,
               Value& value) {
  thrift.__isset.statement_done =
      mapper.template Alternative<core::StatementDone>(
          thrift.statement_done, thrift.__isset.statement_done, value);
  thrift.__isset.statement_rejected =
      mapper.template Alternative<core::StatementRejected>(
          thrift.statement_rejected, thrift.__isset.statement_rejected, value);
  thrift.__isset.statement_lost =
      mapper.template Alternative<core::StatementLost>(
          thrift.statement_lost, thrift.__isset.statement_lost, value);
  mapper.CheckUnion();
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper, generated::MemberStatus& thrift, Value& value) {
  mapper.Field(thrift.granted_term, value.m_granted_term);
  mapper.Field(thrift.received, value.m_received);
  mapper.Field(thrift.applied_index, value.m_applied_index);
  mapper.Field(thrift.lineage, value.m_lineage);
  mapper.Enumerator(thrift.role, value.m_role, core::MemberRole::kReplica);
  mapper.Field(thrift.data_age_us, value.m_data_age);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper, generated::GrantAnswer& thrift, Value& value) {
  mapper.Field(thrift.granted, value.m_granted);
  mapper.Field(thrift.granted_term, value.m_granted_term);
  mapper.Field(thrift.received, value.m_received);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& /*mapper*/,
               generated::StatusWanted& /*thrift*/,
               Value& /*value*/) {}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper, generated::GrantWanted& thrift, Value& value) {
  mapper.Field(thrift.term, value.m_term);
  mapper.Field(thrift.candidate, value.m_candidate);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper,
               generated::PromotionWanted& thrift,
               Value& value) {
  mapper.Field(thrift.term, value.m_term);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper, generated::FollowWanted& thrift, Value& value) {
  mapper.Field(thrift.term, value.m_term);
  mapper.Field(thrift.primary, value.m_primary);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper,
               generated::ControlRequest& thrift,
               Value& value) {
  thrift.__isset.status_wanted =
      mapper.template Alternative<core::StatusRequest>(
          thrift.status_wanted, thrift.__isset.status_wanted, value);
  thrift.__isset.grant_wanted = mapper.template Alternative<core::GrantRequest>(
      thrift.grant_wanted, thrift.__isset.grant_wanted, value);
  thrift.__isset.promotion_wanted =
      mapper.template Alternative<core::PromotionRequest>(
          thrift.promotion_wanted, thrift.__isset.promotion_wanted, value);
  thrift.__isset.follow_wanted =
      mapper.template Alternative<core::FollowRequest>(
          thrift.follow_wanted, thrift.__isset.follow_wanted, value);
  mapper.CheckUnion();
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper, generated::ControlDone& thrift, Value& value) {
  mapper.Field(thrift.done, value.m_done);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper, generated::ControlFailed& thrift, Value& value) {
  mapper.Field(thrift.refused, value.m_refused);
  mapper.Field(thrift.asked, value.m_asked);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper, generated::ControlAnswer& thrift, Value& value) {
  thrift.__isset.member_status =
      mapper.template Alternative<core::MemberStatus>(
          thrift.member_status, thrift.__isset.member_status, value);
  thrift.__isset.grant_answer = mapper.template Alternative<core::GrantAnswer>(
      thrift.grant_answer, thrift.__isset.grant_answer, value);
  thrift.__isset.control_done = mapper.template Alternative<core::ControlDone>(
      thrift.control_done, thrift.__isset.control_done, value);
  thrift.__isset.control_failed =
      mapper.template Alternative<core::ControlFailed>(
          thrift.control_failed, thrift.__isset.control_failed, value);
  mapper.CheckUnion();
}

}  // namespace jasminelug::wire::internal

#endif  // SRC_WIRE_INTERNAL_DATABASE_FIELDS_H_
