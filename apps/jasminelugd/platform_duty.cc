#include "apps/jasminelugd/platform_duty.h"

#include <chrono>
#include <utility>

#include "apps/jasminelugd/conversions.h"

namespace jasminelug::daemon {
namespace {

template <typename T>
core::PlatformAnswer BatchAnswer(const Result<T, platform::Error>& result) {
  if (!IsOk(result)) {
    return core::PlatformFailure{};
  }
  return ToCore(GetValue(result));
}

}  // namespace

void PlatformDuty::Execute(const PlatformCommand& command) {
  std::visit(
      [this, &command](const auto& request) { Call(command.m_call, request); },
      command.m_request);
}

void PlatformDuty::Call(core::CallId call,
                        const core::ListObjects& /*request*/) {
  m_client.List(
      "", [this,
           call](const Result<platform::ObjectList, platform::Error>& result) {
        Answer(call, BatchAnswer(result));
      });
}

void PlatformDuty::Call(core::CallId call, const core::WatchObjects& request) {
  m_client.Watch(
      static_cast<std::int64_t>(request.m_since.value()),
      std::chrono::ceil<std::chrono::milliseconds>(request.m_wait),
      [this,
       call](const Result<platform::WatchAnswer, platform::Error>& result) {
        Answer(call, BatchAnswer(result));
      });
}

void PlatformDuty::Call(core::CallId call, const core::GetObject& request) {
  m_client.Get(FromCore(request.m_key), AnswerWithObject(call, request.m_key));
}

void PlatformDuty::Call(core::CallId call, const core::PutObject& request) {
  platform::PutRequest put;
  put.m_key = FromCore(request.m_key);
  put.m_expected_version =
      static_cast<std::int64_t>(request.m_expected_version);
  put.m_value = request.m_value;
  put.m_write_id = request.m_write_id;
  m_client.Put(put, AnswerWithObject(call, request.m_key));
}

void PlatformDuty::Call(core::CallId call, const core::DeleteObject& request) {
  platform::DeleteRequest deletion;
  deletion.m_key = FromCore(request.m_key);
  deletion.m_expected_version =
      static_cast<std::int64_t>(request.m_expected_version);
  deletion.m_write_id = request.m_write_id;
  m_client.Delete(deletion, [this, call, request](
                                const Result<Done, platform::Error>& result) {
    if (!IsOk(result)) {
      Answer(call, ToCore(request.m_key, GetError(result)));
      return;
    }
    core::Object deleted;
    deleted.m_key = request.m_key;
    deleted.m_version = request.m_expected_version + 1;
    deleted.m_deleted = true;
    deleted.m_write_id = request.m_write_id;
    Answer(call, core::ObjectAnswer{std::move(deleted)});
  });
}

platform::ResultHook<platform::Object> PlatformDuty::AnswerWithObject(
    core::CallId call,
    const core::ObjectKey& key) {
  return [this, call,
          key](const Result<platform::Object, platform::Error>& result) {
    if (IsOk(result)) {
      Answer(call, core::ObjectAnswer{ToCore(GetValue(result))});
    } else {
      Answer(call, ToCore(key, GetError(result)));
    }
  };
}

void PlatformDuty::Answer(core::CallId call, core::PlatformAnswer answer) {
  m_events->Push(core::PlatformAnswered{call, std::move(answer)});
}

}  // namespace jasminelug::daemon
