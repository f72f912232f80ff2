#ifndef SRC_WIRE_INTERNAL_PEER_MESSAGE_FIELDS_H_
#define SRC_WIRE_INTERNAL_PEER_MESSAGE_FIELDS_H_

#include <core_messages_types.h>

#include "src/core/peer_message.h"
#include "src/wire/internal/field_mapping.h"
#include "src/wire/internal/platform_fields.h"

namespace jasminelug::wire::internal {

// Field mappings of peer messages; see field_mapping.h.

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper, generated::AllowanceKey& thrift, Value& value) {
  mapper.Field(thrift.customer, value.m_customer);
  mapper.Field(thrift.profile, value.m_profile);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper, generated::Heartbeat& thrift, Value& value) {
  mapper.Field(thrift.number, value.m_number);
  mapper.Field(thrift.answers, value.m_answers);
  mapper.Field(thrift.address, value.m_address);
  mapper.Field(thrift.zone, value.m_zone);
  mapper.Field(thrift.revision, value.m_revision);
  thrift.__isset.platform_age_us =
      mapper.Optional(thrift.platform_age_us, thrift.__isset.platform_age_us,
                      value.m_platform_age);
  mapper.Field(thrift.platform_reachable, value.m_platform_reachable);
  mapper.Field(thrift.draining, value.m_draining);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper, generated::ObjectsWanted& thrift, Value& value) {
  mapper.Field(thrift.since, value.m_since);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper,
               generated::ObjectsRelayed& thrift,
               Value& value) {
  mapper.Field(thrift.since, value.m_since);
  mapper.Field(thrift.batch, value.m_batch);
  mapper.Field(thrift.part, value.m_part);
  mapper.Field(thrift.parts, value.m_parts);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper, generated::CreditWanted& thrift, Value& value) {
  mapper.Field(thrift.number, value.m_number);
  mapper.Field(thrift.allowance, value.m_allowance);
  mapper.Field(thrift.millicredits, value.m_millicredits);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper, generated::CreditLent& thrift, Value& value) {
  mapper.Field(thrift.number, value.m_number);
  mapper.Field(thrift.allowance, value.m_allowance);
  mapper.Field(thrift.millicredits, value.m_millicredits);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper, generated::VouchWanted& thrift, Value& value) {
  mapper.Field(thrift.number, value.m_number);
  mapper.Field(thrift.lease_version, value.m_lease_version);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper, generated::Vouched& thrift, Value& value) {
  mapper.Field(thrift.number, value.m_number);
  mapper.Field(thrift.granted, value.m_granted);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper, generated::DenialWanted& thrift, Value& value) {
  mapper.Field(thrift.number, value.m_number);
  mapper.Field(thrift.holder, value.m_holder);
  mapper.Field(thrift.holder_incarnation, value.m_holder_incarnation);
  mapper.Field(thrift.lease_version, value.m_lease_version);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper, generated::Denied& thrift, Value& value) {
  mapper.Field(thrift.number, value.m_number);
  mapper.Field(thrift.holder, value.m_holder);
  mapper.Field(thrift.granted, value.m_granted);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper, generated::GroupReport& thrift, Value& value) {
  mapper.Field(thrift.database, value.m_database);
  mapper.Field(thrift.term, value.m_term);
  mapper.Field(thrift.primary, value.m_primary);
  thrift.__isset.primary_age_us =
      mapper.Optional(thrift.primary_age_us, thrift.__isset.primary_age_us,
                      value.m_primary_age);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper,
               generated::SuspicionRaised& thrift,
               Value& value) {
  mapper.Field(thrift.database, value.m_database);
  mapper.Field(thrift.term, value.m_term);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper, generated::PeerMessage& thrift, Value& value) {
  thrift.__isset.heartbeat = mapper.template Alternative<core::Heartbeat>(
      thrift.heartbeat, thrift.__isset.heartbeat, value);
  thrift.__isset.objects_wanted =
      mapper.template Alternative<core::ObjectsRequest>(
          thrift.objects_wanted, thrift.__isset.objects_wanted, value);
  thrift.__isset.objects_relayed =
      mapper.template Alternative<core::RelayedObjects>(
          thrift.objects_relayed, thrift.__isset.objects_relayed, value);
  thrift.__isset.credit_wanted =
      mapper.template Alternative<core::CreditRequest>(
          thrift.credit_wanted, thrift.__isset.credit_wanted, value);
  thrift.__isset.credit_lent =
      mapper.template Alternative<core::CreditTransfer>(
          thrift.credit_lent, thrift.__isset.credit_lent, value);
  thrift.__isset.vouch_wanted =
      mapper.template Alternative<core::LeaseExtensionRequest>(
          thrift.vouch_wanted, thrift.__isset.vouch_wanted, value);
  thrift.__isset.vouched =
      mapper.template Alternative<core::LeaseExtensionAnswer>(
          thrift.vouched, thrift.__isset.vouched, value);
  thrift.__isset.denial_wanted =
      mapper.template Alternative<core::LeaseRevocationRequest>(
          thrift.denial_wanted, thrift.__isset.denial_wanted, value);
  thrift.__isset.denied =
      mapper.template Alternative<core::LeaseRevocationAnswer>(
          thrift.denied, thrift.__isset.denied, value);
  thrift.__isset.group_report = mapper.template Alternative<core::GroupReport>(
      thrift.group_report, thrift.__isset.group_report, value);
  thrift.__isset.suspicion_raised =
      mapper.template Alternative<core::PrimarySuspicion>(
          thrift.suspicion_raised, thrift.__isset.suspicion_raised, value);
  mapper.CheckUnion();
}

}  // namespace jasminelug::wire::internal

#endif  // SRC_WIRE_INTERNAL_PEER_MESSAGE_FIELDS_H_
