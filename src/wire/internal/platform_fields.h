#ifndef SRC_WIRE_INTERNAL_PLATFORM_FIELDS_H_
#define SRC_WIRE_INTERNAL_PLATFORM_FIELDS_H_

#include <core_messages_types.h>

#include "src/core/platform_call.h"
#include "src/wire/internal/exchange.h"

namespace jasminelug::wire::internal {

// The pairs of fields of platform calls and their answers; see exchange.h.

template <typename Exchange, typename Value>
void ExchangeFields(Exchange& exchange,
                    generated::ObjectKey& form,
                    Value& value) {
  exchange.Enumerator(form.kind, value.m_kind, core::ObjectKind::kGroup);
  exchange.Field(form.name, value.m_name);
}

template <typename Exchange, typename Value>
void ExchangeFields(Exchange& exchange, generated::Object& form, Value& value) {
  exchange.Field(form.key, value.m_key);
  exchange.Field(form.version, value.m_version);
  exchange.Field(form.revision, value.m_revision);
  exchange.Field(form.value, value.m_value);
  exchange.Field(form.deleted, value.m_deleted);
  exchange.Field(form.write_id, value.m_write_id);
}

template <typename Exchange, typename Value>
void ExchangeFields(Exchange& exchange,
                    generated::ObjectBatch& form,
                    Value& value) {
  exchange.Field(form.revision, value.m_revision);
  exchange.Field(form.objects, value.m_objects);
  exchange.Field(form.must_list, value.m_must_list);
}

template <typename Exchange, typename Value>
void ExchangeFields(Exchange& /*exchange*/,
                    generated::ListObjects& /*form*/,
                    Value& /*value*/) {}

template <typename Exchange, typename Value>
void ExchangeFields(Exchange& exchange,
                    generated::WatchObjects& form,
                    Value& value) {
  exchange.Field(form.since, value.m_since);
  exchange.Field(form.wait_us, value.m_wait);
}

template <typename Exchange, typename Value>
void ExchangeFields(Exchange& exchange,
                    generated::GetObject& form,
                    Value& value) {
  exchange.Field(form.key, value.m_key);
}

template <typename Exchange, typename Value>
void ExchangeFields(Exchange& exchange,
                    generated::PutObject& form,
                    Value& value) {
  exchange.Field(form.key, value.m_key);
  exchange.Field(form.expected_version, value.m_expected_version);
  exchange.Field(form.value, value.m_value);
  exchange.Field(form.write_id, value.m_write_id);
}

template <typename Exchange, typename Value>
void ExchangeFields(Exchange& exchange,
                    generated::DeleteObject& form,
                    Value& value) {
  exchange.Field(form.key, value.m_key);
  exchange.Field(form.expected_version, value.m_expected_version);
  exchange.Field(form.write_id, value.m_write_id);
}

template <typename Exchange, typename Value>
void ExchangeFields(Exchange& exchange,
                    generated::PlatformRequest& form,
                    Value& value) {
  form.__isset.list_objects = exchange.template Alternative<core::ListObjects>(
      form.list_objects, form.__isset.list_objects, value);
  form.__isset.watch_objects =
      exchange.template Alternative<core::WatchObjects>(
          form.watch_objects, form.__isset.watch_objects, value);
  form.__isset.get_object = exchange.template Alternative<core::GetObject>(
      form.get_object, form.__isset.get_object, value);
  form.__isset.put_object = exchange.template Alternative<core::PutObject>(
      form.put_object, form.__isset.put_object, value);
  form.__isset.delete_object =
      exchange.template Alternative<core::DeleteObject>(
          form.delete_object, form.__isset.delete_object, value);
  exchange.CheckUnion();
}

template <typename Exchange, typename Value>
void ExchangeFields(Exchange& exchange,
                    generated::ObjectAnswer& form,
                    Value& value) {
  exchange.Field(form.object, value.m_object);
}

template <typename Exchange, typename Value>
void ExchangeFields(Exchange& exchange,
                    generated::VersionConflict& form,
                    Value& value) {
  exchange.Field(form.current, value.m_current);
}

template <typename Exchange, typename Value>
void ExchangeFields(Exchange& exchange,
                    generated::PlatformFailure& form,
                    Value& value) {
  exchange.Field(form.outcome_unknown, value.m_outcome_unknown);
}

template <typename Exchange, typename Value>
void ExchangeFields(Exchange& exchange,
                    generated::PlatformAnswer& form,
                    Value& value) {
  form.__isset.object_batch = exchange.template Alternative<core::ObjectBatch>(
      form.object_batch, form.__isset.object_batch, value);
  form.__isset.object_answer =
      exchange.template Alternative<core::ObjectAnswer>(
          form.object_answer, form.__isset.object_answer, value);
  form.__isset.version_conflict =
      exchange.template Alternative<core::VersionConflict>(
          form.version_conflict, form.__isset.version_conflict, value);
  form.__isset.platform_failure =
      exchange.template Alternative<core::PlatformFailure>(
          form.platform_failure, form.__isset.platform_failure, value);
  exchange.CheckUnion();
}

}  // namespace jasminelug::wire::internal

#endif  // SRC_WIRE_INTERNAL_PLATFORM_FIELDS_H_
