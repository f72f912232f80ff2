#ifndef SRC_WIRE_INTERNAL_PLATFORM_FIELDS_H_
#define SRC_WIRE_INTERNAL_PLATFORM_FIELDS_H_

#include <core_messages_types.h>

#include "src/core/platform_call.h"
#include "src/wire/internal/field_mapping.h"

namespace jasminelug::wire::internal {

// Field mappings of platform calls and their answers; see field_mapping.h.

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper, generated::ObjectKey& thrift, Value& value) {
  mapper.Enumerator(thrift.kind, value.m_kind, core::ObjectKind::kGroup);
  mapper.Field(thrift.name, value.m_name);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper, generated::Object& thrift, Value& value) {
  mapper.Field(thrift.key, value.m_key);
  mapper.Field(thrift.version, value.m_version);
  mapper.Field(thrift.revision, value.m_revision);
  mapper.Field(thrift.value, value.m_value);
  mapper.Field(thrift.deleted, value.m_deleted);
  mapper.Field(thrift.write_id, value.m_write_id);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper, generated::ObjectBatch& thrift, Value& value) {
  mapper.Field(thrift.revision, value.m_revision);
  mapper.Field(thrift.objects, value.m_objects);
  mapper.Field(thrift.must_list, value.m_must_list);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& /*mapper*/,
               generated::ListObjects& /*thrift*/,
               Value& /*value*/) {}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper, generated::WatchObjects& thrift, Value& value) {
  mapper.Field(thrift.since, value.m_since);
  mapper.Field(thrift.wait_us, value.m_wait);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper, generated::GetObject& thrift, Value& value) {
  mapper.Field(thrift.key, value.m_key);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper, generated::PutObject& thrift, Value& value) {
  mapper.Field(thrift.key, value.m_key);
  mapper.Field(thrift.expected_version, value.m_expected_version);
  mapper.Field(thrift.value, value.m_value);
  mapper.Field(thrift.write_id, value.m_write_id);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper, generated::DeleteObject& thrift, Value& value) {
  mapper.Field(thrift.key, value.m_key);
  mapper.Field(thrift.expected_version, value.m_expected_version);
  mapper.Field(thrift.write_id, value.m_write_id);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper,
               generated::PlatformRequest& thrift,
               Value& value) {
  thrift.__isset.list_objects = mapper.template Alternative<core::ListObjects>(
      thrift.list_objects, thrift.__isset.list_objects, value);
  thrift.__isset.watch_objects =
      mapper.template Alternative<core::WatchObjects>(
          thrift.watch_objects, thrift.__isset.watch_objects, value);
  thrift.__isset.get_object = mapper.template Alternative<core::GetObject>(
      thrift.get_object, thrift.__isset.get_object, value);
  thrift.__isset.put_object = mapper.template Alternative<core::PutObject>(
      thrift.put_object, thrift.__isset.put_object, value);
  thrift.__isset.delete_object =
      mapper.template Alternative<core::DeleteObject>(
          thrift.delete_object, thrift.__isset.delete_object, value);
  mapper.CheckUnion();
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper, generated::ObjectAnswer& thrift, Value& value) {
  mapper.Field(thrift.object, value.m_object);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper,
               generated::VersionConflict& thrift,
               Value& value) {
  mapper.Field(thrift.current, value.m_current);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper,
               generated::PlatformFailure& thrift,
               Value& value) {
  mapper.Field(thrift.outcome_unknown, value.m_outcome_unknown);
}

template <typename Mapper, typename Value>
void MapFields(Mapper& mapper,
               generated::PlatformAnswer& thrift,
               Value& value) {
  thrift.__isset.object_batch = mapper.template Alternative<core::ObjectBatch>(
      thrift.object_batch, thrift.__isset.object_batch, value);
  thrift.__isset.object_answer =
      mapper.template Alternative<core::ObjectAnswer>(
          thrift.object_answer, thrift.__isset.object_answer, value);
  thrift.__isset.version_conflict =
      mapper.template Alternative<core::VersionConflict>(
          thrift.version_conflict, thrift.__isset.version_conflict, value);
  thrift.__isset.platform_failure =
      mapper.template Alternative<core::PlatformFailure>(
          thrift.platform_failure, thrift.__isset.platform_failure, value);
  mapper.CheckUnion();
}

}  // namespace jasminelug::wire::internal

#endif  // SRC_WIRE_INTERNAL_PLATFORM_FIELDS_H_
